"""Items under which upstreams were lost are owed until their job is over."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from wigeonpier.batch.chunk import Chunk, Item
from wigeonpier.policy.attempts import Bounds, Ledger
from wigeonpier.records import Status

BOUNDS = Bounds(failures=3, lone_losses=2)
DAY_SECONDS = 86_400
LONGEST_PAUSE_SECONDS = 60


def make_chunk(lone_losses: int, seconds_left: float) -> tuple[Chunk, Item]:
    """Make a chunk with one item that has been lost while it ran alone."""
    item = Item(0, SimpleNamespace(custom_id='c'), is_idempotent=True)
    chunk = Chunk(
        context=SimpleNamespace(bounds=BOUNDS),
        job=SimpleNamespace(id='j', deadline=time.time() + seconds_left),
        index=0,
        claim=None,
        revision=1,
        journal=SimpleNamespace(commit=lambda _records: None),
        items=[item],
        ledgers=[Ledger(losses=lone_losses, lone_losses=lone_losses)],
    )
    return chunk, item


@pytest.mark.parametrize('lone_losses', [2, 3, 50])
def test_an_item_under_which_upstreams_were_lost_is_tried_again(
    lone_losses: int,
) -> None:
    """It got an error as its result after two of them."""
    chunk, item = make_chunk(lone_losses, DAY_SECONDS)
    chunk.plan(item)
    now = time.monotonic()
    assert not chunk.is_settled
    assert chunk.take_suspect(now) is None
    assert chunk.take_suspect(now + LONGEST_PAUSE_SECONDS) is item
    assert chunk.take_suspect(now + LONGEST_PAUSE_SECONDS) is None


def test_an_item_gets_an_error_once_its_job_is_over() -> None:
    chunk, item = make_chunk(2, -1)
    chunk.plan(item)
    outcome = chunk.ledgers[0].outcome
    assert outcome is not None
    assert outcome.status is Status.failed
    assert not chunk.suspects


def test_a_lost_item_without_pause_runs_alone_at_once() -> None:
    chunk, item = make_chunk(1, DAY_SECONDS)
    chunk.plan(item)
    assert chunk.take_suspect(time.monotonic()) is item
