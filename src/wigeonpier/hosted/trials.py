"""Places suspected requests at upstreams, isolated from each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.hosted.news import TrialRequest
from wigeonpier.hosted.reserver import ReservationOutcome
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.policy.reservation import (
    MAX_RESERVATION_ATTEMPTS,
    RESERVATION_TIMEOUT_SHARE,
)
from wigeonpier.policy.suspicion import RunMode
from wigeonpier.policy.trial import IsolationLevel

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wigeonpier.hosted.chooser import UpstreamChooser
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.reserver import SlotReserver
    from wigeonpier.hosted.suspects import SuspectTracker
    from wigeonpier.policy.route import UpstreamState

# For routes without a latency objective.
MIN_RESERVATION_TIMEOUT_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class TrialPlacer:
    """Reserves slots where suspected requests may run.

    :param chooser: chooses among upstreams.
    :param reserver: reserves slots; the workers check the isolation.
    :param suspects: knows the upstream versions that a request crashed.
    """

    chooser: UpstreamChooser
    reserver: SlotReserver
    suspects: SuspectTracker

    def reserve(
        self,
        request: OnlineRequest,
        run_mode: RunMode,
    ) -> UpstreamState | None:
        """Reserve a slot for a suspected request.

        :param request: the request; its isolation is set.
        :param run_mode: how it may run.
        :returns: the upstream, ``None`` if the request has to wait.
        """
        request.trial = self.suspects.choose_trial(request, run_mode)
        if run_mode is RunMode.alone:
            return self._find_exclusive(request)
        return self._find_shared(
            request,
            IsolationLevel.admits_later,
        ) or self._find_shared(request, IsolationLevel.shared)

    def reserve_late(self, request: OnlineRequest) -> UpstreamState | None:
        """Reserve a slot for a suspected request that can wait no longer.

        :param request: the request; its isolation is set.
        :returns: an upstream at which no other suspected request runs alone,
            ``None`` if there is none.
        """
        request.trial = request.fingerprint
        return self._find_shared(request, IsolationLevel.shared)

    def _find_shared(
        self,
        request: OnlineRequest,
        isolation: IsolationLevel,
    ) -> UpstreamState | None:
        return self._try_each(request, self._draw_upstreams(request), isolation)

    def _find_exclusive(self, request: OnlineRequest) -> UpstreamState | None:
        """Reserve a slot where the request runs alone.

        All entries try the same upstream first for the same cause, so that the
        worker there sees all requests with it and admits one at a time.
        """
        tried = self.suspects.list_tried_versions(request)
        usable = {
            state.name: state
            for state in self.chooser.list_candidates(request)
            if state.version not in tried
        }
        ranked = rank_by_key(list(usable), request.trial)[
            :MAX_RESERVATION_ATTEMPTS
        ]
        upstreams = (usable[name] for name in ranked)
        return self._try_each(request, upstreams, IsolationLevel.exclusive)

    def _draw_upstreams(
        self, request: OnlineRequest
    ) -> Iterator[UpstreamState]:
        tried_versions = self.suspects.list_tried_versions(request)
        excluded = {
            state.name
            for state in self.chooser.list_candidates(request)
            if state.version in tried_versions
        }
        attempts = 0
        while attempts < MAX_RESERVATION_ATTEMPTS:
            upstream = self.chooser.choose(request, excluded)
            if upstream is None:
                return
            excluded.add(upstream.name)
            attempts += 1
            yield upstream

    def _try_each(
        self,
        request: OnlineRequest,
        upstreams: Iterable[UpstreamState],
        isolation: IsolationLevel,
    ) -> UpstreamState | None:
        trial = TrialRequest(request.trial, isolation.value)
        unanswered = None
        for upstream in upstreams:
            outcome = self.reserver.reserve(
                upstream,
                max(
                    request.route.objective * RESERVATION_TIMEOUT_SHARE,
                    MIN_RESERVATION_TIMEOUT_SECONDS,
                ),
                is_late=False,
                trial=trial,
            )
            request.reservation_attempts += 1
            if outcome is ReservationOutcome.granted:
                request.isolation = isolation.value
                return upstream
            if outcome is ReservationOutcome.running:
                return None
            if outcome is ReservationOutcome.unanswered:
                unanswered = unanswered or upstream
        # Without a worker that knows the upstream's current start, other
        # suspected requests may run there too, and a run proves nothing.
        # A request that has to run alone therefore waits.
        return None if isolation is IsolationLevel.exclusive else unanswered
