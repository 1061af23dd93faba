"""Finalizes jobs: ends cancelled ones, writes results, deletes claims."""

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
    ChunkContext,
    ChunkError,
    make_error,
)
from wigeonpier.batch.claims import Claim, Tally, add_tallies
from wigeonpier.batch.journal import JournalEndedError
from wigeonpier.batch.models import (
    DoneChunk,
    FinishedJob,
    JobStatus,
    make_finished_marker,
)
from wigeonpier.batch.results import name_stored_results
from wigeonpier.batch.takeover import claim_chunk, open_chunk
from wigeonpier.disk.client import write_all_copies
from wigeonpier.invariants import Invariant, check_invariant
from wigeonpier.loops import spawn_loop
from wigeonpier.platform import keys
from wigeonpier.platform.confirmedwrite import swap_confirmed
from wigeonpier.platform.port import Failure
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.records import Status
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wigeonpier.batch.models import Job
    from wigeonpier.disk.client import DiskClient
    from wigeonpier.entry.board import CachedJob, JobBoard
    from wigeonpier.membership.directory import Directory

SCAN_PERIOD_SECONDS = 0.5
AGE_POLL_SECONDS = 1.0
STANDBY_SECONDS = 5.0
WRITE_TIMEOUT_SECONDS = 8.0


@dataclass(slots=True)
class JobFinalizer:
    """Finalizes jobs together with the other entries.

    Rendezvous hashing chooses one entry for each job, which acts at once; the
    others act only when the job is not finalized some seconds later.  Acting
    twice is harmless, since every step is a compare-and-swap.

    :param board: jobs and claims.
    :param directory: live entries and data folders.
    :param disks: reaches data folders.
    :param context: returns what owners of chunks use now.
    :param address: address of this entry.
    """

    board: JobBoard
    directory: Directory
    disks: DiskClient
    context: Callable[[], ChunkContext]
    address: str
    _first_seen: dict[str, float] = field(default_factory=dict)
    _handling: set[str] = field(default_factory=set)

    def start(self) -> None:
        """Start the loops in the background."""
        spawn_loop('jobs', self._run)
        spawn_loop('ages', self._poll_ages)

    def _run(self) -> None:
        gevent.sleep(SCAN_PERIOD_SECONDS)
        for cached in list(self.board.jobs.values()):
            if cached.job.id not in self._handling:
                self._handling.add(cached.job.id)
                gevent.spawn(self._handle, cached)

    def _handle(self, cached: CachedJob) -> None:
        try:
            if cached.job.status is JobStatus.cancelling:
                if self._is_responsible(cached.job.id):
                    self._finish_cancelled(cached)
            elif cached.is_all_done and self._is_responsible(cached.job.id):
                self._finish(cached, JobStatus.completed)
        except (ChunkError, JournalEndedError) as problem:
            log_event(
                Event.chunk_failed,
                job=cached.job.id,
                problem=str(problem),
            )
        finally:
            self._handling.discard(cached.job.id)

    def _is_responsible(self, job: str) -> bool:
        entries = self.directory.list_entries()
        if not entries or rank_by_key(entries, job)[0] == self.address:
            return True
        first_seen = self._first_seen.setdefault(job, time.monotonic())
        return time.monotonic() - first_seen > STANDBY_SECONDS

    def _finish_cancelled(self, cached: CachedJob) -> None:
        platform = self.context().platform
        listed = platform.list_prefix(keys.name_claims(cached.job.id))
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
            index: self._cancel_chunk(cached, index, *claimed)
            for index, claimed in claims.items()
        }
        self._write_finished(cached, JobStatus.cancelled, ended)

    def _cancel_chunk(
        self,
        cached: CachedJob,
        index: int,
        claim: Claim,
        revision: int,
    ) -> Claim:
        """Fence the owner and write a result for each open item."""
        if claim.is_done:
            return claim
        context = self.context()
        own_claim, own_revision = claim_chunk(
            context, cached.job, index, claim, revision
        )
        chunk = open_chunk(context, cached.job, index, own_claim, own_revision)
        with closing(chunk.journal):
            _cancel_items(chunk)
            finished = chunk.finish()
        if isinstance(finished, Err):
            raise ChunkError('the cancelled chunk was not written')
        return chunk.claim

    def _finish(self, cached: CachedJob, status: JobStatus) -> None:
        claims = {
            index: cached_claim.claim
            for index, cached_claim in cached.claims.items()
        }
        self._write_finished(cached, status, claims)

    def _write_finished(
        self,
        cached: CachedJob,
        status: JobStatus,
        claims: dict[int, Claim],
    ) -> None:
        job = msgspec.structs.replace(cached.job, status=status)
        check_invariant(
            all(claim.is_done for claim in claims.values()),
            Invariant.exactly_one_result,
            f'{job.id} was finalized with unfinished chunks',
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
        written = swap_confirmed(
            self.context().platform,
            keys.name_results(job.customer, job.id),
            raw,
            0,
            lambda entry: entry.value == raw,
            WRITE_TIMEOUT_SECONDS,
        )
        if isinstance(written, Ok):
            log_event(Event.job_finished, job=job.id, status=status.value)
            self._store_on_disks(job, raw)
        if isinstance(written, Ok) or written.err_value is Failure.conflict:
            self._mark_ended(cached)

    def _store_on_disks(self, job: Job, raw: bytes) -> None:
        """Copy the record to the data folders, to be read without the service.

        Only the record that the key-value service accepted is copied, so that
        the two never differ.
        """
        write_all_copies(
            list(job.copies),
            lambda copy: self.disks.write_page(
                copy,
                name_stored_results(job.id),
                0,
                raw,
            ),
        )

    def _mark_ended(self, cached: CachedJob) -> None:
        """Mark a job as ended, then delete its claims.

        The key of the job stays, as a small tombstone: if it were deleted, a
        process that was paused while it accepted the job could create it
        again, and all items would run a second time.  The claims are deleted
        last, since a job without claims looks as if no item had run.
        """
        platform = self.context().platform
        job = cached.job
        written = platform.swap(
            keys.name_job(job.customer, job.id),
            msgspec.json.encode(make_finished_marker(job)),
            cached.revision,
        )
        if isinstance(written, Ok):
            # One call deletes all claims.  An owner that claims a chunk now
            # finds the tombstone.
            platform.delete_prefix(keys.name_claims(job.id))
            self._first_seen.pop(job.id, None)

    def _poll_ages(self) -> None:
        gevent.sleep(AGE_POLL_SECONDS)
        self.board.remove_ages()
        if self.board.jobs:
            gevent.joinall(
                [
                    gevent.spawn(self._poll_disk, disk.address)
                    for disk in self.directory.list_disks()
                ]
            )

    def _poll_disk(self, address: str) -> None:
        for segment in self.disks.list_ages(address) or ():
            name = (segment.job, segment.chunk, segment.fence)
            self.board.record_age(name, segment.age)


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
