"""Brings jobs to their end: cancels, finishes, clears away."""

from __future__ import annotations

import time
from contextlib import closing
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.batch.chunk import (
    Chunk,
    ChunkProblemError,
    Workshop,
    make_error,
)
from wigeonpier.batch.claims import Claim, Tally, add_tallies
from wigeonpier.batch.journal import JournalEndedError
from wigeonpier.batch.models import (
    DoneChunk,
    FinishedJob,
    JobStatus,
    mark_ended,
)
from wigeonpier.batch.results import name_kept_results
from wigeonpier.batch.takeover import claim_chunk, open_chunk
from wigeonpier.disk.client import write_everywhere
from wigeonpier.invariants import Promise, check_promise
from wigeonpier.loops import spawn_loop
from wigeonpier.platform import keys
from wigeonpier.platform.certain import swap_certainly
from wigeonpier.platform.port import Failure
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.records import Status
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wigeonpier.batch.models import Job
    from wigeonpier.disk.client import DiskClient
    from wigeonpier.entry.board import HeldJob, JobBoard
    from wigeonpier.membership.directory import Directory

PERIOD_SECONDS = 0.5
AGES_SECONDS = 1.0
STAND_IN_SECONDS = 5.0
WRITE_SECONDS = 8.0


@dataclass(slots=True)
class JobKeeper:
    """Looks after all jobs, together with the other entries.

    Each job has one entry that acts at once, by rendezvous; the others act
    only when nothing has happened for a while.  Acting twice is harmless,
    since every step is a compare-and-swap.

    :param board: jobs and claims.
    :param directory: live entries and data folders.
    :param disks: reaches data folders.
    :param workshop: gives what owners of chunks use now.
    :param address: this entry.
    """

    board: JobBoard
    directory: Directory
    disks: DiskClient
    workshop: Callable[[], Workshop]
    address: str
    _seen_since: dict[str, float] = field(default_factory=dict)
    _attending: set[str] = field(default_factory=set)

    def start(self) -> None:
        """Begin to look after jobs."""
        spawn_loop('jobs', self._run)
        spawn_loop('ages', self._poll_ages)

    def _run(self) -> None:
        gevent.sleep(PERIOD_SECONDS)
        for held in list(self.board.jobs.values()):
            if held.job.id not in self._attending:
                self._attending.add(held.job.id)
                gevent.spawn(self._attend, held)

    def _attend(self, held: HeldJob) -> None:
        try:
            if held.job.status is JobStatus.cancelling:
                if self._is_my_turn(held.job.id):
                    self._end_cancelled(held)
            elif held.is_all_done and self._is_my_turn(held.job.id):
                self._finish(held, JobStatus.completed)
        except (ChunkProblemError, JournalEndedError) as problem:
            log_event(
                Event.chunk_failed,
                job=held.job.id,
                problem=str(problem),
            )
        finally:
            self._attending.discard(held.job.id)

    def _is_my_turn(self, job: str) -> bool:
        entries = self.directory.list_entries()
        if not entries or rank_by_key(entries, job)[0] == self.address:
            return True
        since = self._seen_since.setdefault(job, time.monotonic())
        return time.monotonic() - since > STAND_IN_SECONDS

    def _end_cancelled(self, held: HeldJob) -> None:
        platform = self.workshop().platform
        listed = platform.list_prefix(keys.name_claims(held.job.id))
        if isinstance(listed, Err):
            return
        claims = {
            keys.parse_chunk(entry.key)[1]: (
                msgspec.json.decode(entry.value, type=Claim),
                entry.revision,
            )
            for entry in listed.ok_value.entries
        }
        ended = {
            index: self._cancel_chunk(held, index, *known)
            for index, known in claims.items()
        }
        self._write_finished(held, JobStatus.cancelled, ended)

    def _cancel_chunk(
        self,
        held: HeldJob,
        index: int,
        claim: Claim,
        revision: int,
    ) -> Claim:
        """Fence the owner and give each open item its result."""
        if claim.is_done:
            return claim
        workshop = self.workshop()
        mine, taken = claim_chunk(workshop, held.job, index, claim, revision)
        chunk = open_chunk(workshop, held.job, index, mine, taken)
        with closing(chunk.journal):
            _cancel_items(chunk)
            finished = chunk.finish()
        if isinstance(finished, Err):
            raise ChunkProblemError('the cancelled chunk was not written')
        return chunk.claim

    def _finish(self, held: HeldJob, status: JobStatus) -> None:
        claims = {index: kept.claim for index, kept in held.claims.items()}
        self._write_finished(held, status, claims)

    def _write_finished(
        self,
        held: HeldJob,
        status: JobStatus,
        claims: dict[int, Claim],
    ) -> None:
        job = msgspec.structs.replace(held.job, status=status)
        check_promise(
            all(claim.is_done for claim in claims.values()),
            Promise.exactly_one_result,
            f'{job.id} ends with chunks in work',
        )
        finished = FinishedJob(
            job=job,
            chunks=tuple(
                DoneChunk(index, claim.segments[-1])
                for index, claim in sorted(claims.items())
            ),
            tally=_total_results(job, claims.values()),
            finished=int(time.time()),
        )
        raw = msgspec.json.encode(finished)
        wrote = swap_certainly(
            self.workshop().platform,
            keys.name_results(job.customer, job.id),
            raw,
            0,
            lambda entry: entry.value == raw,
            WRITE_SECONDS,
        )
        if isinstance(wrote, Ok):
            log_event(Event.job_finished, job=job.id, status=status.value)
            self._keep_on_disks(job, raw)
        if isinstance(wrote, Ok) or wrote.err_value is Failure.conflict:
            self._clear(held)

    def _keep_on_disks(self, job: Job, raw: bytes) -> None:
        """Keep the record beside the data, for when the service is down.

        Only what won in the service is kept, so that the two never differ.
        """
        write_everywhere(
            list(job.copies),
            lambda copy: self.disks.write_page(
                copy,
                name_kept_results(job.id),
                0,
                raw,
            ),
        )

    def _clear(self, held: HeldJob) -> None:
        """Mark a job as ended, then delete its claims.

        The key of the job stays, as a small mark: were it deleted, a process
        that was paused while it accepted the job could write it again, and
        all of it would run anew.  The claims go last, since a job without
        them looks as if nothing of it had run.
        """
        platform = self.workshop().platform
        job = held.job
        wrote = platform.swap(
            keys.name_job(job.customer, job.id),
            msgspec.json.encode(mark_ended(job)),
            held.revision,
        )
        if isinstance(wrote, Ok):
            # One call for all claims; who claims one now finds the mark.
            platform.delete_prefix(keys.name_claims(job.id))
            self._seen_since.pop(job.id, None)

    def _poll_ages(self) -> None:
        gevent.sleep(AGES_SECONDS)
        self.board.forget_ages()
        if self.board.jobs:
            gevent.joinall(
                [
                    gevent.spawn(self._poll_disk, disk.address)
                    for disk in self.directory.list_disks()
                ]
            )

    def _poll_disk(self, address: str) -> None:
        for told in self.disks.list_ages(address) or ():
            name = (told.job, told.chunk, told.fence)
            self.board.note_age(name, told.age)


def _cancel_items(chunk: Chunk) -> None:
    chunk.write(
        *(
            make_error(item, Status.cancelled, 'the job was cancelled')
            for item in (*chunk.ready, *chunk.suspects)
        )
    )


def _total_results(job: Job, claims: Iterable[Claim]) -> Tally:
    total = add_tallies([claim.tally for claim in claims])
    never_started = job.items - total.items
    return msgspec.structs.replace(
        total,
        cancelled=total.cancelled + never_started,
    )
