"""Finds slots for the requests of customers, which wait at workers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.hosted.failures import CallerGoneError
from wigeonpier.hosted.news import SlotClaim
from wigeonpier.hosted.reserver import ClaimCall, ReservationOutcome
from wigeonpier.policy import reservation
from wigeonpier.policy.limitspread import ScarcityState, measure_use
from wigeonpier.policy.streamorigin import may_continue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.hosted.chooser import UpstreamChooser
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.reserver import SlotReserver
    from wigeonpier.policy.route import UpstreamState


@dataclass(frozen=True, slots=True)
class ClaimPlacer:
    """Reserves slots for requests of customers.

    :param chooser: chooses among upstreams.
    :param reserver: reserves slots; calls may wait at the workers.
    :param scarcity: whether slots are scarce, by service.
    """

    chooser: UpstreamChooser
    reserver: SlotReserver
    scarcity: dict[str, ScarcityState] = field(default_factory=dict)

    def is_scarce(self, service: str) -> bool:
        """Check whether the slots of a service are scarce.

        :param service: the service.
        :returns: false while no load is known.
        """
        now = time.monotonic()
        known = self.scarcity.setdefault(service, ScarcityState())
        return known.update(measure_use(self._list_all(service), now), now)

    def reserve(
        self, request: OnlineRequest, hold_until: float
    ) -> UpstreamState | None:
        """Try to reserve a slot at a few upstreams.

        :param request: the request; its search goes on where it ended.
        :param hold_until: end of its hold, seconds of the monotonic clock.
        :returns: the upstream to send to, ``None`` if a worker refused and
            none reserved a slot.  An upstream is returned without a slot if
            its load feed is missing or no worker refused.
        :raises CallerGoneError: if the caller has disconnected meanwhile.
        """
        outcomes: set[ReservationOutcome] = set()
        for candidate in self._draw(request):
            # Without a load feed there is no worker to reserve a slot at.
            if candidate.load_fresh_until <= time.monotonic():
                return candidate
            outcome = self._call(request, candidate, hold_until)
            if outcome is ReservationOutcome.granted:
                return candidate
            outcomes.add(outcome)
            # A request that is not held, as a resumed stream, completes its
            # round with calls that are answered at once.
            if request.search.is_hopeless:
                break
        if ReservationOutcome.refused in outcomes:
            return None
        return self.chooser.choose(request)

    def reserve_at(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        claim: SlotClaim,
    ) -> tuple[ReservationOutcome, float]:
        """Request a slot at one upstream.

        :param request: the request.
        :param upstream: the upstream.
        :param claim: its claim.
        :returns: the outcome, and the wait that the worker expects, seconds.
        """
        request.reservation_attempts += 1
        objective = request.route.objective
        waited = time.monotonic() - request.received_at
        call = ClaimCall(claim, request)
        outcome = self.reserver.reserve(
            upstream,
            objective * reservation.RESERVATION_TIMEOUT_SHARE,
            is_late=reservation.is_late(waited / objective),
            call=call,
        )
        return outcome, call.retry_after

    def _call(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        hold_until: float,
    ) -> ReservationOutcome:
        search = request.search
        now = time.monotonic()
        max_wait = search.choose_max_wait(
            self._list_open(request), upstream, hold_until - now, now
        )
        claim = make_claim(request, max(0, hold_until - now), max_wait)
        search.calls += 1
        outcome, wait = self.reserve_at(request, upstream, claim)
        if request.is_abandoned:
            raise CallerGoneError('the caller has left')
        if outcome is not ReservationOutcome.granted:
            answered_at = time.monotonic()
            search.record_refusal(
                upstream, wait, hold_until - answered_at, answered_at
            )
            waited = answered_at - now
            if max_wait > 0 and waited >= max_wait / 2:
                search.has_waited = True
        return outcome

    def _draw(self, request: OnlineRequest) -> Iterator[UpstreamState]:
        """Draw the upstreams of one round, the likeliest first."""
        drawn = 0
        while drawn < reservation.MAX_RESERVATION_ATTEMPTS:
            excluded = request.search.list_excluded(
                self._list_open(request), time.monotonic()
            )
            chosen = self.chooser.choose(request, excluded)
            chosen = chosen or self.chooser.choose(request)
            if chosen is None:
                return
            drawn += 1
            yield chosen

    def _list_open(self, request: OnlineRequest) -> list[UpstreamState]:
        return [
            state
            for state in self._list_all(request.service)
            if state.name not in request.tried
            and state.takes_work
            and may_continue(state, request.origin)
        ]

    def _list_all(self, service: str) -> list[UpstreamState]:
        return [
            state
            for state in self.chooser.replicas.list_upstreams()
            if state.service == service and not state.is_leaving
        ]


def make_claim(
    request: OnlineRequest, seconds_left: float, max_wait: float
) -> SlotClaim:
    """Make the claim of a request.

    :param request: the request.
    :param seconds_left: time in which it can still start, seconds.
    :param max_wait: longest wait in the call, seconds.
    :returns: the claim.
    """
    return SlotClaim(
        request.http_request.customer,
        request.weight,
        round(seconds_left, 3),
        round(max_wait, 3),
    )
