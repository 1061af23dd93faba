"""Takes turns between items that run alone at the upstream and the others."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import gevent

from wigeonpier.membership.upstreamlosses import UpstreamLosses
from wigeonpier.policy.itemloss import LoneLoss, is_evidence
from wigeonpier.policy.loneturn import Occupants, Turn, TurnClock, choose_turn

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from wigeonpier.batch.chunk import Chunk, Item
    from wigeonpier.local.chunks import OwnedChunks
    from wigeonpier.local.gate import BatchStream
    from wigeonpier.local.work import ActiveItem


def _ignore_loss() -> None:
    """Do nothing until a handler is set."""


@dataclass(slots=True)
class LoneItems:
    """Items that run alone, since upstreams were lost under them.

    :param name: name of the VM of the upstream.
    :param losses: recent crashes of all upstreams.
    :param on_loss: called when the upstream may have crashed.
    """

    name: str = ''
    losses: UpstreamLosses = field(default_factory=UpstreamLosses)
    on_loss: Callable[[], None] = _ignore_loss
    _active: ActiveItem | None = None
    _turns: TurnClock = field(default_factory=TurnClock)

    def choose_turn(
        self,
        chunks: Collection[Chunk],
        streams: Collection[BatchStream],
        *,
        has_paused: bool,
    ) -> Turn:
        """Decide what may start now.

        :param chunks: owned chunks.
        :param streams: batch streams at the upstream.
        :param has_paused: whether other items are paused.
        :returns: what may start.
        """
        now = time.monotonic()
        crashed_at = self.losses.last_at
        due = (chunk.find_due(crashed_at, now) for chunk in chunks)
        occupants = Occupants(
            due_at=min(due, default=math.inf),
            running=len(streams),
            run_once=sum(stream.is_run_once for stream in streams),
            has_others=has_paused or any(chunk.ready for chunk in chunks),
            alone_since=self._active.started_at if self._active else None,
        )
        return choose_turn(occupants, self._turns, now)

    def take_next(self, chunks: Iterable[Chunk]) -> tuple[Chunk, Item] | None:
        """Take the next item to run alone.

        :param chunks: owned chunks, in order.
        :returns: the item and its chunk, ``None`` if none is due.
        """
        now = time.monotonic()
        for chunk in chunks:
            item = chunk.take_due(self.losses.last_at, now)
            if item is not None:
                return chunk, item
        return None

    def start_solitude(self, active: ActiveItem) -> None:
        """Record that an item runs alone from now on.

        :param active: the item.
        """
        active.is_alone = True
        self._turns.record_start(active.started_at)
        self._active = active

    def admit_other(self) -> None:
        """Record that another item starts beside the one that runs alone."""
        if self._active is not None:
            self.end_solitude(self._active)

    def end_solitude(self, active: ActiveItem) -> None:
        """Record that an item is paused, has ended or has company.

        :param active: the item.
        """
        active.is_alone = False
        if self._active is active:
            self._active = None

    def record_loss(self, active: ActiveItem) -> None:
        """Record that the upstream was lost while an item ran there.

        :param active: the item.
        """
        lone_loss = None
        if active.is_alone:
            lone_loss = LoneLoss(self.name, active.started_at, time.monotonic())
        active.chunk.record_loss(active.item, lone_loss)

    def judge_losses(
        self,
        owned_chunks: OwnedChunks,
        guard: Callable[[Chunk, Callable[[], None]], None],
    ) -> None:
        """Judge the last losses of items whose pause is over.

        :param owned_chunks: chunks of the items.
        :param guard: does work on a chunk and handles its errors.
        """
        for chunk in list(owned_chunks.chunks.values()):
            for item in chunk.take_unjudged(time.monotonic()):
                judge = partial(self._judge_loss, chunk, item)
                gevent.spawn(guard, chunk, judge)

    def _judge_loss(self, chunk: Chunk, item: Item) -> None:
        if item.lone_loss is None or chunk.is_lost:
            return
        counts = is_evidence(
            item.lone_loss,
            self.losses.losses.values(),
            self.losses.informed_at,
        )
        chunk.judge_loss(item, counts=counts)
