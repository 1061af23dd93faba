"""Chunks that this process owns: claimed, finished, handed over, lost."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.batch.chunk import Chunk, ChunkProblemError, Workshop
from wigeonpier.batch.journal import JournalEnd, JournalEndedError
from wigeonpier.batch.models import ENDED, Job, JobStatus
from wigeonpier.batch.takeover import claim_chunk, open_chunk
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
    """Do nothing before a worker listens."""


def _ignore_ready() -> None:
    """Do nothing before a worker listens."""


@dataclass(slots=True)
class OwnedChunks:
    """Owns chunks.

    :param context: what owners of chunks use; made anew by configuration.
    :param chunks: chunks in work.
    :param claiming: chunks that are being claimed.
    :param cancelled_jobs: jobs that are known to be cancelled.
    :param is_open: false once the process leaves.
    :param on_ready: called when a chunk is ready to run.
    :param on_drop: called with a chunk whose runs have to stop.
    """

    context: Workshop
    chunks: dict[ChunkKey, Chunk] = field(default_factory=dict)
    claiming: set[ChunkKey] = field(default_factory=set)
    cancelled_jobs: set[str] = field(default_factory=set)
    is_open: bool = True
    on_ready: Callable[[], None] = _ignore_ready
    on_drop: Callable[[Chunk], None] = _ignore_chunk

    def list_owned_jobs(self) -> tuple[str, ...]:
        """List jobs of whose chunks this process owns some.

        :returns: ids of jobs.
        """
        return tuple(sorted({job for job, _index in self.chunks}))

    def count_ready(self) -> int:
        """Count the items that could start.

        :returns: items at hand.
        """
        return sum(len(chunk.ready) for chunk in self.chunks.values())

    def claim_offers(self, offers: tuple[Offer, ...]) -> None:
        """Claim offered chunks.

        :param offers: chunks from an entry.
        """
        for offer in offers:
            key = (offer.job.id, offer.chunk)
            if self.is_open and key not in self.claiming | set(self.chunks):
                self.claiming.add(key)
                gevent.spawn(self._claim, offer)

    def stop_jobs(self, jobs: tuple[str, ...]) -> None:
        """Stop work on cancelled jobs at once.

        Their chunks are taken over by an entry, which writes the results.

        :param jobs: ids of jobs.
        """
        self.cancelled_jobs.update(jobs)
        for chunk in list(self.chunks.values()):
            if chunk.job.id in jobs:
                self.drop(chunk)
                gevent.spawn(chunk.release_claim)

    def drop(self, chunk: Chunk) -> None:
        """Own a chunk no more; nothing of it may run or be written.

        :param chunk: the chunk.
        """
        chunk.is_lost = True
        self.chunks.pop(_get_key(chunk), None)
        self.on_drop(chunk)
        chunk.journal.close()

    def release_after_fault(self, chunk: Chunk, problem: str) -> None:
        """Give a chunk to another owner after a fault here.

        :param chunk: the chunk.
        :param problem: what happened, for the log.
        """
        log_event(Event.chunk_failed, chunk=chunk.name, problem=problem)
        if self.owns(chunk):
            self.drop(chunk)
            chunk.release_claim()

    def owns(self, chunk: Chunk) -> bool:
        """Tell whether a chunk is in work here.

        :param chunk: the chunk.
        :returns: whether it is.
        """
        return self.chunks.get(_get_key(chunk)) is chunk

    def finish_if_settled(self, chunk: Chunk) -> None:
        """Make the results of a chunk readable once it has all of them.

        :param chunk: the chunk.
        """
        if not self.owns(chunk) or not chunk.is_settled:
            return
        self.chunks.pop(_get_key(chunk))
        pause = FINISH_RETRY_SECONDS
        while not _finish_once(chunk):
            # The journal goes on to show that the owner lives meanwhile.
            gevent.sleep(pause)
            pause = min(MAX_FINISH_RETRY_SECONDS, pause * 2)
        chunk.journal.close()

    def _claim(self, offer: Offer) -> None:
        try:
            self._claim_or_fail(offer)
        except (ChunkProblemError, JournalEndedError) as problem:
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
        self._check_job(job, offer.chunk, revision)
        chunk = open_chunk(self.context, job, offer.chunk, claim, revision)
        self.chunks[_get_key(chunk)] = chunk
        if job.id in self.cancelled_jobs:
            # Its job was cancelled while it was opened.
            self.stop_jobs((job.id,))
            return
        gevent.spawn(self._watch_journal, chunk)
        self.finish_if_settled(chunk)

    def _check_job(self, job: Job, index: int, revision: int) -> None:
        """Look at the job after its chunk was claimed.

        Cancelling lists the claims after it marks the job, so that one of
        the two sees the other.
        """
        platform = self.context.platform
        seen = platform.get(name_job(job.customer, job.id))
        if isinstance(seen, Err):
            raise ChunkProblemError('the job cannot be read')
        status = _read_status(seen.ok_value)
        if status in ENDED:
            platform.swap(name_chunk(job.id, index), None, revision)
        if status is not JobStatus.in_progress:
            raise ChunkProblemError(f'the job is {status}')

    def _watch_journal(self, chunk: Chunk) -> None:
        """Let a chunk go as soon as a newer owner has it."""
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
            # Another owner was faster while the journal went on elsewhere.
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
