"""Tests what the sender does with requests that wait."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import gevent
import pytest
from gevent.server import StreamServer
from result import Err

from tests.builders import build_upstream
from tests.hosted.builders import SERVICE, make_online_request, make_sender
from tests.web.stallingpeer import start_stalling_peer
from wigeonpier.hosted import sender as sending
from wigeonpier.hosted.failures import (
    CallerGoneError,
    QueueLeftError,
    SendFailure,
)
from wigeonpier.hosted.reserver import ReservationOutcome
from wigeonpier.models import OnlineLoad
from wigeonpier.platform import wire
from wigeonpier.policy.route import record_load
from wigeonpier.web.readlimits import MAX_HEAD_SECONDS

if TYPE_CHECKING:
    from wigeonpier.hosted.sender import (
        RequestSender,
    )

READ_BYTES = 65_536
HEAD = (
    b'HTTP/1.1 200 OK\r\n%b: q1\r\n%b: s\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
    % (wire.REQUEST_ID.encode(), wire.SIGNATURE.encode())
)
PAUSE_SECONDS = 0.05


def build_sender(*loads: int) -> RequestSender:
    """Make a sender for upstreams of 8 slots with these fresh loads."""
    now = time.monotonic()
    states = [
        build_upstream(f'vm-{number}', service=SERVICE)
        for number, _load in enumerate(loads)
    ]
    for state, load in zip(states, loads, strict=True):
        record_load(state, OnlineLoad(load, takes_work=True), now)
    return make_sender(states)


@pytest.mark.parametrize('has_begun', [False, True])
def test_a_stream_that_has_begun_does_not_back_off(has_begun: bool) -> None:
    """The pause would make its caller disconnect.

    A request without its first event backs off.
    """
    sender = build_sender(12, 12)
    current = sender.binder.replicas.list_upstreams()[0]
    request = make_online_request(waited=1.0, has_begun=has_begun)
    request.record_send(current)
    if has_begun:
        sender._check_queue(request, current)
        return
    with pytest.raises(QueueLeftError) as raised:
        sender._check_queue(request, current)
    assert raised.value.reason is SendFailure.late


def test_a_request_without_another_upstream_stays() -> None:
    sender = build_sender(12)
    current = sender.binder.replicas.list_upstreams()[0]
    request = make_online_request(waited=1.0)
    request.record_send(current)
    sender._check_queue(request, current)


def test_a_request_that_times_out_during_a_reservation_is_not_sent() -> None:
    """It was sent with a negative time-out."""
    sender = build_sender(0)

    def reserve(*_given: object, **_named: object) -> ReservationOutcome:
        time.sleep(0.02)
        return ReservationOutcome.granted

    sender.binder.reserver = SimpleNamespace(reserve=reserve)
    request = make_online_request()
    request.deadline = time.monotonic() + 0.01
    assert sender.send(request) == Err(SendFailure.no_time)
    assert not request.sends


def test_a_request_without_any_upstream_fails_at_once() -> None:
    sender = build_sender()
    started_at = time.monotonic()
    assert sender.send(make_online_request()) == Err(SendFailure.no_upstream)
    assert time.monotonic() - started_at < 0.1


@pytest.mark.parametrize(
    ('status', 'headers', 'failure', 'runs'),
    [
        # An own statement of not having run needs no signature.
        (429, {wire.NOT_RUN: '1'}, SendFailure.turned_away, 0),
        (421, {wire.INSTANCE: 'other'}, SendFailure.replaced, 0),
        (200, {}, SendFailure.foreign_answer, 1),
        # No status is a statement by itself, but for 421.
        (408, {}, SendFailure.foreign_answer, 1),
        (429, {}, SendFailure.foreign_answer, 1),
        (503, {}, SendFailure.foreign_answer, 1),
        # Those to another request were believed.
        (429, {wire.NOT_RUN: '1', wire.REQUEST_ID: 'q2'}, None, 1),
        (421, {wire.INSTANCE: 'other', wire.REQUEST_ID: 'q2'}, None, 1),
        (429, {wire.NOT_RUN: '1', wire.REQUEST_ID: ''}, None, 1),
        (421, {wire.INSTANCE: 'other', wire.REQUEST_ID: ''}, None, 1),
    ],
)
def test_only_an_own_answer_says_that_a_request_has_not_run(
    status: int,
    headers: dict[str, str],
    failure: SendFailure | None,
    runs: int,
) -> None:
    """A refusal of another request sent this one once more."""
    upstream = build_upstream('vm-0', service=SERVICE)
    request = make_online_request()
    request.record_send(upstream)
    request.runs = 1
    found = {wire.REQUEST_ID: 'q1'} | headers
    answer = SimpleNamespace(
        status=status, get_header=lambda name: found.get(name, '')
    )
    checked = sending._check_head(request, upstream, answer)
    assert checked is (failure or SendFailure.foreign_answer)
    assert request.runs == runs


def test_a_last_run_waits_for_a_stalled_head_until_its_deadline() -> None:
    """It was ended although it could not run elsewhere."""
    sender = build_sender(0)
    [upstream] = sender.binder.replicas.list_upstreams()
    stall_seconds = MAX_HEAD_SECONDS + 0.3
    upstream.address = start_stalling_peer(
        HEAD[:20], HEAD[20:], seconds=stall_seconds
    )
    request = make_online_request()
    request.runs = request.route.tries - 1
    request.deadline = time.monotonic() + stall_seconds * 2
    assert sender.send(request).unwrap().status == 200


def test_a_request_whose_caller_left_is_not_sent() -> None:
    """It ran on while its caller resumed the stream at another entry."""
    sender = build_sender(0)
    request = make_online_request()

    def reserve(*_given: object, **_named: object) -> ReservationOutcome:
        request.abandon()
        return ReservationOutcome.granted

    sender.binder.reserver = SimpleNamespace(reserve=reserve)
    with pytest.raises(CallerGoneError):
        sender.send(request)
    assert not request.sends


def test_a_request_whose_caller_leaves_during_a_connect_is_not_sent() -> None:
    """The close of its caller found no exchange that it could end."""
    received: list[bytes] = []

    def serve(sock: Any, _address: object) -> None:
        received.append(sock.recv(READ_BYTES))

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    sender = build_sender(0)
    [upstream] = sender.binder.replicas.list_upstreams()
    upstream.address = f'127.0.0.1:{server.server_port}'
    request = make_online_request()
    leaving = gevent.spawn(request.abandon)
    with pytest.raises(CallerGoneError):
        sender.send(request)
    leaving.get()
    gevent.sleep(PAUSE_SECONDS)
    server.stop()
    assert request.runs == 0
    assert received == [b'']


@pytest.mark.parametrize(
    ('is_idempotent', 'seconds_left', 'waits'),
    [(True, 2.0, True), (False, 2.0, False), (True, 0.4, False)],
)
def test_only_callers_that_may_repeat_wait_for_the_cause(
    is_idempotent: bool, seconds_left: float, waits: bool
) -> None:
    """Others were kept waiting for an answer that could not change."""
    request = SimpleNamespace(
        is_retry_blocked=True,
        route=SimpleNamespace(is_idempotent=is_idempotent),
        seconds_left=seconds_left,
    )
    assert sending._may_be_repeated_elsewhere(request) is waits
