"""Builders of chunks of batch jobs."""

from __future__ import annotations

import time
from types import SimpleNamespace

from wigeonpier.batch.chunk import Chunk, Item
from wigeonpier.policy.attempts import Bounds, Ledger

BOUNDS = Bounds(failures=3, lone_losses=2)


def make_chunk(lone_losses: int, seconds_left: float) -> tuple[Chunk, Item]:
    """Make a chunk with one item that has been lost while it ran alone."""
    item = Item(0, SimpleNamespace(custom_id='c'), is_idempotent=True)
    chunk = Chunk(
        context=SimpleNamespace(bounds=BOUNDS),
        job=SimpleNamespace(
            id='j',
            deadline=time.time() + seconds_left,
            service='s',
            url='/v1/chat/completions',
        ),
        index=0,
        claim=None,
        revision=1,
        journal=SimpleNamespace(commit=lambda _records: None),
        items=[item],
        ledgers=[Ledger(losses=lone_losses, lone_losses=lone_losses)],
    )
    return chunk, item
