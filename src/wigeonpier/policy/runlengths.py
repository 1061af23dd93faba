"""Estimates how long batch items run and how many events they produce.

Addresses items whose lengths differ by a factor of several and shift during a
day; each length is known only when the item completes.
"""

from __future__ import annotations

from dataclasses import dataclass

INITIAL_SECONDS = 6.0
INITIAL_EVENTS = 150.0
# As a share of the mean.
INITIAL_DEVIATION = 0.2
# Weight of the last run in the moving averages.
RUN_WEIGHT = 0.2
# A mean of fewer runs says little about the upstream.  That of 3 runs still
# varies; the entries distinguish a difference by chance from a real one.
MIN_MEASURED_RUNS = 3
# Where items differ by 10 % (standard deviation), a weight of 0.2 makes the means
# of 22 equal upstreams differ by 20 % at some time within 100 runs in 3 of 4
# cases, and this one after 12 runs in 1 of 200.
MEASURED_WEIGHT = 0.1


@dataclass(slots=True)
class RunLengths:
    """Moving averages over the completed runs at one upstream.

    :param seconds: how long a whole item runs.
    :param events: events of a whole item.
    :param deviation: mean deviation from ``events``, as a share of it.
    :param runs: number of completed runs.
    :param mean_seconds: slower average of the run time, without the assumed
        initial value, which would make a worker that has just started seem
        slow.
    """

    seconds: float = INITIAL_SECONDS
    events: float = INITIAL_EVENTS
    deviation: float = INITIAL_DEVIATION
    runs: int = 0
    mean_seconds: float = 0

    @property
    def measured_seconds(self) -> float:
        """Return the slower average, or 0 while it has too few runs."""
        return 0 if self.runs < MIN_MEASURED_RUNS else self.mean_seconds

    def record(self, seconds: float, events: int) -> None:
        """Update the averages with a completed run.

        :param seconds: how long it ran.
        :param events: events that it produced.
        """
        self.runs += 1
        weight = max(1 / self.runs, MEASURED_WEIGHT)
        self.mean_seconds += weight * (seconds - self.mean_seconds)
        self.seconds = _update_mean(self.seconds, seconds)
        deviation = abs(events / self.events - 1)
        self.deviation = _update_mean(self.deviation, deviation)
        self.events = _update_mean(self.events, events)


def _update_mean(mean: float, value: float) -> float:
    return mean + RUN_WEIGHT * (value - mean)
