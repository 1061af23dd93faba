"""Prompt parts that crash each upstream that runs a request with them.

No two requests are alike, and sound ones share all other parts, so neither a
request nor a caller could be refused.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import gevent

from tests.hosted.callers import PromptCallers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.hosted.builders import HostedSite
    from wigeonpier.bench.replica import CrashingRun

FIRST = 'a0'
SOUND = tuple(f'b{number}' for number in range(6))
BAD = 'bad'
ENTRIES = 4
REPLICAS = 6
CALM_SECONDS = 2.0
BAD_SECONDS = 13.0
SOUND_PAUSE = 0.06
BAD_PAUSE = 0.25
# Of the rules: runs later than this after the fifth crash, and the share of
# sound requests that begin at the first attempt, compared with the calm share.
KNOWN_CRASHES = 5
CONTACT_SECONDS = 3.0
MAX_LATE_RUNS = 3
MIN_SERVED_SHARE = 0.5


def start(site: HostedSite, *bad: str, restart_seconds: float = 1.5) -> None:
    """Start a site whose replicas crash under some parts."""
    site.start(replicas=REPLICAS, entries=ENTRIES, event_seconds=0.02)
    deadly = set(bad)
    for replica in site.replicas:
        replica.restart_seconds = restart_seconds
        replica.faults.deadly_parts = deadly


def choose_sound(rng: random.Random) -> tuple[str, ...]:
    """Choose the parts of a sound prompt."""
    return (FIRST, rng.choice(SOUND))


def list_runs(site: HostedSite) -> list[CrashingRun]:
    """List the runs of requests that crash replicas, by start."""
    runs = [run for replica in site.replicas for run in replica.crashing_runs]
    return sorted(runs, key=lambda run: run.started_at)


def find_known_at(runs: Iterable[CrashingRun]) -> float:
    """Find the time of the last crash that may be needed to know the cause."""
    crashes = sorted(run.crashed_at for run in runs if run.crashed_at)
    return crashes[:KNOWN_CRASHES][-1]


def check_runs(site: HostedSite) -> None:
    """Check that few runs with each part begin once it must be known."""
    runs = list_runs(site)
    for cause in {run.fingerprint for run in runs}:
        with_it = [run for run in runs if run.fingerprint == cause]
        known_at = find_known_at(with_it)
        late = [
            run
            for run in with_it
            if run.started_at > known_at + CONTACT_SECONDS
        ]
        assert len(late) <= MAX_LATE_RUNS, (cause, len(with_it))


def test_requests_with_a_crashing_part_stop_and_sound_ones_are_served(
    site: HostedSite,
) -> None:
    start(site, BAD)
    callers = PromptCallers(site)
    began = time.monotonic()
    rng = random.Random(2)
    sound = gevent.spawn(
        callers.send_for,
        CALM_SECONDS + BAD_SECONDS,
        SOUND_PAUSE,
        lambda: choose_sound(rng),
    )
    gevent.sleep(CALM_SECONDS)
    callers.send_for(
        BAD_SECONDS,
        BAD_PAUSE,
        lambda: (FIRST, BAD, *rng.sample(SOUND, 1)),
    )
    sound.join()
    callers.finish()
    _count, calm = callers.measure_served(
        began, began + CALM_SECONDS, lambda parts: BAD not in parts
    )
    count, served = callers.measure_served(
        find_known_at(list_runs(site)) + 2 * CONTACT_SECONDS,
        time.monotonic(),
        lambda parts: BAD not in parts,
    )
    check_runs(site)
    assert count > 20
    assert served >= MIN_SERVED_SHARE * calm
