"""Estimates the age of a job that another VM has accepted.

Addresses a VM whose wall clock is minutes ahead, or jumps by as much.  It took
each job for older than allowed and abandoned its items at once, though they
had been accepted a moment before.
"""

from __future__ import annotations

from dataclasses import dataclass

# Clocks of healthy VMs differ by less, and a job whose arrival was just
# observed is not older.
MAX_CLOCK_SKEW_SECONDS = 60.0


@dataclass(slots=True)
class JobClock:
    """A wall clock that does not jump, with its estimated error.

    :param started_at: wall clock at the start of the process, seconds.
    :param monotonic_at: monotonic clock at the same moment, seconds.
    :param ahead: seconds by which the wall clock is ahead of other VMs.
    """

    started_at: float
    monotonic_at: float
    ahead: float = 0

    def record_arrival(self, sent_at: float, monotonic: float) -> None:
        """Update the estimate with a job that was accepted just now.

        :param sent_at: wall clock at its acceptance, on another VM.
        :param monotonic: seconds of the monotonic clock.
        """
        offset = self._compute_time(monotonic) - sent_at
        self.ahead = offset if offset > MAX_CLOCK_SKEW_SECONDS else 0

    def measure_age(self, sent_at: float, monotonic: float) -> float:
        """Estimate the age of a job.

        :param sent_at: wall clock at its acceptance, on another VM.
        :param monotonic: seconds of the monotonic clock.
        :returns: seconds; an underestimate where in doubt.
        """
        return max(0, self._compute_time(monotonic) - sent_at - self.ahead)

    def _compute_time(self, monotonic: float) -> float:
        return self.started_at + monotonic - self.monotonic_at
