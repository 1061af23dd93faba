"""Reserves slots of the upstream on this VM for requests about to be sent."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.news import ReservationRequest
from wigeonpier.models import Reservation
from wigeonpier.policy.reservation import (
    ARRIVAL_SECONDS,
    SlotUse,
    may_reserve,
)
from wigeonpier.policy.trial import IsolationLevel, Verdict
from wigeonpier.web.messages import JSON_TYPE, Request, Response, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.healthkeeper import HealthKeeper
    from wigeonpier.hosted.loadfeed import LoadFeed
    from wigeonpier.hosted.news import IdleWorker, TrialRequest
    from wigeonpier.hosted.runner import ItemRunner
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.hosted.usagecounter import UsageCounter
    from wigeonpier.policy.trial import TrialTable

RESERVATION_PATH = '/reservation'
# Holds the unreported counts of some hundred customers.
MAX_REQUEST_BYTES = 64_000
# Polling the upstream on the same VM takes about 1 ms, which a load report of
# this age saves.
MAX_LOAD_AGE_SECONDS = 0.01


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
        upstream: LocalUpstream,
        runner: ItemRunner,
        feed: LoadFeed,
        slots: SlotTable,
        trials: TrialTable,
        usage: UsageCounter,
    ) -> None:
        """Create the handler.

        :param upstream: the upstream on this VM.
        :param runner: runs batch items, which reservations preempt.
        :param feed: measures the load of the upstream.
        :param slots: reserved slots.
        :param trials: suspected requests at the upstream.
        :param usage: counts the requests of customers.
        """
        # Told of workers to which batch items could be handed over.
        self.on_idle: Callable[[IdleWorker], None] = _ignore_idle
        self._usage = usage
        self._trials = trials
        self._upstream = upstream
        self._runner = runner
        self._feed = feed
        self._slots = slots
        # Set where outcomes are to be taken into account.
        self.health: HealthKeeper | None = None

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes.
        """
        return [make_route('POST', RESERVATION_PATH, self._answer)]

    def _answer(self, request: Request) -> Response:
        now = time.monotonic()
        reservation = _read_reservation(request)
        # These requests count whether or not this reservation is granted.
        self._usage.add(reservation.admitted)
        if reservation.idle is not None:
            self.on_idle(reservation.idle)
        if now - self._upstream.polled_at > MAX_LOAD_AGE_SECONDS:
            self._upstream.poll()
        if self.health is not None:
            self.health.receive(reservation.outcomes)
        replica = self._upstream.replica
        if replica is None:
            raise Refusal(ErrorKind.no_upstream, 'the upstream is not known')
        load = self._feed.measure()
        reserved = self._slots.count(self._upstream.polled_at)
        obstacle = self._find_obstacle(reservation.trial, now)
        is_granted = (
            not obstacle
            and load.takes_work
            and self._is_healthy()
            and may_reserve(
                SlotUse(replica.slots, load.questions, reserved),
                is_late=reservation.is_late,
            )
        )
        if is_granted:
            self._grant(reservation.trial, now)
        answer = Reservation(
            is_granted,
            msgspec.structs.replace(load, questions=load.questions + reserved),
            obstacle,
        )
        return Response(HTTPStatus.OK, msgspec.json.encode(answer), JSON_TYPE)

    def _is_healthy(self) -> bool:
        return self.health is None or self.health.may_reserve()

    def _find_obstacle(self, trial: TrialRequest | None, now: float) -> str:
        """Find the verdict that excludes a suspected request, or ``''``."""
        if trial is None:
            return ''
        isolation = IsolationLevel(trial.company)
        verdict = self._trials.check(trial.fingerprint, isolation, now)
        return '' if verdict is Verdict.granted else verdict.value

    def _grant(self, trial: TrialRequest | None, now: float) -> None:
        self._slots.add(now)
        if self.health is not None:
            self.health.record_grant()
        self._runner.update_pace()
        if trial is not None:
            isolation = IsolationLevel(trial.company)
            self._trials.add(trial.fingerprint, isolation, now)


def _ignore_idle(_idle: IdleWorker) -> None:
    """Ignore an idle worker; the default callback."""


def _read_reservation(request: Request) -> ReservationRequest:
    request.body_limit = MAX_REQUEST_BYTES
    return decode_body(request.read_body(), ReservationRequest)
