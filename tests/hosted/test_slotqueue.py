"""Tests reservation calls that wait at a worker, and how such waits end."""

from __future__ import annotations

import random
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
import pytest
from gevent import socket as green
from result import Err

from tests.builders import build_upstream
from tests.hosted.builders import HostedSite, make_customer, wait_for
from wigeonpier.hosted import reservations
from wigeonpier.hosted.binder import SlotBinder
from wigeonpier.hosted.news import ReservationRequest, SlotClaim
from wigeonpier.hosted.question import OnlineRequest
from wigeonpier.hosted.reservations import RESERVATION_PATH
from wigeonpier.hosted.reserver import (
    ClaimCall,
    ReservationOutcome,
    SlotReserver,
)
from wigeonpier.hosted.slotqueue import SlotQueue
from wigeonpier.hosted.upstream import LocalUpstream
from wigeonpier.hosted.upstreamslots import UpstreamSlots
from wigeonpier.models import OnlineLoad, Reservation
from wigeonpier.policy.fairqueue import weigh_customer
from wigeonpier.policy.reservation import SlotUse
from wigeonpier.policy.route import UpstreamState, record_load
from wigeonpier.policy.suspicion import RunMode
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.client import CallFailure
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY, OTHER_KEY = 'k1', 'k2'
SLOTS = 2
# Below the longest wait in one call, so that a slot frees during the first.
RUN_SECONDS = 0.3


class FakeSlots:
    """An upstream whose slots the test takes and frees."""

    def __init__(self) -> None:
        self.online = SLOTS
        self.reserved = 0
        self.is_usable = True
        self.is_current = True

    def update(self) -> None:
        """Poll nothing."""

    def measure(self) -> SlotUse | None:
        use = SlotUse(SLOTS, self.online, self.reserved)
        return use if self.is_usable else None

    def reserve(self) -> None:
        self.reserved += 1


@pytest.fixture
def pair() -> Iterator[tuple[Any, Any]]:
    """Open a connection: the side of the worker, and of the entry."""
    sides = green.socketpair()
    yield sides
    for side in sides:
        side.close()


def make_claim(
    customer: str = 'c', left: float = 2.5, wait: float = 0.4
) -> SlotClaim:
    return SlotClaim(customer, weigh_customer(10, 0), left, wait)


def begin(queue: SlotQueue, claim: SlotClaim, connection: Any) -> Any:
    return gevent.spawn(queue.request_slot, claim, connection, is_late=False)


def test_a_waiting_claim_gets_the_slot_that_frees(pair) -> None:
    """Guards against calls that are repeated until a slot frees."""
    upstream = FakeSlots()
    queue = SlotQueue(upstream, Metrics())
    call = begin(queue, make_claim(), pair[0])
    gevent.sleep(0.05)
    assert queue.count() == 1
    upstream.online = SLOTS - 1
    assert call.get(timeout=0.1) == (True, 0)
    assert upstream.reserved == 1
    assert queue.count() == 0


def test_one_slot_is_granted_once(pair) -> None:
    """Guards against a freed slot that several claims get in one poll."""
    upstream = FakeSlots()
    queue = SlotQueue(upstream, Metrics())
    calls = [begin(queue, make_claim(), pair[0]) for _ in range(3)]
    gevent.sleep(0.05)
    upstream.online = SLOTS - 1
    gevent.joinall(calls, timeout=2)
    assert sorted(call.value[0] for call in calls) == [False, False, True]
    assert upstream.reserved == 1


def test_a_claim_ends_after_its_wait_with_an_estimate(pair) -> None:
    queue = SlotQueue(FakeSlots(), Metrics())
    started_at = time.monotonic()
    call = begin(queue, make_claim(wait=0.1), pair[0])
    is_granted, retry_after = call.get(timeout=1)
    assert not is_granted
    assert retry_after > 0
    assert 0.1 <= time.monotonic() - started_at < 0.3


def test_a_claim_that_cannot_start_in_time_is_refused_at_once(pair) -> None:
    queue = SlotQueue(FakeSlots(), Metrics())
    started_at = time.monotonic()
    call = begin(queue, make_claim(left=0.05), pair[0])
    is_granted, retry_after = call.get(timeout=1)
    assert not is_granted
    assert retry_after > 0.05
    assert time.monotonic() - started_at < 0.1


