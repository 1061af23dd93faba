"""Spaces attempts at something that refuses them.

Addresses an upstream or a store that refuses each call at once.  With a fixed
pause per item, a thousand items make thousands of calls a second, none of
which can succeed, and as many log lines.
"""

from __future__ import annotations

from dataclasses import dataclass

FACTOR = 2.0


@dataclass(slots=True)
class Backoff:
    """Exponential pauses between attempts, shared by all callers of one target.

    :param first: pause after the first refusal, seconds.
    :param longest: limit of the pause, seconds.
    :param free_refusals: refusals in a row that cause no pause.
    :param refusals: refusals since the last success.
    :param resume_at: no attempt before then, seconds of the monotonic clock.
    """

    first: float
    longest: float
    free_refusals: int = 0
    refusals: int = 0
    resume_at: float = 0

    def is_paused(self, now: float) -> bool:
        """Check whether attempts have to wait.

        :param now: seconds of the monotonic clock.
        :returns: true until the current pause is over.
        """
        return now < self.resume_at

    def record_refusal(self, now: float) -> float:
        """Count a refusal and start the next pause.

        Refusals that arrive during a pause belong to earlier attempts and do
        not extend it.

        :param now: seconds of the monotonic clock.
        :returns: remaining pause, seconds.
        """
        if not self.is_paused(now):
            self.refusals += 1
            counted = self.refusals - self.free_refusals
            self.resume_at = now + self._compute_pause(counted)
        return max(0, self.resume_at - now)

    def record_success(self) -> None:
        """Reset the pauses after a success."""
        self.refusals = 0
        self.resume_at = 0

    def _compute_pause(self, counted: int) -> float:
        if counted <= 0:
            return 0
        pause = self.first
        for _ in range(counted - 1):
            pause *= FACTOR
            if pause >= self.longest:
                return self.longest
        return min(pause, self.longest)
