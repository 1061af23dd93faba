"""A model of items of several workers while upstreams crash.

Each worker has items with one cause in common, and knows the crashes of the
others.  One try at a time is admitted in the fleet, as by the lease.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from wigeonpier.policy.itemretry import (
    RetryPace,
    Surroundings,
    compute_next_try,
    compute_start,
)

STEP = 0.05
RUN_SECONDS = 5.0
CRASH_SECONDS = 0.05
OUTPUT_SECONDS = 0.5


@dataclass
class CrashReplay:
    """Tries of one cause; ``tries`` and ``completed_at`` are its figures.

    :param pace: how often it may be tried.
    :param is_cause: whether it really crashes each upstream that runs it.
    :param seed: seed of the crashes for other reasons.
    :param burst_seconds: how long upstreams crash for other reasons.
    :param crash_seconds: mean time between these crashes.
    :param early_seconds: time within which the first crashes came.
    :param early_crashes: how many upstreams crashed then.
    """

    pace: RetryPace
    is_cause: bool
    seed: int
    burst_seconds: float = 15.0
    crash_seconds: float = 1.0
    early_seconds: float = 2.0
    early_crashes: int = 3
    crashes: list[float] = field(default_factory=list)
    tries: list[float] = field(default_factory=list)
    completed_at: float = 0
    since: float = -math.inf

    def run(self, seconds: float) -> CrashReplay:
        """Play some seconds after the crashes that led to the pauses."""
        rng = random.Random(self.seed)
        self.crashes = sorted(
            rng.uniform(-self.early_seconds, 0)
            for _ in range(self.early_crashes)
        )
        self.since = self.crashes[2]
        other = 0.0
        started_at = 0.0
        step = 0
        while step * STEP < seconds and not self.completed_at:
            now = step * STEP
            step += 1
            if now < self.burst_seconds and rng.random() < (
                STEP / self.crash_seconds
            ):
                other = now
                # Any upstream may crash, also the one that runs the item.
                if started_at and rng.random() < 1 / 3:
                    self.crashes.append(now)
                    if now - started_at > OUTPUT_SECONDS:
                        self.since = now
                    started_at = 0.0
            if started_at:
                started_at = self._end_run(started_at, now)
            elif self._may_start(other, now, rng):
                started_at = now
                self.tries.append(now)
        return self

    def _end_run(self, started_at: float, now: float) -> float:
        """Return the start of the run, 0 if it has ended."""
        if self.is_cause and now - started_at >= CRASH_SECONDS:
            self.crashes.append(now)
            return 0.0
        if now - started_at >= RUN_SECONDS:
            self.completed_at = now
        return started_at

    def _may_start(self, other: float, now: float, rng: random.Random) -> bool:
        surroundings = Surroundings(max(other, *self.crashes), rng.random())
        next_try = compute_next_try(self.crashes, self.pace, self.since)
        return compute_start(next_try, surroundings, now) <= now
