"""Tests of items that start while their job is cancelled."""

from __future__ import annotations

from types import SimpleNamespace

import gevent

from wigeonpier.invariants import Invariant, violations
from wigeonpier.local.chunks import OwnedChunks
from wigeonpier.local.gate import Gate
from wigeonpier.local.work import Worker
from wigeonpier.telemetry.metrics import Metrics


class StandInChunk:
    """Stands in for a chunk and records which items start."""

    name = 'j/0'
    is_settled = False

    def __init__(self) -> None:
        """Create a chunk of a job with a distant deadline."""
        self.job = SimpleNamespace(
            id='j', deadline=2e9, service='s', url='/v1/chat/completions'
        )
        self.index = 0
        self.is_lost = False
        self.started: list[object] = []
        self.journal = SimpleNamespace(close=lambda: None)

    def record_start(self, item: object, *, alone: bool) -> None:
        """Record the start of the item."""
        self.started.append((item, alone))

    def release_claim(self) -> None:
        """Do nothing."""


def test_an_item_of_a_job_cancelled_before_its_start_is_not_run() -> None:
    """The job is cancelled between the spawn and the start of the run.

    On a busy machine, a heartbeat's reply was handled between the two, which
    violated the invariant that cancelled jobs stop.
    """
    chunk = StandInChunk()
    owned_chunks = OwnedChunks(SimpleNamespace())
    owned_chunks.chunks[('j', 0)] = chunk
    worker = Worker(Gate(), SimpleNamespace(), None, owned_chunks, Metrics())
    owned_chunks.on_drop = worker._stop_chunk
    item = SimpleNamespace(index=0, is_idempotent=True)
    worker._spawn(chunk, item, alone=False)
    owned_chunks.stop_jobs(('j',))
    before = violations[Invariant.cancelled_job_stops]
    gevent.sleep(0.05)
    assert violations[Invariant.cancelled_job_stops] == before
    assert not chunk.started
    assert not worker._running
    assert not worker.gate.batch
