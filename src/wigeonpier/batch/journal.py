"""Writes one segment to all of its copies, many records at a time."""

from __future__ import annotations

import time
from enum import StrEnum
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult
from gevent.event import Event as Signal
from result import Err, Ok, Result

from wigeonpier.batch.records import encode_record
from wigeonpier.disk.client import DiskFailure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.disk.client import DiskClient
    from wigeonpier.records import Record

KEEPALIVE_SECONDS = 1.0
COPY_TIMEOUT_SECONDS = 3.0
RETRY_INTERVAL_SECONDS = 0.1


_PERMANENT_FAILURES = frozenset((DiskFailure.other_folder, DiskFailure.broken))


class JournalEnd(StrEnum):
    """Why nothing more can be written to a segment."""

    fenced = 'fenced'
    copy_lost = 'copy_lost'
    closed = 'closed'


class JournalEndedError(Exception):
    """A record that was not counted.

    :param end: why.
    :param lost: copies that could not be reached.
    """

    def __init__(self, end: JournalEnd, lost: frozenset[str]) -> None:
        """Keep why."""
        super().__init__(end.value)
        self.end = end
        self.lost = lost


class JournalWriter:
    """Appends records; a record counts when every copy has it.

    While nothing is to be written an empty append once a second shows the
    folders that the owner lives.
    """

    def __init__(
        self,
        disks: DiskClient,
        name: tuple[str, int, int],
        copies: tuple[str, ...],
    ) -> None:
        """Write the segment ``name`` to ``copies``."""
        self.copies = copies
        self.size = 0
        self._disks = disks
        self._name = name
        self._lines: list[bytes] = []
        self._waiter: AsyncResult[None] = AsyncResult()
        self._wake = Signal()
        self._ended: JournalEndedError | None = None
        self.ended_event = Signal()
        self._loop = gevent.spawn(self._run)

    @property
    def ended(self) -> JournalEndedError | None:
        """Tell why nothing more can be written, ``None`` while it can."""
        return self._ended

    def commit(self, records: Iterable[Record]) -> None:
        """Write records and wait until they count.

        :param records: what happened, in order.
        :raises JournalEndedError: when they do not count.
        """
        if self._ended:
            raise self._ended
        self._lines += [encode_record(record) for record in records]
        waiter = self._waiter
        self._wake.set()
        waiter.get()

    def close(self) -> None:
        """Write nothing more."""
        if self._ended is None:
            self._end(JournalEndedError(JournalEnd.closed, frozenset()))
        self._loop.kill(block=False)

    def _run(self) -> None:
        while self._ended is None:
            self._wake.wait(KEEPALIVE_SECONDS)
            self._wake.clear()
            lines = b''.join(self._lines)
            waiter = self._waiter
            self._lines = []
            self._waiter = AsyncResult()
            try:
                failure = self._write(lines)
            except gevent.GreenletExit:
                # Closed in the middle of a write: whoever waits for it must
                # hear so, or its item is taken to run for ever.
                closed = JournalEndedError(JournalEnd.closed, frozenset())
                waiter.set_exception(self._ended or closed)
                raise
            if failure is None:
                self.size += len(lines)
                waiter.set(None)
            else:
                waiter.set_exception(failure)
                self._end(failure)

    def _end(self, failure: JournalEndedError) -> None:
        self._ended = failure
        self._waiter.set_exception(failure)
        self.ended_event.set()

    def _write(self, lines: bytes) -> JournalEndedError | None:
        deadline = time.monotonic() + COPY_TIMEOUT_SECONDS
        while True:
            # Copies that have the lines already are written to again, which
            # adds nothing there but shows that the owner lives.
            answers = self._write_once(lines)
            if DiskFailure.fenced in answers.values():
                return JournalEndedError(JournalEnd.fenced, frozenset())
            missing = tuple(answers)
            if not missing:
                return None
            is_gone = not _PERMANENT_FAILURES.isdisjoint(answers.values())
            if is_gone or time.monotonic() > deadline:
                return JournalEndedError(
                    JournalEnd.copy_lost,
                    frozenset(missing),
                )
            gevent.sleep(RETRY_INTERVAL_SECONDS)

    def _write_once(self, lines: bytes) -> dict[str, DiskFailure]:
        workers = {
            copy: gevent.spawn(self._append, copy, lines)
            for copy in self.copies
        }
        gevent.joinall(list(workers.values()))
        return {
            copy: worker.value.err_value
            for copy, worker in workers.items()
            if isinstance(worker.value, Err)
        }

    def _append(self, copy: str, lines: bytes) -> Result[int, DiskFailure]:
        appended = self._disks.append(copy, self._name, self.size, lines)
        end = self.size + len(lines)
        if isinstance(appended, Ok) and appended.ok_value < end:
            return Err(DiskFailure.other_folder)
        return appended
