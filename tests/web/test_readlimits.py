"""Peers that send bytes without end, as a flood or a few at a time."""

from __future__ import annotations

import time
import tracemalloc
from itertools import chain, repeat
from types import SimpleNamespace

import gevent
import pytest
from result import Err

from tests.web.endlesspeer import EndlessPeer
from wigeonpier.bench.endless import Endless
from wigeonpier.hosted.events import EventReader
from wigeonpier.web import pool as poolmodule
from wigeonpier.web.client import CallFailure
from wigeonpier.web.exchange import Exchange, make_request
from wigeonpier.web.pool import ConnectionPool
from wigeonpier.web.readlimits import EndlessAnswerError
from wigeonpier.web.responsereader import READ_BYTES, ResponseReader

REQUEST = make_request('GET', '/', [('Host', 'h')])
UNSIZED_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
# More than is read before others run.
FLOOD_PARTS = 40
TIMEOUT_SECONDS = 1.5
# Time for the last read and for the close.
SLACK_SECONDS = 0.5
MAX_HELD_BYTES = 8_000_000
# A comment each 0.1 s of a long stream fits several times.
MAX_BLANK_BYTES = 131_072
MIN_TURNS = 100
# The calls read bodies of 32 MB at most.
MAX_CALL_HELD_BYTES = 100_000_000
STREAMS = (
    Endless.event,
    Endless.event_lines,
    Endless.blank_events,
    Endless.extension,
    Endless.trailers,
)


def measure(action, seconds: float) -> tuple[float, int]:
    """Run an action for a limited time.

    :returns: how long it took, and the most bytes that it held.
    """
    tracemalloc.start()
    began = time.monotonic()
    with gevent.Timeout(seconds, False):
        action()
    elapsed = time.monotonic() - began
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return elapsed, peak


def check_reset(peer: EndlessPeer) -> None:
    """Check that the connection of the peer was ended at once."""
    gevent.sleep(0.5)
    assert peer.ended_at


@pytest.mark.parametrize('is_trickle', [False, True])
@pytest.mark.parametrize('kind', list(Endless))
def test_a_call_ends_in_time(kind: Endless, *, is_trickle: bool) -> None:
    """It went on as long as bytes came, and held them all."""
    peer = EndlessPeer(kind, is_trickle)
    pool = ConnectionPool()
    outcomes = []
    elapsed, held = measure(
        lambda: outcomes.append(
            pool.call(peer.address, REQUEST, TIMEOUT_SECONDS)
        ),
        2 * TIMEOUT_SECONDS + 2,
    )
    assert outcomes in (
        [Err(CallFailure.lost)],
        # The first answer is complete, the others are extra bytes.
        [pool.call(EndlessPeer(Endless.foreign).address, REQUEST, 1)],
    )
    # A long body that arrives fast may take twice as long.
    assert elapsed < 2 * TIMEOUT_SECONDS + SLACK_SECONDS
    assert held < MAX_CALL_HELD_BYTES
    check_reset(peer)


@pytest.mark.parametrize('is_trickle', [False, True])
@pytest.mark.parametrize('kind', STREAMS)
def test_an_event_ends_in_time(kind: Endless, *, is_trickle: bool) -> None:
    """It was read as long as bytes came, and held whole."""
    peer = EndlessPeer(kind, is_trickle)
    opened = ConnectionPool().begin(peer.address, 1).unwrap()
    opened.send(REQUEST, TIMEOUT_SECONDS)
    elapsed, held = measure(lambda: read_events(opened), TIMEOUT_SECONDS + 2)
    assert elapsed < TIMEOUT_SECONDS + SLACK_SECONDS
    assert held < MAX_HELD_BYTES
    opened.close()
    check_reset(peer)


def read_events(opened: Exchange) -> None:
    """Read events until the stream is broken."""
    reader = EventReader(opened)
    with pytest.raises(OSError):
        while True:
            reader.read(TIMEOUT_SECONDS)


def test_a_flood_of_blank_events_is_cut_early() -> None:
    """A busy process read them until its time-out, and blamed no upstream."""
    peer = EndlessPeer(Endless.blank_events)
    opened = ConnectionPool().begin(peer.address, 1).unwrap()
    opened.send(REQUEST, TIMEOUT_SECONDS)
    reader = EventReader(opened)
    read_bytes = 0
    with pytest.raises(EndlessAnswerError):
        while True:
            event = reader.read(10 * TIMEOUT_SECONDS)
            assert event is not None
            read_bytes += len(event.raw)
    assert read_bytes <= MAX_BLANK_BYTES
    opened.close()
    check_reset(peer)


def test_others_run_while_many_small_events_are_read() -> None:
    """An entry was unresponsive for seconds while it read blank lines."""
    peer = EndlessPeer(Endless.blank_events)
    opened = ConnectionPool().begin(peer.address, 1).unwrap()
    opened.send(REQUEST, TIMEOUT_SECONDS)
    # Fills the receive buffer, so that reads do not wait.
    gevent.sleep(SLACK_SECONDS)
    turns = 0

    def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            gevent.sleep(0)

    counter = gevent.spawn(count_turns)
    read_events(opened)
    counter.kill()
    assert turns > MIN_TURNS
    opened.close()


def test_a_call_that_may_wait_for_long_ends_within_its_response(
    monkeypatch,
) -> None:
    """A watch of the store missed changes for as long as it may wait."""
    monkeypatch.setattr(poolmodule, 'MAX_CALL_BODY_SECONDS', 0.5)
    peer = EndlessPeer(Endless.sized_body, is_trickle=True)
    elapsed, _held = measure(
        lambda: ConnectionPool().call(peer.address, REQUEST, 30), 5
    )
    assert elapsed < 2
    check_reset(peer)


@pytest.mark.parametrize(
    'read',
    [
        lambda exchange: exchange.read(SLACK_SECONDS),
        lambda exchange: exchange.read_part(time.monotonic() - 1),
    ],
)
def test_the_end_of_its_time_is_no_limit_of_a_body(read) -> None:
    """A body that was still arriving counted as one without end."""
    pool = ConnectionPool()
    limits: list = []
    pool.on_endless = limits.append
    peer = EndlessPeer(Endless.sized_body, is_trickle=True)
    exchange = pool.exchange(peer.address, REQUEST, 1).unwrap()
    assert exchange.read_part(time.monotonic() + 1)
    with pytest.raises(TimeoutError):
        read(exchange)
    assert not limits
    exchange.abort()
    exchange.close()
    check_reset(peer)


def test_other_requests_are_served_during_a_flood() -> None:
    """A socket with data does not wait, so that nothing else ran."""
    parts = chain((UNSIZED_HEAD,), repeat(bytes(READ_BYTES)))
    sock = SimpleNamespace(
        settimeout=lambda _seconds: None, recv=lambda _size: next(parts)
    )
    reader = ResponseReader(sock)
    steps: list[int] = []
    stepping = gevent.spawn(lambda: steps.append(1))
    deadline = time.monotonic() + 5
    reader.read_head(deadline)
    for _part in range(FLOOD_PARTS):
        reader.read_part(deadline)
    assert steps
    stepping.kill()
