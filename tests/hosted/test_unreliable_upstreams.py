"""Tests upstreams that fail requests while their health check passes."""

from __future__ import annotations

import time
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
import pytest
from result import Err, Ok

from tests.builders import build_upstream
from tests.hosted.builders import (
    SERVICE,
    HostedSite,
    make_online_request,
    make_settings,
    wait_for,
)
from tests.hosted.callers import BROKEN
from wigeonpier.hosted.failures import SendFailure
from wigeonpier.hosted.healthkeeper import HealthKeeper
from wigeonpier.hosted.items import ItemWork, run_item
from wigeonpier.hosted.news import SendOutcome, SendReport, SendReports
from wigeonpier.hosted.outcomes import (
    CHECK_SECONDS,
    SILENT_OBJECTIVES,
    STALL_SECONDS,
    OutcomeReporter,
)
from wigeonpier.models import HostSettings, OnlineLoad, UpstreamReport
from wigeonpier.platform import wire
from wigeonpier.policy.route import (
    FAILURES_TO_EJECT,
    record_health,
    record_load,
)
from wigeonpier.reports import HealthState, UpstreamHealth
from wigeonpier.served import RouteKind
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.client import CallFailure, Reply

if TYPE_CHECKING:
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.policy.route import UpstreamState

MANY = 1_000_000
# What the page of the work allows an upstream that fails everything to cost.
MAX_FAILED = 6
ENTRIES = 3


def _start(site: HostedSite, *, is_unreliable: bool = True) -> None:
    site.has_unreliable_upstreams = is_unreliable
    site.start(replicas=4, entries=ENTRIES)
    wait_for(
        lambda: all(state.load_fresh_until for state in _list_states(site)),
        'the load of each upstream is reported',
    )


def _list_states(site: HostedSite) -> list[UpstreamState]:
    return [
        state
        for app in site.entries
        for state in app._replicas.list_upstreams()
    ]


def _list_health(site: HostedSite, name: str) -> list[HealthState | None]:
    return [
        state.health and state.health.state
        for state in _list_states(site)
        if state.name == name
    ]


def _send(site: HostedSite, path: str, count: int) -> list[Reply]:
    """Send requests that differ from each other, 50 a second."""
    calls = []
    for number in range(count):
        calls.append(
            gevent.spawn(
                site.try_call,
                'POST',
                f'{path}{number}',
                f'q{path}{number}',
                entry=number % ENTRIES,
            ),
        )
        gevent.sleep(0.02)
    return [call.get().unwrap_or(BROKEN) for call in calls]


def _eject_first(site: HostedSite) -> list[Reply]:
    site.replicas[0].faults.fail = MANY
    replies = _send(site, '/once/', 50)
    assert _list_health(site, 'i-0') == [HealthState.ejected] * ENTRIES
    return replies


def test_an_upstream_that_fails_everything_is_left_by_all_entries(
    site: HostedSite,
) -> None:
    """Its own failures reach the callers unchanged until then."""
    _start(site)
    replies = _eject_first(site)
    failed = [reply for reply in replies if reply.status != 200]
    assert 3 <= len(failed) <= MAX_FAILED
    assert {(reply.status, reply.body) for reply in failed} == {(500, b'{}')}
    others = [f'i-{number}' for number in range(1, 4)]
    for name in others:
        assert _list_health(site, name) == [HealthState.healthy] * ENTRIES


def test_an_upstream_that_breaks_off_its_answers_is_left(
    site: HostedSite,
) -> None:
    """Its process is alive, so that no crash is counted."""
    _start(site)
    site.replicas[0].faults.break_after = MANY
    replies = _send(site, '/once/', 50)
    assert _list_health(site, 'i-0') == [HealthState.ejected] * ENTRIES
    assert 3 <= sum(reply == BROKEN for reply in replies) <= MAX_FAILED


