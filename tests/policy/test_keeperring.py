"""Which processes keep a record."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.keeperring import make_ring

NAMES = st.lists(st.text('abcdef', min_size=1, max_size=4), max_size=12)
KEYS = st.text(max_size=8)
COPIES = 2
LARGE = 600


@given(NAMES, KEYS, st.integers(0, 5))
def test_keepers_are_different_and_as_many_as_there_are(
    names, key, count
) -> None:
    chosen = make_ring(names).choose(key, count)
    assert len(chosen) == len(set(chosen)) == min(count, len(set(names)))
    assert set(chosen) <= set(names)


@given(NAMES, KEYS)
def test_the_order_of_names_makes_no_difference(names, key) -> None:
    assert make_ring(names).choose(key, COPIES) == make_ring(
        reversed(names)
    ).choose(key, COPIES)


@given(NAMES, KEYS)
def test_a_lost_keeper_moves_only_its_own_records(names, key) -> None:
    chosen = make_ring(names).choose(key, COPIES)
    for lost in set(names) - set(chosen):
        rest = set(names) - {lost}
        assert make_ring(rest).choose(key, COPIES) == chosen


def test_shares_are_within_a_factor_of_three() -> None:
    ring = make_ring(f'10.0.0.{number}' for number in range(LARGE))
    counts = Counter(
        name for key in range(100 * LARGE) for name in ring.choose(str(key), 2)
    )
    assert len(counts) == LARGE
    assert max(counts.values()) < 3 * 100 * COPIES
