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


@dataclass(slots=True)
class RunLengths:
    """Moving averages over the completed runs at one upstream.

    :param seconds: how long a whole item runs.
    :param events: events of a whole item.
    :param deviation: mean deviation from ``events``, as a share of it.
    """

    seconds: float = INITIAL_SECONDS
    events: float = INITIAL_EVENTS
    deviation: float = INITIAL_DEVIATION

    def record(self, seconds: float, events: int) -> None:
        """Update the averages with a completed run.

        :param seconds: how long it ran.
        :param events: events that it produced.
        """
        self.seconds = _update_mean(self.seconds, seconds)
        deviation = abs(events / self.events - 1)
        self.deviation = _update_mean(self.deviation, deviation)
        self.events = _update_mean(self.events, events)


def _update_mean(mean: float, value: float) -> float:
    return mean + RUN_WEIGHT * (value - mean)
