"""Runs the items of owned chunks as far as the gate admits them."""

from __future__ import annotations

import time
import traceback
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event as Signal

from wigeonpier.batch.journal import JournalEndedError
from wigeonpier.batch.models import CHAT_PATH, TEXT_PATH, Job
from wigeonpier.invariants import (
    Invariant,
    InvariantError,
    check_invariant,
)
from wigeonpier.local.engine import Engine, Run, RunEnd, prepare_body
from wigeonpier.local.gate import BatchStream, Gate
from wigeonpier.local.loneitems import LoneItems
from wigeonpier.loops import spawn_loop
from wigeonpier.policy.loneturn import Turn
from wigeonpier.records import Failure, Outcome, Release, Status

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.batch.chunk import Chunk, Item
    from wigeonpier.local.chunks import OwnedChunks
    from wigeonpier.local.upstream import UpstreamWatch
    from wigeonpier.telemetry.metrics import Metrics

QUEUE_AHEAD_SECONDS = 2.0
MIN_QUEUED_ITEMS = 4
START_INTERVAL_SECONDS = 0.25
RELEASE_POLL_SECONDS = 0.02
RATE_SMOOTHING = 0.9
FIRST_ERROR_STATUS = 400
SERVICES = '/services/'
HOLDING_TURNS = frozenset((Turn.nobody, Turn.pause_others))


@dataclass(slots=True, eq=False)
class ActiveItem:
    """An item that runs, or is paused until a slot is free.

    :param chunk: its chunk.
    :param item: the item.
    :param stream: its stream as the gate counts it.
    :param is_alone: whether no other batch item has run beside it.
    :param started_at: seconds of the monotonic clock.
    :param resumed: set when it holds a slot again or is abandoned.
    """

    chunk: Chunk
    item: Item
    stream: BatchStream
    is_alone: bool = False
    started_at: float = field(default_factory=time.monotonic)
    resumed: Signal = field(default_factory=Signal)

    def stop(self) -> None:
        """Stop the run; the upstream retains its state for a while."""
        if not self.stream.is_stopped:
            self.stream.is_stopped = True
            self.stream.stop()

    def pause(self) -> None:
        """Stop the run for others if it can be resumed."""
        if not self.stream.is_run_once:
            self.stop()


def _ignore() -> None:
    """Do nothing until a handler is set."""


