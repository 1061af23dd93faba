"""Answers whose body is refused before its first byte."""

from __future__ import annotations

import gevent
import pytest

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.web.exchange import make_request
from wigeonpier.web.messages import Response
from wigeonpier.web.pool import ConnectionPool
from wigeonpier.web.server import Server

REQUEST = make_request('GET', '/', [('Host', 'h')])


def refuse_lazily():
    """Refuse as a reader of results does, when the body is asked for."""
    raise Refusal(ErrorKind.storage_down, 'no copy can be reached')
    yield b''


def give_parts():
    """Give two parts."""
    yield b'a'
    yield b'b'


@pytest.mark.parametrize(
    ('body', 'status', 'expected'),
    [(refuse_lazily, 503, b'storage_down'), (give_parts, 200, b'ab')],
)
def test_a_body_that_is_refused_gets_its_answer(body, status, expected) -> None:
    """A refusal in a lazy body had become a bare 500."""
    closed: list[int] = []
    response = Response(200, body(), on_close=[lambda: closed.append(1)])
    server = Server('127.0.0.1', 0, lambda _request: response)
    server.start()
    reply = ConnectionPool().call(server.address, REQUEST, 2).unwrap()
    assert reply.status == status
    assert expected in reply.body
    gevent.sleep(0.02)
    assert closed == [1]
    assert server.in_hand == 0
    server.stop()
