"""Admission control for one upstream; all of its work passes through it."""

from __future__ import annotations

import time
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gevent.event import Event as Signal

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.invariants import Invariant, check_invariant
from wigeonpier.policy import gate as policy
from wigeonpier.settings.deployment import GateKind
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

TARGET_SECONDS = 0.028


def _ignore_stop() -> None:
    """Do nothing for a run that cannot be stopped or has not started."""


@dataclass(slots=True, eq=False)
class BatchStream:
    """A batch item at the upstream.

    :param slack: seconds until the deadline of its job.
    :param is_run_once: whether it may not be stopped and run again.
    :param stop: pauses the run; called at most once per admission.
    :param is_stopped: whether it was requested to stop.
    """

    slack: float
    is_run_once: bool
    stop: Callable[[], None] = _ignore_stop
    is_stopped: bool = False


@dataclass(slots=True)
class Gate:
    """Counts what runs at the upstream and decides what may start.

    :param target_seconds: target for the 95th percentile of the time between
        tokens.
    :param kind: how batch work is admitted.
    :param batch_streams: maximum number of batch streams where it is fixed.
    :param is_open: false once the process is leaving.
    :param online: number of online requests at the upstream.
    :param batch: batch streams at the upstream.
    :param model: learned time of a step by number of streams.
    :param room_event: set when a batch stream may be able to start.
    :param producing: number of streams that currently produce tokens.
    """

    target_seconds: float = TARGET_SECONDS
    kind: GateKind = GateKind.learned
    batch_streams: int = 0
    is_open: bool = True
    online: int = 0
    batch: set[BatchStream] = field(default_factory=set)
    model: policy.StepModel = field(default_factory=policy.make_model)
    room_event: Signal = field(default_factory=Signal)
    producing: int = 0
    _waiting: deque[Signal] = field(default_factory=deque)

    @property
    def slots(self) -> int:
        """Return how many streams meet the target, as learned."""
        if self.kind is not GateKind.learned:
            return policy.MAX_SLOTS
        return policy.count_slots(self.model, self.target_seconds)

    @property
    def running(self) -> int:
        """Return the number of streams at the upstream."""
        return self.online + len(self.batch)

    @property
    def waiting(self) -> int:
        """Return the number of online requests that wait for a slot."""
        return len(self._waiting)

    def get_occupancy(self) -> policy.Occupancy:
        """Count the running streams and waiting requests.

        :returns: counts for the admission policy.
        """
        return policy.Occupancy(
            online=self.online,
            online_waiting=len(self._waiting),
            batch=sum(not stream.is_stopped for stream in self.batch),
            run_once=sum(stream.is_run_once for stream in self.batch),
        )

    @contextmanager
    def hold_online(self, deadline: float) -> Iterator[None]:
        """Hold a slot for an online request, with priority over batch work.

        :param deadline: monotonic seconds until which to wait for the slot.
        :yields: while the slot is held.
        :raises Refusal: when no slot is free in time; it did not run.
        """
        self._preempt_batch(1)
        if self._waiting or not policy.may_admit_online(
            self.get_occupancy(),
            self.slots,
        ):
            self._wait_for_slot(deadline)
        self.online += 1
        try:
            yield
        finally:
            self.online -= 1
            self._admit_next()

    def add_batch(self, stream: BatchStream) -> None:
        """Add a batch stream that :meth:`may_start_batch` admitted.

        :param stream: the stream.
        """
        check_invariant(
            not self._waiting,
            Invariant.no_blocking_behind_batch,
            'batch work starts while online work waits',
        )
        stream.is_stopped = False
        self.batch.add(stream)

    def remove_batch(self, stream: BatchStream) -> None:
        """Release the slot of a batch stream.

        :param stream: the stream; nothing happens if it holds no slot.
        """
        if stream in self.batch:
            self.batch.remove(stream)
            self._admit_next()

    def may_start_batch(self, *, is_run_once: bool = False) -> bool:
        """Check whether one more batch stream may start now.

        :param is_run_once: whether it may not be stopped and run again.
        :returns: whether it may.
        """
        if not self.is_open or self.kind is GateKind.closed:
            return False
        if self.kind is not GateKind.learned:
            return len(self.batch) < self.batch_streams
        return policy.may_admit_batch(
            self.get_occupancy(),
            self.slots,
            is_run_once=is_run_once,
        )

    def watch_tokens(self) -> TokenWatch:
        """Measure the gaps between the tokens of one stream.

        :returns: a context manager to enter while the stream is read.
        """
        return TokenWatch(self)

    def _preempt_batch(self, arriving: int) -> None:
        occupancy = self.get_occupancy()
        count = policy.count_to_preempt(
            policy.Occupancy(
                occupancy.online,
                occupancy.online_waiting + arriving,
                occupancy.batch,
                occupancy.run_once,
            ),
            self.slots,
        )
        if not count:
            return
        preemptible = [
            stream
            for stream in self.batch
            if not stream.is_run_once and not stream.is_stopped
        ]
        preemptible.sort(key=lambda stream: stream.slack, reverse=True)
        for stream in preemptible[:count]:
            stream.is_stopped = True
            stream.stop()
        log_event(Event.batch_preempted, streams=len(preemptible[:count]))

    def _wait_for_slot(self, deadline: float) -> None:
        admitted = Signal()
        self._waiting.append(admitted)
        if admitted.wait(max(0, deadline - time.monotonic())):
            return
        self._waiting.remove(admitted)
        raise Refusal(
            ErrorKind.deadline_passed,
            'no slot became free before the deadline',
        )

    def _admit_next(self) -> None:
        woken = 0
        while self._waiting and self.online + woken < self.slots:
            self._waiting.popleft().set()
            woken += 1
        if not self._waiting:
            self.room_event.set()


@dataclass(slots=True)
class TokenWatch:
    """Measures the gaps between the tokens of one stream.

    Only streams that produce tokens affect the time of a step, so a stream
    counts from its first token until its end.

    :param gate: gate whose model learns from the gaps.
    :param last: monotonic seconds of the last token, 0 before the first.
    :param others: number of streams that produced tokens at that time.
    """

    gate: Gate
    last: float = 0
    others: int = 0

    def __enter__(self) -> TokenWatch:
        """Start measuring."""
        return self

    def __exit__(self, *_details: object) -> None:
        """Remove the stream from the producing streams."""
        if self.last:
            self.gate.producing -= 1

    def record_token(self) -> None:
        """Record that a token arrived."""
        now = time.monotonic()
        gate = self.gate
        if self.last:
            streams = (self.others + gate.producing) / 2
            policy.record_gap(gate.model, streams, now - self.last)
        else:
            gate.producing += 1
        self.last = now
        self.others = gate.producing
