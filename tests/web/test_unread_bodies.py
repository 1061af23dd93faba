"""Requests whose bodies no handler reads: their answers stay readable."""

from __future__ import annotations

import time

import gevent
import pytest
from gevent import socket

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.web.server import MAX_DISCARDED_BYTES, Server

GIVE_UP_SECONDS = 5.0
PROMPT_SECONDS = 1.0
EXPECTING = b'Expect: 100-continue\r\n'
SIZED = b'Content-Length: 5\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
PIECE_BYTES = 65_536
LARGE_BYTES = 3 * MAX_DISCARDED_BYTES
LARGE = b'Content-Length: %d\r\n' % LARGE_BYTES
NOT_FOUND = b'HTTP/1.1 404 Not Found'


def refuse(_request):
    """Answer without reading the body."""
    raise Refusal(ErrorKind.not_found, 'there is no such path')


@pytest.fixture
def connect():
    """Open connections to a server that reads no bodies."""
    server = Server('127.0.0.1', 0, refuse)
    server.start()
    host, port = server.address.rsplit(':', 1)
    with gevent.Timeout(GIVE_UP_SECONDS):
        yield lambda: socket.create_connection((host, int(port)))
    server.stop()


def make_head(*headers: bytes) -> bytes:
    """Make the head of a request with a body."""
    return b'POST /x HTTP/1.1\r\nHost: h\r\n%b\r\n' % b''.join(headers)


def read_to_end(sock) -> bytes:
    """Read all that the server sends until it closes."""
    return b''.join(iter(lambda: sock.recv(65_536), b''))


def split_answer(received: bytes) -> tuple[list[bytes], bytes]:
    """Split into the lines of the head and what follows it."""
    head, _end, rest = received.partition(b'\r\n\r\n')
    return head.split(b'\r\n'), rest


def find_length(lines: list[bytes]) -> int:
    """Find the length of the body in the lines of a head."""
    prefix = b'Content-Length: '
    found = [line for line in lines if line.startswith(prefix)]
    return int(found[0].removeprefix(prefix))


@pytest.mark.parametrize('framing', [SIZED, CHUNKED])
def test_no_continue_follows_the_answer(connect, framing: bytes) -> None:
    """``100 Continue`` came behind the answer, and then 2 s of silence."""
    sock = connect()
    started = time.monotonic()
    sock.sendall(make_head(EXPECTING, framing))
    lines, rest = split_answer(read_to_end(sock))
    assert lines[0] == NOT_FOUND
    assert b'Connection: close' in lines
    assert len(rest) == find_length(lines)
    assert time.monotonic() - started < PROMPT_SECONDS


def test_no_continue_for_an_empty_body_follows_the_answer(connect) -> None:
    """The connection stays open, as there is nothing to read."""
    sock = connect()
    empty = make_head(EXPECTING, b'Content-Length: 0\r\n')
    sock.sendall(empty)
    last = make_head(b'Content-Length: 0\r\nConnection: close\r\n')
    sock.sendall(last)
    lines, rest = split_answer(read_to_end(sock))
    assert lines[0] == NOT_FOUND
    assert rest[find_length(lines) :].startswith(NOT_FOUND)


@pytest.mark.parametrize('framing', [LARGE, CHUNKED])
def test_a_large_body_is_sent_without_a_reset(connect, framing: bytes) -> None:
    """The client lost the answer with ``ECONNRESET`` while it sent."""
    sock = connect()
    sock.sendall(make_head(framing))
    chunk = b'%x\r\n%b\r\n' % (PIECE_BYTES, bytes(PIECE_BYTES))
    piece = chunk if framing == CHUNKED else bytes(PIECE_BYTES)
    for _number in range(LARGE_BYTES // PIECE_BYTES):
        sock.sendall(piece)
        gevent.sleep(0)
    lines, rest = split_answer(read_to_end(sock))
    assert lines[0] == NOT_FOUND
    assert len(rest) == find_length(lines)


def test_the_answer_to_a_large_body_ends_its_connection(connect) -> None:
    """A client that waits with its body sent the next request behind it."""
    sock = connect()
    started = time.monotonic()
    sock.sendall(make_head(LARGE))
    lines, rest = split_answer(read_to_end(sock))
    assert b'Connection: close' in lines
    assert len(rest) == find_length(lines)
    assert time.monotonic() - started < PROMPT_SECONDS


def test_a_small_body_keeps_its_connection(connect) -> None:
    sock = connect()
    sock.sendall(b'%bhello' % make_head(SIZED))
    last = make_head(b'Content-Length: 0\r\nConnection: close\r\n')
    sock.sendall(last)
    lines, rest = split_answer(read_to_end(sock))
    assert b'Connection: close' not in lines
    assert rest[find_length(lines) :].startswith(NOT_FOUND)
