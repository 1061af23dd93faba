"""Asks the process beside an upstream to set a slot aside."""

from __future__ import annotations

import time
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
from result import Err

from wigeonpier.hosted.news import ReservationAsk, TrialAsk
from wigeonpier.hosted.reservations import RESERVATION_PATH
from wigeonpier.models import Reservation
from wigeonpier.policy.route import note_load
from wigeonpier.settings.process import split_address
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from wigeonpier.hosted.customeruse import CustomerLimiter
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.pool import ConnectionPool


class Answer(StrEnum):
    """What became of a question for a slot."""

    granted = 'granted'
    refused = 'refused'
    occupied = 'occupied'
    running = 'running'
    unanswered = 'unanswered'


class SlotReserver:
    """Asks for slots, and learns the load from each answer."""

    def __init__(
        self,
        port: int,
        pool: ConnectionPool,
        metrics: Metrics,
        limiter: CustomerLimiter,
    ) -> None:
        """Ask at this port of the upstreams' VMs."""
        self._limiter = limiter
        self._port = port
        self._pool = pool
        self._metrics = metrics

    def ask(
        self,
        upstream: UpstreamState,
        patience: float,
        *,
        is_late: bool,
        trial: TrialAsk | None = None,
    ) -> Answer:
        """Ask for a slot.

        :param upstream: where; its load is brought up to date.
        :param patience: longest wait for the answer, seconds.
        :param is_late: whether the question is late already.
        :param trial: of a suspected question, ``None`` for another one.
        :returns: whether a slot is set aside; where nobody answers the
            upstream is left out until its load is told again.
        """
        host = split_address(upstream.address)[0]
        address = f'{host}:{self._port}'
        admitted = self._limiter.take_unreported()
        body = msgspec.json.encode(ReservationAsk(is_late, trial, admitted))
        headers = [('Host', address)]
        raw = make_request('POST', RESERVATION_PATH, headers, body)
        called = self._pool.call(address, raw, patience)
        if isinstance(called, Err):
            self._limiter.restore_unreported(admitted)
            upstream.takes_work = False
            return self._count(Answer.unanswered)
        if not called.ok_value.is_good:
            # It does not know its upstream yet, or no reservations.
            return self._count(Answer.unanswered)
        told = called.ok_value.decode(Reservation)
        note_load(upstream, told.load, time.monotonic())
        if told.is_granted:
            return self._count(Answer.granted)
        return self._count(Answer(told.trial or Answer.refused))

    def _count(self, answer: Answer) -> Answer:
        self._metrics.count('reservations_total', outcome=answer.value)
        return answer
