"""Finds a slot for an online request, and holds the request until then."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.hosted.claims import ClaimPlacer, make_claim
from wigeonpier.hosted.failures import CallerGoneError, SendFailure
from wigeonpier.hosted.reserver import ReservationOutcome
from wigeonpier.policy import reservation
from wigeonpier.policy.claimwait import SlotSearch
from wigeonpier.policy.prioritygate import PriorityGate
from wigeonpier.policy.route import is_ejected
from wigeonpier.policy.suspicion import RunMode

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.chooser import UpstreamChooser
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.reach import IsolationDetector
    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.hosted.reserver import SlotReserver
    from wigeonpier.hosted.suspects import SuspectTracker
    from wigeonpier.hosted.trials import TrialPlacer
    from wigeonpier.policy.route import UpstreamState

# Longest hold of a suspected request whose stream has begun; its caller
# disconnects after a gap of 2 s.
ISOLATED_HOLD_SECONDS = 1.0
# Spreads the attempts of requests that wait for the same slot.
PAUSE_JITTER = (0.5, 1.5)


@dataclass(slots=True)
class SlotBinder:
    """Chooses the upstream to which an online request is sent next.

    :param replicas: upstreams that may be routed to.
    :param chooser: chooses among them.
    :param rng: source of randomness.
    :param isolation_detector: whether any upstream can be reached.
    :param reserver: reserves slots at the workers of the upstreams.
    :param suspects: tracks requests under which upstreams have crashed.
    :param trials: finds upstreams for these.
    :param gate: admits held requests in order of priority.
    """

    replicas: ReplicaRegister
    chooser: UpstreamChooser
    rng: random.Random
    isolation_detector: IsolationDetector
    reserver: SlotReserver
    suspects: SuspectTracker
    trials: TrialPlacer
    gate: PriorityGate = field(default_factory=PriorityGate)
    claims: ClaimPlacer = field(init=False)

    def __post_init__(self) -> None:
        """Create the component that finds slots for customers."""
        self.claims = ClaimPlacer(self.chooser, self.reserver)

    def choose_upstream(self, request: OnlineRequest) -> UpstreamState | None:
        """Choose an upstream with a free slot; hold the request until one has.

        When the hold times out, or no worker answers, the least busy upstream
        is chosen.  A route without a latency objective does not define which
        requests are late, so only suspected ones are held there.

        :param request: the request.
        :returns: the upstream, ``None`` if there is none.
        :raises CallerGoneError: if the caller has disconnected meanwhile.
        """
        request.isolation = ''
        request.search = SlotSearch(self.chooser.settings.data_centre)
        if not self._needs_slot(request):
            return self.chooser.choose(request)
        self.gate.add(request.priority)
        with ExitStack() as stack:
            stack.callback(self.gate.remove, request.priority)
            return self._wait_for_slot(request)

    def find_send_failure(self, request: OnlineRequest) -> SendFailure | None:
        """Find the reason why a request must not be sent once more.

        :param request: the request.
        :returns: the reason, ``None`` if it may be sent.
        """
        if request.seconds_left <= 0:
            return SendFailure.no_time
        # It would crash the next upstream as well: two attempts of one caller,
        # at two entries, crashed four upstreams within 0.43 s.
        if self.is_refused(request):
            return SendFailure.crashes_upstreams
        if request.is_unplaced:
            return SendFailure.no_slot
        if self.isolation_detector.is_isolated:
            return SendFailure.cut_off
        if self.replicas.is_outdated:
            return None
        return self.chooser.find_version_failure(request)

    def is_refused(self, request: OnlineRequest) -> bool:
        """Check whether a request is no longer run.

        :param request: the request.
        :returns: true if it crashes upstreams.
        """
        return self.suspects.get_run_mode(request) is RunMode.refused

    def reserve_slot(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
    ) -> ReservationOutcome:
        """Request a slot from the worker of an upstream.

        :param request: the request that needs the slot.
        :param upstream: the upstream.
        :returns: whether a slot is reserved.
        """
        if request.weight:
            claim = make_claim(request, request.seconds_left, 0)
            return self.claims.reserve_at(request, upstream, claim)[0]
        request.reservation_attempts += 1
        return self.reserver.reserve(
            upstream,
            request.route.objective * reservation.RESERVATION_TIMEOUT_SHARE,
            is_late=reservation.is_late(self._measure_waited_share(request)),
        )

    def _wait_for_slot(self, request: OnlineRequest) -> UpstreamState | None:
        deadline = self._compute_hold_deadline(request)
        while True:
            chosen = self._try_reserve_in_turn(request, deadline)
            if chosen is not None:
                return chosen
            is_expired = time.monotonic() >= deadline
            if is_expired or self.find_send_failure(request):
                return self._choose_after_wait(request)
            if not self._is_any_expected(request):
                return None
            self._pause(request)
            if request.is_abandoned:
                raise CallerGoneError('the caller has left')

    def _pause(self, request: OnlineRequest) -> None:
        """Wait before the next round, unless the last one waited at a worker.

        A round that asked no worker has not yielded to other greenlets.
        """
        if request.search.has_waited:
            return
        pause = reservation.compute_round_pause(
            self._measure_waited_share(request)
        )
        gevent.sleep(pause * self.rng.uniform(*PAUSE_JITTER))

    def _try_reserve_in_turn(
        self, request: OnlineRequest, deadline: float
    ) -> UpstreamState | None:
        request.search.has_waited = False
        if not self.gate.is_admitted(request.priority):
            return None
        return self._find_slot(request, deadline)

    def _compute_hold_deadline(self, request: OnlineRequest) -> float:
        """Return the end of the hold, seconds of the monotonic clock."""
        now = time.monotonic()
        if request.first_event_at and self._is_suspected(request):
            return now + ISOLATED_HOLD_SECONDS
        return request.received_at + reservation.limit_hold(
            request.deadline - request.received_at,
            has_begun=bool(request.first_event_at),
        )

    def _choose_after_wait(
        self, request: OnlineRequest
    ) -> UpstreamState | None:
        if self._is_suspected(request):
            upstream = self.trials.reserve_late(request)
            is_blamed = bool(self.suspects.list_tried_versions(request))
            if upstream is not None or is_blamed:
                return upstream
        return self.chooser.choose(request)

    def _is_suspected(self, request: OnlineRequest) -> bool:
        return self.suspects.get_run_mode(request) is not RunMode.free

    def _needs_slot(self, request: OnlineRequest) -> bool:
        """Check whether a request is held until a slot is reserved."""
        return bool(request.route.objective) or self._is_suspected(request)

    def _find_slot(
        self, request: OnlineRequest, deadline: float
    ) -> UpstreamState | None:
        """Reserve a slot, apart from other suspects if it is suspected."""
        run_mode = self.suspects.get_run_mode(request)
        if run_mode is RunMode.free and request.weight:
            return self.claims.reserve(request, deadline)
        if run_mode is RunMode.free:
            return self._reserve(request)
        return self.trials.reserve(request, run_mode)

    def _is_any_expected(self, request: OnlineRequest) -> bool:
        """Check whether an upstream is known, or may return after a crash."""
        if self.chooser.choose(request) or self.replicas.is_outdated:
            return True
        return self.replicas.has_recent_crash(request.service)

    def _reserve(self, request: OnlineRequest) -> UpstreamState | None:
        """Try to reserve a slot at a few upstreams, the likeliest first.

        :returns: the upstream to send to, ``None`` if a worker refused and
            none reserved a slot.  An upstream is returned without a slot if
            its load feed is missing or no worker refused.
        """
        tried: set[str] = set()
        has_refusal = False
        while len(tried) < reservation.MAX_RESERVATION_ATTEMPTS:
            candidate = self.chooser.choose(request, tried)
            if candidate is None:
                break
            now = time.monotonic()
            # Without a load feed there is no worker to reserve a slot at, and
            # the worker of an ejected upstream grants none; such an upstream
            # is chosen only if more than half of them are ejected.
            if candidate.load_fresh_until <= now or is_ejected(candidate, now):
                return candidate
            reservation_outcome = self.reserve_slot(request, candidate)
            if reservation_outcome is ReservationOutcome.granted:
                return candidate
            has_refusal = (
                has_refusal or reservation_outcome is ReservationOutcome.refused
            )
            tried.add(candidate.name)
        return None if has_refusal else self.chooser.choose(request)

    def _measure_waited_share(self, request: OnlineRequest) -> float:
        waited = time.monotonic() - request.received_at
        return waited / request.route.objective
