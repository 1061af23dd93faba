"""Bodies that are passed on in parts: long, slowly read, broken, endless."""

from __future__ import annotations

import sys
import time
import tracemalloc
from types import SimpleNamespace
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from result import Err, Ok

from tests.web.endlesspeer import EndlessPeer
from wigeonpier.bench.endless import Endless
from wigeonpier.hosted import bodies
from wigeonpier.hosted.bodies import (
    MAX_STALL_SECONDS,
    BodyForwarder,
    BodyReader,
    make_response,
)
from wigeonpier.hosted.failures import BrokenStreamError, SendFailure
from wigeonpier.web.exchange import Exchange, make_request
from wigeonpier.web.pool import ConnectionPool
from wigeonpier.web.readlimits import MAX_HELD_BYTES, EndlessAnswerError
from wigeonpier.web.server import Server

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite
    from wigeonpier.web.messages import Request, Response

REQUEST = make_request('GET', '/', [('Host', 'h')])
LONG_BYTES = 20_000_000
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
# Less than the caller takes.
SECONDS = 0.5
# Time in which a busy machine receives the longest body, apart from the pauses
# of its caller.
FLOOD_SECONDS = 5.0
PAUSE_SECONDS = SECONDS / 8
LONG_PAUSE_SECONDS = 0.35
MAX_MEMORY_BYTES = 6_000_000
# An honest body, in parts.
STEP_BYTES = 1000
STEPS = 20
STEPS_SECONDS = 2


def begin(answer: bytes, *parts: bytes, pause: float = 0) -> Exchange:
    """Begin to read an answer that is followed by the connection's end.

    :param answer: its start.
    :param parts: the rest, sent after a pause each.
    :param pause: seconds.
    """

    def serve(sock, _address) -> None:
        sock.recv(65_536)
        sock.sendall(answer)
        for part in parts:
            gevent.sleep(pause)
            sock.sendall(part)

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    return open_exchange(f'127.0.0.1:{server.server_port}')


def open_exchange(address: str) -> Exchange:
    """Send a request and read the head of the response."""
    return ConnectionPool().exchange(address, REQUEST, 1).unwrap()


def read_slowly(reader: BodyReader, pause: float = PAUSE_SECONDS) -> int:
    """Read a body in steps; returns its size in bytes.

    :param pause: after each twentieth of a long body, seconds.
    """
    size = len(reader.read_start())
    paused_at = 0
    for part in reader.iterate():
        size += len(part)
        if size - paused_at > LONG_BYTES / 20:
            paused_at = size
            gevent.sleep(pause)
    return size


def test_a_long_body_that_is_read_slowly_is_whole_and_not_held() -> None:
    """It takes the caller longer than the time limit to read it."""
    exchange = begin(HEAD % LONG_BYTES + bytes(LONG_BYTES))
    reader = BodyReader(exchange, FLOOD_SECONDS, FLOOD_SECONDS)
    tracemalloc.start()
    began = time.monotonic()
    size = read_slowly(reader, LONG_PAUSE_SECONDS)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert size == LONG_BYTES
    assert time.monotonic() - began > FLOOD_SECONDS
    # The server's copy of the answer was made before.
    assert peak < MAX_MEMORY_BYTES


@pytest.mark.parametrize(
    ('kind', 'is_trickle'),
    [
        (Endless.sized_body, False),
        (Endless.chunked_body, False),
        (Endless.unframed_body, False),
        (Endless.chunked_body, True),
    ],
)
def test_a_body_without_end_is_cut(kind: Endless, *, is_trickle: bool) -> None:
    """Even where it is passed on as fast as it arrives."""
    exchange = open_exchange(EndlessPeer(kind, is_trickle).address)
    seconds = SECONDS if is_trickle else FLOOD_SECONDS
    reader = BodyReader(exchange, seconds, seconds / 2)
    began = time.monotonic()
    with pytest.raises(EndlessAnswerError):
        read_slowly(reader)
    assert time.monotonic() - began < SECONDS * 20


def test_a_trickle_ends_with_the_time_of_its_request() -> None:
    """No other upstream may answer, so it has all of the time."""
    peer = EndlessPeer(Endless.chunked_body, is_trickle=True)
    reader = BodyReader(open_exchange(peer.address), SECONDS, SECONDS)
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        read_slowly(reader)
    assert SECONDS * 0.9 < time.monotonic() - began < SECONDS * 1.5


def make_forwarder(recorded: list) -> BodyForwarder:
    """Make a forwarder whose outcomes are recorded."""

    def record(*given: object) -> None:
        recorded.append(given[-1])

    sender = SimpleNamespace(
        binder=SimpleNamespace(
            suspects=SimpleNamespace(
                record_completion=record, record_failed_answer=record
            )
        ),
        outcomes=SimpleNamespace(record_success=record),
        record_failure=record,
    )
    return BodyForwarder(sender)


def make_request_state(
    seconds: float = SECONDS, *, may_run_again: bool = False
) -> SimpleNamespace:
    """Make what is read of a request."""
    return SimpleNamespace(
        seconds_left=seconds,
        may_run_again=may_run_again,
        upstream=SimpleNamespace(name='i-1'),
        last_send=SimpleNamespace(problem=''),
        release=lambda **_given: None,
    )


