"""Keeps jobs on a disk that were accepted during a store outage.

Each process with a disk writes its jobs to the store as soon as the store
accepts them.  Several may hold the same job: it is created only if absent, so
one of them succeeds and the others find it there.
"""

from __future__ import annotations

import time
import traceback
from collections import defaultdict
from contextlib import ExitStack
from dataclasses import replace
from enum import Enum
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import gevent
import msgspec
from gevent.event import Event as Signal
from result import Err, Ok

from wigeonpier.disk.storage import call_in_thread, open_folder, replace_file
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.jobparts import find_excess
from wigeonpier.loops import spawn_loop
from wigeonpier.models import DiskJob
from wigeonpier.platform.port import Failure
from wigeonpier.policy.placement import assign_items
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import Request, Response, answer_json
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.models import JobFence

INTAKE_PATH = '/intake/'
FOLDER_NAME = 'intake'
# All values of the largest job that can be written to the store.
MAX_JOB_BYTES = 12_000_000
# Several disks hold the same job; the jitter spreads their writes.
MAX_JITTER_SECONDS = 0.25
RETRY_PAUSE_SECONDS = 0.3
# Stands for an attempt of an earlier build; it is never refused.
UNNAMED_ATTEMPT = ''


class _HandOver(Enum):
    """Outcome of writing one job to the store."""

    done = 'done'
    failed = 'failed'
    store_away = 'store_away'


class DiskCopy(msgspec.Struct, frozen=True):
    """A copy of a job that is not in the store yet.

    :param attempts: ids of the attempts that stored it.
    """

    attempts: tuple[str, ...]


