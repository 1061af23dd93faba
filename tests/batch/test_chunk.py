"""Items under which upstreams were lost are owed until their job is over."""

from __future__ import annotations

import time

import pytest

from tests.batch.builders import make_chunk
from wigeonpier.records import Status

DAY_SECONDS = 86_400
LONGEST_PAUSE_SECONDS = 60


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