def test_a_broken_long_body_does_not_look_complete() -> None:
    recorded: list = []
    exchange = begin(HEAD % LONG_BYTES + bytes(LONG_BYTES // 2))
    read = make_forwarder(recorded).read(make_request_state(), exchange)
    with pytest.raises(BrokenStreamError):
        list(read.unwrap())
    assert recorded == [SendFailure.lost]


def test_a_body_that_breaks_early_is_not_passed_on() -> None:
    """Nothing was sent to the caller, so the request may be repeated."""
    recorded: list = []
    exchange = begin(HEAD % LONG_BYTES + bytes(MAX_HELD_BYTES // 2))
    read = make_forwarder(recorded).read(make_request_state(), exchange)
    assert read == Err(SendFailure.lost)
    assert recorded == [SendFailure.lost]


@pytest.mark.parametrize('may_run_again', [False, True])
def test_a_body_that_moves_has_all_the_time(*, may_run_again: bool) -> None:
    """It was cut at half of the time, at each upstream again."""
    recorded: list = []
    parts = [bytes(STEP_BYTES)] * STEPS
    exchange = begin(
        HEAD % (STEP_BYTES * STEPS), *parts, pause=STEPS_SECONDS / STEPS
    )
    request = make_request_state(
        STEPS_SECONDS / 0.6, may_run_again=may_run_again
    )
    read = make_forwarder(recorded).read(request, exchange)
    assert read == Ok(b''.join(parts))


@pytest.mark.parametrize(
    ('start', 'parts'),
    [
        (0, [b'x'] * STEPS),
        # Stops after a while.
        (MAX_HELD_BYTES // 2, [b'', b'']),
    ],
)
def test_a_body_below_the_minimum_rate_is_cut_in_time(
    start: int, parts: list[bytes]
) -> None:
    """Another upstream can still answer."""
    recorded: list = []
    exchange = begin(HEAD % LONG_BYTES + bytes(start), *parts, pause=1)
    request = make_request_state(MAX_STALL_SECONDS * 2, may_run_again=True)
    began = time.monotonic()
    read = make_forwarder(recorded).read(request, exchange)
    assert read == Err(SendFailure.endless)
    elapsed = time.monotonic() - began
    assert elapsed < MAX_STALL_SECONDS + SECONDS


@pytest.mark.parametrize('may_run_again', [False, True])
@pytest.mark.parametrize('size', [STEP_BYTES, MAX_HELD_BYTES * 2])
def test_the_end_of_the_time_is_no_fault_of_a_body_that_moves(
    size: int, *, may_run_again: bool
) -> None:
    """A healthy upstream was blamed, and its answer counted as endless."""
    recorded: list = []
    parts = [bytes(STEP_BYTES)] * STEPS
    exchange = begin(HEAD % LONG_BYTES + bytes(size), *parts, pause=0.1)
    limits: list = []
    exchange._pool.on_endless = limits.append
    request = make_request_state(may_run_again=may_run_again)
    read = make_forwarder(recorded).read(request, exchange)
    if isinstance(read, Ok):
        with pytest.raises(BrokenStreamError):
            list(read.ok_value)
    assert recorded == [SendFailure.silent]
    assert not limits


def pass_on(peer: EndlessPeer) -> Server:
    """Start a server that passes on the body of a peer."""

    def answer(_request: Request) -> Response:
        exchange = open_exchange(peer.address)
        read = make_forwarder([]).read(make_request_state(10), exchange)
        response = make_response(exchange, read.unwrap())
        response.on_close.append(exchange.abort)
        response.on_close.append(exchange.close)
        return response

    server = Server('127.0.0.1', 0, answer)
    server.start()
    return server


def test_a_caller_that_never_reads_frees_the_slot(monkeypatch) -> None:
    """The upstream kept its slot for as long as the caller was connected."""
    monkeypatch.setattr(bodies, 'MAX_CALLER_SECONDS', SECONDS)
    peer = EndlessPeer(Endless.chunked_body)
    server = pass_on(peer)
    host, port = server.address.split(':')
    caller = socket.create_connection((host, int(port)))
    caller.sendall(REQUEST)
    gevent.sleep(SECONDS * 6)
    assert peer.ended_at
    assert not server.in_flight
    caller.close()
    server.stop()


def test_the_start_of_a_body_is_dropped_once_it_is_taken() -> None:
    """It was held until the end of the body."""
    exchange = begin(HEAD % LONG_BYTES + bytes(LONG_BYTES))
    read = make_forwarder([]).read(make_request_state(), exchange).unwrap()
    start = next(read)
    next(read)
    # The variable and the argument.
    assert sys.getrefcount(start) == 2


def test_the_time_in_which_the_start_is_taken_does_not_count() -> None:
    """The body was cut as the time for the start was that of the upstream."""
    exchange = begin(HEAD % LONG_BYTES + bytes(LONG_BYTES))
    read = make_forwarder([]).read(make_request_state(), exchange).unwrap()
    size = len(next(read))
    gevent.sleep(SECONDS * 1.2)
    assert size + sum(map(len, read)) == LONG_BYTES


def test_a_request_is_repeated_after_an_endless_body(
    site: HostedSite,
) -> None:
    """It was answered with an error, although another upstream had room."""
    site.start(replicas=2)
    endless = site.replicas[0].faults.endless
    endless.kind = Endless.sized_body
    replies = [
        site.call('POST', f'/ask/{number}', f'q{number}') for number in range(6)
    ]
    assert endless.count
    assert {reply.status for reply in replies} == {200}
