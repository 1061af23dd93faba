"""Stops batch items from being sent to an upstream that refuses all of them.

Addresses an upstream that reports free slots and answers 503, or that another
instance has replaced.  Its items are attempted at a bounded rate, and after
some seconds other upstreams get them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpier.policy.backoff import Backoff

# An upstream that has just filled up refuses a few items.
FREE_REFUSALS = 8
INITIAL_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
PAUSES_TO_OPEN = 4
OPEN_SECONDS = 10.0


def _make_backoff() -> Backoff:
    return Backoff(INITIAL_PAUSE_SECONDS, MAX_PAUSE_SECONDS, FREE_REFUSALS)


@dataclass(slots=True)
class CircuitBreaker:
    """Counts the refusals of one upstream over all items.

    :param backoff: pauses between attempts.
    :param open_until: its items go to other upstreams before then, seconds of
        the monotonic clock.
    """

    backoff: Backoff = field(default_factory=_make_backoff)
    open_until: float = 0

    def is_paused(self, now: float) -> bool:
        """Check whether no item may be sent now.

        :param now: seconds of the monotonic clock.
        :returns: true between attempts.
        """
        return self.backoff.is_paused(now)

    def is_open(self, now: float) -> bool:
        """Check whether items should run at other upstreams.

        :param now: seconds of the monotonic clock.
        :returns: true for a while after a series of refusals.
        """
        return now < self.open_until

    def record_refusal(self, now: float, *, has_free_slot: bool) -> None:
        """Count an item that was refused.

        :param now: seconds of the monotonic clock.
        :param has_free_slot: whether the upstream reports one; a full upstream
            keeps its items.
        """
        self.backoff.record_refusal(now)
        pauses = self.backoff.refusals - FREE_REFUSALS
        if has_free_slot and pauses >= PAUSES_TO_OPEN:
            self.open_until = now + OPEN_SECONDS

    def record_run(self) -> None:
        """Close the breaker after an item has run."""
        self.backoff.record_success()
        self.open_until = 0