def test_an_upstream_returns_after_trials_with_repeatable_requests(
    site: HostedSite,
) -> None:
    _start(site)
    _eject_first(site)
    site.replicas[0].faults.fail = 0
    once = site.replicas[0].runs.total()
    wait_for(
        lambda: set(_list_health(site, 'i-0')) == {HealthState.on_trial},
        'it is on trial',
    )
    assert {reply.status for reply in _send(site, '/once/b', 20)} == {200}
    assert site.replicas[0].runs.total() == once
    assert {reply.status for reply in _send(site, '/ask/', 100)} == {200}
    wait_for(
        lambda: set(_list_health(site, 'i-0')) == {HealthState.healthy},
        'it is healthy',
    )


def test_a_batch_item_is_the_first_trial(site: HostedSite) -> None:
    """No online request is needed for the return."""
    _start(site)
    _eject_first(site)
    site.replicas[0].faults.fail = 0
    site.submit_job('j', 40)
    wait_for(
        lambda: set(_list_health(site, 'i-0')) == {HealthState.healthy},
        'it is healthy',
    )
    site.wait_for_results('j', 40)


def test_nothing_is_reported_where_upstreams_are_reliable(
    site: HostedSite,
) -> None:
    """Each deployment without the contract is served as before."""
    _start(site, is_unreliable=False)
    site.replicas[0].faults.fail = MANY
    replies = _send(site, '/once/', 60)
    assert sum(reply.status == 500 for reply in replies) > MAX_FAILED
    assert set(_list_health(site, 'i-0')) == {None}
    for app in site.entries:
        assert 'outcome_reports' not in app._context.metrics.render()


def _make_keeper(
    report: UpstreamReport | None, *, is_active: bool = True
) -> HealthKeeper:
    settings = _make_settings('side', is_active=is_active)
    upstream = SimpleNamespace(report=report, address='10.0.0.1:1')
    return HealthKeeper(settings, upstream, Metrics())


def _make_settings(name: str, *, is_active: bool = True) -> HostSettings:
    settings = make_settings(name, '127.0.0.1:1')
    return replace(settings, has_unreliable_upstreams=is_active)


def _fail(keeper: HealthKeeper, count: int, incarnation: int = 1) -> None:
    for number in range(count):
        report = SendReport(f'r{number}', SendOutcome.failed)
        keeper.receive(SendReports(f'edge-{number}', incarnation, (report,)))


def test_a_later_start_begins_as_healthy() -> None:
    """Its earlier start was ejected; late reports on that do not count."""
    keeper = _make_keeper(UpstreamReport(0, 0, incarnation=1))
    _fail(keeper, 4)
    assert keeper.read_health().state is HealthState.ejected
    assert not keeper.may_reserve()
    keeper._upstream.report = UpstreamReport(0, 0, incarnation=2)
    assert keeper.read_health() == UpstreamHealth(HealthState.healthy, '', 2)
    _fail(keeper, 8, incarnation=1)
    assert keeper.may_reserve()


def test_an_outdated_failure_does_not_count() -> None:
    keeper = _make_keeper(UpstreamReport(0, 0, incarnation=1))
    _fail(keeper, 4)
    keeper._record.trial_at = 0
    assert keeper.read_health().state is HealthState.on_trial
    report = SendReport('r9', SendOutcome.failed, age=1, is_trial=True)
    keeper.receive(SendReports('edge-0', 1, (report,)))
    assert keeper.read_health().state is HealthState.on_trial
    keeper.receive(
        SendReports('edge-0', 1, (msgspec.structs.replace(report, age=0),))
    )
    assert keeper.read_health().state is HealthState.ejected


