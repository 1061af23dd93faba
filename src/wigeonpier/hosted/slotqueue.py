"""Lets reservation calls wait at the worker until a slot frees."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from wigeonpier.policy.fairqueue import FairQueue, QueuedClaim, is_hopeless
from wigeonpier.web.exchange import watch_close

if TYPE_CHECKING:
    from typing import Any

    from wigeonpier.hosted.news import SlotClaim
    from wigeonpier.hosted.upstreamslots import UpstreamSlots
    from wigeonpier.policy.reservation import SlotUse
    from wigeonpier.telemetry.metrics import Metrics

# A slot that frees is seen within this time; polling the upstream on the same
# VM takes about 1 ms.
POLL_SECONDS = 0.015
# Longest wait that a worker grants, whatever an entry asks for.
MAX_WAIT_SECONDS = 1.0


class WaitOutcome(StrEnum):
    """How a claim ended; the values are metric labels."""

    granted = 'granted'
    refused = 'refused'
    expired = 'expired'
    gone = 'gone'


@dataclass(slots=True, eq=False)
class _Waiter:
    """A call that waits.

    :param claim: its place in the queue.
    :param ended: set when its outcome is known.
    :param outcome: how it ended; ``expired`` until another one is known.
    """

    claim: QueuedClaim
    ended: Event = field(default_factory=Event)
    outcome: WaitOutcome = WaitOutcome.expired

    def end(self, outcome: WaitOutcome) -> None:
        """End the wait, unless it has ended.

        :param outcome: how it ends.
        """
        if not self.ended.is_set():
            self.outcome = outcome
            self.ended.set()


class SlotQueue:
    """Grants the slots of the upstream to claims, in their fair order."""

    def __init__(self, upstream_slots: UpstreamSlots, metrics: Metrics) -> None:
        """Create an empty queue.

        :param upstream_slots: slots of the upstream.
        :param metrics: metrics of this process.
        """
        self._slots = upstream_slots
        self._metrics = metrics
        self._queue = FairQueue()
        self._waiters: dict[QueuedClaim, _Waiter] = {}
        self._poller: gevent.Greenlet[..., None] | None = None

    def count(self) -> int:
        """Count the waiting claims.

        :returns: number of claims.
        """
        return len(self._waiters)

    def record_unclaimed(self, use: SlotUse) -> None:
        """Record that a request without a claim gets a slot.

        :param use: what took the slots before.
        """
        now = time.monotonic()
        self._queue.demand.observe(use, now)
        self._queue.demand.record_grant('', now)

    def request_slot(
        self,
        claim: SlotClaim,
        connection: Any,
        *,
        is_late: bool,
    ) -> tuple[bool, float]:
        """Request a slot, and wait for it as long as the claim allows.

        :param claim: the claim of the reservation request.
        :param connection: connection of the entry; the claim is dropped when
            the entry closes it.
        :param is_late: whether the request has exceeded its latency objective.
        :returns: whether a slot is reserved; if not, the expected wait in
            seconds, 0 without an estimate.
        """
        use = self._slots.measure()
        if use is None:
            return False, 0
        now = time.monotonic()
        queued = QueuedClaim(
            claim.customer,
            claim.weight,
            now + claim.seconds_left,
            is_late,
            now,
        )
        waiter = _Waiter(queued)
        self._waiters[queued] = waiter
        self._queue.add(queued, use.slots, now)
        with ExitStack() as stack:
            stack.callback(self._remove, waiter)
            return self._wait(waiter, claim, connection)

    def _drop(self, waiter: _Waiter) -> None:
        """Drop a claim whose entry has closed the connection."""
        waiter.end(WaitOutcome.gone)
        self._remove(waiter)

    def _remove(self, waiter: _Waiter) -> None:
        self._waiters.pop(waiter.claim, None)
        self._queue.remove(waiter.claim)

    def _wait(
        self, waiter: _Waiter, claim: SlotClaim, connection: Any
    ) -> tuple[bool, float]:
        self._grant_all()
        if waiter.ended.is_set():
            return self._finish(waiter)
        wait = self._estimate(waiter)
        max_wait = min(claim.max_wait, MAX_WAIT_SECONDS)
        if max_wait <= 0 or is_hopeless(wait, claim.seconds_left):
            waiter.end(WaitOutcome.refused)
            return self._finish(waiter)
        watcher = watch_close(connection, partial(self._drop, waiter))
        self._start_polling()
        waiter.ended.wait(max_wait)
        watcher.kill(block=False)
        return self._finish(waiter)

    def _finish(self, waiter: _Waiter) -> tuple[bool, float]:
        outcome = waiter.outcome
        self._metrics.count('slot_claims_total', outcome=outcome.value)
        seconds = time.monotonic() - waiter.claim.queued_at
        self._metrics.observe('slot_wait', seconds, outcome=outcome.value)
        if outcome is WaitOutcome.granted:
            return True, 0
        return False, round(self._estimate(waiter), 3)

    def _estimate(self, waiter: _Waiter) -> float:
        use = self._slots.measure()
        if use is None:
            return 0
        return self._queue.estimate_wait(waiter.claim, use, time.monotonic())

    def _grant_all(self) -> None:
        """Grant the free slots, none by a report that could not be renewed."""
        while self._waiters:
            use = self._slots.measure()
            if use is None:
                self._refuse_all()
                return
            if not self._slots.is_current:
                return
            claim = self._queue.grant_next(use, time.monotonic())
            if claim is None:
                return
            self._waiters.pop(claim).end(WaitOutcome.granted)
            # Preempts a batch item, during which other greenlets may run.
            self._slots.reserve()

    def _refuse_all(self) -> None:
        """End all waits, so that the entries ask other workers at once."""
        for waiter in list(self._waiters.values()):
            waiter.end(WaitOutcome.refused)
            self._remove(waiter)

    def _start_polling(self) -> None:
        if self._poller is None or self._poller.dead:
            self._poller = gevent.spawn(self._poll)

    def _poll(self) -> None:
        while self._waiters:
            gevent.sleep(POLL_SECONDS)
            self._slots.update()
            self._grant_all()
