"""Clients that send heads and bodies without end."""

from __future__ import annotations

import time
from itertools import repeat

import gevent
import pytest
from gevent import socket

from wigeonpier.errors import Refusal
from wigeonpier.served import ClientLimits
from wigeonpier.web import messages
from wigeonpier.web import server as server_module
from wigeonpier.web.messages import Response, answer_refusal
from wigeonpier.web.server import Server

LIMITS = ClientLimits(head_bytes=20_000, head_seconds=0.3, idle_seconds=0.5)
BODY_LIMIT_BYTES = 1_000_000
BODY_SECONDS = 0.3
GIVE_UP_SECONDS = 5.0
MAX_SENT_BYTES = 16_000_000
START = b'POST /x HTTP/1.1\r\nHost: h\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % START
LONG = b'%bContent-Length: 9000000000\r\n\r\n' % START


@pytest.fixture
def server(monkeypatch):
    monkeypatch.setattr(messages, 'BODY_SECONDS', BODY_SECONDS, raising=False)
    monkeypatch.setattr(
        server_module, 'DISCARD_SECONDS', BODY_SECONDS, raising=False
    )

    monkeypatch.setattr(
        server_module, 'MAX_DRAINED_BYTES', 4_000_000, raising=False
    )

    def answer(request) -> Response:
        request.body_limit = BODY_LIMIT_BYTES
        if request.path == '/unread':
            return Response(200, b'unread')
        try:
            body = request.read_body()
        except Refusal as refusal:
            return answer_refusal(refusal)
        return Response(200, b'%d' % len(body))

    server = Server('127.0.0.1', 0, answer, lambda: LIMITS)
    server.start()
    yield server
    server.stop()


class _Client:
    """Sends bytes until the server ends the connection."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(':', 1)
        self.sock = socket.create_connection((host, int(port)))
        self.sent_bytes = 0

    def send(self, start: bytes, part: bytes, pause_seconds: float) -> bytes:
        """Send without end and read the answer."""
        sending = gevent.spawn(self._send_all, start, part, pause_seconds)
        with gevent.Timeout(GIVE_UP_SECONDS):
            received = self.read_to_end()
            sending.join()
        assert self.sent_bytes < MAX_SENT_BYTES
        return received

    def read_to_end(self) -> bytes:
        received = b''
        try:
            while part := self.sock.recv(65536):
                received += part
        except ConnectionResetError:
            return received
        return received

    def _send_all(self, start: bytes, part: bytes, pause: float) -> None:
        try:
            self.sock.sendall(start)
            for piece in repeat(part):
                self.sock.sendall(piece)
                self.sent_bytes += len(piece)
                gevent.sleep(pause)
        except OSError:
            return


@pytest.mark.parametrize(
    ('start', 'part', 'pause', 'status'),
    [
        (START, b'X-Padding: a\r\n' * 100, 0, b' 431 '),
        (b'%bX-Padding: ' % START, b'a' * 5000, 0, b' 431 '),
        (b'POST /', b'x' * 5000, 0, b' 431 '),
        (START, b'X-P: a\r\n', 0.02, b' 408 '),
        (b'POST /', b'x', 0.02, b' 408 '),
        (CHUNKED, b'8\r\n12345678\r\n' * 1000, 0, b' 413 '),
        (CHUNKED, b'1\r\n1\r\n', 0.02, b' 408 '),
        (b'%b0\r\n' % CHUNKED, b'X-P: a\r\n', 0.02, b' 408 '),
        (LONG, b'a' * 5000, 0, b' 413 '),
        (LONG.replace(b'9000000000', b'900000'), b'a', 0.02, b' 408 '),
    ],
)
def test_a_request_without_end_is_answered_and_cut(
    server, start, part, pause, status
) -> None:
    received = _Client(server.address).send(start, part, pause)
    assert received.split(b'\r\n')[0].startswith(b'HTTP/1.1%b' % status)
    assert b'\r\nConnection: close\r\n' in received
    assert server.in_flight == 0


def test_a_body_that_no_handler_reads_is_cut(server) -> None:
    start = LONG.replace(b'/x', b'/unread')
    received = _Client(server.address).send(start, b'a' * 100, 0.02)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.endswith(b'unread')


def test_an_idle_connection_is_closed_without_a_response(server) -> None:
    client = _Client(server.address)
    started = time.monotonic()
    with gevent.Timeout(GIVE_UP_SECONDS):
        assert client.read_to_end() == b''
    assert time.monotonic() - started >= LIMITS.idle_seconds


def test_a_large_body_that_arrives_in_time_is_read(server) -> None:
    client = _Client(server.address)
    size = BODY_LIMIT_BYTES
    client.sock.sendall(b'%bContent-Length: %d\r\n\r\n' % (START, size))
    for _ in range(10):
        client.sock.sendall(bytes(size // 10))
        gevent.sleep(BODY_SECONDS / 8)
    assert client.sock.recv(1000).startswith(b'HTTP/1.1 200 ')


def test_requests_on_one_connection_are_answered_in_turn(server) -> None:
    client = _Client(server.address)
    request = b'%bContent-Length: 3\r\n\r\nabc' % START
    client.sock.sendall(request + request)
    time_limit = gevent.Timeout(GIVE_UP_SECONDS)
    with time_limit:
        received = client.read_to_end()
    assert received.count(b'HTTP/1.1 200 ') == 2


def test_a_client_that_sends_all_of_a_large_body_reads_its_refusal() -> None:
    """Guards against a reset that discards the response."""

    def answer(request) -> Response:
        request.body_limit = BODY_LIMIT_BYTES
        try:
            request.read_body()
        except Refusal as refusal:
            return answer_refusal(refusal)
        return Response(200, b'')

    server = Server('127.0.0.1', 0, answer)
    server.start()
    client = _Client(server.address)
    size = 20 * BODY_LIMIT_BYTES
    client.sock.sendall(b'%bContent-Length: %d\r\n\r\n' % (START, size))
    client.sock.sendall(bytes(size))
    assert client.read_to_end().startswith(b'HTTP/1.1 413 ')
    server.stop()