@dataclass(slots=True)
class Worker:
    """Runs the items of the owned chunks.

    :param gate: decides what may start.
    :param engine: runs items at the upstream.
    :param watch: monitors the health of the upstream.
    :param owned_chunks: chunks that this process owns.
    :param metrics: metrics of this process.
    :param lone_items: items that run alone.
    :param on_queue_low: called when the last ready item of a chunk starts.
    """

    gate: Gate
    engine: Engine
    watch: UpstreamWatch
    owned_chunks: OwnedChunks
    metrics: Metrics
    lone_items: LoneItems = field(default_factory=LoneItems)
    on_queue_low: Callable[[], None] = _ignore
    _paused: deque[ActiveItem] = field(default_factory=deque)
    _running: set[ActiveItem] = field(default_factory=set)
    _items_per_second: float = 0
    _completed_items: int = 0

    def start(self) -> None:
        """Start running items."""
        self.owned_chunks.on_ready = self.gate.room_event.set
        self.owned_chunks.on_drop = self._stop_chunk
        spawn_loop('pump', self._start_items)
        spawn_loop('rate', self._measure_rate)

    def count_wanted(self) -> int:
        """Compute how many more items to request.

        :returns: number of items; 0 while the gate has no room, the upstream
            is unhealthy, or chunks are being claimed.
        """
        if not self.owned_chunks.is_open or self.owned_chunks.claiming:
            return 0
        if not self.watch.is_healthy or not self.gate.may_start_batch():
            return 0
        room = self.gate.slots - self.gate.running
        wanted = max(
            MIN_QUEUED_ITEMS,
            int(self._items_per_second * QUEUE_AHEAD_SECONDS),
            room,
        )
        return max(0, wanted - self.owned_chunks.count_ready())

    def leave(self, seconds: float) -> int:
        """Release all chunks so that other processes can take them over.

        Items that may run again are stopped; the others finish first.

        :param seconds: maximum time to wait.
        :returns: number of chunks that were not released in time.
        """
        self.owned_chunks.is_open = False
        chunks = list(self.owned_chunks.chunks.values())
        gevent.joinall(
            [gevent.spawn(self._release_chunk, chunk) for chunk in chunks],
            timeout=seconds,
        )
        return len(self.owned_chunks.chunks)

    def _release_chunk(self, chunk: Chunk) -> None:
        chunk.ready.clear()
        chunk.suspects.clear()
        self._stop_chunk(chunk, spare_run_once=True)
        while any(active.chunk is chunk for active in self._running):
            gevent.sleep(RELEASE_POLL_SECONDS)
        if self.owned_chunks.owns(chunk):
            self.owned_chunks.drop(chunk)
            chunk.release_claim()

    def _stop_chunk(
        self, chunk: Chunk, *, spare_run_once: bool = False
    ) -> None:
        active_items = [
            active for active in self._running if active.chunk is chunk
        ]
        for active in active_items:
            if active in self._paused:
                self._paused.remove(active)
                active.resumed.set()
            elif not (spare_run_once and active.stream.is_run_once):
                active.stop()

    def _start_items(self) -> None:
        self.lone_items.judge_losses(self.owned_chunks, self._guard)
        while self.watch.is_healthy and self._start_one():
            gevent.sleep(0)
        self.gate.room_event.clear()
        self.gate.room_event.wait(START_INTERVAL_SECONDS)

    def _start_one(self) -> bool:
        if not self.gate.is_open:
            return False
        chunks = sorted(self.owned_chunks.chunks.values(), key=_rank_chunk)
        turn = self.lone_items.choose_turn(
            chunks, self.gate.batch, has_paused=bool(self._paused)
        )
        if turn is Turn.pause_others:
            for active in self._running.difference(self._paused):
                active.pause()
        if turn in HOLDING_TURNS or not self.gate.may_start_batch():
            return False
        if turn is Turn.alone:
            return self._start_alone(chunks)
        return self._start_other(chunks, turn is Turn.others)

    def _start_other(self, chunks: list[Chunk], may_run_once: bool) -> bool:
        if self._paused:
            active = self._paused.popleft()
            self.lone_items.admit_other()
            self.gate.add_batch(active.stream)
            active.resumed.set()
            return True
        return any(
            self._start_from_chunk(chunk, may_run_once) for chunk in chunks
        )

    def _start_from_chunk(self, chunk: Chunk, may_run_once: bool) -> bool:
        if not chunk.ready:
            return False
        is_run_once = _is_run_once(chunk, chunk.ready[0])
        if is_run_once and not may_run_once:
            return False
        if not self.gate.may_start_batch(is_run_once=is_run_once):
            return False
        self.lone_items.admit_other()
        self._spawn(chunk, chunk.ready.popleft(), alone=False)
        if not chunk.ready:
            self.on_queue_low()
        return True

    def _start_alone(self, chunks: list[Chunk]) -> bool:
        taken = self.lone_items.take_next(chunks)
        if taken is None:
            return False
        self._spawn(*taken, alone=True)
        return True

    def _spawn(self, chunk: Chunk, item: Item, *, alone: bool) -> None:
        stream = BatchStream(
            slack=chunk.job.deadline - time.time(),
            is_run_once=_is_run_once(chunk, item),
        )
        active = ActiveItem(chunk, item, stream)
        self._running.add(active)
        self.gate.add_batch(stream)
        if alone:
            self.lone_items.start_solitude(active)
        gevent.spawn(self._run, active)

    def _run(self, active: ActiveItem) -> None:
        self._guard(
            active.chunk,
            lambda: self._run_item(active),
            lambda: self._remove(active),
        )

    def _remove(self, active: ActiveItem) -> None:
        self.lone_items.end_solitude(active)
        self.gate.remove_batch(active.stream)
        self._running.discard(active)

    def _guard(
        self,
        chunk: Chunk,
        work: Callable[[], None],
        clean_up: Callable[[], None] = _ignore,
    ) -> None:
        """Do work on a chunk, and finish or release the chunk after it."""
        try:
            work()
        except JournalEndedError:
            # The chunk may have a newer owner, so nothing more is written.
            chunk.is_lost = True
        except InvariantError:
            raise
        except Exception:
            # The chunk would wait for this item forever, so another owner
            # has to take it over.
            self.owned_chunks.release_after_fault(chunk, traceback.format_exc())
        finally:
            clean_up()
        if not chunk.is_lost:
            self.owned_chunks.finish_if_settled(chunk)

    def _run_item(self, active: ActiveItem) -> None:
        chunk = active.chunk
        if chunk.is_lost:
            # The job was cancelled between the spawn and the start of this
            # greenlet.
            return
        check_invariant(
            chunk.job.id not in self.owned_chunks.cancelled_jobs,
            Invariant.cancelled_job_stops,
            f'{chunk.name} starts an item of a cancelled job',
        )
        started_at = time.monotonic()
        chunk.record_start(active.item, alone=active.is_alone)
        self.metrics.observe(
            'added_latency',
            time.monotonic() - started_at,
            service=chunk.job.service,
            work='batch',
        )
        run = _make_run(active)
        if run.is_stream:
            active.stream.stop = lambda: self.engine.stop(run)
        end = self._advance(active, run)
        if not chunk.is_lost:
            self.metrics.count('batch_runs_total', end=end.value)
            self._record_end(active, end, run)

    def _advance(self, active: ActiveItem, run: Run) -> RunEnd:
        """Run an item to its end; it is paused while online work preempts it."""
        while True:
            end = RunEnd.stopped
            if not active.stream.is_stopped:
                end = self.engine.advance(run)
            if end is not RunEnd.stopped or self._is_abandoned(active):
                return end
            self.lone_items.end_solitude(active)
            self.gate.remove_batch(active.stream)
            active.resumed.clear()
            paused_at = time.monotonic()
            self._paused.append(active)
            active.resumed.wait()
            self.metrics.observe(
                'queueing',
                time.monotonic() - paused_at,
                service=active.chunk.job.service,
                work='batch',
            )
            if self._is_abandoned(active):
                return RunEnd.stopped

    def _is_abandoned(self, active: ActiveItem) -> bool:
        return active.chunk.is_lost or not self.owned_chunks.is_open

    def _record_end(self, active: ActiveItem, end: RunEnd, run: Run) -> None:
        chunk, item = active.chunk, active.item
        if end in {RunEnd.lost, RunEnd.not_run}:
            self.watch.is_healthy = False
        match end:
            case RunEnd.answered:
                chunk.write(_make_outcome(item, run))
                self._completed_items += 1
                return
            case RunEnd.not_run | RunEnd.stopped:
                chunk.write(Release(item.index))
            case RunEnd.failed:
                chunk.write(self._make_failure_record(item, run))
            case RunEnd.lost:
                self.lone_items.record_loss(active)
        if end in {RunEnd.lost, RunEnd.not_run}:
            self.lone_items.on_loss()
        if self.owned_chunks.is_open:
            chunk.plan(item)

    def _make_failure_record(self, item: Item, run: Run) -> Failure | Release:
        if item.is_idempotent and not self.watch.check():
            # The upstream itself is unhealthy: do not count it as a failure
            # of the item.
            return Release(item.index)
        return Failure(item.index, f'the upstream answered {run.code}')

    def _measure_rate(self) -> None:
        gevent.sleep(1)
        latest = (1 - RATE_SMOOTHING) * self._completed_items
        self._items_per_second = (
            RATE_SMOOTHING * self._items_per_second + latest
        )
        self._completed_items = 0


