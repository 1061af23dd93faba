"""Prevents batch items that crash the upstream from being rerun endlessly.

A run that is lost in an upstream crash is no failure of the item, and is
resumed after its last event.  An item that causes the crash would crash each
restart of the upstream, together with the online requests that run there.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

from wigeonpier.policy.incarnation import name_start
from wigeonpier.policy.promptparts import PROOF_SECONDS, rank_mode
from wigeonpier.policy.suspicion import RunMode
from wigeonpier.policy.trial import IsolationLevel, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.hosted.healthkeeper import HealthKeeper
    from wigeonpier.hosted.items import ItemWork
    from wigeonpier.hosted.quarantine.store import QuarantineStore
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.membership.ends import CrashDetector
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.policy.trial import TrialTable

# An item that runs apart crashes the upstream soon after its start or not at
# all.  Items run for 5 s: if each complete run were awaited, the last of eight
# items that were lost in one crash would be 40 s late.
CRASH_WINDOW_SECONDS = 0.5
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
    """

    upstream: LocalUpstream
    suspicions: Suspicions
    trials: TrialTable
    crash_detector: CrashDetector
    quarantine: QuarantineStore
    health: HealthKeeper

    def is_runnable(self, work: ItemWork) -> bool:
        """Check whether an item may run at all.

        :param work: the item.
        :returns: false if it is refused or the upstream is ejected; it then
            takes no slot from others.
        """
        is_refused = self._get_run_mode(work) is RunMode.refused
        return not is_refused and self.health.may_start_item()

    def is_suspected(self, work: ItemWork) -> bool:
        """Check whether upstreams have crashed while they ran an item.

        :param work: the item.
        :returns: false if it may run beside any other request.
        """
        return self._get_run_mode(work) is not RunMode.free

    def try_admit(self, work: ItemWork) -> bool:
        """Admit an item if it may be started now.

        :param work: the item; its ``isolation`` is set.
        :returns: false if it has to wait or is refused.
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
            if work.isolation == IsolationLevel.exclusive:
                self.trials.add(work.trial, IsolationLevel.exclusive, now)
            elif work.trial and self.trials.started_before(
                work.trial, now - CRASH_WINDOW_SECONDS
            ):
                self.trials.remove(work.trial)

    def finish(self, work: ItemWork) -> None:
        """End the trial of an item that has stopped running.

        :param work: the item.
        """
        self.health.end_item(work)
        if work.isolation:
            self.trials.remove(work.trial)

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
            update = self.suspicions.record_crash(
                work.fingerprint,
                start,
                replica.version,
                was_alone=work.isolation == IsolationLevel.exclusive,
                had_output=work.has_new_events,
                parts=work.part_keys,
            )
            self.quarantine.record(work.fingerprint)
            self.quarantine.record_parts(update.parts)
        return True

    def record_completion(self, work: ItemWork) -> None:
        """Clear the suspicion of an item whose run ended without a crash.

        :param work: the item.
        """
        cleared = '' if self.suspicions.is_empty else work.fingerprint
        self._record_sound(work, cleared)

    def record_failed_answer(self, work: ItemWork) -> None:
        """Clear the suspicion of an item that was answered with an error.

        The upstream may not have read its prompt, whose parts stay suspected.

        :param work: the item.
        """
        if not self.suspicions.is_empty:
            self.suspicions.clear(work.fingerprint)

    def _get_run_mode(self, work: ItemWork) -> RunMode:
        if self.suspicions.is_empty or self.upstream.replica is None:
            return RunMode.free
        versions = {self.upstream.replica.version}
        return max(
            self.suspicions.get_run_mode(work.fingerprint, versions),
            self.suspicions.parts.get_run_mode(work.part_keys, versions),
            key=rank_mode,
        )

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
        isolation = ISOLATION_BY_RUN_MODE.get(run_mode)
        if isolation is None:
            return False
        now = time.monotonic()
        trial = self._choose_trial(work, run_mode)
        verdict = self.trials.check(trial, isolation, now)
        if verdict is not Verdict.granted:
            return False
        work.isolation = isolation.value
        work.trial = trial
        self.trials.add(trial, isolation, now)
        return True
