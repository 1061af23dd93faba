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
# Lengths of items differ by 10 % from their mean; a mean of fewer runs could
# make equal upstreams seem to differ by 20 %.
MIN_MEASURED_RUNS = 3


@dataclass(slots=True)
class RunLengths:
    """Moving averages over the completed runs at one upstream.

    :param seconds: how long a whole item runs.
    :param events: events of a whole item.
    :param deviation: mean deviation from ``events``, as a share of it.
    :param runs: number of completed runs.
    """

    seconds: float = INITIAL_SECONDS
    events: float = INITIAL_EVENTS
    deviation: float = INITIAL_DEVIATION
    runs: int = 0

    @property
    def measured_seconds(self) -> float:
        """Return the mean without the assumed initial value, or 0.

        The initial value has still a third of the weight after five runs,
        and would make a worker that has just started seem slow.
        """
        if self.runs < MIN_MEASURED_RUNS:
            return 0
        initial_weight = (1 - RUN_WEIGHT) ** self.runs
        measured = self.seconds - initial_weight * INITIAL_SECONDS
        return measured / (1 - initial_weight)

    def record(self, seconds: float, events: int) -> None:
        """Update the averages with a completed run.

        :param seconds: how long it ran.
        :param events: events that it produced.
        """
        self.runs += 1
        self.seconds = _update_mean(self.seconds, seconds)
        deviation = abs(events / self.events - 1)
        self.deviation = _update_mean(self.deviation, deviation)
        self.events = _update_mean(self.events, events)


def _update_mean(mean: float, value: float) -> float:
    return mean + RUN_WEIGHT * (value - mean)
