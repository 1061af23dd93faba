"""Decides when a batch item is tried again after upstreams crashed under it.

Upstreams crash for many reasons, and an item is never proven to be the cause:
it is owed to its caller, and is only tried more and more rarely.  A part of a
prompt that crashes upstreams does so with each request, so an item with such a
part is tried after longer pauses.

Pauses follow from the times of the crashes alone, which all processes know and
which outlast restarts.  A crash after a pause ends a try that has failed, and
each failed try makes the next pause longer; crashes in a burst count as one,
and those before the first pause count as none.

Some failed tries of an item are bad luck: together with the wait for calm its
pauses stay below the time after which it has to run again.  Only an item whose
tries all crash their upstreams before any output waits longer.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from wigeonpier.policy.suspicion import find_pauses_start

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wigeonpier.policy.suspicion import Crash

# An upstream that crashes in a burst crashes again within this time.
CALM_SECONDS = 2.0
# Some upstream of a large service may always be crashing or busy.
MAX_CALM_WAIT_SECONDS = 10.0
# An item that is tried is lost with the requests beside it.
MAX_BUSY_SHARE = 0.5
FIRST_PAUSE_SECONDS = 5.0
PAUSE_GROWTH = 2.0
LONGEST_PAUSE_SECONDS = 60.0
# As many failed tries in a row, and the longest pause until then.
UNLUCKY_TRIES = 3
LONGEST_UNLUCKY_PAUSE_SECONDS = 7.0
FIRST_PART_PAUSE_SECONDS = 10.0
PART_PAUSE_GROWTH = 4.0
LONGEST_PART_PAUSE_SECONDS = 600.0
# A delayed report makes a crash appear later by this much.
REPORT_DELAY_SECONDS = 0.5
# The longest pauses are reached before.
MAX_GROWTH_STEPS = 16


@dataclass(frozen=True, slots=True)
class RetryPace:
    """How often something that upstreams crashed under is tried.

    :param first_seconds: pause after the crashes that led to it.
    :param growth: factor of the pause after each failed try.
    :param longest_seconds: longest pause.
    :param unlucky_tries: failed tries that may be bad luck.
    :param longest_unlucky_seconds: longest pause after as many.
    """

    first_seconds: float
    growth: float
    longest_seconds: float
    unlucky_tries: int = 0
    longest_unlucky_seconds: float = math.inf


OWN_CONTENT_PACE = RetryPace(
    FIRST_PAUSE_SECONDS,
    PAUSE_GROWTH,
    LONGEST_PAUSE_SECONDS,
    UNLUCKY_TRIES,
    LONGEST_UNLUCKY_PAUSE_SECONDS,
)
SHARED_PART_PACE = RetryPace(
    FIRST_PART_PAUSE_SECONDS, PART_PAUSE_GROWTH, LONGEST_PART_PAUSE_SECONDS
)


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What else happens in the service, as one worker knows it.

    :param crashed_at: last crash of any upstream, seconds of the monotonic
        clock.
    :param busy_share: share of the slots of the upstream that are taken.
    """

    crashed_at: float
    busy_share: float


def find_last_acquittal(crashes: Sequence[Crash]) -> float:
    """Find the last crash that says nothing against an item's own content.

    A run with output has passed the point at which the item is suspected.

    :param crashes: crashes that count against the item.
    :returns: the last one after output, or the one that made pauses necessary
        if that is later, seconds of the clock of the crashes.
    """
    late = [crash.at for crash in crashes if crash.had_output]
    return max((find_pauses_start(crashes), *late))


def compute_next_try(
    crashes: Iterable[float], pace: RetryPace, since: float = -math.inf
) -> float:
    """Compute when something may be tried again.

    :param crashes: times of the crashes, at least one, seconds of a clock.
    :param pace: how often it may be tried.
    :param since: crashes until then end no failed try, seconds of that clock.
    :returns: the earliest time, seconds of the same clock.
    """
    ordered = sorted(crashes)
    failed_tries = sum(
        later - earlier >= pace.first_seconds - REPORT_DELAY_SECONDS
        for earlier, later in pairwise(ordered)
        if later > since
    )
    return ordered[-1] + compute_pause(failed_tries, pace)


def compute_pause(failed_tries: int, pace: RetryPace) -> float:
    """Compute the pause before the next try.

    :param failed_tries: tries after earlier pauses.
    :param pace: how often something may be tried.
    :returns: seconds.
    """
    growth = pace.growth ** min(failed_tries, MAX_GROWTH_STEPS)
    pause = min(pace.longest_seconds, pace.first_seconds * growth)
    if failed_tries <= pace.unlucky_tries:
        return min(pause, pace.longest_unlucky_seconds)
    return pause


def compute_start(
    next_try: float, surroundings: Surroundings, now: float
) -> float:
    """Compute when a try may start, given what else happens.

    :param next_try: earliest time of the try, seconds of the monotonic clock.
    :param surroundings: crashes, and load of the upstream.
    :param now: seconds of the monotonic clock.
    :returns: the earliest start as far as it is known, at most some seconds
        after the earliest time of the try.
    """
    start = max(next_try, surroundings.crashed_at + CALM_SECONDS)
    if surroundings.busy_share > MAX_BUSY_SHARE:
        start = max(start, now + CALM_SECONDS)
    return min(start, next_try + MAX_CALM_WAIT_SECONDS)
