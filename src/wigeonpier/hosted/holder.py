"""Stores jobs on disks while the key-value store does not accept them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.hosted.board import Board
from wigeonpier.hosted.intake import INTAKE_PATH, DiskCopy
from wigeonpier.loops import spawn_loop
from wigeonpier.models import DiskJob
from wigeonpier.platform.store import MIN_BYTES_PER_SECOND
from wigeonpier.web.client import CallFailure
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.models import DiskMember, HostSettings, JobItem, OpenJob
    from wigeonpier.web.pool import ConnectionPool

# A disk syncs in 1 to 2 ms.  Slower ones are not waited for, since a caller
# needs its answer within 0.4 s.
DISK_TIMEOUT_SECONDS = 0.15
# Interval for rereading the list of disks, one call to the store each time.
BOARD_REFRESH_SECONDS = 20.0
BOARD_CHECK_SECONDS = 1.0
# The disks write their jobs to the store within seconds of its recovery.
ASSUME_ON_DISK_SECONDS = 20.0


class CopyState(StrEnum):
    """Whether one disk has a copy of a job."""

    confirmed = 'confirmed'
    unsure = 'unsure'
    not_kept = 'not_kept'


@dataclass(slots=True)
class DiskWrite:
    """Outcome of storing a job on disks.

    :param copies: disks that confirmed the write.
    :param may_be_kept: whether any disk may have the job.
    """

    copies: int = 0
    may_be_kept: bool = False


@dataclass(frozen=True, slots=True)
class DiskCopies:
    """What the disks say about their copies of a job.

    :param attempts: ids of the attempts that have stored it.
    :param is_certain: whether no disk that may hold jobs was silent.
    """

    attempts: frozenset[str]
    is_certain: bool


def _ignore_board(_board: Board) -> None:
    """Ignore a board; the default callback."""


@dataclass(slots=True)
class DiskJobWriter:
    """Sends jobs to the processes with disks.

    :param settings: settings of the process.
    :param ledger: source of the board, which lists the disks.
    :param pool: connections to the disks.
    :param board: the board as last read.
    :param read_at: when it was read, seconds of the monotonic clock.
    :param stored_at: when each job was stored on disks, by id, likewise.
    :param on_board: called with each board that was read.
    :param wait: waits the given seconds; while the store is unreachable, until
        it answers again.
    :param silent_since: since when each disk has not answered, by name of its
        VM, likewise.
    """

    settings: HostSettings
    ledger: JobLedger
    pool: ConnectionPool
    board: Board = field(default_factory=Board)
    read_at: float = 0
    stored_at: dict[str, float] = field(default_factory=dict)
    on_board: Callable[[Board], object] = _ignore_board
    wait: Callable[[float], object] = gevent.sleep
    silent_since: dict[str, float] = field(default_factory=dict)

    @property
    def copies_needed(self) -> int:
        """Return the copies needed to survive the tolerated disk losses."""
        return self.settings.disks_lost + 1

    def start(self) -> None:
        """Start tracking which processes have a disk."""
        spawn_loop('board', self._step)

    def record_board(self, board: Board) -> None:
        """Use a board that was just read.

        :param board: the board.
        """
        self.board = board
        self.read_at = time.monotonic()
        self.on_board(board)

    def may_be_on_disk(self, name: str) -> bool:
        """Check whether disks may hold a job that the store lacks.

        :param name: id of the job.
        :returns: false only if each disk says that it has no copy; a disk
            that has been silent for as long as jobs have to be readable
            does not count.
        """
        if self._was_stored(name) or not self._has_current_board():
            return True
        found = self.find_copies(name)
        return bool(found.attempts) or not found.is_certain

    def was_accepted(self, name: str) -> bool:
        """Check whether this process knows that a job was accepted.

        :param name: id of the job.
        :returns: true if the board as last read has it, and for a limited time
            after this process stored it on disks.
        """
        return name in self.board.jobs or self._was_stored(name)

    def find_copies(self, name: str) -> DiskCopies:
        """Ask all disks that may hold jobs for their copies of one.

        :param name: id of the job.
        :returns: the copies, none once the store has the job.
        """
        asked = {
            disk.name: gevent.spawn(self._ask, disk, name)
            for disk in self._list_disks()
        }
        calls = list(asked.values())
        gevent.joinall(calls, timeout=DISK_TIMEOUT_SECONDS)
        gevent.killall(calls, block=False)
        answers = {disk: ask.value for disk, ask in asked.items()}
        self._record_answers(answers)
        return DiskCopies(
            frozenset().union(*(found or () for found in answers.values())),
            is_certain=not self._has_recently_silent(),
        )

    def store_on_disks(
        self, job: OpenJob, items: list[JobItem], attempt: str
    ) -> DiskWrite:
        """Store a job on all known disks.

        :param job: the job.
        :param items: its items.
        :param attempt: id of the attempt to accept it.
        :returns: how many disks confirmed it in time.
        """
        disks = list(self.board.disks.values())
        if len(disks) < self.copies_needed:
            return DiskWrite()
        body = msgspec.json.encode(DiskJob(job, tuple(items), (attempt,)))
        sends = [
            gevent.spawn(self._send, disk, job.name, body) for disk in disks
        ]
        gevent.joinall(sends, timeout=2 * _choose_timeout(body))
        copies = [send.value or CopyState.unsure for send in sends]
        gevent.killall(sends, block=False)
        disk_write = DiskWrite(
            copies.count(CopyState.confirmed),
            may_be_kept=set(copies) != {CopyState.not_kept},
        )
        if disk_write.copies >= self.copies_needed:
            self._record_stored(job.name)
        return disk_write

    def _list_disks(self) -> list[DiskMember]:
        """List the disks that may hold jobs, also those that are away."""
        homes = {name: home.member for name, home in self.board.homes.items()}
        return list((homes | self.board.disks).values())

    def _has_current_board(self) -> bool:
        """Read which disks there are, unless it was read just before."""
        if time.monotonic() - self.read_at < BOARD_CHECK_SECONDS:
            return True
        read = self.ledger.read_board()
        if isinstance(read, Ok):
            self.record_board(read.ok_value)
        return isinstance(read, Ok)

    def _record_answers(
        self, answers: Mapping[str, tuple[str, ...] | None]
    ) -> None:
        """Record which disks do not answer, and since when."""
        now = time.monotonic()
        self.silent_since = {
            disk: self.silent_since.get(disk, now)
            for disk, found in answers.items()
            if found is None
        }

    def _has_recently_silent(self) -> bool:
        oldest = time.monotonic() - self.settings.bounds.job_readable
        return any(since > oldest for since in self.silent_since.values())

    def _was_stored(self, name: str) -> bool:
        moment = self.stored_at.get(name)
        return (
            moment is not None
            and time.monotonic() - moment < ASSUME_ON_DISK_SECONDS
        )

    def _record_stored(self, name: str) -> None:
        now = time.monotonic()
        self.stored_at = {
            other: moment
            for other, moment in self.stored_at.items()
            if now - moment < ASSUME_ON_DISK_SECONDS
        }
        self.stored_at[name] = now

    def _ask(self, disk: DiskMember, name: str) -> tuple[str, ...] | None:
        """Ask a disk for its copy.

        :returns: the attempts that have stored it, none if it has no copy;
            ``None`` if it does not say.
        """
        raw = make_request('GET', INTAKE_PATH + name, [('Host', disk.address)])
        replied = self.pool.call(disk.address, raw, DISK_TIMEOUT_SECONDS)
        if isinstance(replied, Err):
            return None
        reply = replied.ok_value
        if reply.status == HTTPStatus.NOT_FOUND:
            return ()
        return reply.decode(DiskCopy).attempts if reply.is_good else None

    def _send(self, disk: DiskMember, name: str, body: bytes) -> CopyState:
        headers = [('Host', disk.address)]
        raw = make_request('PUT', INTAKE_PATH + name, headers, body)
        replied = self.pool.call(disk.address, raw, _choose_timeout(body))
        if replied == Err(CallFailure.not_sent):
            return CopyState.not_kept
        if isinstance(replied, Err):
            return CopyState.unsure
        if replied.ok_value.status == HTTPStatus.SERVICE_UNAVAILABLE:
            # The answer of a disk that is full or shutting down; it has no
            # copy.
            return CopyState.not_kept
        return (
            CopyState.confirmed
            if replied.ok_value.is_good
            else CopyState.unsure
        )

    def _step(self) -> None:
        age = time.monotonic() - self.read_at
        if (
            age > BOARD_REFRESH_SECONDS
            or len(self.board.disks) < self.copies_needed
        ):
            read = self.ledger.read_board(allow_stale=True)
            if isinstance(read, Ok):
                self.record_board(read.ok_value)
        self.wait(BOARD_CHECK_SECONDS)


def _choose_timeout(body: bytes) -> float:
    """Choose how long a disk may take to store a job, seconds."""
    return DISK_TIMEOUT_SECONDS + len(body) / MIN_BYTES_PER_SECOND
