"""Items that run alone at an upstream with other batch work."""

from __future__ import annotations

import time
from collections import deque
from types import SimpleNamespace

import pytest

from wigeonpier.batch.chunk import Chunk, Item
from wigeonpier.local.chunks import OwnedChunks
from wigeonpier.local.gate import BatchStream, Gate
from wigeonpier.local.work import Worker
from wigeonpier.policy.attempts import Ledger
from wigeonpier.policy.loneturn import MAX_WAIT_SECONDS
from wigeonpier.settings.deployment import GateKind
from wigeonpier.telemetry.metrics import Metrics

DAY_SECONDS = 86_400
ITEMS = 1000


class RecordingWorker(Worker):
    """Records what starts; items run until they are removed."""

    started: list[bool]

    def _spawn(self, chunk: object, item: object, *, alone: bool) -> None:
        self.started.append(alone)
        self.gate.add_batch(BatchStream(slack=1.0, is_run_once=False))


def make_chunk(job: str, losses: int) -> tuple[Chunk, Item]:
    """Make a chunk with one item."""
    item = Item(0, SimpleNamespace(custom_id='c'), is_idempotent=True)
    chunk = Chunk(
        context=SimpleNamespace(bounds=None),
        job=SimpleNamespace(
            id=job,
            deadline=time.time() + DAY_SECONDS,
            url='/v1/chat/completions',
        ),
        index=0,
        claim=None,
        revision=1,
        journal=None,
        items=[item],
        ledgers=[Ledger(losses=losses)],
    )
    return chunk, item


@pytest.fixture
def held() -> Item:
    """Return an item that has to run alone."""
    return make_chunk('a', 1)[1]


@pytest.fixture
def worker(held: Item) -> RecordingWorker:
    """Return the worker of an upstream whose queue never ends."""
    suspected, _item = make_chunk('a', 1)
    suspected.suspects.append(held)
    busy, item = make_chunk('b', 0)
    busy.ready = deque([item] * ITEMS)
    owned_chunks = OwnedChunks(SimpleNamespace())
    owned_chunks.chunks[('a', 0)] = suspected
    owned_chunks.chunks[('b', 0)] = busy
    worker = RecordingWorker(
        Gate(kind=GateKind.reserve, batch_streams=4),
        SimpleNamespace(),
        None,
        owned_chunks,
        Metrics(),
    )
    worker.started = []
    worker.gate.add_batch(BatchStream(slack=1.0, is_run_once=False))
    return worker


def run(worker: RecordingWorker, steps: int) -> None:
    """Start what may start; an item ends where nothing may."""
    for _ in range(steps):
        if not worker._start_one() and worker.gate.batch:
            worker.gate.batch.pop()


def test_a_due_item_gets_its_turn_at_a_busy_upstream(worker, held) -> None:
    """It waited until no other item ran, which may be never."""
    held.not_before = time.monotonic() - MAX_WAIT_SECONDS - 1
    run(worker, 100)
    assert worker.started.count(True) == 1
    # The others go on, once it has run.
    assert worker.started.index(True) < len(worker.started) - 10


def test_others_start_while_an_item_is_held(worker, held) -> None:
    held.not_before = time.monotonic() + DAY_SECONDS
    run(worker, 100)
    assert worker.started.count(False) >= 50
    assert worker.started.count(True) == 0
