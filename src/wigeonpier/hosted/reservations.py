"""Reserves slots of the upstream on this VM for requests about to be sent."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.news import ReservationRequest
from wigeonpier.hosted.slotqueue import SlotQueue
from wigeonpier.models import Reservation
from wigeonpier.policy.reservation import (
    ARRIVAL_SECONDS,
    may_reserve,
)
from wigeonpier.policy.trial import IsolationLevel, Verdict
from wigeonpier.web.messages import JSON_TYPE, Request, Response, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.healthkeeper import HealthKeeper
    from wigeonpier.hosted.news import IdleWorker, TrialRequest
    from wigeonpier.hosted.upstreamslots import UpstreamSlots
    from wigeonpier.hosted.usagecounter import UsageCounter
    from wigeonpier.policy.trial import TrialTable
    from wigeonpier.telemetry.metrics import Metrics

RESERVATION_PATH = '/reservation'
# Holds the unreported counts of some hundred customers.
MAX_REQUEST_BYTES = 64_000


class SlotTable:
    """Slots reserved for requests that the upstream does not report yet."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._reserved: list[float] = []

    def add(self, now: float) -> None:
        """Reserve one slot.

        :param now: seconds of the monotonic clock.
        """
        self._reserved.append(now)

    def count(self, polled_at: float) -> int:
        """Count the reservations whose requests the load does not include.

        Older reservations are dropped.

        :param polled_at: when the upstream was polled for its load, seconds of
            the monotonic clock.
        :returns: number of slots.
        """
        oldest = polled_at - ARRIVAL_SECONDS
        self._reserved = [made for made in self._reserved if made > oldest]
        return len(self._reserved)


class ReservationHandler:
    """Handles the reservation requests of entries."""

    def __init__(
        self,
        upstream_slots: UpstreamSlots,
        trials: TrialTable,
        usage: UsageCounter,
        metrics: Metrics,
        health: HealthKeeper,
    ) -> None:
        """Create the handler.

        :param upstream_slots: slots of the upstream on this VM.
        :param trials: suspected requests at the upstream.
        :param usage: counts the requests of customers.
        :param metrics: metrics of this process.
        :param health: takes the outcomes into account that requests carry.
        """
        # Called with workers to which batch items could be handed over.
        self.on_idle: Callable[[IdleWorker], None] = _ignore_idle
        self._health = health
        self._slots = upstream_slots
        self.queue = SlotQueue(upstream_slots, metrics)
        self._trials = trials
        self._usage = usage

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes.
        """
        return [make_route('POST', RESERVATION_PATH, self._answer)]

    def _answer(self, request: Request) -> Response:
        reservation = _read_reservation(request)
        # These requests count whether or not this reservation is granted.
        self._usage.add(reservation.admitted)
        self._health.receive(reservation.outcomes)
        if reservation.idle is not None:
            self.on_idle(reservation.idle)
        self._slots.update()
        if not self._slots.is_known:
            raise Refusal(ErrorKind.no_upstream, 'the upstream is not known')
        if reservation.claim and reservation.trial is None:
            is_granted, retry_after = self.queue.request_slot(
                reservation.claim,
                request.connection,
                is_late=reservation.is_late,
            )
            answer = Reservation(
                is_granted,
                self._slots.measure_load(left_out=int(is_granted)),
                retry_after=retry_after,
            )
        else:
            answer = self._answer_at_once(reservation)
        return Response(HTTPStatus.OK, msgspec.json.encode(answer), JSON_TYPE)

    def _answer_at_once(self, reservation: ReservationRequest) -> Reservation:
        now = time.monotonic()
        load = self._slots.measure_load()
        use = self._slots.measure()
        obstacle = self._find_obstacle(reservation.trial, now)
        if (
            obstacle
            or use is None
            or not may_reserve(use, is_late=reservation.is_late)
        ):
            return Reservation(is_granted=False, load=load, trial=obstacle)
        self.queue.record_unclaimed(use)
        self._grant(reservation.trial, now)
        return Reservation(is_granted=True, load=load)

    def _find_obstacle(self, trial: TrialRequest | None, now: float) -> str:
        """Find the verdict that excludes a suspected request, or ``''``."""
        if trial is None:
            return ''
        isolation = IsolationLevel(trial.company)
        verdict = self._trials.check(trial.fingerprint, isolation, now)
        return '' if verdict is Verdict.granted else verdict.value

    def _grant(self, trial: TrialRequest | None, now: float) -> None:
        self._slots.reserve()
        if trial is not None:
            isolation = IsolationLevel(trial.company)
            self._trials.add(trial.fingerprint, isolation, now)


def _ignore_idle(_idle: IdleWorker) -> None:
    """Ignore an idle worker; the default callback."""


def _read_reservation(request: Request) -> ReservationRequest:
    request.body_limit = MAX_REQUEST_BYTES
    return decode_body(request.read_body(), ReservationRequest)
