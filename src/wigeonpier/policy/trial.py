"""Decides whether a suspected request may run at an upstream.

Addresses a few requests that were lost with an upstream, one of which crashes
the next one too.  If they ran side by side they would be lost together again,
and the cause could not be distinguished from the others.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

# A run without updates for this long has ended elsewhere, or is a long one that
# will not crash its upstream any more: upstreams crash within 0.1 s of its
# start.
TRIAL_TIMEOUT_SECONDS = 3.0


class IsolationLevel(StrEnum):
    """Which other suspected requests may run beside a run.

    A run that is alone allows none.  A run that is apart starts where there is
    no other, and allows those that find no other upstream later.  A run that
    finds no free upstream allows all but those that are alone.
    """

    exclusive = 'nobody'
    admits_later = 'latecomers'
    shared = 'anybody'


class Verdict(StrEnum):
    """Whether a suspected request may run at an upstream now."""

    granted = 'granted'
    occupied = 'occupied'
    running = 'running'


@dataclass(frozen=True, slots=True)
class Trial:
    """One run of a suspected request.

    :param isolation: which others may run beside it.
    :param since: when it was granted, seconds of the monotonic clock.
    """

    isolation: IsolationLevel
    since: float


@dataclass(slots=True)
class TrialTable:
    """Suspected requests at one upstream.

    :param trials: by fingerprint.
    """

    trials: dict[str, Trial] = field(default_factory=dict)

    def check(
        self, fingerprint: str, isolation: IsolationLevel, now: float
    ) -> Verdict:
        """Check whether a suspected request may run.

        :param fingerprint: the request.
        :param isolation: which others may run beside it.
        :param now: seconds of the monotonic clock.
        :returns: the verdict; the same request never runs twice here.
        """
        self._remove_expired(now)
        if fingerprint in self.trials:
            return Verdict.running
        others = self.trials.values()
        has_lone_run = any(
            other.isolation is IsolationLevel.exclusive for other in others
        )
        if has_lone_run or (others and isolation is not IsolationLevel.shared):
            return Verdict.occupied
        return Verdict.granted

    def add(
        self, fingerprint: str, isolation: IsolationLevel, now: float
    ) -> None:
        """Record that a suspected request was sent here.

        :param fingerprint: the request.
        :param isolation: which others may run beside it.
        :param now: seconds of the monotonic clock.
        """
        self.trials[fingerprint] = Trial(isolation, now)

    def remove(self, fingerprint: str) -> None:
        """Record that a suspected request no longer runs here.

        :param fingerprint: the request.
        """
        self.trials.pop(fingerprint, None)

    def started_before(self, fingerprint: str, moment: float) -> bool:
        """Check whether a suspected request started here before a given time.

        :param fingerprint: the request.
        :param moment: seconds of the monotonic clock.
        :returns: true where it runs here and started earlier.
        """
        trial = self.trials.get(fingerprint)
        return trial is not None and trial.since < moment

    def _remove_expired(self, now: float) -> None:
        self.trials = {
            fingerprint: trial
            for fingerprint, trial in self.trials.items()
            if now - trial.since < TRIAL_TIMEOUT_SECONDS
        }
