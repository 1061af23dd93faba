"""Decides when a batch item runs alone at an upstream with other batch work.

Addresses a steady queue: an upstream that always has other items to start is
never free of them.  Items that run alone and the others take turns, each of
bounded length.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# The others run at least this long between two turns.
MAX_WAIT_SECONDS = 10.0
# Short runs end within this time; longer ones are paused.
DRAIN_SECONDS = 2.0
# In one turn further items may start alone for this long.
TURN_SECONDS = 5.0
# Upstreams crash shortly after the start of the run that crashes them.
SOLITUDE_SECONDS = 3.0


class Turn(StrEnum):
    """What may start at an upstream now.

    While a turn waits for items that cannot be paused, no more of them start.
    """

    others = 'others'
    pausable = 'pausable'
    nobody = 'nobody'
    pause_others = 'pause_others'
    alone = 'alone'


@dataclass(frozen=True, slots=True)
class Occupants:
    """Batch work of an upstream; times in seconds of the monotonic clock.

    :param due_at: when the first item was due to run alone, infinite if there
        is none.
    :param running: items that run.
    :param run_once: those of them that cannot be paused.
    :param has_others: whether other items are ready or paused.
    :param alone_since: start of the item that runs alone, ``None`` for none.
    """

    due_at: float
    running: int
    run_once: int
    has_others: bool
    alone_since: float | None


@dataclass(slots=True)
class TurnClock:
    """Times of the turns, seconds of the monotonic clock.

    :param began_at: start of the present turn, ``None`` if the others run.
    :param alone_at: when its first item started, ``None`` until then.
    :param ended_at: end of the last turn.
    """

    began_at: float | None = None
    alone_at: float | None = None
    ended_at: float = 0

    def record_start(self, now: float) -> None:
        """Record that an item starts alone.

        :param now: seconds of the monotonic clock.
        """
        if self.alone_at is None:
            self.alone_at = now


def is_alone(since: float, now: float) -> bool:
    """Check whether an item still runs alone.

    :param since: its start, seconds of the monotonic clock.
    :param now: seconds of that clock.
    :returns: false once other items may join it.
    """
    return now - since < SOLITUDE_SECONDS


def compute_turn_start(occupants: Occupants, clock: TurnClock) -> float:
    """Compute when the next turn may begin.

    :param occupants: batch work of the upstream.
    :param clock: times of the turns.
    :returns: seconds of the monotonic clock, infinite if no item is due.
    """
    if not occupants.running and not occupants.has_others:
        return occupants.due_at
    return max(occupants.due_at, clock.ended_at) + MAX_WAIT_SECONDS


def choose_turn(occupants: Occupants, clock: TurnClock, now: float) -> Turn:
    """Decide what may start.

    :param occupants: batch work of the upstream.
    :param clock: times of the turns, changed in place.
    :param now: seconds of the monotonic clock.
    :returns: what may start.
    """
    since = occupants.alone_since
    if since is not None and is_alone(since, now):
        return Turn.nobody
    _update_clock(occupants, clock, now)
    if clock.began_at is None:
        is_waiting = now >= compute_turn_start(occupants, clock)
        return Turn.pausable if is_waiting else Turn.others
    if not occupants.running:
        return Turn.alone
    if now < clock.began_at + DRAIN_SECONDS:
        return Turn.nobody
    return Turn.pause_others


def _update_clock(occupants: Occupants, clock: TurnClock, now: float) -> None:
    if clock.began_at is not None and _is_turn_over(occupants, clock, now):
        clock.began_at = None
        clock.alone_at = None
        clock.ended_at = now
    may_begin = now >= compute_turn_start(occupants, clock)
    if clock.began_at is None and may_begin and not occupants.run_once:
        clock.began_at = now


def _is_turn_over(occupants: Occupants, clock: TurnClock, now: float) -> bool:
    since = occupants.alone_since
    has_begun = since is not None and since >= (clock.began_at or now)
    if occupants.due_at > now or has_begun:
        return True
    has_run_long = (
        clock.alone_at is not None and now - clock.alone_at >= TURN_SECONDS
    )
    return has_run_long and occupants.has_others