def _rank_chunk(chunk: Chunk) -> tuple[int, str, int]:
    return chunk.job.deadline, chunk.job.id, chunk.index


def _is_run_once(chunk: Chunk, item: Item) -> bool:
    return not item.is_idempotent or not _is_streamable(chunk.job)


def _is_streamable(job: Job) -> bool:
    return job.url in {CHAT_PATH, TEXT_PATH}


def _make_run(active: ActiveItem) -> Run:
    chunk, item = active.chunk, active.item
    is_stream = _is_streamable(chunk.job)
    parts = (chunk.job.id, chunk.index, item.index, chunk.claim.fence)
    return Run(
        identity='-'.join(map(str, parts)),
        path=_find_path(chunk.job),
        body=prepare_body(bytes(item.line.body), is_stream),
        is_stream=is_stream,
    )


def _find_path(job: Job) -> str:
    if not job.url.startswith(SERVICES):
        return job.url
    _service, _, rest = job.url.removeprefix(SERVICES).partition('/')
    return f'/{rest}'


def _make_outcome(item: Item, run: Run) -> Outcome:
    is_success = run.code < FIRST_ERROR_STATUS
    return Outcome(
        item.index,
        Status.succeeded if is_success else Status.failed,
        item.line.custom_id,
        run.code,
        msgspec.Raw(run.answer or b'null'),
        run.usage.usage.prompt_tokens if is_success else 0,
        run.usage.usage.completion_tokens if is_success else 0,
    )
