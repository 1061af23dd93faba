"""The gate before one upstream: it alone sees all that is given to it."""

from __future__ import annotations

import time
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gevent.event import Event as Signal

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.invariants import Promise, check_promise
from wigeonpier.policy import gate as policy
from wigeonpier.settings.deployment import GateKind
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

TARGET_SECONDS = 0.028


def _ignore_stop() -> None:
    """Do nothing for a run that cannot be stopped, or has not started."""


@dataclass(slots=True, eq=False)
class BatchStream:
    """A batch item at the upstream.

    :param slack: seconds that its job has to spare.
    :param is_one_run: whether it may not be stopped and run again.
    :param stop: makes it give way; called at most once.
    :param is_stopped: whether it was told to.
    """

    slack: float
    is_one_run: bool
    stop: Callable[[], None] = _ignore_stop
    is_stopped: bool = False


@dataclass(slots=True)
class Gate:
    """Counts what runs at the upstream and decides what may start.

    :param target_seconds: most time between tokens for 95 in 100.
    :param producing: streams of which tokens come now.
    :param kind: how batch work is let in.
    :param batch_streams: most batch streams where that is fixed.
    :param is_open: false once the process leaves.
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
        """Give the streams that fit within the target, as learned."""
        if self.kind is not GateKind.learned:
            return policy.MOST_SLOTS
        return policy.count_slots(self.model, self.target_seconds)

    @property
    def running(self) -> int:
        """Count all streams at the upstream."""
        return self.online + len(self.batch)

    @property
    def waiting(self) -> int:
        """Count online requests that wait here."""
        return len(self._waiting)

    def get_occupancy(self) -> policy.Occupancy:
        """Describe what runs and waits.

        :returns: counts for the policy.
        """
        return policy.Occupancy(
            online=self.online,
            online_waiting=len(self._waiting),
            batch=sum(not stream.is_stopped for stream in self.batch),
            one_run=sum(stream.is_one_run for stream in self.batch),
        )

    @contextmanager
    def hold_online(self, deadline: float) -> Iterator[None]:
        """Take a slot for an online request, before any batch work.

        :param deadline: monotonic seconds at which it is given up.
        :yields: while the slot is held.
        :raises Refusal: when it cannot start in time; it did not run.
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
        """Count a batch stream that :meth:`may_start_batch` let in.

        :param stream: the stream.
        """
        check_promise(
            not self._waiting,
            Promise.no_blocking_behind_batch,
            'batch work starts while online work waits',
        )
        stream.is_stopped = False
        self.batch.add(stream)

    def remove_batch(self, stream: BatchStream) -> None:
        """Give the slot of a batch stream back.

        :param stream: the stream; nothing happens where it holds none.
        """
        if stream in self.batch:
            self.batch.remove(stream)
            self._admit_next()

    def may_start_batch(self, *, is_one_run: bool = False) -> bool:
        """Tell whether one more batch stream may start now.

        :param is_one_run: whether it may not be stopped and run again.
        :returns: whether it may.
        """
        if not self.is_open or self.kind is GateKind.closed:
            return False
        if self.kind is not GateKind.learned:
            return len(self.batch) < self.batch_streams
        return policy.may_admit_batch(
            self.get_occupancy(),
            self.slots,
            is_one_run=is_one_run,
        )

    def watch_tokens(self) -> TokenWatch:
        """Watch the tokens of one stream.

        :returns: the watch; it ends with its block.
        """
        return TokenWatch(self)

    def _preempt_batch(self, arriving: int) -> None:
        occupancy = self.get_occupancy()
        count = policy.count_to_preempt(
            policy.Occupancy(
                occupancy.online,
                occupancy.online_waiting + arriving,
                occupancy.batch,
                occupancy.one_run,
            ),
            self.slots,
        )
        if not count:
            return
        preemptible = [
            stream
            for stream in self.batch
            if not stream.is_one_run and not stream.is_stopped
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

    Only streams that produce tokens count towards a step's time; one that
    is on its way to the upstream does not yet, one that was stopped not any
    more.

    :param gate: learns from the gaps.
    :param last: when the last token came, 0 before the first.
    :param others: streams that produced then.
    """

    gate: Gate
    last: float = 0
    others: int = 0

    def __enter__(self) -> TokenWatch:
        """Begin to watch."""
        return self

    def __exit__(self, *_details: object) -> None:
        """Count the stream no more."""
        if self.last:
            self.gate.producing -= 1

    def record_token(self) -> None:
        """Take in that a token came."""
        now = time.monotonic()
        gate = self.gate
        if self.last:
            streams = (self.others + gate.producing) / 2
            policy.note_gap(gate.model, streams, now - self.last)
        else:
            gate.producing += 1
        self.last = now
        self.others = gate.producing