def test_an_item_of_an_earlier_trial_is_no_trial() -> None:
    """It kept later items from being tried, and returned the upstream."""
    keeper = _make_keeper(UpstreamReport(0, 0, incarnation=1))
    _fail(keeper, 4)
    keeper._record.trial_at = 0
    assert keeper.may_start_item()
    work = SimpleNamespace(fingerprint='item')
    keeper.start_item(work)
    assert not keeper.may_start_item()
    report = SendReport('r9', SendOutcome.failed, is_trial=True)
    keeper.receive(SendReports('edge-0', 1, (report,)))
    assert keeper.read_health().state is HealthState.ejected
    keeper.record_item(work, went_well=True)
    assert keeper.read_health().state is HealthState.ejected
    keeper._record.trial_at = 0
    assert keeper.may_start_item()


@pytest.mark.parametrize(
    ('report', 'is_active'),
    [
        (None, True),
        (UpstreamReport(0, 0, is_leaving=True), True),
        (UpstreamReport(0, 0), False),
    ],
)
def test_outcomes_are_ignored_without_a_running_upstream(
    report: UpstreamReport | None, is_active: bool
) -> None:
    """A crash and a planned leaving have rules of their own."""
    keeper = _make_keeper(report, is_active=is_active)
    _fail(keeper, 8, incarnation=0)
    assert keeper.may_reserve()
    assert keeper.may_start_item()
    assert keeper.read_health() is None


def _run_item(**answer: Any) -> ItemWork:
    headers = {wire.REQUEST_ID: 'i1', wire.SIGNATURE: 's'}
    response = SimpleNamespace(
        **{
            'send': lambda *_given: None,
            'read': lambda *_given: b'',
            'abort': lambda: None,
            'close': lambda: None,
            'expect': lambda *_given: None,
            'get_header': lambda name: headers.get(name, ''),
            'is_whole': True,
            'idle_seconds': 0,
            'status': 200,
        }
        | answer
    )
    pool = SimpleNamespace(begin=lambda *_given, **_named: Ok(response))
    job = SimpleNamespace(host='h', customer='', name='j')
    item = SimpleNamespace(name='i1', path='/', body=b'', headers={})
    work = ItemWork(job, 0, item, 0, 0)
    run_item(work, SimpleNamespace(name='vm-1', address='a:1'), pool)
    return work


@pytest.mark.parametrize(
    ('status', 'is_fault'),
    [(400, False), (422, False), (429, False), (504, False), (500, True)],
)
def test_an_item_counts_as_an_online_request_does(
    status: int, is_fault: bool
) -> None:
    """An item that is refused by its content ejected the upstream."""
    assert _run_item(status=status).is_faulted == is_fault


@pytest.mark.parametrize(
    ('error', 'idle', 'is_fault'),
    [
        (ConnectionResetError(), 0.0, True),
        (ConnectionResetError(), 1.0, False),
        (TimeoutError(), 0.0, False),
    ],
)
def test_an_item_that_waits_for_a_slot_shows_no_fault(
    error: OSError, idle: float, is_fault: bool
) -> None:
    def fail(*_given: object) -> None:
        raise error

    assert _run_item(send=fail, idle_seconds=idle).is_faulted == is_fault