def test_a_claim_whose_entry_died_gets_no_slot(pair) -> None:
    """Guards against slots granted to entries that have gone."""
    upstream = FakeSlots()
    queue = SlotQueue(upstream, Metrics())
    call = begin(queue, make_claim(wait=1.0), pair[0])
    gevent.sleep(0.05)
    pair[1].close()
    assert call.get(timeout=0.2)[0] is False
    assert queue.count() == 0
    upstream.online = 0
    gevent.sleep(0.05)
    assert upstream.reserved == 0


def test_no_slot_is_granted_while_the_upstream_is_unusable(pair) -> None:
    upstream = FakeSlots()
    queue = SlotQueue(upstream, Metrics())
    calls = [begin(queue, make_claim(wait=1.0), pair[0]) for _ in range(3)]
    gevent.sleep(0.02)
    upstream.is_usable = False
    upstream.online = 0
    began = time.monotonic()
    for call in calls:
        assert call.get(timeout=1) == (False, 0)
    assert time.monotonic() - began < 0.1
    assert upstream.reserved == 0
    assert queue.count() == 0
    assert queue.request_slot(make_claim(), pair[0], is_late=False) == (
        False,
        0,
    )


def test_no_slot_is_granted_after_a_failed_poll(pair) -> None:
    upstream = FakeSlots()
    queue = SlotQueue(upstream, Metrics())
    call = begin(queue, make_claim(wait=1.0), pair[0])
    gevent.sleep(0.02)
    upstream.is_current = False
    upstream.online = 0
    gevent.sleep(0.1)
    assert upstream.reserved == 0
    upstream.is_current = True
    assert call.get(timeout=0.2) == (True, 0)


def test_failed_polls_are_repeated_as_often_as_without_claims() -> None:
    """Guards against an upstream given up after 45 ms without a report."""
    upstream = LocalUpstream(None, SimpleNamespace(), '127.0.0.1:1')
    polls: list[float] = []

    def fail(*_given) -> Err[CallFailure]:
        polls.append(time.monotonic())
        return Err(CallFailure.lost)

    upstream._pool.call = fail
    upstream.report = SimpleNamespace()
    slots = UpstreamSlots(upstream, None, None, None, None)
    began = time.monotonic()
    while upstream.report is not None:
        slots.update()
        gevent.sleep(0.005)
    assert time.monotonic() - began >= 0.1
    assert len(polls) == 3


def make_binder(**chooser) -> SlotBinder:
    """Make a binder whose chooser finds no upstream, with a recent crash."""
    replicas = SimpleNamespace(
        list_upstreams=list,
        is_outdated=False,
        has_recent_crash=lambda _service: True,
    )
    found = SimpleNamespace(
        choose=lambda _request, _excluded=(): None,
        find_version_failure=lambda _request: None,
        replicas=replicas,
        settings=SimpleNamespace(data_centre=''),
    )
    found.__dict__.update(chooser)
    return SlotBinder(
        replicas,
        found,
        random.Random(1),
        SimpleNamespace(is_isolated=False),
        SimpleNamespace(),
        SimpleNamespace(get_run_mode=lambda _request: RunMode.free),
        SimpleNamespace(),
    )


def make_request_of_customer(seconds: float) -> OnlineRequest:
    now = time.monotonic()
    return OnlineRequest(
        SimpleNamespace(customer='c'),
        SimpleNamespace(identity='q'),
        SimpleNamespace(objective=0.3),
        's',
        b'',
        now,
        now + seconds,
        '',
        weight=weigh_customer(10, 0),
    )


def test_a_request_without_upstreams_lets_others_run() -> None:
    """Guards against an entry that stops while all upstreams are down.

    A round that asked no worker counted as one that had waited, so that the
    next one followed without a pause.
    """
    binder = make_binder()
    ticks: list[float] = []

    def tick() -> None:
        while True:
            ticks.append(time.monotonic())
            gevent.sleep(0.01)

    ticker = gevent.spawn(tick)
    request = make_request_of_customer(0.6)
    held = gevent.spawn(binder.choose_upstream, request)
    assert held.get(timeout=2) is None
    ticker.kill()
    assert len(ticks) >= 10


def test_a_resumed_stream_asks_three_workers_before_it_is_sent() -> None:
    """Guards against a stream sent without a slot after one refusal."""
    now = time.monotonic()
    states = [build_upstream(f'vm-{number}') for number in range(4)]
    for state in states:
        record_load(state, OnlineLoad(1, takes_work=True), now)
    asked: list[str] = []

    def choose(_request, excluded=()) -> UpstreamState | None:
        return next((one for one in states if one.name not in excluded), None)

    def refuse(upstream, _timeout, *, call, **_more) -> ReservationOutcome:
        asked.append(upstream.name)
        assert call.claim.max_wait == 0
        return ReservationOutcome.refused

    binder = make_binder(choose=choose)
    binder.replicas.list_upstreams = lambda: states
    binder.reserver.reserve = refuse
    request = make_request_of_customer(2)
    request.service = states[0].service
    request.first_event_at = now
    assert binder.choose_upstream(request) is not None
    assert asked == ['vm-0', 'vm-1', 'vm-2']


