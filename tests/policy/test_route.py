"""Routing of online requests."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_upstream
from wigeonpier.models import QuestionLoad
from wigeonpier.policy.route import (
    CRASH_HOLD_SECONDS,
    LATE_REPORT_SECONDS,
    Ask,
    choose_upstream,
    estimate_cost,
    find_usable,
    note_end,
    note_load,
    note_outcome,
)

ASK = Ask('s', 'm', '', 'a', 'r')
STATES = st.lists(
    st.builds(
        lambda leaving, ejected, in_hand, centre: {
            'is_leaving': leaving,
            'ejected_until': ejected,
            'in_hand': in_hand,
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
def test_leaving_upstreams_get_no_work(parts, now, seed, affinity) -> None:
    states = _build(parts)
    ask = Ask('s', 'm', affinity, 'a', 'r')
    chosen = choose_upstream(states, ask, now, random.Random(seed))
    staying = [state for state in states if not state.is_leaving]
    assert (chosen is None) == (not staying)
    assert chosen is None or not chosen.is_leaving


@given(STATES, st.floats(0, 30))
def test_never_are_all_taken_out(parts, now) -> None:
    states = _build(parts)
    staying = [state for state in states if not state.is_leaving]
    usable = find_usable(states, ASK, now)
    assert len(usable) >= len(staying) - len(staying) // 2


@given(st.lists(st.booleans(), max_size=40))
def test_bad_outcomes_in_a_row_take_an_upstream_out(outcomes) -> None:
    state = build_upstream('vm-1')
    streak = 0
    for number, went_well in enumerate(outcomes):
        note_outcome(state, went_well, now=float(number))
        streak = 0 if went_well else streak + 1
        if streak >= 3:
            assert state.ejected_until > number
            streak = 0


def test_an_upstream_is_let_back_gently() -> None:
    state = build_upstream('vm-1')
    for _ in range(3):
        note_outcome(state, went_well=False, now=0)
    back = state.ejected_until
    costs = [estimate_cost(state, ASK, back + wait) for wait in (0.1, 2, 6)]
    assert costs[0] > costs[1] > costs[2]


def test_the_own_count_goes_before_an_old_report() -> None:
    state = build_upstream('vm-1', in_hand=2, reported=20, reported_at=0.0)
    fresh = estimate_cost(state, ASK, now=0.0)
    old = estimate_cost(state, ASK, now=30.0)
    assert fresh > old == (2 + 1) / 8


def test_affinity_gives_way_to_load() -> None:
    ask = Ask('s', 'm', 'prefix', 'a', 'r')
    states = [build_upstream(f'vm-{number}') for number in range(4)]
    draw = random.Random(1)
    home = choose_upstream(states, ask, 0, draw)
    assert choose_upstream(states, ask, 0, draw) is home
    home.in_hand = 8
    assert choose_upstream(states, ask, 0, draw) is not home


def test_the_nearest_data_centre_is_left_before_queues_form() -> None:
    near = build_upstream('near')
    far = build_upstream('far', data_centre='b')
    draw = random.Random(1)
    assert choose_upstream([near, far], ASK, 0, draw) is near
    near.in_hand = 5
    assert choose_upstream([near, far], ASK, 0, draw) is far


def test_what_has_ended_gets_nothing_even_where_most_have() -> None:
    """Of six upstreams four had ended within 0.43 s, and went on being sent to
    for 2.9 s, until their leases had run out; questions that met three of them
    in a row were lost (`no connection`)."""
    parts = [{} for _ in range(6)]
    upstreams = _build(parts)
    for state in upstreams[:4]:
        note_end(state, 10.0)
    for now in (10.0, 10.0 + CRASH_HOLD_SECONDS - 0.1):
        usable = find_usable(upstreams, ASK, now)
        assert {state.name for state in usable} == {'vm-4', 'vm-5'}


def test_what_has_ended_is_back_when_it_is_told_of() -> None:
    """Not by a load that was on its way when it ended."""
    (state,) = _build([{}])
    note_end(state, 10.0)
    load = QuestionLoad(0, takes_work=True)
    note_load(state, load, 10.05)
    assert not find_usable([state], ASK, 10.1)
    note_load(state, load, 10.0 + LATE_REPORT_SECONDS)
    assert find_usable([state], ASK, 10.6)
