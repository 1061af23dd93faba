"""A model of the reports of an upstream whose steps are delayed by prompts."""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

from wigeonpier.policy.pace import PaceEstimator

if TYPE_CHECKING:
    from wigeonpier.reports import UpstreamPace

TICKS_PER_SECOND = 1000
RUNS = 4
RUN_TICKS = 600
POLL_SECONDS = 0.05
# The worker polls somewhat later than planned.
LOOP_DELAY_SECONDS = 0.002
ROUND_TRIP_SECONDS = 0.001
LATE_SHARE = 0.05
LATE_SECONDS = (0.002, 0.06)


@dataclass(frozen=True)
class PromptLoad:
    """Prompts that delay the steps of all runs of an upstream.

    :param rate: prompts a second.
    :param delay: time by which each delays a step, seconds.
    :param token_seconds: time of an output token without prompts.
    """

    rate: float
    delay: float
    token_seconds: float = 0.0041

    def read_paces(self, seconds: int, seed: str) -> list[UpstreamPace]:
        """Estimate the pace from polls, some of which are answered late.

        :param seconds: length of the replay.
        :param seed: seed of prompts and polls.
        :returns: what would be reported at the time of each poll, from the
            first known pace.
        """
        rng = random.Random(f'{self} {seed}')
        work = self._make_work(seconds + 1, rng)
        estimator = PaceEstimator()
        paces = []
        now = 1.0
        while now < seconds:
            round_trip = ROUND_TRIP_SECONDS
            if rng.random() < LATE_SHARE:
                round_trip += rng.uniform(*LATE_SECONDS)
            # The upstream makes the report at any time in between.
            made_at = now + rng.uniform(0, round_trip)
            tokens = self._count(work, int(made_at * TICKS_PER_SECOND))
            estimator.record(tokens, now, round_trip)
            now += max(round_trip, POLL_SECONDS)
            now += rng.uniform(0, LOOP_DELAY_SECONDS)
            if pace := estimator.read(now):
                paces.append(pace)
        return paces

    def _make_work(self, seconds: int, rng: random.Random) -> list[float]:
        """Make the time without prompts up to each tick, seconds."""
        share = self.rate / TICKS_PER_SECOND
        blocked = 0
        ticks = []
        for _ in range(seconds * TICKS_PER_SECOND):
            if rng.random() < share:
                blocked += round(self.delay * TICKS_PER_SECOND)
            ticks.append(0 if blocked else 1 / TICKS_PER_SECOND)
            blocked = max(0, blocked - 1)
        return list(accumulate(ticks))

    def _count(self, work: list[float], tick: int) -> dict[str, int]:
        """Count the tokens of runs that begin at different times."""
        tokens = {}
        for number in range(RUNS):
            age = (tick + number * RUN_TICKS // RUNS) % RUN_TICKS
            done = work[tick] - work[tick - age]
            tokens[f'{number} {tick - age}'] = int(done / self.token_seconds)
        return tokens
