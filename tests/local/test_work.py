"""Items that start, and ends that come just then."""

from __future__ import annotations

from types import SimpleNamespace

import gevent

from wigeonpier.invariants import Promise, violations
from wigeonpier.local.chunks import OwnedChunks
from wigeonpier.local.gate import Gate
from wigeonpier.local.work import Worker
from wigeonpier.telemetry.metrics import Metrics


class StandInChunk:
    """A chunk of one item that notes what begins."""

    name = 'j/0'
    is_settled = False

    def __init__(self) -> None:
        """Belong to a job that is due in a while."""
        self.job = SimpleNamespace(
            id='j', deadline=2e9, service='s', url='/v1/chat/completions'
        )
        self.index = 0
        self.is_lost = False
        self.begun: list[object] = []
        self.journal = SimpleNamespace(close=lambda: None)

    def record_start(self, item: object, *, alone: bool) -> None:
        """Note the item."""
        self.begun.append((item, alone))

    def release_claim(self) -> None:
        """Keep nothing."""


def test_an_item_whose_job_ends_before_its_turn_does_not_start() -> None:
    """Its turn was given; the end came before it could take it.

    Beside a busy machine a heartbeat's reply was read between the two, and the
    promise that cancelled jobs stop was found broken.
    """
    chunk = StandInChunk()
    owned_chunks = OwnedChunks(SimpleNamespace())
    owned_chunks.chunks[('j', 0)] = chunk
    worker = Worker(Gate(), SimpleNamespace(), None, owned_chunks, Metrics())
    owned_chunks.on_drop = worker._stop_chunk
    item = SimpleNamespace(index=0, is_idempotent=True)
    worker._spawn(chunk, item, alone=False)
    owned_chunks.stop_jobs(('j',))
    before = violations[Promise.cancelled_job_stops]
    gevent.sleep(0.05)
    assert violations[Promise.cancelled_job_stops] == before
    assert not chunk.begun
    assert not worker._running
    assert not worker.gate.batch
