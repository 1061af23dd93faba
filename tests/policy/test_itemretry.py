"""Items under which upstreams crashed are owed, and crash few upstreams."""

from __future__ import annotations

from itertools import pairwise

import pytest

from tests.policy.crashreplay import CrashReplay
from wigeonpier.policy.itemretry import (
    CALM_SECONDS,
    LONGEST_UNLUCKY_PAUSE_SECONDS,
    MAX_CALM_WAIT_SECONDS,
    OWN_CONTENT_PACE,
    SHARED_PART_PACE,
    UNLUCKY_TRIES,
    Surroundings,
    compute_next_try,
    compute_pause,
    compute_start,
    find_last_acquittal,
)
from wigeonpier.policy.suspicion import (
    Crash,
    RunMode,
    Suspect,
    choose_run_mode,
    is_confirmed,
    needs_pauses,
)

SEEDS = 300
DAY_SECONDS = 60.0
# The rules allow three requests with a part after the fifth crash.
MAX_LATE_TRIES = 3
RUN_SECONDS = 5.0
# An item has to run again by then (finishS).
FINISH_SECONDS = 18.0


@pytest.mark.parametrize('pace', [OWN_CONTENT_PACE, SHARED_PART_PACE])
def test_pauses_grow_with_failed_tries_and_are_bounded(pace) -> None:
    crashes = [0.0, 0.3, 1.0]
    pauses = []
    for _ in range(12):
        next_try = compute_next_try(crashes, pace)
        pauses.append(next_try - crashes[-1])
        crashes.append(next_try)
    assert pauses[0] == pace.first_seconds
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(pace.longest_seconds)


def test_a_burst_of_crashes_makes_no_pause_longer() -> None:
    """An item that ran at many crashes was unlucky, and is owed as soon."""
    burst = [number / 5 for number in range(20)]
    pause = compute_next_try(burst, OWN_CONTENT_PACE) - burst[-1]
    assert pause == pytest.approx(OWN_CONTENT_PACE.first_seconds)


@pytest.mark.parametrize(
    ('times', 'had_output', 'longest_pause'),
    [
        ((5, 11, 17), False, OWN_CONTENT_PACE.first_seconds),
        ((5, 11, 17, 23), False, LONGEST_UNLUCKY_PAUSE_SECONDS),
        (range(0, 48, 6), True, OWN_CONTENT_PACE.first_seconds),
    ],
)
def test_crashes_before_the_first_pause_are_no_failed_tries(
    times, had_output, longest_pause
) -> None:
    """A sound item that was at crashes 6 s apart waited for 20 s and more."""
    suspect = Suspect()
    for number, at in enumerate(times):
        suspect.add(
            Crash(f'i-{number}', 'v1', at, True, had_output, is_item=True)
        )
    assert needs_pauses(suspect)
    next_try = compute_next_try(
        times, OWN_CONTENT_PACE, find_last_acquittal(suspect.crashes)
    )
    assert next_try - times[-1] <= longest_pause


def test_pauses_of_an_unlucky_item_end_within_the_rule() -> None:
    """The wait for calm comes on top of the pause."""
    for failed_tries in range(UNLUCKY_TRIES + 1):
        pause = compute_pause(failed_tries, OWN_CONTENT_PACE)
        assert pause + MAX_CALM_WAIT_SECONDS < FINISH_SECONDS


def test_a_delayed_report_of_a_crash_makes_no_pause_shorter() -> None:
    crashes = [0.0, 1.4, 1 + OWN_CONTENT_PACE.first_seconds]
    pause = compute_next_try(crashes, OWN_CONTENT_PACE) - crashes[-1]
    assert pause > OWN_CONTENT_PACE.first_seconds


def test_a_try_waits_for_calm_but_not_for_ever() -> None:
    restless = Surroundings(crashed_at=99.9, busy_share=1.0)
    assert compute_start(100, restless, 100) == 100 + CALM_SECONDS
    assert compute_start(100, Surroundings(50, 0.2), 100) == 100
    last = 100 + MAX_CALM_WAIT_SECONDS
    assert compute_start(100, Surroundings(last, 1.0), last) == last


@pytest.mark.parametrize('early_seconds', [2.0, 10.0, 20.0])
@pytest.mark.parametrize('early_crashes', [3, 5, 8])
def test_unlucky_items_complete_soon_after_the_burst(
    early_seconds, early_crashes
) -> None:
    """Upstreams crash at random for 15 s; then the item is owed."""
    for seed in range(SEEDS):
        replay = CrashReplay(
            OWN_CONTENT_PACE,
            is_cause=False,
            seed=seed,
            early_seconds=early_seconds,
            early_crashes=early_crashes,
        ).run(100)
        assert replay.completed_at, seed
        assert replay.tries[-1] < replay.crashes[-1] + FINISH_SECONDS, seed


@pytest.mark.parametrize('early_seconds', [2.0, 20.0])
def test_items_with_an_unlucky_part_complete_after_their_pauses(
    early_seconds,
) -> None:
    """Pauses of parts are longer, as the rules bound requests with them."""
    pace = SHARED_PART_PACE
    for seed in range(SEEDS):
        replay = CrashReplay(
            pace, is_cause=False, seed=seed, early_seconds=early_seconds
        ).run(1000)
        assert replay.completed_at
        pauses = [
            compute_next_try(replay.crashes[:count], pace, replay.since)
            - replay.crashes[count - 1]
            for count in range(3, len(replay.crashes) + 1)
        ]
        limit = max(15.0, replay.crashes[-1] + max(pauses))
        assert replay.completed_at <= (
            limit + MAX_CALM_WAIT_SECONDS + RUN_SECONDS + 0.2
        ), seed


def test_a_part_that_crashes_upstreams_is_tried_rarely() -> None:
    """Items alone must not use up what the rules allow."""
    for seed in range(SEEDS):
        replay = CrashReplay(
            SHARED_PART_PACE, is_cause=True, seed=seed, burst_seconds=0
        ).run(DAY_SECONDS)
        assert 0 < len(replay.tries) <= MAX_LATE_TRIES, seed
        assert not replay.completed_at


def test_an_item_that_crashes_upstreams_is_tried_more_and_more_rarely() -> None:
    for seed in range(SEEDS):
        replay = CrashReplay(
            OWN_CONTENT_PACE, is_cause=True, seed=seed, burst_seconds=0
        ).run(600)
        gaps = [later - one for one, later in pairwise(replay.tries)]
        assert min(gaps) >= LONGEST_UNLUCKY_PAUSE_SECONDS, seed
        assert min(gaps[4:]) >= OWN_CONTENT_PACE.longest_seconds, seed
        assert len(replay.tries) <= 14, seed


def test_crashes_under_items_prove_nothing_against_equal_requests() -> None:
    """An online request with the bytes of an unlucky item was refused."""
    suspect = Suspect()
    for number in range(8):
        suspect.add(
            Crash(f'i-{number}', 'v1', float(number), True, is_item=True)
        )
    assert not is_confirmed(suspect, 0)
    assert needs_pauses(suspect)
    assert choose_run_mode(suspect, frozenset(('v1',))) is RunMode.alone


def test_a_crash_under_a_request_replaces_that_under_an_equal_item() -> None:
    suspect = Suspect()
    suspect.add(Crash('i-0', 'v1', 0, was_alone=True, is_item=True))
    assert suspect.add(Crash('i-0', 'v1', 0, was_alone=False))
    assert not suspect.add(Crash('i-0', 'v1', 0, True, is_item=True))
    assert not suspect.crashes[0].is_item
