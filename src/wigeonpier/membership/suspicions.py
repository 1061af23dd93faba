"""Keeps the requests that are suspected of crashing upstreams.

Every process stores every report that it receives, so that reports survive
the process that observed a crash.  Followers of the log receive each change
in order.
"""

from __future__ import annotations

import math
import time
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from gevent.event import Event as Signal

from wigeonpier.membership.partsuspicions import (
    REQUEST_DIGITS,
    PartSuspicions,
)
from wigeonpier.membership.updates import (
    NO_PARTS,
    CrashReport,
    LostRunReport,
    PartUpdate,
    SuspicionUpdate,
)
from wigeonpier.policy.suspicion import (
    RENEW_SECONDS,
    UNSTABLE_SECONDS,
    Crash,
    RunMode,
    Suspect,
    choose_run_mode,
    is_confirmed,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence, Set

# At 150 bytes each.  About eight requests are lost with each crash, and nearly
# all of them are cleared within a second.
MAX_SUSPECTS = 4096
# Reports sent before a request was cleared arrive within this time.
CLEARED_SECONDS = 30.0
# Delivery may make the age in a report too low by this much.
PROPAGATION_SECONDS = 0.5
# A follower that lags further behind receives the whole state.
MAX_CHANGES = 1024
# At 4 crashes of 150 bytes: 20 KB at most in a heartbeat, usually nothing.
MAX_SUMMARIZED = 32


class Suspicions:
    """Suspected requests by fingerprint, and suspected parts of prompts."""

    def __init__(self) -> None:
        """Start without suspects."""
        self.suspects: dict[str, Suspect] = {}
        self.parts = PartSuspicions()
        # The last crash of any upstream, seconds of the monotonic clock.
        self.crashed_at = -math.inf
        # Wakes the followers of the log.
        self.changed = Signal()
        self._cleared: dict[str, float] = {}
        # Requests that the update being merged has confirmed as culprits.
        self._new_culprits: list[str] = []
        self._log: deque[SuspicionUpdate] = deque(maxlen=MAX_CHANGES)
        # Positions begin at 1; a follower that has read nothing passes 0.
        self._position = 1

    @property
    def is_empty(self) -> bool:
        """Check whether there are no suspects, so that look-ups are skipped."""
        return not self.suspects and self.parts.is_empty

    def get_run_mode(self, fingerprint: str, versions: Set[str]) -> RunMode:
        """Decide how a request may be run.

        :param fingerprint: the request.
        :param versions: software versions of the upstreams that could run it.
        :returns: how it may run.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and suspect.is_forgotten(time.monotonic()):
            self.suspects.pop(fingerprint)
            suspect = None
        return choose_run_mode(suspect, versions)

    def is_refused(self, fingerprint: str) -> bool:
        """Check whether a request is refused.

        :param fingerprint: the request.
        :returns: true for a culprit.
        """
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and suspect.is_culprit

    def list_tried_versions(
        self, fingerprint: str, parts: Sequence[str] = ()
    ) -> set[str]:
        """List the versions on which a culprit must not be tried again.

        :param fingerprint: the request.
        :param parts: keys of the shared parts of its prompt.
        :returns: versions of upstreams' software, empty for any other request.
        """
        tried = self.parts.culprits.list_tried_versions(parts)
        if self.is_refused(fingerprint):
            crashes = self.suspects[fingerprint].crashes
            tried |= {crash.version for crash in crashes}
        return tried

    def record_crash(
        self,
        fingerprint: str,
        upstream: str,
        version: str,
        *,
        was_alone: bool,
        had_output: bool = False,
        parts: tuple[str, ...] = (),
    ) -> SuspicionUpdate:
        """Record the crash of an upstream that was running a request.

        :param fingerprint: the request.
        :param upstream: start of the upstream.
        :param version: version of its software.
        :param was_alone: whether no other suspected request ran there.
        :param had_output: whether its run there had produced events.
        :param parts: keys of the shared parts of its prompt.
        :returns: the update to publish.
        """
        crash = CrashReport(
            fingerprint, upstream, version, 0, was_alone, had_output
        )
        lost = LostRunReport(
            fingerprint[:REQUEST_DIGITS],
            parts,
            upstream,
            version,
            0,
            was_alone,
            had_output,
        )
        return self.merge(
            SuspicionUpdate(
                ends=(crash,),
                parts=PartUpdate((lost,)) if parts else NO_PARTS,
            )
        )

    def record_completion(
        self,
        fingerprint: str,
        parts: tuple[str, ...],
        version: str,
        started_at: float,
    ) -> SuspicionUpdate:
        """Record a completed run of a request.

        :param fingerprint: the request; empty if it is not cleared, since
            nothing is suspected or its run goes on.
        :param parts: keys of the shared parts of its prompt.
        :param version: software version of the upstream.
        :param started_at: when it began, seconds of the monotonic clock.
        :returns: the update to publish.
        """
        proofs = self.parts.record_completion(parts, version, started_at)
        if self.is_empty:
            return SuspicionUpdate()
        return self.merge(SuspicionUpdate(cleared=(fingerprint,), parts=proofs))

    def clear(self, fingerprint: str) -> SuspicionUpdate:
        """Remove a request from the suspects.

        :param fingerprint: the request.
        :returns: the update to publish.
        """
        return self.merge(SuspicionUpdate(cleared=(fingerprint,)))

    def record_repeat(
        self, fingerprint: str, parts: Sequence[str] = ()
    ) -> SuspicionUpdate:
        """Record that a refused request was sent again.

        :param fingerprint: the request.
        :param parts: keys of the shared parts of its prompt.
        :returns: the update to publish, empty if one was published recently.
        """
        suspect = self.suspects.get(fingerprint)
        oldest = time.monotonic() - RENEW_SECONDS
        is_old = suspect is not None and suspect.last_seen_at <= oldest
        return self.merge(
            SuspicionUpdate(
                kept=(fingerprint,) if is_old else (),
                parts=self.parts.record_repeat(parts),
            )
        )

    def merge(self, update: SuspicionUpdate) -> SuspicionUpdate:
        """Merge an update from another process.

        :param update: the update.
        :returns: the part of it that is new here.
        """
        now = time.monotonic()
        self._new_culprits.clear()
        ages = [crash.age for crash in update.ends]
        ages += [run.age for run in update.parts.lost]
        self.crashed_at = max(
            self.crashed_at, now - min(ages, default=math.inf)
        )
        parts = self._merge_parts(update.parts)
        crashes = tuple(
            crash for crash in update.ends if self._add_crash(crash, now)
        )
        for condemned in update.condemned:
            self._accept_culprit(condemned)
        fresh = SuspicionUpdate(
            crashes,
            tuple(
                name for name in update.cleared if self._apply_clear(name, now)
            ),
            tuple(
                name for name in update.kept if self._apply_repeat(name, now)
            ),
            tuple(self._new_culprits),
            parts,
        )
        if fresh != SuspicionUpdate():
            self._log.append(fresh)
            self._position += 1
            self.changed.set()
            self.changed.clear()
        return fresh

    def read_log(self, position: int) -> tuple[int, list[SuspicionUpdate]]:
        """Read the changes since a position.

        :param position: position returned by the last call, 0 at first.
        :returns: the position for the next call, and the changes in order; the
            whole state where the log no longer reaches back that far.
        """
        lag = self._position - position
        if position and lag <= len(self._log):
            changes = list(self._log)[len(self._log) - lag :]
        else:
            changes = [] if self.is_empty else [self.describe()]
        return self._position, changes

    def describe(self) -> SuspicionUpdate:
        """Describe the whole state.

        :returns: all crashes of all suspects, and recently cleared requests.
        """
        return SuspicionUpdate(
            tuple(
                crash
                for fingerprint in self.suspects
                for crash in self.list_crashes(fingerprint)
            ),
            tuple(self._cleared),
            condemned=tuple(filter(self.is_refused, self.suspects)),
            parts=self.parts.describe(),
        )

    def summarize(self) -> SuspicionUpdate:
        """Describe the part of the state that heartbeats repeat.

        :returns: crashes of culprits, then of the latest suspects, and
            recently cleared requests.
        """
        ranked = sorted(
            self.suspects,
            key=lambda name: (
                not self.suspects[name].is_culprit,
                -self.suspects[name].last_seen_at,
            ),
        )
        return SuspicionUpdate(
            tuple(
                crash
                for fingerprint in ranked[:MAX_SUMMARIZED]
                for crash in self.list_crashes(fingerprint)
            ),
            tuple(self._cleared)[-MAX_SUMMARIZED:],
            condemned=tuple(filter(self.is_refused, ranked[:MAX_SUMMARIZED])),
            parts=self.parts.summarize(),
        )

    def list_crashes(self, fingerprint: str) -> Iterator[CrashReport]:
        """List the crashes of one request as messages.

        :param fingerprint: the request.
        :yields: its crashes.
        """
        now = time.monotonic()
        suspect = self.suspects.get(fingerprint, Suspect())
        for crash in suspect.crashes:
            yield CrashReport(
                fingerprint,
                crash.upstream,
                crash.version,
                round(now - crash.at, 3),
                crash.was_alone,
                crash.had_output,
                crash.is_item,
            )

    def _merge_parts(self, update: PartUpdate) -> PartUpdate:
        """Merge changes of parts, and drop the crashes that culprits explain."""
        if update == NO_PARTS:
            return NO_PARTS
        others = {
            crash.upstream: crash.at
            for suspect in self.suspects.values()
            for crash in suspect.crashes
            if not suspect.is_culprit
        }
        unexplained = tuple(
            run
            for run in update.lost
            if not _is_explained(self.suspects, run.upstream, run.request)
        )
        fresh = self.parts.merge(
            msgspec.structs.replace(update, lost=unexplained), others
        )
        if fresh.culprits or fresh.lost:
            _drop_explained(self.suspects, self.parts.culprits.explains)
        return fresh

    def _add_crash(self, report: CrashReport, now: float) -> bool:
        at = now - report.age
        cleared_at = self._cleared.get(report.fingerprint)
        if cleared_at is not None and at <= cleared_at + PROPAGATION_SECONDS:
            return False
        if self.parts.culprits.explains(report.upstream) or _is_explained(
            self.suspects, report.upstream, report.fingerprint
        ):
            return False
        suspect = _get_suspect(self.suspects, report.fingerprint)
        crash = Crash(
            report.upstream,
            report.version,
            at,
            report.was_alone,
            report.had_output,
            report.is_item,
        )
        if not suspect.add(crash):
            return False
        log_event(
            Event.request_suspected,
            fingerprint=report.fingerprint,
            upstream=report.upstream,
            was_alone=report.was_alone,
            had_output=report.had_output,
            ends=len(suspect.crashes),
        )
        if not suspect.is_culprit:
            others = _count_unexplained(
                self.suspects.values(),
                suspect,
                now,
            )
            if is_confirmed(suspect, others):
                self._confirm_culprit(report.fingerprint)
        return True

    def _confirm_culprit(self, culprit: str) -> None:
        """Mark a culprit, and drop its crashes from all other suspects."""
        self.suspects[culprit].is_culprit = True
        self._new_culprits.append(culprit)
        crashes = self.suspects[culprit].crashes
        log_event(
            Event.request_condemned,
            fingerprint=culprit,
            upstreams=[crash.upstream for crash in crashes],
            alone=[crash.upstream for crash in crashes if crash.was_alone],
        )
        explained = {crash.upstream for crash in crashes}
        _drop_explained(self.suspects, explained.__contains__)
        self.parts.drop_innocent(explained, culprit[:REQUEST_DIGITS])

    def _accept_culprit(self, fingerprint: str) -> None:
        """Accept a culprit that another process has confirmed.

        That process may have seen fewer unexplained crashes at the time.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and not suspect.is_culprit:
            self._confirm_culprit(fingerprint)

    def _apply_clear(self, fingerprint: str, now: float) -> bool:
        if self.suspects.pop(fingerprint, None) is None:
            return False
        self._cleared = {
            other: cleared_at
            for other, cleared_at in self._cleared.items()
            if now - cleared_at < CLEARED_SECONDS
        }
        self._cleared[fingerprint] = now
        log_event(Event.request_cleared, fingerprint=fingerprint)
        return True

    def _apply_repeat(self, fingerprint: str, now: float) -> bool:
        suspect = self.suspects.get(fingerprint)
        if suspect is None or now - suspect.last_seen_at < RENEW_SECONDS / 2:
            return False
        suspect.last_seen_at = now
        return True


def _is_explained(
    suspects: dict[str, Suspect], upstream: str, request: str
) -> bool:
    """Check whether another request is known to have caused a crash.

    :param suspects: suspected requests.
    :param upstream: start of the upstream.
    :param request: fingerprint of the request that was lost, or its start.
    :returns: true if one is.
    """
    return any(
        suspect.is_culprit
        and any(crash.upstream == upstream for crash in suspect.crashes)
        for fingerprint, suspect in suspects.items()
        if not fingerprint.startswith(request)
    )


def _drop_explained(
    suspects: dict[str, Suspect], is_explained: Callable[[str], bool]
) -> None:
    """Drop crashes that a culprit explains from all other suspects."""
    for fingerprint, suspect in list(suspects.items()):
        if suspect.is_culprit:
            continue
        suspect.crashes = [
            crash
            for crash in suspect.crashes
            if not is_explained(crash.upstream)
        ]
        if not suspect.crashes:
            suspects.pop(fingerprint)


def _get_suspect(suspects: dict[str, Suspect], fingerprint: str) -> Suspect:
    suspect = suspects.get(fingerprint)
    if suspect is None:
        while len(suspects) >= MAX_SUSPECTS:
            suspects.pop(_choose_evicted(suspects))
        suspect = suspects.setdefault(fingerprint, Suspect())
    return suspect


def _count_unexplained(
    suspects: Iterable[Suspect],
    suspect: Suspect,
    now: float,
) -> int:
    """Count recent crashes that neither the suspect nor a culprit explains."""
    explained = {crash.upstream for crash in suspect.crashes}
    others = {
        crash.upstream: crash.at
        for other in suspects
        for crash in other.crashes
        if not other.is_culprit
    }
    return sum(
        now - at < UNSTABLE_SECONDS
        for upstream, at in others.items()
        if upstream not in explained
    )


def _choose_evicted(suspects: dict[str, Suspect]) -> str:
    """Choose the suspect to evict: the oldest one, culprits last."""
    return min(suspects, key=lambda name: suspects[name].is_culprit)
