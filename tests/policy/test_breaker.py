"""Upstreams that refuse every item."""

from __future__ import annotations

import pytest

from wigeonpier.policy.breaker import (
    FREE_REFUSALS,
    MAX_PAUSE_SECONDS,
    OPEN_SECONDS,
    PAUSES_TO_OPEN,
    CircuitBreaker,
)

TICK_SECONDS = 0.05
SLOTS = 8


def replay_refusals(
    breaker: CircuitBreaker, seconds: float, *, has_free_slot: bool
) -> int:
    """Send items to all slots as soon as allowed; all are refused."""
    attempts = 0
    for tick in range(int(seconds / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        if breaker.is_paused(now):
            continue
        for _ in range(SLOTS):
            attempts += 1
            breaker.record_refusal(now, has_free_slot=has_free_slot)
    return attempts


@pytest.mark.parametrize('has_free_slot', [True, False])
def test_refused_items_are_attempted_at_a_bounded_rate(has_free_slot) -> None:
    attempts = replay_refusals(
        CircuitBreaker(), 60, has_free_slot=has_free_slot
    )
    assert attempts <= SLOTS * (60 / MAX_PAUSE_SECONDS + 5)


@pytest.mark.parametrize('has_free_slot', [True, False])
def test_breaker_opens_only_if_slots_are_free(has_free_slot) -> None:
    breaker = CircuitBreaker()
    replay_refusals(breaker, 3, has_free_slot=has_free_slot)
    assert breaker.is_open(3) == has_free_slot
    assert not breaker.is_open(3 + OPEN_SECONDS)


def test_successful_run_closes_the_breaker() -> None:
    breaker = CircuitBreaker()
    replay_refusals(breaker, 3, has_free_slot=True)
    breaker.record_run()
    assert not breaker.is_open(3)
    assert not breaker.is_paused(3)


def test_short_series_of_refusals_does_not_open_the_breaker() -> None:
    breaker = CircuitBreaker()
    for _ in range(FREE_REFUSALS + PAUSES_TO_OPEN):
        breaker.record_refusal(1.0, has_free_slot=True)
    assert not breaker.is_open(1.0)
