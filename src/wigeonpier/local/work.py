"""Runs items of owned chunks while the gate lets it."""

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
    BrokenPromiseError,
    Promise,
    check_promise,
)
from wigeonpier.local.engine import Engine, Run, RunEnd, prepare_body
from wigeonpier.local.gate import BatchStream, Gate
from wigeonpier.loops import spawn_loop
from wigeonpier.policy.attempts import note_loss
from wigeonpier.records import Failure, Outcome, Release, Status

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.batch.chunk import Chunk, Item
    from wigeonpier.local.stock import Stock
    from wigeonpier.local.upstream import UpstreamWatch
    from wigeonpier.telemetry.metrics import Metrics

STOCK_SECONDS = 2.0
LEAST_STOCK = 4
PUMP_SECONDS = 0.25
HAND_OVER_STEP_SECONDS = 0.02
RATE_MEMORY = 0.9
FIRST_ERROR_STATUS = 400
SERVICES = '/services/'


@dataclass(slots=True, eq=False)
class Turn:
    """An item that runs, or is paused and waits for a slot.

    :param chunk: its chunk.
    :param item: the item.
    :param stream: its place at the gate.
    :param go: set when it holds a slot again, or has to give up.
    """

    chunk: Chunk
    item: Item
    stream: BatchStream
    go: Signal = field(default_factory=Signal)

    def stop(self) -> None:
        """Make the run end, with its state kept for a while."""
        if not self.stream.is_stopped:
            self.stream.is_stopped = True
            self.stream.stop()


def _ignore_low() -> None:
    """Do nothing before a reporter listens."""


