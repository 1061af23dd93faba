"""Decides which batch items run beside the online requests of one upstream.

Addresses online load that alternates between 0.4 and 1.9 times its mean every
2 to 4 seconds, at an engine that admits in order of arrival, knows no
priorities, and whose step hardly slows as its slots fill.  Batch items fill
the troughs and are paused in the peaks: resuming a paused item costs reading
its prompt and its text so far, some 20 ms, while an online request that waits
for a slot waits up to a whole answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.policy.runlengths import INITIAL_DEVIATION

if TYPE_CHECKING:
    from collections.abc import Iterable

# Slots kept free for the next online requests.
RESERVED_SLOTS = 0
# Limits the slots that urgent items keep from online requests, which would
# otherwise be late for seconds after a restart.
URGENT_SLOTS = 2
# The length of an item is known only when it completes; planning for the mean
# alone makes longer items late.
PLANNED_DEVIATIONS = 2.0
# Assumed remaining share of an item that is already longer than planned.
MIN_REMAINING_SHARE = 0.1
URGENT_SLACK_SECONDS = 1.0

Key = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ItemView:
    """What pacing knows of one item.

    :param key: its identity.
    :param seconds_left: time until its deadline.
    :param done_share: events that it has produced and kept, as a share of the
        mean number of events of an item; above 1 for an item longer than that.
    :param priority: rank, 0 is the highest.
    """

    key: Key
    seconds_left: float
    done_share: float
    priority: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """What pacing knows of the upstream.

    :param slots: requests that it runs at once.
    :param running: running requests, including items.
    :param waiting: requests that wait for a slot.
    :param run_seconds: how long a whole item runs.
    :param deviation: mean deviation of the items' lengths, as a share of
        their mean.
    """

    slots: int
    running: int
    waiting: int
    run_seconds: float
    deviation: float = INITIAL_DEVIATION

    @property
    def has_free_slot(self) -> bool:
        """Check whether a request would run at once."""
        return self.running + self.waiting < self.slots


@dataclass(frozen=True, slots=True)
class Pace:
    """Items to start and to pause.

    :param start: items to start.
    :param pause: items to stop and to resume later.
    """

    start: tuple[Key, ...] = ()
    pause: tuple[Key, ...] = ()


def decide_pace(
    upstream: UpstreamView,
    running: list[ItemView],
    waiting: list[ItemView],
) -> Pace:
    """Decide which items start and which are paused.

    :param upstream: load of the upstream.
    :param running: items that run there.
    :param waiting: items that could run there.
    :returns: items to start or to pause.
    """
    online_requests = max(0, upstream.running + upstream.waiting - len(running))
    free_slots = max(0, upstream.slots - RESERVED_SLOTS - online_requests)
    allowed = max(free_slots, count_held_slots(upstream, running))
    if online_requests and len(running) > allowed:
        return Pace(pause=_choose_to_pause(upstream, running, allowed))
    return Pace(start=_choose_to_start(upstream, running, waiting, free_slots))


def compute_slack(upstream: UpstreamView, item: ItemView) -> float:
    """Compute how long an item can still wait.

    :param upstream: load of the upstream.
    :param item: the item.
    :returns: seconds, negative where it will be late.
    """
    planned = 1 + PLANNED_DEVIATIONS * upstream.deviation
    remaining = max(MIN_REMAINING_SHARE, planned - item.done_share)
    return item.seconds_left - upstream.run_seconds * remaining


def count_held_slots(upstream: UpstreamView, running: list[ItemView]) -> int:
    """Count the slots that items keep from online requests.

    :param upstream: load of the upstream.
    :param running: items that run there.
    :returns: slots that online requests cannot use.
    """
    urgent = sum(is_urgent(upstream, item) for item in running)
    return min(urgent, URGENT_SLOTS)


def is_urgent(upstream: UpstreamView, item: ItemView) -> bool:
    """Check whether an item will be late unless it runs now.

    :param upstream: load of the upstream.
    :param item: the item.
    :returns: false also where it cannot be in time any more: there is little
        to gain then, and it must not delay online requests.
    """
    if _is_late(upstream, item):
        return False
    return compute_slack(upstream, item) < URGENT_SLACK_SECONDS


def rank_items(
    upstream: UpstreamView, items: Iterable[ItemView]
) -> list[ItemView]:
    """Order items as they get slots.

    :param upstream: load of the upstream.
    :param items: the items.
    :returns: the items, the first to run first.
    """
    return sorted(items, key=lambda item: _rank(upstream, item))


def _rank(upstream: UpstreamView, item: ItemView) -> tuple[bool, int, float]:
    """Rank an item: those that can be in time first, then by priority.

    Within a priority the earliest deadline goes first.  An item that has run
    already is ranked as if its deadline were earlier by the time that it ran:
    sharing slots evenly among all items would make each of them finish late.
    """
    run_so_far = upstream.run_seconds * item.done_share
    is_late = _is_late(upstream, item)
    return (is_late, item.priority, item.seconds_left - run_so_far)


def _is_late(upstream: UpstreamView, item: ItemView) -> bool:
    """Check whether an item of mean length will be late even if it runs now."""
    remaining = max(0, 1 - item.done_share)
    return item.seconds_left < upstream.run_seconds * remaining


def _choose_to_pause(
    upstream: UpstreamView,
    running: list[ItemView],
    allowed: int,
) -> tuple[Key, ...]:
    ranked = rank_items(upstream, running)
    return tuple(item.key for item in ranked[allowed:])


def _choose_to_start(
    upstream: UpstreamView,
    running: list[ItemView],
    waiting: list[ItemView],
    free_slots: int,
) -> tuple[Key, ...]:
    ranked = rank_items(upstream, waiting)
    urgent = sum(is_urgent(upstream, item) for item in ranked)
    unused = free_slots - len(running)
    held = min(urgent, URGENT_SLOTS - len(running))
    return tuple(item.key for item in ranked[: max(unused, held, 0)])
