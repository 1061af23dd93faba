"""Measurement of how fast upstreams work, and the choice by it."""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_upstream
from tests.policy.prompts import PromptLoad
from tests.policy.unequal import EQUAL, UPSTREAMS, UnequalModel
from wigeonpier.hosted.chooser import UsualPaces
from wigeonpier.models import OnlineLoad
from wigeonpier.policy.pace import (
    MAX_ROUND_TRIP_SECONDS,
    PaceEstimator,
    find_reference,
)
from wigeonpier.policy.route import (
    FEED_TIMEOUT_SECONDS,
    RoutingCriteria,
    UpstreamState,
    choose_upstream,
    find_usual_pace,
    record_load,
)
from wigeonpier.reports import UpstreamPace

CRITERIA = RoutingCriteria('s', 'm', '', 'a', 'r')
SEEDS = (1, 2, 3)
# Mean loads, requests a second, at which the count makes some requests late:
# where requests are sent at once, and where a slot is reserved first.
RATE = 130.0
RESERVED_RATE = 150.0
# Prompts on an upstream at usual load: many short ones, few long ones.
PROMPTS = (PromptLoad(15, 0.006), PromptLoad(5, 0.02))
REPLAY_SECONDS = 20
POLL_SECONDS = 0.05
TOKEN_SECONDS = 0.005
REPORTS = st.lists(
    st.tuples(
        st.floats(-1, 2),
        st.dictionaries(st.sampled_from('abc'), st.integers(-5, 10**9)),
    ),
    max_size=40,
)
PACES = st.one_of(
    st.none(),
    st.builds(UpstreamPace, st.floats(0.002, 0.0022), st.just(1.0)),
)


def _choose(
    states: list[UpstreamState],
    criteria: RoutingCriteria,
    now: float,
    rng: random.Random,
) -> UpstreamState | None:
    """Choose as an entry does that has just found the usual pace."""
    usual = find_usual_pace(states, criteria, now)
    return choose_upstream(states, criteria, now, rng, usual)


class Worker:
    """Reports two runs to an estimator, the second of which is delayed."""

    def __init__(self, jitter: float = 0) -> None:
        self.estimator = PaceEstimator()
        self.now = 10.0
        self.rng = random.Random(1)
        self._jitter = jitter
        self._tokens = 1.0

    def work(self, seconds: float, factor: float = 1) -> list[UpstreamPace]:
        """Work at a pace; return what is reported meanwhile."""
        paces = []
        for _ in range(round(seconds / POLL_SECONDS)):
            delay = POLL_SECONDS * self.rng.uniform(0, self._jitter)
            self._tokens += (POLL_SECONDS - delay) / (TOKEN_SECONDS * factor)
            self.now += POLL_SECONDS
            tokens = {'a': int(self._tokens), 'b': int(self._tokens / 2)}
            self.estimator.record(tokens, self.now)
            paces.append(self.estimator.read(self.now))
        return paces


@pytest.mark.parametrize('seed', SEEDS)
def test_unequal_upstreams_make_half_as_many_requests_late(seed: int) -> None:
    """Guards against choosing by a count while paces differ by 2.2."""
    by_count = UnequalModel(RATE, seed, has_pace=False).run()
    by_pace = UnequalModel(RATE, seed).run()
    assert by_count > 0.01
    assert by_pace <= by_count / 2


@pytest.mark.parametrize('seed', SEEDS)
def test_requests_with_reserved_slots_complete_sooner(seed: int) -> None:
    """Guards against slots of slow upstreams being used before fast ones."""
    by_count = UnequalModel(
        RESERVED_RATE, seed, has_pace=False, can_reserve=True
    )
    by_pace = UnequalModel(RESERVED_RATE, seed, can_reserve=True)
    by_count.run()
    by_pace.run()
    mean_by_count = sum(by_count.totals) / len(by_count.totals)
    assert sum(by_pace.totals) / len(by_pace.totals) < mean_by_count


def test_equal_upstreams_with_slow_periods_make_no_more_late() -> None:
    """Guards against a measurement that misleads where speeds are equal."""
    runs = {
        has_pace: [
            UnequalModel(RATE, seed, EQUAL, has_pace=has_pace).run()
            for seed in SEEDS
        ]
        for has_pace in (True, False)
    }
    assert sum(runs[True]) <= sum(runs[False])


