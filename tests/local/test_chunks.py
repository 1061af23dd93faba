"""Chunks that are claimed while their job is cancelled."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest

from wigeonpier.batch.claims import Claim
from wigeonpier.local import chunks as chunks_module
from wigeonpier.local.chunks import OwnedChunks

SECONDS = 0.05


class StandInChunk:
    """A chunk that is opened for a job."""

    name = 'j/0'
    index = 0
    is_settled = False
    is_lost = False

    def __init__(self) -> None:
        """Belong to a job."""
        self.job = SimpleNamespace(id='j')
        self.journal = SimpleNamespace(
            close=lambda: None,
            ended_event=gevent.event.Event(),
            ended=None,
        )
        self.is_given_back = False

    def release_claim(self) -> None:
        """Note it."""
        self.is_given_back = True


@pytest.fixture
def chunk(monkeypatch: pytest.MonkeyPatch) -> StandInChunk:
    """Have claims open this chunk after a while."""
    made = StandInChunk()

    def open_slowly(*_given: object) -> StandInChunk:
        gevent.sleep(SECONDS)
        return made

    monkeypatch.setattr(
        chunks_module, 'claim_chunk', lambda *_given: (Claim, 1)
    )
    monkeypatch.setattr(chunks_module, 'open_chunk', open_slowly)
    monkeypatch.setattr(OwnedChunks, '_check_job', lambda *_given: None)
    return made


def claim(owned_chunks: OwnedChunks) -> gevent.Greenlet:
    offer = SimpleNamespace(
        job=SimpleNamespace(id='j'), chunk=0, claim=None, revision=0
    )
    return gevent.spawn(owned_chunks._claim, offer)


def test_a_job_that_is_cancelled_meanwhile_is_not_run(chunk) -> None:
    """It was dropped from the chunks here before this one was among them."""
    owned_chunks = OwnedChunks(SimpleNamespace())
    claiming = claim(owned_chunks)
    gevent.sleep(SECONDS / 2)
    owned_chunks.stop_jobs(('j',))
    claiming.join()
    gevent.sleep(0)
    assert not owned_chunks.chunks
    assert chunk.is_lost
    assert chunk.is_given_back


def test_a_job_that_goes_on_is_run(chunk) -> None:
    owned_chunks = OwnedChunks(SimpleNamespace())
    claim(owned_chunks).join()
    assert list(owned_chunks.chunks.values()) == [chunk]
