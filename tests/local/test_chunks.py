"""Chunks that are claimed while their job is cancelled."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest

from tests.builders import build_claim
from wigeonpier.batch.claims import Claim
from wigeonpier.local import chunks
from wigeonpier.local.chunks import OwnedChunks

OPEN_SECONDS = 0.05


class StandInChunk:
    """A chunk that is opened for a job."""

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
    made = StandInChunk()

    def open_slowly(*_given: object) -> StandInChunk:
        gevent.sleep(OPEN_SECONDS)
        return made

    monkeypatch.setattr(chunks, 'claim_chunk', lambda *_given: (Claim, 1))
    monkeypatch.setattr(chunks, 'open_chunk', open_slowly)
    monkeypatch.setattr(OwnedChunks, '_check_job', lambda *_given: None)
    return made


def claim(owned: OwnedChunks, lost: Claim | None = None) -> gevent.Greenlet:
    offer = SimpleNamespace(
        job=SimpleNamespace(id='j'), chunk=0, claim=lost, revision=0
    )
    return gevent.spawn(owned._claim, offer)


def test_a_job_cancelled_during_a_claim_is_not_run(chunk) -> None:
    """The job was cancelled before its claimed chunk was in the list."""
    owned = OwnedChunks(SimpleNamespace())
    claiming = claim(owned)
    gevent.sleep(OPEN_SECONDS / 2)
    owned.stop_jobs(('j',))
    claiming.join()
    gevent.sleep(0)
    assert not owned.chunks
    assert chunk.is_lost
    assert chunk.is_released


def test_a_job_that_is_not_cancelled_is_run(chunk) -> None:
    owned = OwnedChunks(SimpleNamespace())
    claim(owned).join()
    assert list(owned.chunks.values()) == [chunk]


@pytest.mark.parametrize('owner', ['vm-1', ''])
def test_the_loss_of_an_owner_is_known_as_a_crash(chunk, owner) -> None:
    """Items that run alone at that time are not blamed for theirs."""
    owned = OwnedChunks(SimpleNamespace())
    claim(owned, build_claim(owner=owner)).join()
    known = [loss.upstream for loss in owned.losses.losses.values()]
    assert known == ([owner] if owner else [])