def test_equal_upstreams_are_chosen_as_by_count() -> None:
    """Guards against measured noise that changes choices between equals."""
    models = [
        UnequalModel(RATE, 1, EQUAL, 0, has_pace=has_pace, seconds=10)
        for has_pace in (True, False)
    ]
    for model in models:
        model.run()
    assert models[0].waits == models[1].waits


@given(st.lists(PACES, min_size=2, max_size=6), st.integers())
def test_nearly_equal_paces_leave_choices_unchanged(paces, seed: int) -> None:
    states = [
        build_upstream(f'vm-{number}', in_flight=number)
        for number in range(len(paces))
    ]
    for state in states:
        record_load(state, OnlineLoad(state.in_flight, takes_work=True), 10)
    rngs = random.Random(seed), random.Random(seed)
    by_count = _choose(states, CRITERIA, 10, rngs[0])
    for state, pace in zip(states, paces, strict=True):
        state.pace = pace
    assert _choose(states, CRITERIA, 10, rngs[1]) is by_count
    assert rngs[0].random() == rngs[1].random()


@pytest.mark.parametrize(
    'wrong',
    [UpstreamPace(0), UpstreamPace(3), UpstreamPace(1e-9), UpstreamPace(-1)],
)
def test_implausible_pace_counts_as_unknown(wrong: UpstreamPace) -> None:
    usual = UpstreamPace(0.004)
    assert find_reference([usual, usual, usual, wrong]) == 0
    assert find_reference([wrong]) == 0


def test_outdated_pace_is_not_used() -> None:
    """Guards against a choice by the pace after the load feed has broken."""
    states = [build_upstream('vm-0'), build_upstream('vm-1')]
    for state, pace in zip(states, (0.002, 0.005), strict=True):
        record_load(state, OnlineLoad(2, takes_work=True), 10)
        state.pace = UpstreamPace(pace)
    states[1].reported = 1
    rng = random.Random(1)
    assert _choose(states, CRITERIA, 10, rng) is states[0]
    later = 10.1 + FEED_TIMEOUT_SECONDS
    assert _choose(states, CRITERIA, later, rng) is states[1]


def test_baseline_is_known_within_a_second() -> None:
    paces = Worker().work(1)
    assert paces[-1].event_seconds == pytest.approx(TOKEN_SECONDS, rel=0.1)
    assert paces[-1].slowdown == 1


def test_slow_period_is_reported_and_does_not_move_the_baseline() -> None:
    worker = Worker()
    usual = worker.work(3)[-1]
    for _ in range(5):
        slow = worker.work(0.6, factor=2.5)
        assert 2 < slow[3].slowdown < 3
        assert {pace.event_seconds for pace in slow} == {usual.event_seconds}
        assert worker.work(1.5)[3] == usual


def test_noise_does_not_change_what_is_reported() -> None:
    """Guards against a line to each entry for a pace that has not changed."""
    worker = Worker(jitter=0.3)
    worker.work(10)
    assert len({str(pace) for pace in worker.work(60)}) == 1


def test_lasting_change_becomes_the_baseline() -> None:
    worker = Worker()
    worker.work(10)
    changed = worker.work(15, factor=2)[-1]
    assert changed.event_seconds == pytest.approx(2 * TOKEN_SECONDS, rel=0.1)
    assert changed.slowdown == 1


def test_usual_pace_is_found_before_exclusion_and_at_most_every_100_ms() -> (
    None
):
    """Guards against its cost for each choice, and a reference by request."""
    states = [build_upstream('vm-0'), build_upstream('vm-1')]
    for state, pace in zip(states, (0.002, 0.005), strict=True):
        record_load(state, OnlineLoad(0, takes_work=True), 10)
        state.pace = UpstreamPace(pace)
    paces = UsualPaces()
    retry = replace(CRITERIA, excluded=frozenset({'vm-1'}))
    assert paces.find(states, retry, 10) == 0.005
    states[1].pace = UpstreamPace(0.004)
    assert paces.find(states, CRITERIA, 10.05) == 0.005
    other = replace(CRITERIA, service='other')
    assert paces.find(states, other, 10.05) == 0
    assert paces.find(states, CRITERIA, 10.11) == 0.004


@pytest.mark.parametrize('load', PROMPTS, ids=str)
def test_prompts_and_late_reports_rarely_look_slow(load: PromptLoad) -> None:
    """Guards against false slow periods of an upstream that works as usual."""
    paces = [
        pace
        for number in range(UPSTREAMS)
        for pace in load.read_paces(REPLAY_SECONDS, f'{number}')
    ]
    assert sum(pace.slowdown > 1 for pace in paces) <= 0.01 * len(paces)


