"""Reserves slots at the worker of an upstream."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
from result import Err, Result

from wigeonpier.hosted.news import ReservationRequest, TrialRequest
from wigeonpier.hosted.reservations import RESERVATION_PATH
from wigeonpier.models import Reservation
from wigeonpier.policy.route import record_load
from wigeonpier.settings.process import split_address
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.customeruse import CustomerLimiter
    from wigeonpier.hosted.news import IdleWorker, SlotClaim
    from wigeonpier.hosted.outcomes import OutcomeReporter
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.client import CallFailure, Reply
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.pool import ConnectionPool


class ReservationOutcome(StrEnum):
    """Outcome of a reservation request; the values are metric labels."""

    granted = 'granted'
    refused = 'refused'
    occupied = 'occupied'
    running = 'running'
    unanswered = 'unanswered'
    abandoned = 'abandoned'


@dataclass(slots=True)
class ClaimCall:
    """A reservation call that may wait at the worker.

    :param claim: the claim.
    :param request: its request; the call ends when its caller disconnects.
    :param retry_after: wait that the worker expects where it grants no slot,
        seconds; set by the call.
    :param is_sent: whether it was sent before its caller disconnected; set by
        the call.
    """

    claim: SlotClaim
    request: OnlineRequest
    retry_after: float = 0
    is_sent: bool = False

    def begin(self, exchange: Exchange) -> None:
        """Record that a connection is open and the call is sent next.

        :param exchange: the exchange with the worker.
        """
        self.is_sent = not self.request.is_abandoned
        self.request.begin_slot_call(exchange)


def find_no_idle(_host: str) -> None:
    """Name no worker to which batch items could be handed over."""


class SlotReserver:
    """Reserves slots and records the load that each response reports."""

    def __init__(
        self,
        port: int,
        pool: ConnectionPool,
        metrics: Metrics,
        limiter: CustomerLimiter,
        outcomes: OutcomeReporter,
        find_idle: Callable[[str], IdleWorker | None] = find_no_idle,
    ) -> None:
        """Create the reserver.

        :param port: port of the workers on the upstreams' VMs.
        :param pool: connections to the workers.
        :param metrics: metrics of this process.
        :param limiter: holds the counts that requests carry along.
        :param outcomes: holds the outcomes that requests carry along.
        :param find_idle: finds a worker to which the worker on the VM with the
            given address could hand over batch items.
        """
        self._outcomes = outcomes
        self._find_idle = find_idle
        self._limiter = limiter
        self._port = port
        self._pool = pool
        self._metrics = metrics

    def reserve(
        self,
        upstream: UpstreamState,
        timeout: float,
        *,
        is_late: bool,
        trial: TrialRequest | None = None,
        call: ClaimCall | None = None,
    ) -> ReservationOutcome:
        """Request a slot.

        :param upstream: the upstream; its load is updated.  If its worker does
            not respond, it gets no work until its load is reported again.
        :param timeout: longest wait for the response, beyond the one that a
            claim allows at the worker, seconds.
        :param is_late: whether the request has exceeded its latency objective.
        :param trial: trial of a suspected request, ``None`` for any other.
        :param call: claim for a slot, ``None`` for an answer at once.
        :returns: the outcome.
        """
        host = split_address(upstream.address)[0]
        address = f'{host}:{self._port}'
        admitted = self._limiter.take_unreported()
        outcomes = self._outcomes.take(upstream)
        body = msgspec.json.encode(
            ReservationRequest(
                is_late,
                trial,
                admitted,
                call.claim if call else None,
                outcomes,
                self._find_idle(host),
            )
        )
        headers = [('Host', address)]
        raw = make_request('POST', RESERVATION_PATH, headers, body)
        began = time.monotonic()
        called = self._call(address, raw, timeout, call)
        if isinstance(called, Err) and call and call.request.is_abandoned:
            # The worker has counted them if the call arrived, and has not
            # failed to answer.
            if not call.is_sent:
                self._limiter.restore_unreported(admitted)
                self._outcomes.restore(upstream, outcomes)
            return self._count(ReservationOutcome.abandoned)
        if isinstance(called, Err):
            self._limiter.restore_unreported(admitted)
            self._outcomes.restore(upstream, outcomes, time.monotonic() - began)
            upstream.takes_work = False
            return self._count(ReservationOutcome.unanswered)
        if not called.ok_value.is_good:
            # The worker does not know its upstream yet, or does not support
            # reservations.
            self._outcomes.restore(upstream, outcomes)
            return self._count(ReservationOutcome.unanswered)
        reservation = called.ok_value.decode(Reservation)
        record_load(upstream, reservation.load, time.monotonic())
        if reservation.is_granted:
            return self._count(ReservationOutcome.granted)
        if call is not None:
            call.retry_after = reservation.retry_after
        return self._count(
            ReservationOutcome(reservation.trial or ReservationOutcome.refused)
        )

    def _call(
        self,
        address: str,
        raw: bytes,
        timeout: float,
        call: ClaimCall | None,
    ) -> Result[Reply, CallFailure]:
        if call is None:
            return self._pool.call(address, raw, timeout)
        request = call.request
        with ExitStack() as stack:
            # The connection may be reused by other calls afterwards.
            stack.callback(request.end_slot_call, time.monotonic())
            return self._pool.call(
                address,
                raw,
                timeout + call.claim.max_wait,
                call.begin,
            )

    def _count(self, outcome: ReservationOutcome) -> ReservationOutcome:
        self._metrics.count('reservations_total', outcome=outcome.value)
        return outcome
