"""Decides how batch items run under which upstreams crashed.

A run that is lost in an upstream crash is no failure of the item, and is
resumed after its last event.  The item is owed to its caller, so it is never
refused, but tried alone, after pauses that grow.  Without them a fault that an
item triggers would crash each restart of the upstream, together with the online
requests that run there.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING

import gevent

from wigeonpier.hosted.trialleases import LeaseState
from wigeonpier.membership.partsuspicions import REQUEST_DIGITS
from wigeonpier.membership.updates import (
    NO_PARTS,
    CrashReport,
    LostRunReport,
    PartUpdate,
    SuspicionUpdate,
)
from wigeonpier.policy.incarnation import name_start
from wigeonpier.policy.promptparts import PROOF_SECONDS, rank_mode
from wigeonpier.policy.suspicion import RunMode, needs_pauses
from wigeonpier.policy.trial import IsolationLevel, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.hosted.healthkeeper import HealthKeeper
    from wigeonpier.hosted.items import ItemWork
    from wigeonpier.hosted.itemspacing import ItemSpacing
    from wigeonpier.hosted.quarantine.store import QuarantineStore
    from wigeonpier.hosted.trialleases import TrialLeases
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.membership.ends import CrashDetector
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.policy.trial import TrialTable

# An item that runs apart crashes the upstream soon after its start or not at
# all.  Items run for 5 s: if each complete run were awaited, the last of eight
# items that were lost in one crash would be 40 s late.
CRASH_WINDOW_SECONDS = 0.5
# More crashes than any decision about a part needs.
MAX_LOST_STARTS = 64
# Unlike online requests, which have precedence, an item always waits until no
# other suspected request runs at the upstream.
ISOLATION_BY_RUN_MODE = MappingProxyType(
    {
        RunMode.apart: IsolationLevel.admits_later,
        RunMode.alone: IsolationLevel.exclusive,
    }
)


@dataclass(frozen=True, slots=True)
class ItemTrials:
    """Decides which items of one upstream may run, and records their runs.

    :param upstream: where the items run.
    :param suspicions: crashes attributed to suspected requests.
    :param trials: suspected requests at the upstream, online ones included.
    :param crash_detector: finds out whether the upstream has crashed.
    :param quarantine: saves refused requests in the store.
    :param health: keeps the health of the upstream, by which items wait while
        it is ejected, and are the first to try it.
    :param spacing: times at which items are tried again.
    :param leases: admit one run at a time in the fleet.
    :param lost_starts: starts of the upstream that crashed under items.
    """

    upstream: LocalUpstream
    suspicions: Suspicions
    trials: TrialTable
    crash_detector: CrashDetector
    quarantine: QuarantineStore
    health: HealthKeeper
    spacing: ItemSpacing
    leases: TrialLeases
    lost_starts: deque[str] = field(
        default_factory=lambda: deque(maxlen=MAX_LOST_STARTS),
    )

    def is_runnable(self, work: ItemWork) -> bool:
        """Check whether an item may run now.

        :param work: the item.
        :returns: false until its pause is over, while another worker has the
            lease that it needs, or while the upstream is ejected; it then
            takes no slot from others.
        """
        return (
            self.spacing.may_start(work)
            and self.health.may_start_item()
            and not self._is_without_lease(work)
        )

    def is_suspected(self, work: ItemWork) -> bool:
        """Check whether upstreams have crashed while they ran an item.

        :param work: the item.
        :returns: false if it may run beside any other request.
        """
        return self._get_run_mode(work) is not RunMode.free

    def try_admit(self, work: ItemWork) -> bool:
        """Admit an item if it may be started now.

        :param work: the item; its ``isolation`` is set.
        :returns: false if it has to wait.
        """
        work.isolation = ''
        # Several items may be chosen at once, of which one is tried.
        if not self.health.may_start_item():
            return False
        is_admitted = self._try_isolate(work)
        if is_admitted:
            self.health.start_item(work)
        return is_admitted

    def update(self, running: Iterable[ItemWork]) -> None:
        """Renew trials of items that run alone; end others after the window.

        The parts of the prompt of one that has run for a while are sound.

        :param running: all running items.
        """
        now = time.monotonic()
        for work in running:
            if 0 < work.first_event_at < now - PROOF_SECONDS:
                work.first_event_at = 0
                self._record_sound(work)
                self.leases.release(work.trial)
            if work.isolation == IsolationLevel.exclusive:
                self.trials.add(work.trial, IsolationLevel.exclusive, now)
            elif work.trial and self.trials.started_before(
                work.trial, now - CRASH_WINDOW_SECONDS
            ):
                self.trials.remove(work.trial)

    def finish(self, work: ItemWork, *, is_broken: bool) -> None:
        """End the trial of an item that has stopped running.

        :param work: the item.
        :param is_broken: whether its run broke off, perhaps in a crash.
        """
        self.health.end_item(work)
        if work.isolation:
            self.trials.remove(work.trial)
            self.leases.release(work.trial, has_crashed=is_broken)

    def record_interrupted_run(self, work: ItemWork) -> bool:
        """Record a run that broke off.

        :param work: the item.
        :returns: whether the upstream has crashed.
        """
        replica = self.upstream.replica
        if replica is None:
            return False
        start = name_start(replica.name, replica.incarnation)
        if not self.crash_detector.has_crashed(start, replica.address):
            return False
        # An upstream that shuts down aborts what it did not finish in time.
        if not replica.is_leaving:
            self._record_crash(work, start, replica.version)
        return True

    def record_completion(self, work: ItemWork) -> None:
        """Clear the suspicion of an item whose run ended without a crash.

        :param work: the item.
        """
        known = self.suspicions.suspects.get(work.fingerprint)
        cleared = '' if self.suspicions.is_empty else work.fingerprint
        self._record_sound(work, cleared)
        if needs_pauses(known):
            gevent.spawn(self.quarantine.forget, work.fingerprint)

    def record_failed_answer(self, work: ItemWork) -> None:
        """Clear the suspicion of an item that was answered with an error.

        The upstream may not have read its prompt, whose parts stay suspected.

        :param work: the item.
        """
        if not self.suspicions.is_empty:
            self.suspicions.clear(work.fingerprint)

    def record_culprits(self, update: PartUpdate) -> None:
        """Store culprits that another process has confirmed by runs lost here.

        The next worker that gets the lease for them reads the store.

        :param update: what is new here about parts of prompts.
        """
        by_name = self.suspicions.parts.culprits.by_name
        for report in update.culprits:
            culprit = by_name.get(report.name)
            if culprit and not culprit.runs.keys().isdisjoint(self.lost_starts):
                self.quarantine.record_culprit(report.name)

    def _get_run_mode(self, work: ItemWork) -> RunMode:
        """Find out how an item runs; one that would be refused runs alone."""
        if self.suspicions.is_empty or self.upstream.replica is None:
            return RunMode.free
        versions = {self.upstream.replica.version}
        run_mode = max(
            self.suspicions.get_run_mode(work.fingerprint, versions),
            self.suspicions.parts.get_run_mode(work.part_keys, versions),
            key=rank_mode,
        )
        return RunMode.alone if run_mode is RunMode.refused else run_mode

    def _record_crash(self, work: ItemWork, start: str, version: str) -> None:
        was_alone = work.isolation == IsolationLevel.exclusive
        crash = CrashReport(
            work.fingerprint,
            start,
            version,
            0,
            was_alone,
            work.has_new_events,
            is_item=True,
        )
        lost = LostRunReport(
            work.fingerprint[:REQUEST_DIGITS],
            work.part_keys,
            start,
            version,
            0,
            was_alone,
            work.has_new_events,
        )
        parts = PartUpdate((lost,)) if work.part_keys else NO_PARTS
        update = self.suspicions.merge(
            SuspicionUpdate(ends=(crash,), parts=parts)
        )
        self.lost_starts.append(start)
        self.quarantine.record(work.fingerprint)
        self.quarantine.record_parts(update.parts)
        # The pause before the next try has to outlast this process.
        for culprit in self.suspicions.parts.culprits.find(work.part_keys):
            self.quarantine.record_culprit(culprit.name)

    def _record_sound(self, work: ItemWork, cleared: str = '') -> None:
        """Record that a run has survived, and clear the item if it is over."""
        self.suspicions.record_completion(
            cleared, work.part_keys, work.version, work.started_at
        )

    def _choose_trial(self, work: ItemWork, run_mode: RunMode) -> str:
        """Choose what excludes other runs of the same cause."""
        if run_mode is not RunMode.alone:
            return work.fingerprint
        part = self.suspicions.parts.choose_trial_part(work.part_keys)
        return part or work.fingerprint

    def _try_isolate(self, work: ItemWork) -> bool:
        run_mode = self._get_run_mode(work)
        if run_mode is RunMode.free:
            return True
        isolation = ISOLATION_BY_RUN_MODE[run_mode]
        now = time.monotonic()
        trial = self._choose_trial(work, run_mode)
        verdict = self.trials.check(trial, isolation, now)
        if verdict is not Verdict.granted:
            return False
        if self._needs_lease(work, run_mode, trial):
            is_shared = trial != work.fingerprint
            state = self.leases.request(trial, is_shared=is_shared)
            if not self._is_enough(work, state):
                return False
        work.isolation = isolation.value
        work.trial = trial
        self.trials.add(trial, isolation, now)
        self.leases.use(trial)
        return True

    def _is_without_lease(self, work: ItemWork) -> bool:
        """Check whether an item waits for a lease that was requested."""
        run_mode = self._get_run_mode(work)
        trial = self._choose_trial(work, run_mode)
        if not self._needs_lease(work, run_mode, trial):
            return False
        state = self.leases.get_state(trial)
        return state is not None and not self._is_enough(work, state)

    def _needs_lease(
        self, work: ItemWork, run_mode: RunMode, trial: str
    ) -> bool:
        """Check whether other workers may try an item for the same cause.

        Of the items that share a crash with the cause, most run alone once and
        have their content to themselves.
        """
        if run_mode is not RunMode.alone:
            return False
        return trial != work.fingerprint or bool(self.spacing.find_hold(work))

    def _is_enough(self, work: ItemWork, state: LeaseState) -> bool:
        """Check that no other worker tries an item for the same cause.

        While the store does not answer, only items that need no pause are
        tried; the result of another one could not be written either.
        """
        if state is LeaseState.unavailable:
            return self.spacing.find_hold(work) is None
        return state is LeaseState.held
