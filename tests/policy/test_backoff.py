"""Pauses between attempts that are refused."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.backoff import Backoff


def test_pauses_double_up_to_the_limit() -> None:
    backoff = Backoff(first=0.25, longest=1.0)
    now = 10.0
    pauses = []
    for _ in range(5):
        pause = backoff.record_refusal(now)
        pauses.append(pause)
        now += pause
    assert pauses == [0.25, 0.5, 1.0, 1.0, 1.0]


def test_refusals_during_a_pause_do_not_extend_it() -> None:
    """They belong to attempts that were in flight when it started."""
    backoff = Backoff(first=0.25, longest=1.0)
    backoff.record_refusal(10.0)
    for _ in range(8):
        backoff.record_refusal(10.1)
    assert backoff.is_paused(10.2)
    assert not backoff.is_paused(10.25)


def test_success_resets_the_pauses() -> None:
    backoff = Backoff(first=0.25, longest=1.0, free_refusals=1)
    assert not backoff.record_refusal(10.0)
    assert backoff.record_refusal(10.0)
    backoff.record_success()
    assert not backoff.is_paused(10.0)
    assert not backoff.record_refusal(10.0)


@given(st.integers(1, 200), st.floats(0.01, 1))
def test_refused_attempts_are_limited(callers: int, step: float) -> None:
    """Replay an upstream that refuses all calls for ten seconds."""
    backoff = Backoff(first=0.25, longest=2.0, free_refusals=4)
    attempts = 0
    now = 0.0
    while now < 10:
        for _ in range(callers):
            if backoff.is_paused(now):
                break
            attempts += 1
            backoff.record_refusal(now)
        now += step
    assert attempts <= 4 + 10 / 0.25
