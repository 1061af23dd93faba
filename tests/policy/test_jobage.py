"""Ages of jobs where clocks of VMs differ."""

from __future__ import annotations

import pytest

from wigeonpier.policy.jobage import JobClock

START, MONOTONIC = 1_000_000.0, 50.0


def test_jump_of_the_wall_clock_does_not_change_ages() -> None:
    """After the start, only the monotonic clock is read."""
    clock = JobClock(START, MONOTONIC)
    assert clock.measure_age(START + 5, MONOTONIC + 6) == 1


@pytest.mark.parametrize('ahead', [600.0, 4000.0])
def test_clock_that_is_ahead_is_corrected_by_the_next_job(ahead) -> None:
    clock = JobClock(START + ahead, MONOTONIC)
    clock.record_arrival(START + 9.9, MONOTONIC + 10)
    age = clock.measure_age(START + 4, MONOTONIC + 10)
    assert 5 <= age <= 6


def test_small_clock_skew_is_not_corrected() -> None:
    """A job may be some seconds old when its arrival is observed."""
    clock = JobClock(START, MONOTONIC)
    clock.record_arrival(START + 1, MONOTONIC + 10)
    assert clock.measure_age(START + 1, MONOTONIC + 10) == 9


def test_clock_that_is_behind_makes_no_job_older() -> None:
    clock = JobClock(START - 600, MONOTONIC)
    clock.record_arrival(START + 9.9, MONOTONIC + 10)
    assert clock.measure_age(START + 4, MONOTONIC + 10) == 0
