"""Writes one segment of a journal to all of its copies, in batches."""

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
    """Reason why a segment accepts no more records."""

    fenced = 'fenced'
    copy_lost = 'copy_lost'
    closed = 'closed'


class JournalEndedError(Exception):
    """A record was not written to every copy, so that it does not count.

    :param end: why the segment accepts no more records.
    :param lost: incarnations of the copies that could not be written.
    """

    def __init__(self, end: JournalEnd, lost: frozenset[str]) -> None:
        """Store the reason and the lost copies."""
        super().__init__(end.value)
        self.end = end
        self.lost = lost


class JournalWriter:
    """Appends records; a record counts once every copy has it.

    While there is nothing to write, an empty append every
    ``KEEPALIVE_SECONDS`` shows the folders that the owner is alive.
    """

    def __init__(
        self,
        disks: DiskClient,
        name: tuple[str, int, int],
        copies: tuple[str, ...],
    ) -> None:
        """Start writing the segment ``name`` to the folders ``copies``."""
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
        """Return why the segment ended, ``None`` while it is writable."""
        return self._ended

    def commit(self, records: Iterable[Record]) -> None:
        """Write records and wait until every copy has them.

        :param records: records in order.
        :raises JournalEndedError: when they were not written to every copy.
        """
        if self._ended:
            raise self._ended
        self._lines += [encode_record(record) for record in records]
        waiter = self._waiter
        self._wake.set()
        waiter.get()

    def close(self) -> None:
        """Stop writing; pending commits fail."""
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
                # Closed during a write: fail the waiting commits, otherwise
                # their items would count as running forever.
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
            # Copies that already have the lines are written to again: this
            # adds nothing but shows that the owner is alive.
            failures = self._write_once(lines)
            if DiskFailure.fenced in failures.values():
                return JournalEndedError(JournalEnd.fenced, frozenset())
            missing = tuple(failures)
            if not missing:
                return None
            is_permanent = not _PERMANENT_FAILURES.isdisjoint(failures.values())
            if is_permanent or time.monotonic() > deadline:
                return JournalEndedError(
                    JournalEnd.copy_lost,
                    frozenset(missing),
                )
            gevent.sleep(RETRY_INTERVAL_SECONDS)

    def _write_once(self, lines: bytes) -> dict[str, DiskFailure]:
        greenlets = {
            copy: gevent.spawn(self._append, copy, lines)
            for copy in self.copies
        }
        gevent.joinall(list(greenlets.values()))
        return {
            copy: greenlet.value.err_value
            for copy, greenlet in greenlets.items()
            if isinstance(greenlet.value, Err)
        }

    def _append(self, copy: str, lines: bytes) -> Result[int, DiskFailure]:
        appended = self._disks.append(copy, self._name, self.size, lines)
        end = self.size + len(lines)
        if isinstance(appended, Ok) and appended.ok_value < end:
            return Err(DiskFailure.other_folder)
        return appended