@dataclass(slots=True)
class Worker:
    """Runs the items of the stock.

    :param gate: decides what may start.
    :param engine: the upstream.
    :param watch: tells whether the upstream is well.
    :param stock: chunks that this process owns.
    :param metrics: numbers of this process.
    :param on_low: called when work at hand runs out.
    """

    gate: Gate
    engine: Engine
    watch: UpstreamWatch
    stock: Stock
    metrics: Metrics
    on_low: Callable[[], None] = _ignore_low
    _paused: deque[Turn] = field(default_factory=deque)
    _running: set[Turn] = field(default_factory=set)
    _rate: float = 0
    _done_since: int = 0

    def start(self) -> None:
        """Begin to run items."""
        self.stock.on_new = self.gate.on_room.set
        self.stock.on_drop = self._stop_chunk
        spawn_loop('pump', self._pump)
        spawn_loop('rate', self._measure_rate)

    def count_wanted(self) -> int:
        """Tell how many more items are wanted at hand.

        :returns: items; none while the gate has no room or the upstream is
            not well.
        """
        if not self.stock.is_open or self.stock.claiming:
            return 0
        if not self.watch.is_well or not self.gate.may_start_batch():
            return 0
        room = self.gate.slots - self.gate.running
        wanted = max(LEAST_STOCK, int(self._rate * STOCK_SECONDS), room)
        return max(0, wanted - self.stock.count_ready())

    def leave(self, seconds: float) -> int:
        """Hand all chunks over: stop items that may stop, await others.

        :param seconds: longest wait.
        :returns: chunks that could not be handed over in time.
        """
        self.stock.is_open = False
        chunks = list(self.stock.chunks.values())
        gevent.joinall(
            [gevent.spawn(self._hand_over, chunk) for chunk in chunks],
            timeout=seconds,
        )
        return len(self.stock.chunks)

    def _hand_over(self, chunk: Chunk) -> None:
        chunk.ready.clear()
        chunk.suspects.clear()
        self._stop_chunk(chunk, spare_one_run=True)
        while any(turn.chunk is chunk for turn in self._running):
            gevent.sleep(HAND_OVER_STEP_SECONDS)
        if self.stock.owns(chunk):
            self.stock.let_go(chunk)
            chunk.give_back()

    def _stop_chunk(self, chunk: Chunk, *, spare_one_run: bool = False) -> None:
        turns = [turn for turn in self._running if turn.chunk is chunk]
        for turn in turns:
            if turn in self._paused:
                self._paused.remove(turn)
                turn.go.set()
            elif not (spare_one_run and turn.stream.is_one_run):
                turn.stop()

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
        chunks = sorted(self.stock.chunks.values(), key=_rank_chunk)
        return any(self._start_from(chunk) for chunk in chunks)

    def _start_from(self, chunk: Chunk) -> bool:
        if chunk.ready:
            is_one_run = _is_one_run(chunk, chunk.ready[0])
            if not self.gate.may_start_batch(is_one_run=is_one_run):
                return False
            self._spawn(chunk, chunk.ready.popleft(), alone=False)
            if not chunk.ready:
                self.on_low()
            return True
        if chunk.suspects and not self.gate.batch and not self._paused:
            self._spawn(chunk, chunk.suspects.popleft(), alone=True)
            return True
        return False

    def _spawn(self, chunk: Chunk, item: Item, *, alone: bool) -> None:
        stream = BatchStream(
            slack=chunk.job.deadline - time.time(),
            is_one_run=_is_one_run(chunk, item),
        )
        turn = Turn(chunk, item, stream)
        self._running.add(turn)
        self.gate.add_batch(stream)
        gevent.spawn(self._run, turn, alone)

    def _run(self, turn: Turn, alone: bool) -> None:
        try:
            self._run_or_lose(turn, alone)
        except JournalEndedError:
            # A newer owner goes on; nothing more may be done here.
            turn.chunk.is_lost = True
        except BrokenPromiseError:
            raise
        except Exception:
            # The item would be waited for in vain; another owner goes on.
            self.stock.hand_back(turn.chunk, traceback.format_exc())
        finally:
            self.gate.remove_batch(turn.stream)
            self._running.discard(turn)
        if not turn.chunk.is_lost:
            self.stock.finish_if_settled(turn.chunk)

    def _run_or_lose(self, turn: Turn, alone: bool) -> None:
        chunk = turn.chunk
        if chunk.is_lost:
            # Its job ended after the turn was given and before it was taken.
            return
        check_promise(
            chunk.job.id not in self.stock.stopped,
            Promise.cancelled_job_stops,
            f'{chunk.name} starts an item',
        )
        started = time.monotonic()
        chunk.begin(turn.item, alone=alone)
        self.metrics.observe(
            'added_latency',
            time.monotonic() - started,
            service=chunk.job.service,
            work='batch',
        )
        run = _make_run(turn)
        if run.is_stream:
            turn.stream.stop = lambda: self.engine.stop(run)
        end = self._advance(turn, run)
        if not chunk.is_lost:
            self.metrics.count('batch_runs_total', end=end.value)
            self._note_end(chunk, turn.item, end, run)

    def _advance(self, turn: Turn, run: Run) -> RunEnd:
        """Run an item to its end, with pauses while online work comes."""
        while True:
            end = RunEnd.stopped
            if not turn.stream.is_stopped:
                end = self.engine.advance(run)
            if end is not RunEnd.stopped or self._is_over(turn):
                return end
            self.gate.remove_batch(turn.stream)
            turn.go.clear()
            paused = time.monotonic()
            self._paused.append(turn)
            turn.go.wait()
            self.metrics.observe(
                'queueing',
                time.monotonic() - paused,
                service=turn.chunk.job.service,
                work='batch',
            )
            if self._is_over(turn):
                return RunEnd.stopped

    def _is_over(self, turn: Turn) -> bool:
        return turn.chunk.is_lost or not self.stock.is_open

    def _note_end(
        self,
        chunk: Chunk,
        item: Item,
        end: RunEnd,
        run: Run,
    ) -> None:
        match end:
            case RunEnd.answered:
                chunk.write(_make_outcome(item, run))
                self._done_since += 1
                return
            case RunEnd.not_run | RunEnd.stopped:
                chunk.write(Release(item.index))
            case RunEnd.failed:
                chunk.write(self._judge_failure(item, run))
            case RunEnd.lost:
                note_loss(chunk.ledgers[item.index])
        if end in {RunEnd.lost, RunEnd.not_run}:
            self.watch.is_well = False
        if self.stock.is_open:
            chunk.plan(item)

    def _judge_failure(self, item: Item, run: Run) -> Failure | Release:
        if item.is_idempotent and not self.watch.check():
            # The upstream is in trouble of its own; the item is not blamed.
            return Release(item.index)
        return Failure(item.index, f'the upstream answered {run.code}')

    def _measure_rate(self) -> None:
        gevent.sleep(1)
        newest = (1 - RATE_MEMORY) * self._done_since
        self._rate = RATE_MEMORY * self._rate + newest
        self._done_since = 0


def _rank_chunk(chunk: Chunk) -> tuple[int, str, int]:
    return chunk.job.deadline, chunk.job.id, chunk.index


def _is_one_run(chunk: Chunk, item: Item) -> bool:
    return not item.is_idempotent or not _can_stream(chunk.job)


def _can_stream(job: Job) -> bool:
    return job.url in {CHAT_PATH, TEXT_PATH}


def _make_run(turn: Turn) -> Run:
    chunk, item = turn.chunk, turn.item
    is_stream = _can_stream(chunk.job)
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
