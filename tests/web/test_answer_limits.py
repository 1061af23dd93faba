"""Answers of peers that send bytes without end."""

from __future__ import annotations

import time

import gevent
import pytest
from result import Err

from tests.web.endlesspeer import BODIES, HEADS, LINES, EndlessPeer
from wigeonpier.web.client import CallFailure, HttpClient
from wigeonpier.web.messages import Response
from wigeonpier.web.server import Server

TIMEOUT_SECONDS = 0.4
# The peer may send until the limit and into the buffers of the connection.
MAX_SENT_BYTES = 24_000_000
MAX_BODY_BYTES = 1_000_000
MAX_LINE_BYTES = 100_000
GIVE_UP_SECONDS = 5.0
LARGE_BODY_BYTES = 30_000_000
SPEEDS = pytest.mark.parametrize(
    'is_slow', [False, True], ids=['fast', 'a few bytes at a time']
)


@pytest.fixture
def serve():
    peers = []

    def start(kind: tuple[bytes, bytes], is_slow: bool) -> EndlessPeer:
        peer = EndlessPeer(kind, is_slow)
        peers.append(peer)
        return peer

    yield start
    for peer in peers:
        peer.stop()


def _check_ended(peer: EndlessPeer) -> None:
    assert peer.sent_bytes < MAX_SENT_BYTES
    with gevent.Timeout(GIVE_UP_SECONDS):
        while not peer.ended_at:
            gevent.sleep(0.01)


@SPEEDS
@pytest.mark.parametrize('kind', HEADS)
def test_a_head_without_end_is_cut(serve, kind: str, is_slow: bool) -> None:
    peer = serve(HEADS[kind], is_slow)
    with gevent.Timeout(GIVE_UP_SECONDS):
        opened = HttpClient().open(
            peer.address, 'POST', '/x', timeout=TIMEOUT_SECONDS
        )
    assert opened == Err(CallFailure.lost)
    _check_ended(peer)


@SPEEDS
@pytest.mark.parametrize('kind', BODIES)
def test_a_body_without_end_is_cut(serve, kind: str, is_slow: bool) -> None:
    peer = serve(BODIES[kind], is_slow)
    client = HttpClient()
    reply = client.open(peer.address, 'GET', '/x').unwrap()
    with gevent.Timeout(GIVE_UP_SECONDS), pytest.raises(OSError):
        reply.read(TIMEOUT_SECONDS, MAX_BODY_BYTES)
    reply.close()
    _check_ended(peer)


@pytest.mark.parametrize('kind', BODIES)
def test_a_call_ends_although_bytes_arrive(serve, kind: str) -> None:
    peer = serve(BODIES[kind], is_slow=True)
    started = time.monotonic()
    with gevent.Timeout(GIVE_UP_SECONDS):
        called = HttpClient().call(
            peer.address, 'GET', '/x', timeout=TIMEOUT_SECONDS
        )
    assert called == Err(CallFailure.lost)
    assert time.monotonic() - started < 4 * TIMEOUT_SECONDS
    _check_ended(peer)


@SPEEDS
@pytest.mark.parametrize('kind', LINES)
def test_a_line_without_end_is_cut(serve, kind: str, is_slow: bool) -> None:
    peer = serve(LINES[kind], is_slow)
    reply = HttpClient().open(peer.address, 'POST', '/x').unwrap()
    lines = reply.iterate_lines(TIMEOUT_SECONDS, MAX_LINE_BYTES)
    with gevent.Timeout(GIVE_UP_SECONDS), pytest.raises(OSError):
        for _line in lines:
            gevent.sleep(0)
    reply.close()
    _check_ended(peer)


def test_a_long_stream_that_is_read_slowly_is_not_cut() -> None:
    count = 40

    def answer(_request) -> Response:
        return Response(200, (b'data: %d\n\n' % n for n in range(count)))

    server = Server('127.0.0.1', 0, answer)
    server.start()
    reply = HttpClient().open(server.address, 'GET', '/x').unwrap()
    read = 0
    for _line in reply.iterate_lines(0.1, 1000):
        read += 1
        gevent.sleep(0.02)
    reply.close()
    server.stop()
    assert read == 2 * count


def test_a_large_body_is_not_cut() -> None:
    part = bytes(LARGE_BODY_BYTES // 10)

    def yield_slowly():
        for _ in range(10):
            yield part
            gevent.sleep(TIMEOUT_SECONDS / 8)

    server = Server(
        '127.0.0.1', 0, lambda _request: Response(200, yield_slowly())
    )
    server.start()
    called = HttpClient().call(
        server.address, 'GET', '/x', timeout=TIMEOUT_SECONDS
    )
    server.stop()
    assert len(called.unwrap().body) == LARGE_BODY_BYTES
