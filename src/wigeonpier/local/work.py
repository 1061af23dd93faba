"""Draws batch work towards idle capacity and runs it."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event as Signal
from result import Ok

from wigeonpier.batch.chunk import (
    Chunk,
    ChunkProblemError,
    Item,
    Workshop,
    claim_chunk,
    open_chunk,
)
from wigeonpier.batch.journal import JournalEndedError
from wigeonpier.batch.models import CHAT_PATH, TEXT_PATH, Job, JobStatus
from wigeonpier.batch.records import Failure, Outcome, Release, Status
from wigeonpier.local.engine import Engine, Run, RunEnd, prepare_body
from wigeonpier.local.gate import BatchStream, Gate
from wigeonpier.loops import spawn_loop
from wigeonpier.platform.keys import name_chunk, name_job
from wigeonpier.platform.port import Failure as PlatformFailure
from wigeonpier.policy.attempts import note_loss
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.local.upstream import UpstreamWatch
    from wigeonpier.membership.messages import Offer
    from wigeonpier.telemetry.metrics import Metrics

STOCK_SECONDS = 2.0
LEAST_STOCK = 4
PUMP_SECONDS = 0.25
FINISH_GAP_SECONDS = 1.0
HAND_OVER_STEP_SECONDS = 0.02
RATE_MEMORY = 0.9
FIRST_ERROR_STATUS = 400
SERVICES = '/services/'


@dataclass(slots=True, eq=False)
class Turn:
    """An item that waits for a slot, new or paused.

    :param chunk: its chunk.
    :param item: the item.
    :param stream: its place at the gate.
    :param go: set when it holds a slot.
    """

    chunk: Chunk
    item: Item
    stream: BatchStream
    go: Signal = field(default_factory=Signal)


def _ignore_low() -> None:
    """Do nothing before a reporter listens."""


@dataclass(slots=True)
class Worker:
    """Owns chunks and runs their items while the gate lets it.

    :param gate: decides what may start.
    :param engine: the upstream.
    :param watch: tells whether the upstream is well.
    :param workshop: what owners of chunks use; made anew by configuration.
    :param metrics: numbers of this process.
    :param chunks: chunks in work by job and index.
    :param on_low: called when work at hand runs out.
    :param is_open: false once the process leaves.
    """

    gate: Gate
    engine: Engine
    watch: UpstreamWatch
    workshop: Workshop
    metrics: Metrics
    chunks: dict[tuple[str, int], Chunk] = field(default_factory=dict)
    on_low: Callable[[], None] = _ignore_low
    is_open: bool = True
    _claiming: set[tuple[str, int]] = field(default_factory=set)
    _paused: deque[Turn] = field(default_factory=deque)
    _running: set[Turn] = field(default_factory=set)
    _rate: float = 0
    _done_since: int = 0

    def start(self) -> None:
        """Begin to run items."""
        spawn_loop('pump', self._pump)
        spawn_loop('rate', self._measure_rate)

    def count_wanted(self) -> int:
        """Tell how many more items are wanted at hand.

        :returns: items; none while the gate has no room or the upstream is
            not well.
        """
        if not self.is_open or not self.watch.is_well or self._claiming:
            return 0
        if not self.gate.may_start_batch():
            return 0
        room = self.gate.slots - self.gate.running
        stock = max(LEAST_STOCK, int(self._rate * STOCK_SECONDS), room)
        at_hand = sum(len(chunk.ready) for chunk in self.chunks.values())
        return max(0, stock - at_hand)

    def list_held(self) -> tuple[str, ...]:
        """List jobs of whose chunks this process owns some.

        :returns: ids of jobs.
        """
        return tuple(sorted({job for job, _index in self.chunks}))

    def take_offers(self, offers: tuple[Offer, ...]) -> None:
        """Claim offered chunks.

        :param offers: chunks from an entry.
        """
        for offer in offers:
            key = (offer.job.id, offer.chunk)
            if self.is_open and key not in self._claiming | set(self.chunks):
                self._claiming.add(key)
                gevent.spawn(self._claim, offer)

    def drop_jobs(self, jobs: tuple[str, ...]) -> None:
        """Stop work on cancelled jobs at once.

        Their chunks are taken over by an entry, which writes the results.

        :param jobs: ids of jobs.
        """
        for key, chunk in list(self.chunks.items()):
            if chunk.job.id in jobs:
                self._let_go(key, chunk)
                gevent.spawn(chunk.give_back)

    def leave(self, seconds: float) -> None:
        """Hand all chunks over: stop items that may stop, await others.

        :param seconds: longest wait.
        """
        self.is_open = False
        gevent.joinall(
            [
                gevent.spawn(self._hand_over, key, chunk)
                for key, chunk in self.chunks.items()
            ],
            timeout=seconds,
        )

    def _hand_over(self, key: tuple[str, int], chunk: Chunk) -> None:
        chunk.ready.clear()
        chunk.suspects.clear()
        for turn in [turn for turn in self._paused if turn.chunk is chunk]:
            self._paused.remove(turn)
            turn.go.set()
        for turn in list(self._running):
            if turn.chunk is chunk and not turn.stream.is_one_run:
                turn.stream.is_stopped = True
                turn.stream.stop()
        while any(turn.chunk is chunk for turn in self._running):
            gevent.sleep(HAND_OVER_STEP_SECONDS)
        if self.chunks.get(key) is chunk:
            self._let_go(key, chunk)
            chunk.give_back()

    def _claim(self, offer: Offer) -> None:
        key = (offer.job.id, offer.chunk)
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
            self._claiming.discard(key)
        self.gate.on_room.set()

    def _claim_or_fail(self, offer: Offer) -> None:
        job = offer.job
        workshop = self.workshop
        claim, revision = claim_chunk(
            workshop,
            job,
            offer.chunk,
            offer.claim,
            offer.revision,
        )
        # Cancelling lists the claims after it marks the job, so that one of
        # the two sees the other.
        seen = workshop.platform.get(name_job(job.customer, job.id))
        if isinstance(seen, Ok) and seen.ok_value is None:
            workshop.platform.swap(
                name_chunk(job.id, offer.chunk),
                None,
                revision,
            )
        if not isinstance(seen, Ok) or not _is_running(seen.ok_value):
            raise ChunkProblemError('the job was cancelled or is finished')
        chunk = open_chunk(
            workshop,
            job,
            offer.chunk,
            claim,
            revision,
        )
        self.chunks[job.id, offer.chunk] = chunk
        gevent.spawn(self._watch_journal, chunk)
        self._finish_if_settled(chunk)

    def _watch_journal(self, chunk: Chunk) -> None:
        journal = chunk.journal
        journal.on_end.wait()
        key = (chunk.job.id, chunk.index)
        ended = journal.ended
        if ended and ended.end == 'fenced' and self.chunks.get(key) is chunk:
            log_event(Event.chunk_lost, chunk=chunk.name)
            self._let_go(key, chunk)

    def _let_go(self, key: tuple[str, int], chunk: Chunk) -> None:
        chunk.is_lost = True
        self.chunks.pop(key, None)
        for turn in list(self._running):
            if turn.chunk is chunk and not turn.stream.is_stopped:
                turn.stream.is_stopped = True
                turn.stream.stop()
        for turn in [turn for turn in self._paused if turn.chunk is chunk]:
            self._paused.remove(turn)
            turn.go.set()
        chunk.journal.close()

    def _pump(self) -> None:
        while self.watch.is_well and self._start_one():
            gevent.sleep(0)
        self.gate.on_room.clear()
        self.gate.on_room.wait(PUMP_SECONDS)

    def _start_one(self) -> bool:
        if not self.gate.may_start_batch():
            return False
        if self._paused:
            turn = self._paused.popleft()
            self.gate.add_batch(turn.stream)
            turn.go.set()
            return True
        for chunk in sorted(self.chunks.values(), key=_rank_chunk):
            if self._start_from(chunk):
                return True
        return False

    def _start_from(self, chunk: Chunk) -> bool:
        if chunk.ready:
            if len(chunk.ready) == 1:
                self.on_low()
            item = chunk.ready[0]
            if not self.gate.may_start_batch(
                is_one_run=not item.is_idempotent,
            ):
                return False
            self._spawn(chunk, chunk.ready.popleft(), alone=False)
            return True
        if chunk.suspects and not self.gate.batch and not self._paused:
            self._spawn(chunk, chunk.suspects.popleft(), alone=True)
            return True
        return False

    def _spawn(self, chunk: Chunk, item: Item, *, alone: bool) -> None:
        stream = BatchStream(
            slack=chunk.job.deadline - time.time(),
            is_one_run=not item.is_idempotent or not _can_stream(chunk.job),
            stop=lambda: None,
        )
        turn = Turn(chunk, item, stream)
        self._running.add(turn)
        self.gate.add_batch(stream)
        gevent.spawn(self._run, turn, alone)

    def _run(self, turn: Turn, alone: bool) -> None:
        chunk, item = turn.chunk, turn.item
        try:
            chunk.begin(item, alone=alone)
            end, run = self._execute(turn)
            if not chunk.is_lost:
                self._note_end(chunk, item, end, run)
        except JournalEndedError:
            # A newer owner goes on; nothing more may be done here.
            chunk.is_lost = True
        finally:
            self.gate.remove_batch(turn.stream)
            self._running.discard(turn)
        if not chunk.is_lost:
            self._finish_if_settled(chunk)

    def _execute(self, turn: Turn) -> tuple[RunEnd, Run]:
        chunk, item = turn.chunk, turn.item
        is_stream = _can_stream(chunk.job)
        run = Run(
            identity=(
                f'{chunk.job.id}-{chunk.index}-{item.index}-{chunk.claim.fence}'
            ),
            path=_find_path(chunk.job),
            body=prepare_body(bytes(item.line.body), is_stream),
            is_stream=is_stream,
        )
        if is_stream:
            turn.stream.stop = lambda: self.engine.stop(run)
        while True:
            end = RunEnd.stopped
            if not turn.stream.is_stopped:
                end = self.engine.advance(run)
            if end is not RunEnd.stopped or chunk.is_lost or not self.is_open:
                return end, run
            self.gate.remove_batch(turn.stream)
            turn.go.clear()
            self._paused.append(turn)
            turn.go.wait()
            if chunk.is_lost or not self.is_open:
                return RunEnd.stopped, run

    def _note_end(
        self,
        chunk: Chunk,
        item: Item,
        end: RunEnd,
        run: Run,
    ) -> None:
        self.metrics.count('batch_runs_total', end=end.value)
        match end:
            case RunEnd.answered:
                chunk.write(_make_outcome(item, run))
                self._done_since += 1
            case RunEnd.not_run | RunEnd.stopped:
                chunk.write(Release(item.index))
                chunk.plan(item)
            case RunEnd.failed:
                self._note_failure(chunk, item, run)
            case RunEnd.lost:
                self.watch.is_well = False
                note_loss(chunk.ledgers[item.index])
                chunk.plan(item)
        if end is RunEnd.not_run:
            self.watch.is_well = False

    def _note_failure(self, chunk: Chunk, item: Item, run: Run) -> None:
        reason = f'the upstream answered {run.code}'
        if item.is_idempotent and not self.watch.check():
            # The upstream is in trouble of its own; the item is not blamed.
            chunk.write(Release(item.index))
        else:
            chunk.write(Failure(item.index, reason))
        chunk.plan(item)

    def _finish_if_settled(self, chunk: Chunk) -> None:
        key = (chunk.job.id, chunk.index)
        if self.chunks.get(key) is not chunk or not chunk.is_settled:
            return
        self.chunks.pop(key)
        pause = 0.0
        while True:
            finished = chunk.finish()
            if isinstance(finished, Ok):
                log_event(Event.chunk_done, chunk=chunk.name)
                break
            if finished.err_value is PlatformFailure.conflict:
                log_event(Event.chunk_lost, chunk=chunk.name)
                break
            # The journal goes on to show that the owner lives meanwhile.
            pause = min(10, pause + FINISH_GAP_SECONDS)
            gevent.sleep(pause)
        chunk.journal.close()

    def _measure_rate(self) -> None:
        gevent.sleep(1)
        done, self._done_since = self._done_since, 0
        self._rate = RATE_MEMORY * self._rate + (1 - RATE_MEMORY) * done


def _is_running(entry: object) -> bool:
    value = getattr(entry, 'value', None)
    if value is None:
        return False
    job = msgspec.json.decode(value, type=Job)
    return job.status is JobStatus.in_progress


def _rank_chunk(chunk: Chunk) -> tuple[int, str, int]:
    return chunk.job.deadline, chunk.job.id, chunk.index


def _can_stream(job: Job) -> bool:
    return job.url in {CHAT_PATH, TEXT_PATH}


def _find_path(job: Job) -> str:
    if not job.url.startswith(SERVICES):
        return job.url
    _service, _, rest = job.url.removeprefix(SERVICES).partition('/')
    return f'/{rest}'


def _make_outcome(item: Item, run: Run) -> Outcome:
    is_good = run.code < FIRST_ERROR_STATUS
    return Outcome(
        item.index,
        Status.succeeded if is_good else Status.failed,
        item.line.custom_id,
        run.code,
        msgspec.Raw(run.answer or b'null'),
        run.usage.usage.prompt_tokens if is_good else 0,
        run.usage.usage.completion_tokens if is_good else 0,
    )
