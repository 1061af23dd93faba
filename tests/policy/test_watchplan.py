"""How long watches wait."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.watchplan import plan_watches


@given(st.floats(1, 30), st.floats(1, 120))
def test_a_lost_answer_is_noticed_while_a_process_may_act_on_old_state(
    contact: float, history: float
) -> None:
    """With time left for a new read of all keys."""
    plan = plan_watches(contact, history)
    assert plan.decisive + plan.answer <= 0.8 * contact + 1e-9
    assert max(plan.decisive, plan.background) < history


def test_waits_of_the_sites() -> None:
    plan = plan_watches(3, 20)
    assert plan.decisive == pytest.approx(1.8)
    assert plan.answer == pytest.approx(0.6)
    assert plan.background == pytest.approx(5)
