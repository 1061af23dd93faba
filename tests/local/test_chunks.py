"""Tests of chunks that are claimed while their job is cancelled."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest

from wigeonpier.batch.claims import Claim
from wigeonpier.local import chunks as chunks_module
from wigeonpier.local.chunks import OwnedChunks

OPEN_SECONDS = 0.05


class StandInChunk:
    """Stands in for an opened chunk."""

    name = 'j/0'
    index = 0
    is_settled = False
    is_lost = False

    def __init__(self) -> None:
        """Create a chunk of the job ``j``."""
        self.job = SimpleNamespace(id='j')
        self.journal = SimpleNamespace(
            close=lambda: None,
            ended_event=gevent.event.Event(),
            ended=None,
        )
        self.is_released = False

    def release_claim(self) -> None:
        """Record the release."""
        self.is_released = True


@pytest.fixture
def chunk(monkeypatch: pytest.MonkeyPatch) -> StandInChunk:
    """Make each claim open this chunk after a delay."""
    opened = StandInChunk()

    def open_slowly(*_arguments: object) -> StandInChunk:
        gevent.sleep(OPEN_SECONDS)
        return opened

    monkeypatch.setattr(
        chunks_module, 'claim_chunk', lambda *_arguments: (Claim, 1)
    )
    monkeypatch.setattr(chunks_module, 'open_chunk', open_slowly)
    monkeypatch.setattr(OwnedChunks, '_check_job', lambda *_arguments: None)
    return opened


def claim(owned_chunks: OwnedChunks) -> gevent.Greenlet:
    offer = SimpleNamespace(
        job=SimpleNamespace(id='j'), chunk=0, claim=None, revision=0
    )
    return gevent.spawn(owned_chunks._claim, offer)


def test_a_job_cancelled_during_a_claim_is_not_run(chunk) -> None:
    """The job was cancelled before its claimed chunk was in the list."""
    owned_chunks = OwnedChunks(SimpleNamespace())
    claiming = claim(owned_chunks)
    gevent.sleep(OPEN_SECONDS / 2)
    owned_chunks.stop_jobs(('j',))
    claiming.join()
    gevent.sleep(0)
    assert not owned_chunks.chunks
    assert chunk.is_lost
    assert chunk.is_released


def test_a_job_that_is_not_cancelled_is_run(chunk) -> None:
    owned_chunks = OwnedChunks(SimpleNamespace())
    claim(owned_chunks).join()
    assert list(owned_chunks.chunks.values()) == [chunk]
