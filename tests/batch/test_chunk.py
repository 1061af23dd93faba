"""Items under which upstreams were lost."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from wigeonpier.batch.chunk import Chunk, Item
from wigeonpier.policy.attempts import Bounds, Ledger, replay_segment
from wigeonpier.policy.itemloss import LoneLoss
from wigeonpier.records import Status

BOUNDS = Bounds(failures=3, lone_losses=2)
DAY_SECONDS = 86_400
LONGEST_PAUSE_SECONDS = 60
CALM = 0.0
LONE = LoneLoss('vm-1', 0, 1)


class RecordingJournal:
    """Keeps the records in memory."""

    def __init__(self) -> None:
        """Start without records."""
        self.records: list[object] = []

    def commit(self, records) -> None:
        """Keep records."""
        self.records += records


@pytest.fixture
def item() -> Item:
    """Return the item of the chunk."""
    return Item(0, SimpleNamespace(custom_id='c'), is_idempotent=True)


@pytest.fixture
def chunk(item: Item) -> Chunk:
    """Return a chunk with one item."""
    return Chunk(
        context=SimpleNamespace(bounds=BOUNDS),
        job=SimpleNamespace(id='j', deadline=time.time() + DAY_SECONDS),
        index=0,
        claim=None,
        revision=1,
        journal=RecordingJournal(),
        items=[item],
        ledgers=[Ledger()],
    )


def lose(chunk: Chunk, item: Item, *, alone: bool) -> None:
    """Start the item and lose its upstream."""
    chunk.record_start(item, alone=alone)
    chunk.record_loss(item, LONE if alone else None)
    chunk.plan(item)


def judge(chunk: Chunk, item: Item, *, counts: bool) -> None:
    """Judge the last loss of the item once its pause is over."""
    assert chunk.take_unjudged(time.monotonic()) == []
    later = time.monotonic() + LONGEST_PAUSE_SECONDS
    assert chunk.take_unjudged(later) == [item]
    chunk.judge_loss(item, counts=counts)


def try_again(chunk: Chunk, item: Item) -> None:
    """Take the item once its pause is over."""
    later = time.monotonic() + LONGEST_PAUSE_SECONDS
    assert chunk.take_due(CALM, time.monotonic()) is None
    assert chunk.take_due(CALM, later) is item


def test_an_item_that_was_lost_in_a_burst_is_tried_again(chunk, item) -> None:
    """It got an error as its result after two losses while it ran alone."""
    lose(chunk, item, alone=False)
    for _ in range(20):
        try_again(chunk, item)
        lose(chunk, item, alone=True)
        judge(chunk, item, counts=False)
        assert chunk.ledgers[0].outcome is None
    try_again(chunk, item)


def test_losses_in_calm_are_counted(chunk, item) -> None:
    lose(chunk, item, alone=False)
    for _ in range(BOUNDS.lone_losses):
        assert chunk.ledgers[0].outcome is None
        try_again(chunk, item)
        lose(chunk, item, alone=True)
        judge(chunk, item, counts=True)
    outcome = chunk.ledgers[0].outcome
    assert outcome is not None
    assert outcome.status is Status.failed
    assert not chunk.suspects


def test_a_loss_after_the_end_of_the_job_is_the_result(chunk, item) -> None:
    lose(chunk, item, alone=False)
    chunk.job.deadline = time.time() - 1
    try_again(chunk, item)
    lose(chunk, item, alone=True)
    judge(chunk, item, counts=False)
    outcome = chunk.ledgers[0].outcome
    assert outcome is not None
    assert outcome.status is Status.failed


@pytest.mark.parametrize('verdicts', [[], [False], [True], [False, True]])
@pytest.mark.parametrize('is_judged', [False, True])
def test_the_journal_has_the_same_losses(
    chunk, item, verdicts, is_judged
) -> None:
    """An owner that takes over has to count as this one does."""
    lose(chunk, item, alone=False)
    for counts in verdicts:
        try_again(chunk, item)
        lose(chunk, item, alone=True)
        judge(chunk, item, counts=counts)
    if not is_judged:
        try_again(chunk, item)
        lose(chunk, item, alone=True)
    (ledger,) = replay_segment(chunk.journal.records, 1).ledgers
    assert not ledger.was_alone or not ledger.is_open
    assert ledger.lone_losses == sum(verdicts)
    assert ledger.losses + ledger.is_open == 1 + len(verdicts) + (not is_judged)


def test_items_lost_by_several_owners_are_held(chunk, item) -> None:
    chunk.ledgers[0].losses = 2
    chunk.plan(item)
    chunk.hold_lost()
    try_again(chunk, item)


def test_an_item_lost_by_one_owner_runs_alone_at_once(chunk, item) -> None:
    chunk.ledgers[0].losses = 1
    chunk.plan(item)
    chunk.hold_lost()
    assert chunk.take_due(CALM, time.monotonic()) is item