class _RecordingPool:
    """Answers the calls of a reporter, and records what they carry."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.bodies: list[SendReports] = []

    def call(self, _address: str, raw: bytes, _timeout: float) -> Any:
        body = raw.partition(b'\r\n\r\n')[2]
        self.bodies.append(msgspec.json.decode(body, type=SendReports))
        return self.answers.pop(0)


def _report(
    reporter: OutcomeReporter, state: UpstreamState, outcome: SendOutcome
) -> None:
    request = make_online_request()
    request.record_send(state)
    reporter.track(request, state, 0)
    reporter._record(request, outcome)
    gevent.sleep(0)


def test_a_worker_of_an_earlier_build_is_called_once() -> None:
    pool = _RecordingPool(Ok(Reply(404, b'')))
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE)
    for _number in range(3):
        _report(reporter, state, SendOutcome.failed)
    assert len(pool.bodies) == 1


def test_a_lost_failure_is_carried_by_the_next_reservation() -> None:
    pool = _RecordingPool(Err(CallFailure.lost))
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE)
    _report(reporter, state, SendOutcome.failed)
    taken = reporter.take(state)
    assert [report.outcome for report in taken.reports] == [SendOutcome.failed]
    gevent.sleep(0.05)
    reporter.restore(state, taken, 0.05)
    again = reporter.take(state)
    assert again.reports[0].fingerprint == taken.reports[0].fingerprint
    # It keeps the time of the outcome.
    assert 0.05 <= again.reports[0].age < 1
    assert reporter.take(state) is None


@pytest.mark.parametrize('status', [404, 500])
def test_outcomes_that_a_worker_did_not_take_are_kept(status: int) -> None:
    """Failures were dropped while successes were delivered."""
    pool = _RecordingPool(Ok(Reply(status, b'')))
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE)
    _report(reporter, state, SendOutcome.succeeded)
    _report(reporter, state, SendOutcome.failed)
    taken = reporter.take(state)
    assert taken.succeeded == 1
    assert [report.outcome for report in taken.reports] == [SendOutcome.failed]


def test_a_failure_is_reported_with_the_time_since_its_send() -> None:
    """Requests that were sent after it may still fail."""
    pool = _RecordingPool(*[Ok(Reply(200, b'{}'))] * 2)
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    keeper = _make_keeper(UpstreamReport(0, 0))
    state = build_upstream('vm-1', service=SERVICE)
    request = make_online_request()
    request.record_send(state)
    reporter.track(request, state, 0)
    gevent.sleep(0.1)
    reporter._record(request, SendOutcome.failed)
    gevent.sleep(0)
    keeper.receive(pool.bodies[0])
    assert 0.1 <= keeper._record.evidence[0].took < 1
    reporter._record(request, SendOutcome.silent)
    gevent.sleep(0)
    assert pool.bodies[1].reports[0].took == 0


def test_a_send_is_not_reported_before_the_grant_of_its_slot() -> None:
    """Rounded up, a failure left its own slot to stand for a success."""
    pool = _RecordingPool(Ok(Reply(200, b'{}')))
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE)
    request = make_online_request()
    request.record_send(state)
    reporter.track(request, state, 0)
    request.tracked.sent_at = time.monotonic() - 0.1006
    reporter._record(request, SendOutcome.failed)
    passed = time.monotonic() - request.tracked.sent_at
    gevent.sleep(0)
    assert 0.1 <= pool.bodies[0].reports[0].took <= passed


def test_a_report_says_whether_it_was_a_trial() -> None:
    pool = _RecordingPool(*[Ok(Reply(200, b'{}'))] * 2)
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE)
    _report(reporter, state, SendOutcome.failed)
    health = UpstreamHealth(HealthState.on_trial)
    record_health(state, health, time.monotonic())
    _report(reporter, state, SendOutcome.succeeded)
    trials = [body.reports[0].is_trial for body in pool.bodies]
    assert trials == [False, True]


def test_successes_wait_for_a_reservation() -> None:
    """Those from before an ejection are no successful trials."""
    pool = _RecordingPool()
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE)
    _report(reporter, state, SendOutcome.succeeded)
    assert reporter.take(state) == SendReports('edge-0', succeeded=1)
    _report(reporter, state, SendOutcome.succeeded)
    health = UpstreamHealth(HealthState.ejected)
    record_health(state, health, time.monotonic())
    assert reporter.take(state) is None
    assert not pool.bodies


def test_no_success_is_dropped_at_600_upstreams() -> None:
    """Without them ordinary upstreams looked as if 20 in 100 failed."""
    pool = _RecordingPool(Ok(Reply(200, b'{}')))
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    states = [
        build_upstream(f'vm-{number}', service=SERVICE) for number in range(600)
    ]
    for _number in range(20):
        for state in states:
            _report(reporter, state, SendOutcome.succeeded)
    _report(reporter, states[0], SendOutcome.failed)
    assert pool.bodies[0].succeeded == 20
    for state in states[1:]:
        assert reporter.take(state) == SendReports('edge-0', succeeded=20)


def test_a_later_start_has_no_successes_of_the_earlier() -> None:
    pool = _RecordingPool()
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE, incarnation=1)
    request = make_online_request()
    request.record_send(state)
    reporter.track(request, state, 0)
    _report(reporter, state, SendOutcome.succeeded)
    later = OnlineLoad(0, takes_work=True, incarnation=2)
    record_load(state, later, time.monotonic())
    reporter.record_success(request)
    assert reporter.take(state) is None


def test_a_silent_upstream_is_reported_while_the_request_waits() -> None:
    """An answer takes that back at once."""
    pool = _RecordingPool(*[Ok(Reply(200, b'{}'))] * 2)
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE)
    record_load(state, OnlineLoad(1, takes_work=True), time.monotonic())
    request = make_online_request()
    request.record_send(state)
    request.upstream = state
    reporter.track(request, state, 0)
    gevent.sleep(request.route.objective * 2 + 0.1)
    assert pool.bodies[0].reports[0].outcome is SendOutcome.silent
    reporter.record_success(request)
    gevent.sleep(0)
    assert pool.bodies[1].reports[0].outcome is SendOutcome.succeeded


def _send_tracked(
    reporter: OutcomeReporter, kind: RouteKind, *, had_output: bool
) -> OnlineRequest:
    state = build_upstream('vm-1', service=SERVICE)
    now = time.monotonic()
    record_load(state, OnlineLoad(1, takes_work=True), now)
    # No feed renews it here.
    state.load_fresh_until = now + 60
    request = make_online_request()
    request.route = replace(request.route, kind=kind)
    request.record_send(state)
    request.upstream = state
    reporter.track(request, state, 0)
    request.sends[-1].had_output = had_output
    return request


def test_silence_is_judged_for_streams_only() -> None:
    """The head of any other answer may come with its end."""
    pool = _RecordingPool()
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    request = _send_tracked(reporter, RouteKind.once, had_output=False)
    gevent.sleep(request.route.objective * SILENT_OBJECTIVES + 0.1)
    assert not pool.bodies
    reporter.record_failure(
        request, request.upstream, SendFailure.silent, has_crashed=False
    )
    gevent.sleep(0)
    assert not pool.bodies


def test_a_stream_that_stalls_is_silent() -> None:
    """One that may run only once fails only at its deadline."""
    pool = _RecordingPool(Ok(Reply(200, b'{}')))
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    request = _send_tracked(reporter, RouteKind.stream, had_output=True)
    reader = _send_tracked(reporter, RouteKind.stream, had_output=True)
    request.tracked.waits_since = time.monotonic()
    gevent.sleep(STALL_SECONDS - 0.1)
    assert not pool.bodies
    gevent.sleep(CHECK_SECONDS + 0.3)
    assert pool.bodies[0].reports[0].outcome is SendOutcome.silent
    # Its caller does not read, so that no event is waited for.
    assert not reader.tracked.is_silent
    reader.tracked.stop_timer()


@pytest.mark.parametrize(('status', 'is_ejected'), [(500, True), (404, False)])
def test_errors_that_reach_the_caller_count_at_the_entry(
    status: int, is_ejected: bool
) -> None:
    """Where only one entry sends requests, no worker ejects."""
    pool = _RecordingPool(*[Ok(Reply(200, b'{}'))] * 9)
    reporter = OutcomeReporter(_make_settings('edge-0'), pool, Metrics())
    state = build_upstream('vm-1', service=SERVICE)
    for _number in range(FAILURES_TO_EJECT):
        request = make_online_request()
        request.record_send(state)
        reporter.track(request, state, 0)
        answer = SimpleNamespace(status=status)
        reporter.record_answer(request, answer, None)
    assert (state.ejected_until > 0) == is_ejected
