"""Tests of the client: no resends, no response to another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from gevent.server import StreamServer
from result import Err

from wigeonpier.web import connections
from wigeonpier.web.client import CallFailure, HttpClient, Reply
from wigeonpier.web.messages import Response
from wigeonpier.web.server import Server

if TYPE_CHECKING:
    from wigeonpier.web.messages import Request


@pytest.fixture
def serve():
    servers = []

    def start(handler) -> Server:
        server = Server('127.0.0.1', 0, handler)
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()


def test_a_late_response_does_not_reach_the_next_call(serve) -> None:
    def answer(request: Request) -> Response:
        if request.path == '/slow':
            gevent.sleep(0.4)
        return Response(200, request.path.encode())

    server = serve(answer)
    client = HttpClient()
    for _ in range(3):
        slow = client.call(server.address, 'POST', '/slow', timeout=0.2)
        assert slow == Err(CallFailure.lost)
        for _ in range(5):
            quick = client.call(server.address, 'POST', '/quick', timeout=0.2)
            assert quick.unwrap().body == b'/quick'
            gevent.sleep(0.1)


def test_an_abandoned_stream_does_not_reach_the_next_call(serve) -> None:
    def answer(request: Request) -> Response:
        if request.path == '/quick':
            return Response(200, b'/quick')
        return Response(200, (b'line %d\n' % n for n in range(10_000)))

    server = serve(answer)
    client = HttpClient()
    for _ in range(5):
        stream = client.open(server.address, 'GET', '/stream').unwrap()
        assert next(stream.iterate_lines()) == b'line 0\n'
        stream.close()
        quick = client.call(server.address, 'GET', '/quick')
        assert quick.unwrap().body == b'/quick'


@pytest.mark.parametrize('method', ['GET', 'PUT', 'POST', 'DELETE'])
def test_a_request_without_response_is_not_resent(method: str) -> None:
    received: list[bytes] = []

    def receive_and_close(connection, _address) -> None:
        received.append(connection.recv(1024))
        connection.close()

    server = StreamServer(('127.0.0.1', 0), receive_and_close)
    server.start()
    client = HttpClient()
    for count in (1, 2, 3):
        outcome = client.call(f'127.0.0.1:{server.server_port}', method, '/x')
        assert outcome == Err(CallFailure.lost)
        assert len(received) == count
    server.stop()


def test_a_refused_connection_is_reported_as_not_sent() -> None:
    outcome = HttpClient().call('127.0.0.1:1', 'POST', '/x')
    assert outcome == Err(CallFailure.not_sent)


def test_a_truncated_response_is_lost(serve) -> None:
    def answer(_request: Request) -> Response:
        return Response(200, _yield_truncated_body())

    server = serve(answer)
    assert HttpClient().call(server.address, 'GET', '/x') == Err(
        CallFailure.lost,
    )


def _yield_truncated_body():
    yield b'first part'
    raise RuntimeError('broken')


def test_connections_are_reused_after_complete_responses(serve) -> None:
    ports: set[str] = set()

    def answer(request: Request) -> Response:
        ports.add(request.headers['port'])
        return Response(200, b'good')

    server = serve(answer)
    read = server._server.handler_class.get_environ

    def read_port(handler):
        environ = read(handler)
        environ['HTTP_PORT'] = environ['REMOTE_PORT']
        return environ

    server._server.handler_class = type(
        'Handler',
        (server._server.handler_class,),
        {'get_environ': read_port},
    )
    client = HttpClient()
    for _ in range(20):
        assert client.call(server.address, 'POST', '/x', b'body').is_ok()
    assert len(ports) == 1


@pytest.mark.parametrize(
    'excess',
    [
        b'HTTP/1.1 429 Busy\r\nContent-Length: 4\r\n\r\nbusy',
        b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngo',
        b'HTTP/1.1 102 Wait\r\n\r\n',
        b'no answer at all',
    ],
)
def test_bytes_behind_a_response_are_no_part_of_it(excess: bytes) -> None:
    own = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown'
    connections = 0

    def answer(connection, _address) -> None:
        nonlocal connections
        connections += 1
        while connection.recv(1024):
            connection.sendall(own + excess)

    server = StreamServer(('127.0.0.1', 0), answer)
    server.start()
    client = HttpClient()
    for count in (1, 2, 3):
        reply = client.call(f'127.0.0.1:{server.server_port}', 'POST', '/x')
        assert reply.unwrap() == Reply(200, b'own')
        assert connections == count
    server.stop()


@pytest.mark.parametrize('path', ['/a b', '/a\r\nX-Peer-Key: k', ''])
def test_a_path_cannot_add_lines_to_a_request(path: str) -> None:
    with pytest.raises(ValueError, match='invalid path'):
        HttpClient().open('127.0.0.1:1', 'GET', path)


def test_a_header_cannot_add_lines_to_a_request() -> None:
    with pytest.raises(ValueError, match='invalid value'):
        HttpClient().open(
            '127.0.0.1:1', 'GET', '/x', headers={'accept': 'a\r\nb: c'}
        )


def test_a_connection_that_was_idle_too_long_is_not_reused(
    monkeypatch, serve
) -> None:
    """Guards against a request that is sent while the server closes."""
    monkeypatch.setattr(connections, 'MAX_IDLE_SECONDS', 0.1)
    ports: set[int] = set()

    def answer(request: Request) -> Response:
        ports.add(request.connection.getpeername()[1])
        return Response(200, b'good')

    server = serve(answer)
    client = HttpClient()
    for pause_seconds, count in ((0, 1), (0.2, 1), (0, 2), (0, 2)):
        assert client.call(server.address, 'GET', '/x').is_ok()
        assert len(ports) == count
        gevent.sleep(pause_seconds)
