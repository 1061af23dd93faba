"""Requests whose bodies no handler reads: their answers stay readable."""

from __future__ import annotations

import time

import gevent
import pytest
from gevent import socket

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.web.server import Server

GIVE_UP_SECONDS = 5.0
PROMPT_SECONDS = 1.0
EXPECTING = b'Expect: 100-continue\r\n'
SIZED = b'Content-Length: 5\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
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