@pytest.mark.parametrize('factor', [1, 1.04, 1.15])
@pytest.mark.parametrize('token_seconds', [0.0023, 0.0041, 0.005, 0.007])
@pytest.mark.parametrize('load', PROMPTS, ids=str)
def test_nearly_equal_upstreams_never_count_as_different(
    load: PromptLoad, token_seconds: float, factor: float
) -> None:
    """Guards against noise and rounding that make equal paces look unequal."""
    loads = [
        replace(
            load, token_seconds=token_seconds * (factor if is_slower else 1)
        )
        for is_slower in (False, True)
    ]
    replays = [
        loads[number % 2].read_paces(REPLAY_SECONDS, f'{number}')
        for number in range(UPSTREAMS)
    ]
    for paces in zip(*replays, strict=False):
        assert find_reference(paces) == 0
    changes = sum(
        before != after
        for paces in replays
        for before, after in pairwise(paces)
    )
    assert changes <= UPSTREAMS * REPLAY_SECONDS / 10


def test_one_slow_measurement_is_no_slow_period() -> None:
    """Guards against a slowdown from one prompt that delays a step."""
    worker = Worker()
    worker.work(3)
    assert {pace.slowdown for pace in worker.work(POLL_SECONDS, 4)} == {1}
    assert {pace.slowdown for pace in worker.work(1)} == {1}


def test_late_report_is_not_measured() -> None:
    """Guards against a time of a token from when a late answer arrived."""
    worker = Worker()
    usual = worker.work(3)[-1]
    reported = {'a': 10**4, 'b': 10**4}
    for _ in range(10):
        worker.now += POLL_SECONDS
        worker.estimator.record(
            reported, worker.now, MAX_ROUND_TRIP_SECONDS * 2
        )
        assert worker.estimator.read(worker.now) == usual


def test_slow_period_does_not_change_how_others_are_chosen() -> None:
    """Guards against one slow upstream that switches an entry to the paces."""
    states = [
        build_upstream(f'vm-{number}', in_flight=number) for number in range(6)
    ]
    for state in states:
        record_load(state, OnlineLoad(state.in_flight, takes_work=True), 10)
        state.pace = UpstreamPace(TOKEN_SECONDS * 0.98)
    states[0].pace = UpstreamPace(TOKEN_SECONDS, 2.5)
    for seed in range(100):
        rng = random.Random(seed)
        drawn = random.Random(seed).sample(states, 2)
        chosen = _choose(states, CRITERIA, 10, rng)
        if states[0] not in drawn:
            assert chosen is min(drawn, key=lambda state: state.in_flight)
    for state in states:
        record_load(state, OnlineLoad(0, takes_work=True), 10)
    chosen = _choose(states[:2], CRITERIA, 10, random.Random(1))
    assert chosen is states[1]


@pytest.mark.parametrize('factor', [4, 6, 8, 12])
def test_slow_start_is_forgotten(factor: float) -> None:
    """Guards against a baseline from a warm-up that rejects all later ones."""
    worker = Worker()
    worker.work(4, factor)
    usual = worker.work(3)[-1]
    assert usual.event_seconds == pytest.approx(TOKEN_SECONDS, rel=0.1)
    assert usual.slowdown == 1


@pytest.mark.parametrize('wrong', [{'a': 10**6}, {'a': 1}, {}])
def test_implausible_report_is_ignored(wrong: dict[str, int]) -> None:
    worker = Worker()
    usual = worker.work(1)[-1]
    worker.estimator.record(wrong, worker.now + POLL_SECONDS)
    assert worker.estimator.read(worker.now + POLL_SECONDS) == usual
    worker.now += POLL_SECONDS
    assert set(worker.work(1)) == {usual}


def test_no_runs_leave_the_baseline_without_a_slowdown() -> None:
    worker = Worker()
    usual = worker.work(1)[-1]
    slow = worker.work(0.3, factor=2.5)[-1]
    assert slow.slowdown > 1
    worker.estimator.record({}, worker.now + 1)
    assert worker.estimator.read(worker.now + 1) == usual


@given(REPORTS)
def test_any_reports_give_a_positive_pace_or_none(reports) -> None:
    estimator = PaceEstimator()
    now = 0.0
    for seconds, tokens in reports:
        now += seconds
        estimator.record(tokens, now)
        pace = estimator.read(now)
        assert pace is None or (pace.event_seconds > 0 and pace.slowdown >= 1)
