"""Tests of responses whose body is produced lazily."""

from __future__ import annotations

import gevent
import pytest

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.web.exchange import make_request
from wigeonpier.web.messages import Response
from wigeonpier.web.pool import ConnectionPool
from wigeonpier.web.server import Server

REQUEST = make_request('GET', '/', [('Host', 'h')])


def yield_refusal():
    """Raise a refusal when the first part of the body is read."""
    raise Refusal(ErrorKind.storage_down, 'no copy can be reached')
    yield b''


def yield_parts():
    """Yield a body in two parts."""
    yield b'a'
    yield b'b'


@pytest.mark.parametrize(
    ('body', 'status', 'expected'),
    [(yield_refusal, 503, b'storage_down'), (yield_parts, 200, b'ab')],
)
def test_refusal_in_a_lazy_body_sets_the_response_status(
    body, status, expected
) -> None:
    """Guards against a refusal in a lazy body turning into a plain 500."""
    closed: list[int] = []
    response = Response(200, body(), on_close=[lambda: closed.append(1)])
    server = Server('127.0.0.1', 0, lambda _request: response)
    server.start()
    reply = ConnectionPool().call(server.address, REQUEST, 2).unwrap()
    assert reply.status == status
    assert expected in reply.body
    gevent.sleep(0.02)
    assert closed == [1]
    assert server.in_flight == 0
    server.stop()
