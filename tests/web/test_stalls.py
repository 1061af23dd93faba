"""Answers that pause, as after the loss of a segment, and are whole later."""

from __future__ import annotations

import time

import pytest

from tests.web.endlesspeer import EndlessPeer
from tests.web.stallingpeer import start_stalling_peer
from wigeonpier.bench.endless import Endless
from wigeonpier.hosted.events import EventReader
from wigeonpier.web.exchange import Exchange, make_request
from wigeonpier.web.pool import ConnectionPool

REQUEST = make_request('GET', '/', [('Host', 'h')])
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
LINE_STALL_SECONDS = 1.3
# Two retransmissions.
HEAD_STALL_SECONDS = 3.0
TIMEOUT_SECONDS = 5.0
SHORT_SECONDS = 0.5


def open_stream(address: str) -> tuple[Exchange, list]:
    """Send a request; returns its exchange, and the limits exceeded so far."""
    pool = ConnectionPool()
    limits: list = []
    pool.on_endless = limits.append
    exchange = pool.begin(address, 1).unwrap()
    exchange.send(REQUEST, TIMEOUT_SECONDS)
    return exchange, limits


@pytest.mark.parametrize(
    'parts', [(b'id: 1\nda', b'ta: a\n\n'), (b'id: 1\n', b'data: a\n\n')]
)
def test_a_stall_within_an_event_ends_no_stream(
    parts: tuple[bytes, bytes],
) -> None:
    """A stream that could not go elsewhere ended after a second."""
    address = start_stalling_peer(
        HEAD + parts[0], parts[1], seconds=LINE_STALL_SECONDS
    )
    exchange, limits = open_stream(address)
    event = EventReader(exchange).read(TIMEOUT_SECONDS)
    assert event is not None
    assert event.raw == b''.join(parts)
    assert not limits


def test_a_stall_within_a_head_ends_no_call() -> None:
    """A call was lost after a second."""
    address = start_stalling_peer(
        HEAD[:20], HEAD[20:], seconds=HEAD_STALL_SECONDS
    )
    exchange, limits = open_stream(address)
    assert exchange.status == 200
    assert not limits


@pytest.mark.parametrize(
    'kind', [Endless.event, Endless.event_lines, Endless.blank_events]
)
def test_a_trickle_of_events_ends_with_its_read(kind: Endless) -> None:
    """The end of its time counted as bytes without end."""
    exchange, limits = open_stream(EndlessPeer(kind, is_trickle=True).address)
    reader = EventReader(exchange)
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        while True:
            reader.read(SHORT_SECONDS)
    assert SHORT_SECONDS * 0.9 < time.monotonic() - began < SHORT_SECONDS * 1.5
    assert not limits


def test_comments_do_not_shorten_the_time_of_a_stream() -> None:
    """Where the time is that of the request, it passed twice as fast."""
    parts = [b':\n\n'] * 6 + [b'id: 1\ndata: a\n\n']
    address = start_stalling_peer(HEAD, *parts, seconds=0.1)
    exchange, _limits = open_stream(address)
    reader = EventReader(exchange)
    deadline = time.monotonic() + 1
    event = None
    while event is None or not event.identity:
        event = reader.read(deadline - time.monotonic())
    assert event.identity == '1'