@pytest.mark.parametrize(
    ('leaves', 'restored'),
    [('connecting', 3), ('opened', 3), ('sent', 0)],
)
def test_counts_of_a_call_that_was_not_sent_are_kept(
    leaves: str, restored: int
) -> None:
    """Guards against lost counts when a caller leaves before the call."""
    request = make_request_of_customer(2)

    def call(_address, _raw, _timeout, on_open) -> Err[CallFailure]:
        exchange = SimpleNamespace(abort=lambda: None)
        request.is_abandoned = leaves != 'sent'
        if leaves == 'connecting':
            return Err(CallFailure.not_sent)
        on_open(exchange)
        request.is_abandoned = True
        return Err(CallFailure.lost)

    kept: dict[str, int] = {}
    limiter = SimpleNamespace(
        take_unreported=lambda: {'c': 3}, restore_unreported=kept.update
    )
    outcomes = SimpleNamespace(
        take=lambda _upstream: None, restore=lambda *_given: None
    )
    reserver = SlotReserver(
        1, SimpleNamespace(call=call), Metrics(), limiter, outcomes
    )
    outcome = reserver.reserve(
        build_upstream('vm-1'),
        0.1,
        is_late=False,
        call=ClaimCall(make_claim(), request),
    )
    assert outcome is ReservationOutcome.abandoned
    assert kept.get('c', 0) == restored


@pytest.fixture
def shared(site: HostedSite) -> HostedSite:
    """Start a site with two customers and upstreams with few slots."""
    site.configuration['tenants'] = [
        make_customer('first', KEY),
        make_customer('second', OTHER_KEY),
    ]
    site.start(replicas=2, slots=SLOTS, event_seconds=RUN_SECONDS / 10)
    states = site.entries[0]._replicas.list_upstreams
    wait_for(
        lambda: states() and all(state.load_fresh_until for state in states()),
        'the load of each upstream is reported',
    )
    return site


def call_many(site: HostedSite, count: int, key: str = KEY, **more) -> list:
    return [
        gevent.spawn(
            site.try_call,
            'POST',
            f'/once/{key}{number}',
            f'{key}-{number}',
            X_Key=key,
            **more,
        )
        for number in range(count)
    ]


def count_waiting(site: HostedSite) -> int:
    return sum(worker._feed.details.count_queued() for worker in site.workers)


def count_reservations(site: HostedSite) -> float:
    metrics = site.entries[0]._context.metrics
    return sum(
        metrics.get_counter('reservations_total', outcome=outcome)
        for outcome in ('granted', 'refused', 'unanswered', 'abandoned')
    )


def test_requests_wait_in_few_calls(shared: HostedSite) -> None:
    """Guards against tens of calls for one request while slots are taken."""
    calls = call_many(shared, 8)
    wait_for(lambda: count_waiting(shared), 'requests wait at workers')
    replies = [call.get(timeout=5).unwrap() for call in calls]
    assert [reply.status for reply in replies] == [200] * 8
    assert count_reservations(shared) <= 4 * 8
    assert sum(sum(r.runs.values()) for r in shared.replicas) == 8


def test_the_load_feed_reports_waiting_requests(shared: HostedSite) -> None:
    calls = call_many(shared, 12)
    states = shared.entries[0]._replicas.list_upstreams
    wait_for(
        lambda: any(state.queued for state in states()),
        'waiting requests are reported',
    )
    gevent.joinall(calls, timeout=10)
    wait_for(
        lambda: not any(state.queued for state in states()),
        'no waiting requests are reported',
    )


def test_a_customer_is_served_beside_a_hot_one(shared: HostedSite) -> None:
    """Guards against a customer that waits behind all requests of another."""
    hot = call_many(shared, 16)
    wait_for(lambda: count_waiting(shared), 'requests wait at workers')
    other = call_many(shared, 2, OTHER_KEY)
    gevent.joinall(other, timeout=5)
    runs = sum(sum(r.runs.values()) for r in shared.replicas)
    assert [call.value.unwrap().status for call in other] == [200, 200]
    # Four hot requests ran before, and four may start with and after them.
    assert runs - len(other) <= 12
    assert sum(call.ready() for call in hot) < len(hot)
    gevent.joinall(hot, timeout=10)


