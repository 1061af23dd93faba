"""Reserves slots at the worker of an upstream."""

from __future__ import annotations

import time
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
from result import Err

from wigeonpier.hosted.news import ReservationRequest, TrialRequest
from wigeonpier.hosted.reservations import RESERVATION_PATH
from wigeonpier.models import Reservation
from wigeonpier.policy.route import record_load
from wigeonpier.settings.process import split_address
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.customeruse import CustomerLimiter
    from wigeonpier.hosted.news import IdleWorker
    from wigeonpier.hosted.outcomes import OutcomeReporter
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.pool import ConnectionPool


class ReservationOutcome(StrEnum):
    """Outcome of a reservation request; the values are metric labels."""

    granted = 'granted'
    refused = 'refused'
    occupied = 'occupied'
    running = 'running'
    unanswered = 'unanswered'


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
    ) -> ReservationOutcome:
        """Request a slot.

        :param upstream: the upstream; its load is updated.  If its worker does
            not respond, it gets no work until its load is reported again.
        :param timeout: longest wait for the response, seconds.
        :param is_late: whether the request has exceeded its latency objective.
        :param trial: trial of a suspected request, ``None`` for any other.
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
                outcomes=outcomes,
                idle=self._find_idle(host),
            )
        )
        headers = [('Host', address)]
        raw = make_request('POST', RESERVATION_PATH, headers, body)
        began = time.monotonic()
        called = self._pool.call(address, raw, timeout)
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
        return self._count(
            ReservationOutcome(reservation.trial or ReservationOutcome.refused)
        )

    def _count(self, outcome: ReservationOutcome) -> ReservationOutcome:
        self._metrics.count('reservations_total', outcome=outcome.value)
        return outcome
