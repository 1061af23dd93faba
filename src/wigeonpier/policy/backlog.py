"""Predicts when the batch items of one worker start and complete.

Addresses jobs of about ten items that are due in 18 s, at upstreams whose
speeds differ by a factor of 2.2 and whose online load leaves few slots to
items for 2.4 of every 5.8 seconds.  The number of items at a worker then says
little about when one more of them would complete.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.policy.pacing import (
    MIN_REMAINING_SHARE,
    ItemView,
    UpstreamView,
    compute_slack,
    rank_items,
)
from wigeonpier.reports import ItemBacklog

if TYPE_CHECKING:
    from collections.abc import Iterable

# Covers one period of the online load, so that peaks and troughs count by
# their length.
AVERAGE_SECONDS = 6.0
# Items get at least this many slots: urgent ones keep slots even at a peak.
MIN_SLOTS = 0.5
# A reported value is kept until the current one differs by more than this,
# since each change is a line to each entry.  Items are due in 18 s.
WAITING_STEP_SECONDS = 0.5
WAITING_STEP_SHARE = 0.1
RUN_STEP_SHARE = 0.05
# Reported by a worker that starts no items now: much longer than any queue, so
# that no other item is placed there.  A line of the feed without a backlog
# would mean that the last one still holds.
CLOSED_SECONDS = 86_400.0


@dataclass(frozen=True, slots=True)
class ItemOutlook:
    """When one item is expected to run.

    :param item: the item.
    :param starts_in: time until it starts or resumes, seconds.
    :param ends_in: time until it completes if it has the mean length, seconds.
    :param slack: how much longer it could wait, seconds; negative where it
        will be late.
    """

    item: ItemView
    starts_in: float
    ends_in: float
    slack: float


@dataclass(frozen=True, slots=True)
class QueueOutlook:
    """What is expected of all items of one worker.

    :param items: in the order in which they run.
    :param waiting_seconds: time after which one more item starts.
    :param run_seconds: how long a whole item takes once started, with the
        pauses for online requests.
    """

    items: tuple[ItemOutlook, ...]
    waiting_seconds: float
    run_seconds: float

    @property
    def ready_seconds(self) -> float:
        """Return the time after which one more item completes."""
        return self.waiting_seconds + self.run_seconds

    @property
    def late(self) -> int:
        """Count the items that are expected to be late."""
        return sum(outlook.slack < 0 for outlook in self.items)


@dataclass(slots=True)
class SlotAverage:
    """Moving average of the slots that online requests leave to items.

    :param slots: the average; ``None`` before the first report.
    :param updated_at: time of the last report, seconds.
    """

    slots: float | None = None
    updated_at: float = 0

    def record(self, free: float, now: float) -> None:
        """Update the average.

        :param free: slots that online requests leave at this moment.
        :param now: seconds of a clock that does not go back.
        """
        if self.slots is None:
            self.slots = free
        weight = -math.expm1((self.updated_at - now) / AVERAGE_SECONDS)
        self.slots += weight * (free - self.slots)
        self.updated_at = now


def predict_queue(
    upstream: UpstreamView,
    items: Iterable[ItemView],
    slots: float,
) -> QueueOutlook:
    """Predict when the items of one worker run.

    :param upstream: load of the upstream, and how long a whole item runs.
    :param items: all items, running or waiting.
    :param slots: slots that items get on average.
    :returns: the outlook.
    """
    slots = max(slots, MIN_SLOTS)
    whole_slots = math.ceil(slots)
    # An item that gets a slot for part of the time takes longer accordingly.
    stretch = whole_slots / slots
    free_at: list[float] = [0 for _slot in range(whole_slots)]
    outlooks = []
    for item in rank_items(upstream, items):
        remaining = max(MIN_REMAINING_SHARE, 1 - item.done_share)
        starts_in = free_at[0]
        ends_in = starts_in + remaining * upstream.run_seconds * stretch
        heapq.heapreplace(free_at, ends_in)
        slack = compute_slack(upstream, item) - starts_in
        outlooks.append(ItemOutlook(item, starts_in, ends_in, slack))
    return QueueOutlook(
        tuple(outlooks), free_at[0], upstream.run_seconds * stretch
    )


def report_backlog(
    vm: str,
    outlook: QueueOutlook,
    run_seconds: float,
    reported: ItemBacklog | None,
) -> ItemBacklog:
    """Round an outlook for the feed, so that the line seldom changes.

    :param vm: name of the worker's VM.
    :param outlook: current outlook.
    :param run_seconds: how long a whole item runs there, 0 where none has
        completed yet.
    :param reported: what was reported last, ``None`` for nothing.
    :returns: the same object where the difference is small.
    """
    current = ItemBacklog(
        vm,
        round(run_seconds, 1),
        _round_to_step(outlook.waiting_seconds),
        outlook.late,
    )
    # The number of late items is of no importance beside that there are any.
    if reported is None or bool(current.late) != bool(reported.late):
        return current
    has_moved = abs(outlook.waiting_seconds - reported.waiting_seconds) > max(
        WAITING_STEP_SECONDS, WAITING_STEP_SHARE * reported.waiting_seconds
    )
    has_changed = abs(run_seconds - reported.run_seconds) > max(
        RUN_STEP_SHARE * reported.run_seconds, RUN_STEP_SHARE
    )
    return current if has_moved or has_changed else reported


def report_closed(vm: str, run_seconds: float) -> ItemBacklog:
    """Report that a worker starts no items at the moment.

    None of its items counts as late, since it cannot offer them either.

    :param vm: name of the worker's VM.
    :param run_seconds: how long a whole item runs there, 0 where too few have
        completed to know.
    :returns: a backlog behind which no item is placed.
    """
    return ItemBacklog(vm, round(run_seconds, 1), CLOSED_SECONDS)


def _round_to_step(seconds: float) -> float:
    return round(seconds / WAITING_STEP_SECONDS) * WAITING_STEP_SECONDS
