"""Where questions go while crests take nearly all slots."""

from __future__ import annotations

import pytest

from tests.builders import build_upstream
from tests.policy.crests import ASK, Crests
from wigeonpier.models import QuestionLoad
from wigeonpier.policy.route import estimate_cost, find_usable, note_load


@pytest.mark.parametrize(('rate', 'most'), [(125, 0.03), (145, 0.09)])
def test_a_fed_load_keeps_questions_in_time(rate: float, most: float) -> None:
    """Without it 0.07 and 0.15 of them are late."""
    fed = Crests(rate, is_fed=True).run()
    blind = Crests(rate, is_fed=False).run()
    assert fed < most
    assert fed < blind / 2


def test_what_was_sent_since_counts() -> None:
    state = build_upstream('vm-1', in_hand=5)
    note_load(state, QuestionLoad(2, takes_work=True), 10.0)
    before = estimate_cost(state, ASK, now=10.0)
    state.sent_since += 1
    assert before == 3 / 8
    assert estimate_cost(state, ASK, now=10.0) == 4 / 8


def test_a_load_that_is_not_told_any_more_is_not_trusted() -> None:
    state = build_upstream('vm-1')
    note_load(state, QuestionLoad(7, takes_work=False), 10.0)
    other = build_upstream('vm-2')
    assert find_usable([state, other], ASK, 10.5) == [other]
    assert find_usable([state, other], ASK, 12.0) == [state, other]


def test_upstreams_that_all_seem_ill_are_used_all_the_same() -> None:
    states = [build_upstream(f'vm-{number}') for number in range(4)]
    for state in states:
        note_load(state, QuestionLoad(0, takes_work=False), 10.0)
    assert len(find_usable(states, ASK, 10.5)) == 2
