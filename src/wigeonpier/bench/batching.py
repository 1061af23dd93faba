"""Continuous batching of a stand-in engine, in real time."""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from errno import ECONNRESET
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event as Signal
from gevent.queue import Queue

from wigeonpier.bench.answers import make_token
from wigeonpier.bench.prefixes import PrefixCache
from wigeonpier.loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Iterator

END = None
BATCH_MARK = 'batch_'


class EngineGoneError(ConnectionError):
    """The engine crashed under a stream."""


@dataclass(frozen=True, slots=True)
class EngineShape:
    """How fast an engine is.

    :param step_seconds: time of a step with one stream.
    :param step_per_stream: further time for each further stream, seconds.
    :param prefill_per_token: time for each prompt token not cached, seconds.
    :param most_streams: streams in one batch; more wait in their order.
    :param cache_blocks: blocks of prompt starts that memory holds.
    :param kept_streams: cancelled streams that memory holds.
    """

    step_seconds: float = 0.012
    step_per_stream: float = 0.0005
    prefill_per_token: float = 0.00004
    most_streams: int = 64
    cache_blocks: int = 4096
    kept_streams: int = 64


@dataclass(slots=True)
class Sequence:
    """One stream of an engine.

    :param identity: the caller's id.
    :param model: model that answers.
    :param prompt: whole prompt.
    :param length: tokens of the answer.
    :param produced: tokens made so far, an earlier part included.
    :param tokens: tokens on their way to the caller, ``None`` at the end.
    :param is_cancelled: whether no more tokens are wanted.
    :param version: software version of the engine.
    """

    identity: str
    model: str
    prompt: str
    length: int
    produced: int = 0
    tokens: Queue[Any] = field(default_factory=Queue)
    is_cancelled: bool = False
    version: str = 'v1'

    @property
    def is_batch(self) -> bool:
        """Return whether its id marks it as batch work, which only the bench looks at."""
        return self.identity.startswith(BATCH_MARK)

    def iterate_tokens(self) -> Iterator[str]:
        """Wait for the tokens as they are made.

        :yields: tokens in order.
        :raises EngineGoneError: when the engine crashed.
        """
        for token in iter(self.tokens.get, END):
            if isinstance(token, EngineGoneError):
                raise token
            yield token


@dataclass(slots=True)
class WorkCount:
    """What an engine has done.

    :param tokens: tokens made.
    :param batch_tokens: those of batch work.
    :param batch_seconds: slot-seconds of batch work.
    :param online_seconds: slot-seconds of online work.
    """

    tokens: int = 0
    batch_tokens: int = 0
    batch_seconds: float = 0
    online_seconds: float = 0


class Batcher:
    """Runs streams in one batch; knows no priorities."""

    def __init__(self, shape: EngineShape) -> None:
        """Start the loop with nothing to do."""
        self.shape = shape
        self.slowdown = 1.0
        self.cache = PrefixCache(shape.cache_blocks)
        self.running: list[Sequence] = []
        self.waiting: deque[Sequence] = deque()
        self.kept: OrderedDict[str, Sequence] = OrderedDict()
        self.starts: list[tuple[str, str]] = []
        self.work = WorkCount()
        self._fresh = Signal()
        self._due = time.monotonic()
        self._loop = spawn_loop('engine', self._run)

    def add(self, sequence: Sequence) -> None:
        """Queue a stream, first come first served.

        :param sequence: the stream.
        """
        self.starts.append((sequence.identity, sequence.prompt))
        self.waiting.append(sequence)
        self._fresh.set()

    def cancel(self, sequence: Sequence) -> None:
        """Stop a stream and keep its state while memory lasts.

        :param sequence: the stream.
        """
        sequence.is_cancelled = True
        if sequence in self.running:
            self.running.remove(sequence)
            self.kept[sequence.identity] = sequence
        elif sequence in self.waiting:
            self.waiting.remove(sequence)
        while len(self.kept) > self.shape.kept_streams:
            self.kept.popitem(last=False)
        sequence.tokens.put(END)

    def find(self, identity: str) -> Sequence | None:
        """Find a stream that runs or waits.

        :param identity: the caller's id.
        :returns: the stream.
        """
        for sequence in (*self.running, *self.waiting):
            if sequence.identity == identity:
                return sequence
        return None

    def crash(self) -> None:
        """Lose every stream and all memory."""
        for sequence in (*self.running, *self.waiting):
            sequence.tokens.put(
                EngineGoneError(ECONNRESET, 'the engine crashed')
            )
        self.running.clear()
        self.waiting.clear()
        self.kept.clear()
        self.cache = PrefixCache(self.shape.cache_blocks)

    def stop(self) -> None:
        """End the loop."""
        self._loop.kill()

    def _run(self) -> None:
        if not self.running and not self.waiting:
            self._fresh.clear()
            self._fresh.wait()
            self._due = time.monotonic()
        step = self._take_in() + self._measure_step()
        self._due += step
        self._count_seconds(step)
        gevent.sleep(max(0, self._due - time.monotonic()))
        self._make_tokens()

    def _take_in(self) -> float:
        uncached = 0
        while self.waiting and len(self.running) < self.shape.most_streams:
            sequence = self.waiting.popleft()
            uncached += self._count_uncached(sequence)
            self.running.append(sequence)
        return uncached * self.shape.prefill_per_token * self.slowdown

    def _count_uncached(self, sequence: Sequence) -> int:
        if sequence.identity in self.kept:
            return 0
        words = sequence.prompt.split()
        return len(words) - self.cache.use(words) + sequence.produced

    def _count_seconds(self, step: float) -> None:
        batch = sum(sequence.is_batch for sequence in self.running)
        self.work.batch_seconds += batch * step
        self.work.online_seconds += (len(self.running) - batch) * step

    def _measure_step(self) -> float:
        further = max(0, len(self.running) - 1) * self.shape.step_per_stream
        return (self.shape.step_seconds + further) * self.slowdown

    def _make_tokens(self) -> None:
        for sequence in list(self.running):
            sequence.tokens.put(
                make_token(
                    sequence.model,
                    sequence.prompt,
                    sequence.produced,
                ),
            )
            sequence.produced += 1
            self.work.tokens += 1
            self.work.batch_tokens += sequence.is_batch
            if sequence.produced >= sequence.length:
                self.running.remove(sequence)
                sequence.tokens.put(END)