def test_requests_that_waited_at_a_dead_worker_are_served(
    shared: HostedSite,
) -> None:
    """Guards against requests that are lost with the queue of a worker."""
    calls = call_many(shared, 8)
    wait_for(
        lambda: shared.workers[0]._feed.details.count_queued(),
        'requests wait at the worker',
    )
    shared.workers[0]._server.stop()
    replies = [call.get(timeout=6).unwrap() for call in calls]
    statuses = [reply.status for reply in replies]
    # One that is refused has not run.
    assert set(statuses) <= {200, 503}
    runs = sum(sum(r.runs.values()) for r in shared.replicas)
    assert runs == statuses.count(200) >= 6


def test_a_caller_that_disconnects_ends_its_wait(shared: HostedSite) -> None:
    """Guards against claims of callers that have gone."""
    busy = call_many(shared, 4)
    wait_for(lambda: sum(r.running for r in shared.replicas) == 4, 'all run')
    runs = sum(sum(r.runs.values()) for r in shared.replicas)
    raw = make_request(
        'POST',
        '/once/x',
        [
            ('Host', 'site.example'),
            ('X-Deadline-Ms', '5000'),
            ('X-Attempt-Id', 'gone'),
            ('X-Key', KEY),
        ],
        b'',
    )
    host, _, port = shared.addresses[0].rpartition(':')
    caller = green.create_connection((host, int(port)))
    caller.sendall(raw)
    wait_for(lambda: count_waiting(shared), 'the request waits')
    caller.close()
    began = time.monotonic()
    wait_for(lambda: not count_waiting(shared), 'its claim is dropped')
    assert time.monotonic() - began < 0.2
    gevent.joinall(busy, timeout=5)
    gevent.sleep(0.1)
    assert sum(sum(r.runs.values()) for r in shared.replicas) == runs
    states = shared.entries[0]._replicas.list_upstreams()
    assert all(state.takes_work for state in states)


def test_a_refused_request_has_not_run(shared: HostedSite) -> None:
    """Guards against a refusal of a request that runs nevertheless."""
    calls = call_many(shared, 60, X_Deadline_Ms='1600')
    replies = [call.get(timeout=6).unwrap() for call in calls]
    refused = [reply for reply in replies if reply.status == 503]
    assert refused
    for reply in refused:
        error = msgspec.json.decode(reply.body)['error']
        assert error['ran'] == 'no'
    gevent.sleep(RUN_SECONDS)
    runs = sum(sum(r.runs.values()) for r in shared.replicas)
    assert runs <= len(replies) - len(refused)


def test_an_old_worker_answers_at_once(
    shared: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A worker of an earlier build ignores the claim."""
    read = reservations._read_reservation
    monkeypatch.setattr(
        reservations,
        '_read_reservation',
        lambda request: msgspec.structs.replace(read(request), claim=None),
    )
    calls = call_many(shared, 8)
    replies = [call.get(timeout=6).unwrap() for call in calls]
    assert [reply.status for reply in replies] == [200] * 8
    assert not count_waiting(shared)


def test_an_old_entry_is_answered_at_once(shared: HostedSite) -> None:
    """An entry of an earlier build sends no claim."""
    calls = call_many(shared, 4)
    wait_for(lambda: sum(r.running for r in shared.replicas) == 4, 'all run')
    address = shared.workers[0]._server.address
    body = b'{"is_late": false, "admitted": {}}'
    raw = make_request('POST', RESERVATION_PATH, [('Host', 'w')], body)
    began = time.monotonic()
    reply = shared.pool.call(address, raw, 1).unwrap()
    assert time.monotonic() - began < 0.1
    assert not reply.decode(Reservation).is_granted
    gevent.joinall(calls, timeout=5)


def test_requests_without_customers_make_no_claim(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a change where no customers are configured."""
    site.start(replicas=1, slots=SLOTS, event_seconds=0.02)
    seen: list[ReservationRequest] = []
    read_before = reservations._read_reservation

    def read(request: Any) -> ReservationRequest:
        seen.append(read_before(request))
        return seen[-1]

    monkeypatch.setattr(reservations, '_read_reservation', read)
    calls = [
        gevent.spawn(site.call, 'POST', f'/once/{n}', f'q{n}') for n in range(6)
    ]
    replies = [call.get(timeout=5) for call in calls]
    assert [reply.status for reply in replies] == [200] * 6
    assert seen
    assert all(one.claim is None for one in seen)
    assert count_waiting(site) == 0
