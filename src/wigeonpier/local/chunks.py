"""Claims, finishes and releases the chunks that this process owns."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.batch.chunk import Chunk, ChunkContext, ChunkError
from wigeonpier.batch.journal import JournalEnd, JournalEndedError
from wigeonpier.batch.models import FINISHED_STATUSES, Job, JobStatus
from wigeonpier.batch.takeover import claim_chunk, open_chunk
from wigeonpier.membership.upstreamlosses import UpstreamLosses
from wigeonpier.platform.keys import name_chunk, name_job
from wigeonpier.platform.port import Failure as PlatformFailure
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.membership.messages import Offer
    from wigeonpier.platform.port import Entry

FINISH_RETRY_SECONDS = 1.0
MAX_FINISH_RETRY_SECONDS = 10.0

ChunkKey = tuple[str, int]


def _ignore_chunk(_chunk: Chunk) -> None:
    """Do nothing until a handler is set."""


def _ignore_ready() -> None:
    """Do nothing until a handler is set."""


@dataclass(slots=True)
class OwnedChunks:
    """The chunks that this process owns.

    :param context: services and limits that owners of chunks share; replaced
        when the configuration changes.
    :param losses: recent crashes of upstreams.
    :param chunks: owned chunks by job and index.
    :param claiming: chunks that are being claimed.
    :param cancelled_jobs: ids of jobs that are known to be cancelled.
    :param is_open: false once the process is leaving.
    :param on_ready: called after each claim, when a chunk may be ready to run.
    :param on_drop: called with a chunk whose runs have to stop.
    """

    context: ChunkContext
    losses: UpstreamLosses = field(default_factory=UpstreamLosses)
    chunks: dict[ChunkKey, Chunk] = field(default_factory=dict)
    claiming: set[ChunkKey] = field(default_factory=set)
    cancelled_jobs: set[str] = field(default_factory=set)
    is_open: bool = True
    on_ready: Callable[[], None] = _ignore_ready
    on_drop: Callable[[Chunk], None] = _ignore_chunk

    def list_owned_jobs(self) -> tuple[str, ...]:
        """List the jobs of the owned chunks.

        :returns: ids of jobs.
        """
        return tuple(sorted({job for job, _index in self.chunks}))

    def count_ready(self) -> int:
        """Count the items that are ready to start.

        :returns: number of items.
        """
        return sum(len(chunk.ready) for chunk in self.chunks.values())

    def claim_offers(self, offers: tuple[Offer, ...]) -> None:
        """Claim chunks that an entry process offers.

        :param offers: the offers.
        """
        for offer in offers:
            key = (offer.job.id, offer.chunk)
            if self.is_open and key not in self.claiming | set(self.chunks):
                self.claiming.add(key)
                gevent.spawn(self._claim, offer)

    def stop_jobs(self, jobs: tuple[str, ...]) -> None:
        """Stop the items of cancelled jobs at once and release their chunks.

        An entry process takes the chunks over and writes the results.

        :param jobs: ids of jobs.
        """
        self.cancelled_jobs.update(jobs)
        for chunk in list(self.chunks.values()):
            if chunk.job.id in jobs:
                self.drop(chunk)
                gevent.spawn(chunk.release_claim)

    def drop(self, chunk: Chunk) -> None:
        """Stop all work on a chunk and write nothing more to its journal.

        :param chunk: the chunk.
        """
        chunk.is_lost = True
        self.chunks.pop(_get_key(chunk), None)
        self.on_drop(chunk)
        chunk.journal.close()

    def release_after_fault(self, chunk: Chunk, problem: str) -> None:
        """Release a chunk to another owner after an error in this process.

        :param chunk: the chunk.
        :param problem: description of the error for the log.
        """
        log_event(Event.chunk_failed, chunk=chunk.name, problem=problem)
        if self.owns(chunk):
            self.drop(chunk)
            chunk.release_claim()

    def owns(self, chunk: Chunk) -> bool:
        """Check whether this process owns a chunk.

        :param chunk: the chunk.
        :returns: whether it does.
        """
        return self.chunks.get(_get_key(chunk)) is chunk

    def finish_if_settled(self, chunk: Chunk) -> None:
        """Mark a chunk as done if all of its items have results.

        :param chunk: the chunk.
        """
        if not self.owns(chunk) or not chunk.is_settled:
            return
        self.chunks.pop(_get_key(chunk))
        pause = FINISH_RETRY_SECONDS
        while not _finish_once(chunk):
            # Meanwhile the open journal shows that the owner is alive.
            gevent.sleep(pause)
            pause = min(MAX_FINISH_RETRY_SECONDS, pause * 2)
        chunk.journal.close()

    def _claim(self, offer: Offer) -> None:
        try:
            self._claim_or_fail(offer)
        except (ChunkError, JournalEndedError) as problem:
            log_event(
                Event.chunk_not_opened,
                job=offer.job.id,
                chunk=offer.chunk,
                problem=str(problem),
            )
        finally:
            self.claiming.discard((offer.job.id, offer.chunk))
        self.on_ready()

    def _claim_or_fail(self, offer: Offer) -> None:
        job = offer.job
        claim, revision = claim_chunk(
            self.context,
            job,
            offer.chunk,
            offer.claim,
            offer.revision,
        )
        if offer.claim and offer.claim.owner:
            lost = offer.claim
            self.losses.record(f'{lost.owner}/{lost.token}', lost.owner)
        self._check_job(job, offer.chunk, revision)
        chunk = open_chunk(self.context, job, offer.chunk, claim, revision)
        self.chunks[_get_key(chunk)] = chunk
        if job.id in self.cancelled_jobs:
            # The job was cancelled while the chunk was being opened.
            self.stop_jobs((job.id,))
            return
        gevent.spawn(self._watch_journal, chunk)
        self.finish_if_settled(chunk)

    def _check_job(self, job: Job, index: int, revision: int) -> None:
        """Check the status of the job after its chunk was claimed.

        Cancellation marks the job first and lists the claims afterwards, so
        either this check sees the mark or cancellation sees the claim.
        """
        platform = self.context.platform
        read = platform.get(name_job(job.customer, job.id))
        if isinstance(read, Err):
            raise ChunkError('the job cannot be read')
        status = _read_status(read.ok_value)
        if status in FINISHED_STATUSES:
            platform.swap(name_chunk(job.id, index), None, revision)
        if status is not JobStatus.in_progress:
            raise ChunkError(f'the job is {status}')

    def _watch_journal(self, chunk: Chunk) -> None:
        """Drop a chunk as soon as a newer owner has claimed it."""
        while not chunk.is_lost:
            journal = chunk.journal
            journal.ended_event.wait()
            ended = journal.ended
            if ended and ended.end is JournalEnd.fenced:
                log_event(Event.chunk_lost, chunk=chunk.name)
                self.drop(chunk)
            if not self.owns(chunk):
                return
            gevent.sleep(FINISH_RETRY_SECONDS)
        if self.owns(chunk):
            # Another owner claimed the chunk while its journal was moving.
            log_event(Event.chunk_lost, chunk=chunk.name)
            self.drop(chunk)


def _finish_once(chunk: Chunk) -> bool:
    finished = chunk.finish()
    if isinstance(finished, Ok):
        log_event(Event.chunk_done, chunk=chunk.name)
        return True
    if finished.err_value is PlatformFailure.conflict:
        log_event(Event.chunk_lost, chunk=chunk.name)
        return True
    return False


def _get_key(chunk: Chunk) -> ChunkKey:
    return chunk.job.id, chunk.index


def _read_status(entry: Entry | None) -> JobStatus:
    if entry is None:
        return JobStatus.completed
    return msgspec.json.decode(entry.value, type=Job).status
