"""Detects the online requests of an entry that crash upstreams."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.policy.promptparts import PROOF_SECONDS, rank_mode
from wigeonpier.policy.suspicion import CRASHES_BEFORE_ISOLATION, RunMode
from wigeonpier.policy.trial import IsolationLevel
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.hosted.quarantine.store import QuarantineStore
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.hosted.suspicionpublisher import SuspicionPublisher
    from wigeonpier.membership.ends import CrashDetector
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.membership.updates import SuspicionUpdate
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.telemetry.metrics import Metrics


# A crash is confirmed when the restarted upstream registers, which takes one
# heartbeat.
CONFIRMATION_SECONDS = 5.0
MAX_POSSIBLE_CRASHES = 256


@dataclass(frozen=True, slots=True)
class PossibleCrash:
    """A request whose connection was lost, possibly by a crash.

    :param fingerprint: digest of its content.
    :param upstream: incarnation of the upstream.
    :param was_alone: whether no other suspected request ran there.
    :param had_output: whether its run there had produced events.
    :param at: when it was lost, seconds of the monotonic clock.
    :param parts: keys of the shared parts of its prompt.
    """

    fingerprint: str
    upstream: str
    was_alone: bool
    had_output: bool
    at: float
    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SuspectTracker:
    """Decides how requests may run, from the crashes seen under them.

    :param suspicions: table of suspected requests.
    :param publisher: sends updates to other processes.
    :param crash_detector: checks whether an upstream has crashed.
    :param replicas: upstreams that may be routed to.
    :param metrics: metrics of this process.
    :param quarantine: persists refused requests.
    :param possible_crashes: lost connections whose cause is not known yet.
    :param replaced_starts: when starts of upstreams were replaced by later
        ones, seconds of the monotonic clock.
    """

    suspicions: Suspicions
    publisher: SuspicionPublisher
    crash_detector: CrashDetector
    replicas: ReplicaRegister
    metrics: Metrics
    quarantine: QuarantineStore
    possible_crashes: deque[PossibleCrash] = field(
        default_factory=lambda: deque(maxlen=MAX_POSSIBLE_CRASHES),
    )
    replaced_starts: dict[str, float] = field(default_factory=dict)

    def get_run_mode(self, request: OnlineRequest) -> RunMode:
        """Decide how a request may run.

        The fingerprint is not computed while no request is suspected.

        :param request: the request.
        :returns: how it may run.
        """
        run_mode = self._get_run_mode_by_crashes(request)
        # Whether the upstreams crashed is known only once they have restarted.
        is_often_lost = request.count_losses() >= CRASHES_BEFORE_ISOLATION
        if is_often_lost and run_mode is not RunMode.refused:
            return RunMode.alone
        return run_mode

    def list_tried_versions(self, request: OnlineRequest) -> set[str]:
        """List the upstream versions on which a request is not tried again.

        :param request: the request.
        :returns: versions that it crashed, empty unless it is refused.
        """
        return self.suspicions.list_tried_versions(
            request.fingerprint, request.part_keys
        )

    def choose_trial(self, request: OnlineRequest, run_mode: RunMode) -> str:
        """Choose what excludes other runs of the same cause.

        :param request: the request.
        :param run_mode: how it may run.
        :returns: the suspected part of its prompt for a request that runs
            alone, else its fingerprint.
        """
        if run_mode is not RunMode.alone:
            return request.fingerprint
        part = self.suspicions.parts.choose_trial_part(request.part_keys)
        return part or request.fingerprint

    def detect_crash(self, upstream: UpstreamState) -> bool:
        """Check whether an upstream has crashed.

        :param upstream: upstream to which a connection broke.
        :returns: whether it has; false if that cannot be determined.
        """
        if self.crash_detector.has_crashed(upstream.start, upstream.address):
            self.replicas.record_crash(upstream.start)
            return True
        return False

    def record_crash(
        self, request: OnlineRequest, upstream: UpstreamState
    ) -> None:
        """Count a crash of an upstream against a request that ran there.

        :param request: the request that was lost.
        :param upstream: the crashed upstream.
        """
        # An upstream that shuts down drops requests that are unfinished when
        # its time is up, which is no crash.  One that was replaced while the
        # connection was checked counts as leaving as well, but it has crashed.
        was_replaced = upstream.start in self.replaced_starts
        if upstream.is_leaving and not was_replaced:
            return
        update = self.suspicions.record_crash(
            request.fingerprint,
            upstream.start,
            upstream.version,
            was_alone=request.last_send.company == IsolationLevel.exclusive,
            had_output=request.last_send.had_output,
            parts=request.part_keys,
        )
        self.metrics.count('suspected_total')
        self._publish_crash(update, request.fingerprint, upstream)

    def record_possible_crash(
        self, request: OnlineRequest, upstream: UpstreamState
    ) -> None:
        """Record a lost connection to an upstream that may still be running.

        :param request: the request that was lost.
        :param upstream: upstream to which the connection broke.
        """
        self._drop_expired()
        crash = PossibleCrash(
            request.fingerprint,
            upstream.start,
            request.last_send.company == IsolationLevel.exclusive,
            request.last_send.had_output,
            time.monotonic(),
            request.part_keys,
        )
        # An upstream that restarts at once may have registered again before
        # the check of the lost connection was over.
        if crash.upstream in self.replaced_starts:
            self._confirm_crash(crash, upstream)
            return
        self.possible_crashes.append(crash)
        # Its next start registers within moments, and the other entries learn
        # of the crash only once this one has read that.
        self.replicas.view.hurry()

    def record_replaced(self, upstream: UpstreamState) -> None:
        """Count crashes that a new incarnation at the same address confirms.

        An upstream that restarts at once never refuses a connection, so the
        new incarnation is the only sign of its crash.

        :param upstream: the replaced incarnation.
        """
        self._drop_expired()
        if upstream.is_leaving:
            return
        self.replaced_starts[upstream.start] = time.monotonic()
        for crash in self.possible_crashes:
            if crash.upstream == upstream.start:
                self._confirm_crash(crash, upstream)

    def record_completion(
        self, request: OnlineRequest, upstream: UpstreamState
    ) -> None:
        """Clear a request that ran to completion, and the parts of its prompt.

        :param request: the request.
        :param upstream: upstream that ran it.
        """
        send = request.last_send
        update = self.suspicions.record_completion(
            '' if self.suspicions.is_empty else request.fingerprint,
            request.part_keys,
            send.version,
            send.sent_at,
        )
        self.publisher.publish(update, upstream.address)
        self.release_trial(request, upstream)

    def record_failed_answer(
        self, request: OnlineRequest, upstream: UpstreamState
    ) -> None:
        """Clear a request that its upstream answered with an error.

        The upstream may not have read its prompt, whose parts stay suspected.

        :param request: the request.
        :param upstream: upstream that answered.
        """
        if not self.suspicions.is_empty:
            update = self.suspicions.clear(request.fingerprint)
            self.publisher.publish(update, upstream.address)
        self.release_trial(request, upstream)

    def record_progress(
        self, request: OnlineRequest, upstream: UpstreamState
    ) -> None:
        """Clear the parts of a prompt whose stream has gone on for a while.

        :param request: the request, after an event.
        :param upstream: upstream that runs it.
        """
        send = request.last_send
        now = time.monotonic()
        send.first_event_at = send.first_event_at or now
        if now - send.first_event_at < PROOF_SECONDS:
            return
        send.is_proven = True
        update = self.suspicions.record_completion(
            '', request.part_keys, send.version, send.sent_at
        )
        self.publisher.publish(update, upstream.address)

    def release_trial(
        self, request: OnlineRequest, upstream: UpstreamState
    ) -> None:
        """Let other suspected requests run at an upstream after a trial.

        :param request: the request whose run there has ended.
        :param upstream: the upstream.
        """
        send = request.last_send
        if send.trial:
            self.publisher.release(send.trial, upstream.address)
            send.trial = ''

    def end_trial(self, request: OnlineRequest) -> None:
        """Release the trial of a request that has ended, whatever the reason.

        One whose upstream may have crashed goes on until that is known.

        :param request: the request.
        """
        if not request.sends or request.count_losses():
            return
        upstream = self.replicas.upstreams.get(request.last_send.upstream)
        if upstream is not None:
            self.release_trial(request, upstream)

    def record_refusal(self, request: OnlineRequest) -> None:
        """Record that a request is refused because it crashes upstreams.

        :param request: the request.
        """
        self.metrics.count('condemned_total', route=request.route.name)
        log_event(
            Event.request_refused,
            request=request.head.identity,
            fingerprint=request.fingerprint,
            caller=request.http_request.caller,
            parts=[
                part
                for culprit in self.suspicions.parts.culprits.find(
                    request.part_keys
                )
                for part in sorted(culprit.parts)
            ],
        )
        update = self.suspicions.record_repeat(
            request.fingerprint, request.part_keys
        )
        self.publisher.publish(update)
        if update.kept:
            self.quarantine.record(request.fingerprint)
        for name in update.parts.kept:
            self.quarantine.record_culprit(name)

    def _confirm_crash(
        self, crash: PossibleCrash, upstream: UpstreamState
    ) -> None:
        update = self.suspicions.record_crash(
            crash.fingerprint,
            crash.upstream,
            upstream.version,
            was_alone=crash.was_alone,
            had_output=crash.had_output,
            parts=crash.parts,
        )
        self._publish_crash(update, crash.fingerprint, upstream)

    def _publish_crash(
        self,
        update: SuspicionUpdate,
        fingerprint: str,
        upstream: UpstreamState,
    ) -> None:
        self.publisher.publish(update, upstream.address)
        if update.ends:
            self.quarantine.record(fingerprint)
        self.quarantine.record_parts(update.parts)

    def _get_run_mode_by_crashes(self, request: OnlineRequest) -> RunMode:
        if self.suspicions.is_empty:
            return RunMode.free
        versions = {
            state.version
            for state in self.replicas.list_upstreams()
            if state.service == request.service
        }
        return max(
            self.suspicions.get_run_mode(request.fingerprint, versions),
            self.suspicions.parts.get_run_mode(request.part_keys, versions),
            key=rank_mode,
        )

    def _drop_expired(self) -> None:
        oldest = time.monotonic() - CONFIRMATION_SECONDS
        while self.possible_crashes and self.possible_crashes[0].at < oldest:
            self.possible_crashes.popleft()
        # In the order of their replacement, as a start is replaced once.
        for start, replaced_at in list(self.replaced_starts.items()):
            if replaced_at >= oldest:
                break
            self.replaced_starts.pop(start)
