"""What an entry admits, given what it knows of a customer."""

from __future__ import annotations

import pytest

from wigeonpier.policy.allowance import (
    Limit,
    UsageCount,
    estimate_admission,
    measure_certainty,
)

LIMIT = Limit(rate=10, burst=10, seconds=5, overage=0.1, slack=20)


def estimate(**changes: float) -> float:
    known = {'reported': 0, 'unseen': 0, 'own': 0, 'demand': 1}
    return estimate_admission(LIMIT, UsageCount(**(known | changes)))


def test_everything_is_admitted_far_below_the_limit() -> None:
    assert estimate() == 1
    assert estimate(reported=30, own=1, demand=2) == 1


def test_half_of_the_tolerance_above_the_limit_is_used() -> None:
    assert LIMIT.margin == 13
    assert estimate(reported=72, own=72) > 0
    assert estimate(reported=73) == 0
    assert estimate(reported=70, unseen=3) == 0


def test_near_the_limit_a_share_of_requests_is_admitted() -> None:
    chance = estimate(reported=70, own=5, demand=20)
    assert 0 < chance < 1
    assert estimate(reported=70, own=5, demand=40) == pytest.approx(chance / 2)


def test_customer_gets_only_its_rate_if_counts_may_be_lost() -> None:
    assert estimate(reported=29, certainty=0.5) > 0
    assert estimate(reported=36, certainty=0.5) == 0
    assert estimate(reported=9, certainty=0) > 0
    assert estimate(reported=10, certainty=0) == 0


def test_counts_are_certain_if_the_whole_span_is_covered() -> None:
    assert measure_certainty([9, 5], span=5) == 1
    assert measure_certainty([9, 0], span=5) == 0.5
    assert measure_certainty([1, 1], span=5) == 0.2
    assert measure_certainty([], span=5) == 1
