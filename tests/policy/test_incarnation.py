"""Which report about a replica is of its later start."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_upstream
from wigeonpier.models import OnlineLoad
from wigeonpier.policy.incarnation import comes_after, is_earlier
from wigeonpier.policy.route import record_load, record_outcome

STARTS = st.integers(0, 3)


@given(STARTS, STARTS)
def test_at_most_one_of_two_starts_is_earlier(one: int, other: int) -> None:
    assert not (is_earlier(one, other) and is_earlier(other, one))
    assert is_earlier(one, other) == (0 < one < other)


@given(STARTS, STARTS, st.integers(1, 3), st.integers(1, 3))
def test_exactly_one_of_two_entries_is_later(
    one: int, other: int, created: int, later: int
) -> None:
    first, second = (one, created), (other, later)
    if first != second and created != later:
        assert comes_after(first, second) != comes_after(second, first)


def test_later_start_does_not_inherit_an_ejection() -> None:
    state = build_upstream('up', incarnation=5)
    for _ in range(3):
        record_outcome(state, went_well=False, now=10.0)
    assert state.ejected_until > 10
    record_load(state, OnlineLoad(0, takes_work=True, incarnation=6), 10.1)
    assert (state.ejected_until, state.ejections) == (0, 0)
    record_load(state, OnlineLoad(8, takes_work=False, incarnation=5), 10.2)
    assert (state.reported, state.takes_work) == (0, True)


def test_load_of_a_later_start_does_not_undo_leaving() -> None:
    """Only the register may; otherwise it would get requests again."""
    state = build_upstream('up', incarnation=5, is_leaving=True)
    record_load(state, OnlineLoad(0, takes_work=True, incarnation=6), 10.1)
    assert state.is_leaving
