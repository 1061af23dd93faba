"""Tests when an upstream is ejected by the outcomes of requests."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_upstream
from tests.policy.ejections import (
    CRITERIA,
    UPSTREAMS,
    FaultyFleet,
    count_ejections_at_target_size,
)
from wigeonpier.models import OnlineLoad
from wigeonpier.policy.ejection import (
    INITIAL_PAUSE_SECONDS,
    ITEM_TRIAL_SECONDS,
    MAX_PAUSE_SECONDS,
    TRIAL_SECONDS,
    HealthRecord,
    advance,
    limit_items,
    may_reserve,
    record_evidence,
    record_grant,
    record_item,
    record_successes,
)
from wigeonpier.policy.failuretest import Evidence
from wigeonpier.policy.route import (
    RoutingCriteria,
    find_usable,
    record_health,
    record_load,
)
from wigeonpier.reports import HealthState, UpstreamHealth

SEEDS = (1, 2, 3)
# What the page of the work allows an upstream that fails everything to cost.
MAX_FAILED = 6


def _fail(
    record: HealthRecord, *names: str, at: float = 1.0, **changes: bool
) -> None:
    """Report failures, each given as ``entry:request``."""
    for name in names:
        entry, _colon, request = name.partition(':')
        record_evidence(record, Evidence(at, entry, request, True, **changes))


def _succeed(
    record: HealthRecord, name: str, at: float = 1.0, **changes: bool
) -> None:
    entry, _colon, request = name.partition(':')
    record_evidence(record, Evidence(at, entry, request, False, **changes))


def _make_ejected() -> HealthRecord:
    record = HealthRecord()
    _fail(record, 'a:1', 'b:2', 'c:3', 'd:4')
    assert record.state is HealthState.ejected
    return record


@pytest.mark.parametrize('seed', SEEDS)
def test_an_upstream_that_fails_everything_costs_few_requests(
    seed: int,
) -> None:
    """Each of 20 entries alone needed three failures to stop using it."""
    fleet = FaultyFleet(seed, failing={0: 1.0}, seconds=20)
    fleet.run()
    assert fleet.failed[0] <= MAX_FAILED
    # At most one line of the feed later no entry uses it any more.
    assert fleet.last_sent[0] <= fleet.ejected_at[0] + 0.1


@pytest.mark.parametrize('seed', SEEDS)
def test_an_upstream_that_hangs_is_ejected(seed: int) -> None:
    """Its requests fail only at their deadline, 5 s later."""
    fleet = FaultyFleet(seed, hanging={0}, seconds=6)
    fleet.run()
    assert fleet.ejected_at[0] < fleet.fault_at + 2
    assert fleet.last_sent[0] <= fleet.ejected_at[0] + 0.1


@pytest.mark.parametrize('seed', SEEDS)
def test_an_upstream_that_fails_45_in_100_is_ejected(seed: int) -> None:
    fleet = FaultyFleet(seed, failing={0: 0.45}, seconds=20, fault_at=0)
    fleet.run()
    assert 0 in fleet.ejected_at
    assert fleet.sent_before[0] <= 60


@pytest.mark.parametrize('seed', SEEDS)
def test_usual_failures_of_half_of_the_upstreams_eject_none(seed: int) -> None:
    lossy = dict.fromkeys(range(UPSTREAMS // 2), 0.05)
    fleet = FaultyFleet(seed, failing=lossy, seconds=60, fault_at=0)
    fleet.run()
    assert not fleet.ejected_at


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('share', [0.02, 0.05])
def test_usual_failures_and_a_bad_link_eject_none(
    seed: int, share: float
) -> None:
    """Two failures of the entry with the bad link ejected with two others."""
    fleet = FaultyFleet(
        seed,
        failing=dict.fromkeys(range(UPSTREAMS // 2), share),
        bad_entries={0},
        seconds=60,
        fault_at=0,
    )
    fleet.run()
    assert not fleet.ejected_at


@pytest.mark.parametrize('seed', SEEDS)
def test_usual_failures_at_the_target_size_eject_none(seed: int) -> None:
    """Successes are reported seconds later than failures."""
    assert not count_ejections_at_target_size(seed)


def test_two_of_many_entries_eject_no_upstream() -> None:
    record = HealthRecord()
    _succeed(record, 'c:0')
    _fail(record, *(f'{entry}:{n}' for n, entry in enumerate('ababaaa')))
    assert record.state is HealthState.healthy
    _fail(record, 'c:8')
    assert record.state is HealthState.ejected


def test_two_entries_that_have_stopped_by_themselves_eject() -> None:
    """At a site of three the third one took a seventh failed request."""
    record = HealthRecord()
    _succeed(record, 'c:0')
    _fail(record, *(f'{entry}:{n}' for n, entry in enumerate('aaabb')))
    assert record.state is HealthState.healthy
    _fail(record, 'b:6')
    assert record.state is HealthState.ejected


def test_a_success_ends_the_rows_of_all_entries() -> None:
    """A bad link and the usual failures of another entry must not add up."""
    record = HealthRecord()
    _succeed(record, 'c:0')
    _fail(record, 'a:1', 'a:2', 'b:3', 'b:4')
    record_successes(record, Evidence(0.1, 'c', '', False, count=1))
    _fail(record, 'a:5', 'b:6', 'a:7', 'b:8', at=0.2)
    assert record.state is HealthState.healthy


def test_two_entries_eject_where_only_two_report() -> None:
    record = HealthRecord()
    _fail(record, 'a:1', 'b:2', 'a:3')
    assert record.state is HealthState.healthy
    _fail(record, 'b:4')
    assert record.state is HealthState.ejected


def test_a_bad_link_prevents_no_ejection() -> None:
    """Failures of the third of three entries count for nothing themselves."""
    record = HealthRecord()
    for number in range(3):
        _fail(record, f'a:{number}', at=number / 10)
        for entry in 'bc':
            seen = Evidence(number / 10, entry, '', False, count=9)
            record_successes(record, seen)
    _fail(record, 'b:5', 'c:6', 'b:7', 'c:8')
    assert record.state is HealthState.healthy
    _fail(record, 'a:9')
    assert record.state is HealthState.ejected


def test_granted_slots_stand_for_successes() -> None:
    """Successes that no later request has reported yet were missing."""
    record = HealthRecord()
    for number in range(40):
        record_grant(record, number / 10)
        if not number % 10:
            _fail(record, f'{number}:{number}', at=number / 10)
    assert record.state is HealthState.healthy


def _fail_later(record: HealthRecord, entry: str, sent: float) -> None:
    """Report a failure 0.3 s after its request was sent."""
    at = sent + 0.3
    record_evidence(record, Evidence(at, entry, f'{sent}', True, took=0.3))


def test_requests_that_may_still_fail_do_not_prevent_an_ejection() -> None:
    """Slots that were granted since the send stood for successes."""
    record = HealthRecord()
    sends = {'a': 0.1, 'b': 0.2, 'c': 0.25, 'd': 0.3}
    for sent in sends.values():
        record_grant(record, sent)
    for entry in 'abc':
        _fail_later(record, entry, sends[entry])
    for sent in (0.56, 0.57, 0.58):
        record_grant(record, sent)
    assert record.state is HealthState.healthy
    _fail_later(record, 'd', sends['d'])
    assert record.state is HealthState.ejected


def test_late_failures_among_successes_eject_no_upstream() -> None:
    """They are reported in a row, but were not sent in a row."""
    record = HealthRecord()
    for number in range(12):
        record_grant(record, number / 10)
    for number, entry in enumerate('abca'):
        sent = number * 0.3
        late = Evidence(2 + sent / 9, entry, f'{sent}', True, took=2 - sent)
        record_evidence(record, late)
    assert record.state is HealthState.healthy


@pytest.mark.parametrize('seconds', [4.0, 12.0, 30.0])
def test_late_failures_eject_no_upstream_that_mostly_succeeds(
    seconds: float,
) -> None:
    """Slots that were granted since their sends stood for nothing."""
    record = HealthRecord()
    for number in range(1200):
        now = number / 10
        record_grant(record, now)
        sent = now - seconds
        if sent >= 0 and number % 12 == 0:
            entry = 'abcde'[number // 12 % 5]
            late = Evidence(now, entry, f'{sent}', True, took=seconds)
            record_evidence(record, late)
        assert record.state is HealthState.healthy


def test_failures_of_sends_before_a_return_eject_no_upstream() -> None:
    """Their slots were forgotten, and they counted as failures in a row."""
    record = HealthRecord(changed_at=5.0)
    for number in range(20):
        record_grant(record, 5 + number / 10)
    for number, entry in enumerate('abcabc'):
        late = Evidence(7 + number / 10, entry, f'q{number}', True, took=6.0)
        record_evidence(record, late)
    assert record.state is HealthState.healthy


@pytest.mark.parametrize('seed', SEEDS)
def test_an_entry_with_a_bad_link_ejects_no_upstream(seed: int) -> None:
    fleet = FaultyFleet(seed, bad_entries={0}, seconds=30)
    fleet.run()
    assert not fleet.ejected_at
    assert fleet.failed.total() > 50


@pytest.mark.parametrize('seed', SEEDS)
def test_a_request_that_fails_everywhere_ejects_no_upstream(seed: int) -> None:
    """Its callers send it again and again, at all entries."""
    fleet = FaultyFleet(seed, poison_rate=20, seconds=30)
    fleet.run()
    assert not fleet.ejected_at
    assert fleet.failed.total() > 500


@pytest.mark.parametrize('seed', SEEDS)
def test_most_upstreams_failing_leaves_half_in_use(seed: int) -> None:
    fleet = FaultyFleet(seed, failing=dict.fromkeys(range(16), 1.0), seconds=8)
    fleet.run()
    now = fleet.now
    for states in fleet.states:
        assert len(find_usable(states, CRITERIA, now)) >= UPSTREAMS // 2


@given(st.lists(st.sampled_from(('1', '2', '3', '4')), max_size=30))
def test_one_entry_never_ejects_an_upstream(names: list[str]) -> None:
    record = HealthRecord()
    _fail(record, *(f'a:{name}{n}' for n, name in enumerate(names)))
    assert record.state is HealthState.healthy


@given(st.lists(st.sampled_from(('a', 'b', 'c')), max_size=30))
def test_two_requests_never_eject_an_upstream(entries: list[str]) -> None:
    record = HealthRecord()
    _fail(record, *(f'{entry}:{n % 2}' for n, entry in enumerate(entries)))
    assert record.state is HealthState.healthy


def test_failures_long_ago_do_not_eject() -> None:
    """At low load no success is reported between them."""
    record = HealthRecord()
    for number in range(20):
        _fail(record, f'{number}:{number}', at=number * 5.0)
    assert record.state is HealthState.healthy


def test_an_answer_takes_silence_back() -> None:
    """An upstream that is slow for a moment is not at fault."""
    record = HealthRecord()
    _fail(record, 'a:1', 'b:2', 'c:3', 'd:4', is_silent=True)
    assert record.state is HealthState.ejected
    _succeed(record, 'a:1', at=1.2)
    assert record.state is HealthState.healthy
    assert record.ejections == 0


def test_an_upstream_returns_after_trials() -> None:
    record = _make_ejected()
    now = 1.0 + INITIAL_PAUSE_SECONDS
    advance(record, now - 0.1, has_items=False)
    assert not may_reserve(record, now - 0.1)
    advance(record, now, has_items=False)
    assert record.state is HealthState.on_trial
    assert may_reserve(record, now)
    record.granted_at = now
    assert not may_reserve(record, now + TRIAL_SECONDS / 2)
    assert may_reserve(record, now + TRIAL_SECONDS)
    _succeed(record, 'a:5', at=now, is_trial=True)
    assert record.state is HealthState.on_trial
    _succeed(record, 'b:6', at=now, is_trial=True)
    assert record.state is HealthState.healthy


def test_failed_trials_lengthen_the_pause() -> None:
    record = _make_ejected()
    pauses = []
    for number in range(8):
        now = record.trial_at
        advance(record, now, has_items=False)
        _fail(record, f'a:t{number}', at=now, is_trial=True)
        pauses.append(record.trial_at - now)
    assert pauses[:2] == [2 * INITIAL_PAUSE_SECONDS, 4 * INITIAL_PAUSE_SECONDS]
    assert pauses[-1] == MAX_PAUSE_SECONDS


def test_a_request_from_before_the_ejection_fails_no_trial() -> None:
    record = _make_ejected()
    advance(record, record.trial_at, has_items=False)
    _fail(record, 'a:1', at=record.trial_at, is_trial=True)
    assert record.state is HealthState.on_trial


def test_only_trials_count_during_a_trial() -> None:
    """Requests that were sent before the ejection end at any time."""
    record = _make_ejected()
    now = record.trial_at
    advance(record, now, has_items=False)
    _fail(record, 'a:5', at=now)
    for number in range(4):
        _succeed(record, f'b:{number}', at=now)
    successes = Evidence(now, 'a', '', False, count=9)
    record_successes(record, successes)
    assert record.state is HealthState.on_trial
    assert not record.successes


def test_failures_from_before_the_return_do_not_count() -> None:
    """They are delivered late, or once more after a lost answer."""
    record = _make_ejected()
    now = record.trial_at
    advance(record, now, has_items=False)
    _succeed(record, 'a:5', at=now + 0.6, is_trial=True)
    _succeed(record, 'b:6', at=now + 0.6, is_trial=True)
    assert record.state is HealthState.healthy
    _fail(record, *(f'{name}:old{name}' for name in 'abcdefgh'), at=now + 0.5)
    _fail(record, 'a:1', 'b:2', 'c:3', 'd:4', at=now + 0.7)
    assert not record.evidence
    _fail(record, 'a:7', 'b:8', 'c:9', 'd:10', at=now + 0.7)
    assert record.state is HealthState.ejected


def test_an_answer_does_not_undo_a_failed_trial() -> None:
    record = HealthRecord()
    _fail(record, 'a:1', 'b:2', 'c:3', 'd:4', is_silent=True)
    now = record.trial_at
    advance(record, now, has_items=False)
    _fail(record, 'a:5', at=now, is_trial=True)
    _succeed(record, 'a:1', at=now + 0.1)
    assert record.state is HealthState.ejected


def test_an_upstream_that_nothing_tries_returns() -> None:
    """Its service may have neither repeatable requests nor items."""
    record = _make_ejected()
    now = record.trial_at
    advance(record, now, has_items=False)
    advance(record, now + MAX_PAUSE_SECONDS - 0.1, has_items=False)
    assert record.state is HealthState.on_trial
    advance(record, now + MAX_PAUSE_SECONDS, has_items=False)
    assert record.state is HealthState.healthy
    assert record.reason


def test_an_upstream_with_a_recent_trial_stays_on_trial() -> None:
    record = _make_ejected()
    now = record.trial_at
    advance(record, now, has_items=False)
    record_grant(record, now + MAX_PAUSE_SECONDS - 1)
    advance(record, now + MAX_PAUSE_SECONDS, has_items=False)
    assert record.state is HealthState.on_trial


def test_a_batch_item_is_tried_first() -> None:
    record = _make_ejected()
    assert limit_items(record, record.trial_at - 0.1) == 0
    assert limit_items(record, record.trial_at) == 1
    advance(record, record.trial_at, has_items=True)
    assert record.state is HealthState.ejected
    whole = Evidence(record.trial_at + 5, 'vm', 'item', False)
    record_item(record, whole, is_trial=False)
    assert record.state is HealthState.ejected
    record_item(record, whole, is_trial=True)
    assert record.state is HealthState.healthy
    assert limit_items(record, 10) is None


def test_an_item_that_failed_before_fails_no_later_trial() -> None:
    """It may itself be at fault, and would keep the upstream ejected."""
    record = _make_ejected()
    record_item(record, Evidence(3, 'vm', 'item', True), is_trial=True)
    assert record.ejections == 2
    record_item(record, Evidence(9, 'vm', 'item', True), is_trial=True)
    assert record.ejections == 2
    record_item(record, Evidence(9, 'vm', 'other', True), is_trial=True)
    assert record.ejections == 3


def test_an_item_that_takes_too_long_is_not_waited_for() -> None:
    record = _make_ejected()
    late = record.trial_at + ITEM_TRIAL_SECONDS
    advance(record, late, has_items=True)
    assert record.state is HealthState.on_trial


def _make_states(count: int, ejected: int):
    states = [build_upstream(f'vm-{n}') for n in range(count)]
    for number, state in enumerate(states):
        record_load(state, OnlineLoad(0, takes_work=True), 1.0)
        if number < ejected:
            health = UpstreamHealth(HealthState.ejected)
            record_health(state, health, 1.0 + number / 100)
    return states


def test_ejected_upstreams_get_no_requests() -> None:
    usable = find_usable(_make_states(6, 2), CRITERIA, 1.5)
    assert [state.name for state in usable] == [f'vm-{n}' for n in range(2, 6)]


def test_at_most_half_are_ejected_and_the_first_come_back() -> None:
    usable = find_usable(_make_states(6, 5), CRITERIA, 1.5)
    assert [state.name for state in usable] == ['vm-5', 'vm-0', 'vm-1']


def test_health_without_a_feed_is_not_used() -> None:
    """Its worker may be dead while the upstream has recovered."""
    assert len(find_usable(_make_states(6, 2), CRITERIA, 5.0)) == 6


@pytest.mark.parametrize('is_repeatable', [False, True])
def test_only_repeatable_requests_try_an_upstream(is_repeatable: bool) -> None:
    states = _make_states(4, 1)
    record_health(states[0], UpstreamHealth(HealthState.on_trial), 1.0)
    ask = RoutingCriteria('s', 'm', '', 'a', 'r', is_repeatable=is_repeatable)
    assert (states[0] in find_usable(states, ask, 1.5)) == is_repeatable


def test_a_later_start_is_healthy() -> None:
    states = _make_states(4, 1)
    states[0].incarnation = 4
    later = OnlineLoad(0, takes_work=True, incarnation=5)
    record_load(states[0], later, 1.2)
    assert len(find_usable(states, CRITERIA, 1.5)) == 4


@given(
    st.lists(st.sampled_from((0.0, 1.0, 3.0, 4.0)), max_size=10),
    st.booleans(),
)
def test_without_reported_health_the_choice_is_as_before(
    ejections: list[float], is_repeatable: bool
) -> None:
    """Deployments without the switch, and old workers, report none."""
    states = [
        build_upstream(f'vm-{number}', ejected_until=until)
        for number, until in enumerate(ejections)
    ]
    ask = RoutingCriteria('s', 'm', '', 'a', 'r', is_repeatable=is_repeatable)
    healthy = [state for state in states if state.ejected_until <= 2]
    min_usable = len(states) - len(states) // 2
    expected = healthy
    if len(healthy) < min_usable:
        soonest = sorted(states, key=lambda state: state.ejected_until)
        expected = soonest[:min_usable]
    assert find_usable(states, ask, 2.0) == expected
