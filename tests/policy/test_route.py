"""Routing of online requests."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_upstream
from wigeonpier.models import OnlineLoad
from wigeonpier.policy.route import (
    CRASH_HOLD_SECONDS,
    LATE_REPORT_SECONDS,
    RoutingCriteria,
    choose_upstream,
    estimate_cost,
    find_usable,
    record_crash,
    record_load,
    record_outcome,
)

CRITERIA = RoutingCriteria('s', 'm', '', 'a', 'r')
STATES = st.lists(
    st.builds(
        lambda is_leaving, ejected_until, in_flight, centre: {
            'is_leaving': is_leaving,
            'ejected_until': ejected_until,
            'in_flight': in_flight,
            'data_centre': centre,
        },
        st.booleans(),
        st.sampled_from((0.0, 5.0, 20.0)),
        st.integers(0, 30),
        st.sampled_from(('a', 'b')),
    ),
    max_size=8,
)


def _build(parts):
    return [
        build_upstream(f'vm-{number}', **changes)
        for number, changes in enumerate(parts)
    ]


@given(STATES, st.floats(0, 30), st.integers(), st.sampled_from(('', 'abc')))
def test_leaving_upstreams_get_no_requests(parts, now, seed, affinity) -> None:
    states = _build(parts)
    ask = RoutingCriteria('s', 'm', affinity, 'a', 'r')
    chosen = choose_upstream(states, ask, now, random.Random(seed))
    staying = [state for state in states if not state.is_leaving]
    assert (chosen is None) == (not staying)
    assert chosen is None or not chosen.is_leaving


@given(STATES, st.floats(0, 30))
def test_at_most_half_of_the_upstreams_are_ejected(parts, now) -> None:
    states = _build(parts)
    staying = [state for state in states if not state.is_leaving]
    usable = find_usable(states, CRITERIA, now)
    assert len(usable) >= len(staying) - len(staying) // 2


@given(st.lists(st.booleans(), max_size=40))
def test_failures_in_a_row_eject_an_upstream(outcomes) -> None:
    state = build_upstream('vm-1')
    streak = 0
    for number, went_well in enumerate(outcomes):
        record_outcome(state, went_well, now=float(number))
        streak = 0 if went_well else streak + 1
        if streak >= 3:
            assert state.ejected_until > number
            streak = 0


def test_load_ramps_up_after_an_ejection() -> None:
    state = build_upstream('vm-1')
    for _ in range(3):
        record_outcome(state, went_well=False, now=0)
    ejected_until = state.ejected_until
    costs = [
        estimate_cost(state, CRITERIA, ejected_until + wait)
        for wait in (0.1, 2, 6)
    ]
    assert costs[0] > costs[1] > costs[2]


def test_own_count_outweighs_an_old_report() -> None:
    state = build_upstream('vm-1', in_flight=2, reported=20, reported_at=0.0)
    fresh = estimate_cost(state, CRITERIA, now=0.0)
    old = estimate_cost(state, CRITERIA, now=30.0)
    assert fresh > old == (2 + 1) / 8


def test_load_overrides_affinity() -> None:
    ask = RoutingCriteria('s', 'm', 'prefix', 'a', 'r')
    states = [build_upstream(f'vm-{number}') for number in range(4)]
    rng = random.Random(1)
    preferred = choose_upstream(states, ask, 0, rng)
    assert choose_upstream(states, ask, 0, rng) is preferred
    preferred.in_flight = 8
    assert choose_upstream(states, ask, 0, rng) is not preferred


def test_other_data_centre_is_used_before_queues_form() -> None:
    near = build_upstream('near')
    far = build_upstream('far', data_centre='b')
    rng = random.Random(1)
    assert choose_upstream([near, far], CRITERIA, 0, rng) is near
    near.in_flight = 5
    assert choose_upstream([near, far], CRITERIA, 0, rng) is far


def test_crashed_upstreams_get_no_requests_even_if_most_crashed() -> None:
    """Crashed upstreams are excluded until their leases have expired.

    Four of six upstreams crashed within 0.43 s and were sent requests for
    another 2.9 s; requests that met three of them in a row were lost
    (`no connection`).
    """
    parts = [{} for _ in range(6)]
    upstreams = _build(parts)
    for state in upstreams[:4]:
        record_crash(state, 10.0)
    for now in (10.0, 10.0 + CRASH_HOLD_SECONDS - 0.1):
        usable = find_usable(upstreams, CRITERIA, now)
        assert {state.name for state in usable} == {'vm-4', 'vm-5'}


def test_crashed_upstream_is_usable_when_it_reports_again() -> None:
    """A load that was in flight when it crashed does not count."""
    (state,) = _build([{}])
    record_crash(state, 10.0)
    load = OnlineLoad(0, takes_work=True)
    record_load(state, load, 10.05)
    assert not find_usable([state], CRITERIA, 10.1)
    record_load(state, load, 10.0 + LATE_REPORT_SECONDS)
    assert find_usable([state], CRITERIA, 10.6)
