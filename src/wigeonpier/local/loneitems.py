"""Takes turns between items that run alone at the upstream and the others."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.policy.loneturn import Occupants, Turn, TurnClock, choose_turn

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wigeonpier.batch.chunk import Chunk, Item
    from wigeonpier.local.gate import BatchStream
    from wigeonpier.local.work import ActiveItem


@dataclass(slots=True)
class LoneItems:
    """Items that run alone, since upstreams were lost under them."""

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
        due = (chunk.find_due(now) for chunk in chunks)
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
            item = chunk.take_due(now)
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
