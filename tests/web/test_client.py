"""Connections: nothing is resent, and no late answer reaches another call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from gevent.server import StreamServer
from result import Err

from wigeonpier.web.client import CallFailure, HttpCaller
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


def test_a_late_answer_does_not_reach_the_next_call(serve) -> None:
    def answer(request: Request) -> Response:
        if request.path == '/slow':
            gevent.sleep(0.4)
        return Response(200, request.path.encode())

    server = serve(answer)
    caller = HttpCaller()
    for _ in range(3):
        slow = caller.call(server.address, 'POST', '/slow', patience=0.2)
        assert slow == Err(CallFailure.lost)
        for _ in range(5):
            quick = caller.call(server.address, 'POST', '/quick', patience=0.2)
            assert quick.unwrap().body == b'/quick'
            gevent.sleep(0.1)


def test_a_stream_that_was_given_up_does_not_reach_the_next_call(serve) -> None:
    def answer(request: Request) -> Response:
        if request.path == '/quick':
            return Response(200, b'/quick')
        return Response(200, (b'line %d\n' % n for n in range(10_000)))

    server = serve(answer)
    caller = HttpCaller()
    for _ in range(5):
        stream = caller.open(server.address, 'GET', '/stream').unwrap()
        assert next(stream.iterate_lines()) == b'line 0\n'
        stream.close()
        quick = caller.call(server.address, 'GET', '/quick')
        assert quick.unwrap().body == b'/quick'


@pytest.mark.parametrize('method', ['GET', 'PUT', 'POST', 'DELETE'])
def test_a_request_whose_answer_is_lost_is_not_sent_again(method: str) -> None:
    taken: list[bytes] = []

    def take_and_close(connection, _address) -> None:
        taken.append(connection.recv(1024))
        connection.close()

    server = StreamServer(('127.0.0.1', 0), take_and_close)
    server.start()
    caller = HttpCaller()
    for count in (1, 2, 3):
        called = caller.call(f'127.0.0.1:{server.server_port}', method, '/x')
        assert called == Err(CallFailure.lost)
        assert len(taken) == count
    server.stop()


def test_a_connection_that_was_never_made_is_told_apart() -> None:
    called = HttpCaller().call('127.0.0.1:1', 'POST', '/x')
    assert called == Err(CallFailure.not_sent)


def test_an_answer_that_breaks_off_is_not_taken_for_whole(serve) -> None:
    def answer(_request: Request) -> Response:
        return Response(200, _break_off())

    server = serve(answer)
    assert HttpCaller().call(server.address, 'GET', '/x') == Err(
        CallFailure.lost,
    )


def _break_off():
    yield b'first part'
    raise RuntimeError('broken')


def test_connections_are_reused_after_whole_answers(serve) -> None:
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
    caller = HttpCaller()
    for _ in range(20):
        assert caller.call(server.address, 'POST', '/x', b'body').is_ok()
    assert len(ports) == 1