class Intake:
    """Keeps jobs on this disk until the store has them."""

    def __init__(
        self,
        folder: str,
        ledger: JobLedger,
        rng: random.Random,
    ) -> None:
        """Open the folder; jobs found there are written once started."""
        self.is_closed = False
        self._root = Path(folder) / FOLDER_NAME
        self._ledger = ledger
        self._rng = rng
        self._job_names = set(open_folder(self._root))
        # Jobs that this process has found to exceed a limit of the store.  They
        # stay on the disk, since a later build may split them.
        self._rejected: set[str] = set()
        # Attempts that stored each job since the start; a write to the disk
        # may be in progress.
        self._attempts: defaultdict[str, set[str]] = defaultdict(set)
        # Writes to the disk in progress.
        self._writing = 0
        self._has_work = Signal()
        self._has_work.set()

    @property
    def is_empty(self) -> bool:
        """Check whether all jobs have been written to the store."""
        return not self._job_names and not self._writing

    def count_rejected(self) -> int:
        """Count the jobs on this disk that the store never accepts.

        :returns: their number.
        """
        return len(self._rejected)

    def start(self) -> None:
        """Start writing jobs to the store."""
        spawn_loop('intake', self._step)

    def make_routes(self) -> list[Route]:
        """List the routes that entries call.

        :returns: the routes.
        """
        path = f'{INTAKE_PATH}([^/]+)'
        return [
            make_route('PUT', path, self._store_job),
            make_route('GET', path, self._describe_copy),
        ]

    def _store_job(self, request: Request, name: str) -> Response:
        if self.is_closed:
            raise Refusal(ErrorKind.leaving, 'this disk is being emptied')
        request.body_limit = MAX_JOB_BYTES
        raw = self._add_attempts(name, request.read_body())
        with ExitStack() as stack:
            self._writing += 1
            stack.callback(self._end_write)
            if self.is_closed:
                # It was ordered to be emptied while the body arrived.
                raise Refusal(ErrorKind.leaving, 'this disk is being emptied')
            try:
                call_in_thread(replace_file, self._root / name, raw)
            except OSError as error:
                self._raise_write_error(name, error)
            self._job_names.add(name)
        self._has_work.set()
        log_event(Event.job_held, job=name, size=len(raw))
        return Response(HTTPStatus.OK, b'{}')

    def _end_write(self) -> None:
        self._writing -= 1

    def _describe_copy(self, _request: Request, name: str) -> Response:
        """Answer whether this disk has a copy, or is writing one."""
        attempts = set(self._attempts.get(name, ()))
        if name in self._job_names:
            attempts |= self._read_attempts(name)
        if not attempts:
            raise Refusal(ErrorKind.not_found, f'no copy of {name}')
        return answer_json(DiskCopy(tuple(sorted(attempts))))

    def _add_attempts(self, name: str, raw: bytes) -> bytes:
        """Add the attempts of an earlier copy to a later one.

        A copy is dropped only once all attempts that stored it are refused.
        """
        disk_job = msgspec.json.decode(raw, type=DiskJob)
        attempts = self._attempts[name]
        attempts |= _list_attempts(disk_job)
        if name in self._job_names:
            attempts |= self._read_attempts(name)
        if attempts == set(disk_job.attempts):
            return raw
        return msgspec.json.encode(
            replace(disk_job, attempts=tuple(sorted(attempts)))
        )

    def _read_attempts(self, name: str) -> set[str]:
        try:
            return _list_attempts(self._read_copy(name))
        except (OSError, msgspec.DecodeError):
            # It is handed over just now, or its write was interrupted.
            return set()

    def _read_copy(self, name: str) -> DiskJob:
        raw = (self._root / name).read_bytes()
        return msgspec.json.decode(raw, type=DiskJob)

    def _raise_write_error(self, name: str, error: OSError) -> NoReturn:
        """Report that a full or faulty disk does not have a job.

        The original error is raised instead if an earlier copy may exist, or
        this one was renamed but its directory entry was not synced: it does
        not promise that there is no copy.
        """
        log_event(Event.job_unheld, job=name, why=str(error))
        if name in self._job_names or (self._root / name).exists():
            raise error
        self._attempts.pop(name, None)
        raise Refusal(ErrorKind.storage_down, str(error)) from error

    def _step(self) -> None:
        """Try each job once; one that fails does not delay the others."""
        self._has_work.wait()
        gevent.sleep(self._rng.uniform(0, MAX_JITTER_SECONDS))
        outcomes = []
        for name in sorted(self._job_names - self._rejected):
            outcomes.append(self._try_to_write(name))
            if outcomes[-1] is _HandOver.store_away:
                break
        if _HandOver.store_away in outcomes or _HandOver.failed in outcomes:
            gevent.sleep(RETRY_PAUSE_SECONDS)
        if not self._job_names - self._rejected:
            self._has_work.clear()

    def _try_to_write(self, name: str) -> _HandOver:
        try:
            return self._write_to_store(name)
        except Exception:
            log_event(
                Event.job_not_handed_over,
                job=name,
                trace=traceback.format_exc(),
            )
            return _HandOver.failed

    def _write_to_store(self, name: str) -> _HandOver:
        path = self._root / name
        try:
            disk_job = self._read_copy(name)
        except (OSError, msgspec.DecodeError) as error:
            # A write interrupted by a power loss was never confirmed.
            log_event(Event.job_unreadable, job=name, why=str(error))
            self._remove_copy(path)
            return _HandOver.done
        read = self._ledger.read_board()
        if isinstance(read, Err):
            return _HandOver.store_away
        board = read.ok_value
        fence = board.get_fence(name)
        if self._is_refused(name, disk_job, fence):
            log_event(Event.job_dropped, job=name, attempts=fence.attempts)
            self._remove_copy(path)
            return _HandOver.done
        owners = assign_items(
            name,
            len(disk_job.items),
            board.list_members(disk_job.job.service),
            list(board.jobs.values()),
            time.time(),
        )
        created = self._ledger.create(
            replace(disk_job.job, owners=owners),
            list(disk_job.items),
            fence=fence,
        )
        if created == Err(Failure.rejected):
            self._keep_rejected(name, disk_job)
            return _HandOver.done
        # After a conflict, either the store has the job or its fence has changed.
        is_stored = isinstance(created, Ok) or (
            created == Err(Failure.conflict)
            and self._ledger.fences.is_accepted(name) == Ok(True)
        )
        if not is_stored:
            return _HandOver.failed
        log_event(
            Event.job_handed_over, job=name, first=isinstance(created, Ok)
        )
        self._remove_copy(path)
        return _HandOver.done

    def _keep_rejected(self, name: str, disk_job: DiskJob) -> None:
        self._rejected.add(name)
        limits = self._ledger.store.limits
        excess = find_excess(name, list(disk_job.items), limits.value_bytes)
        log_event(Event.job_rejected, job=name, excess=excess)

    def _is_refused(
        self, name: str, disk_job: DiskJob, fence: JobFence
    ) -> bool:
        attempts = _list_attempts(disk_job) | self._attempts[name]
        return attempts <= set(fence.attempts)

    def _remove_copy(self, path: Path) -> None:
        path.unlink(missing_ok=True)
        self._job_names.discard(path.name)
        self._rejected.discard(path.name)
        self._attempts.pop(path.name, None)


def _list_attempts(disk_job: DiskJob) -> set[str]:
    """List the attempts that stored a job; an earlier build names none."""
    return set(disk_job.attempts) or {UNNAMED_ATTEMPT}
