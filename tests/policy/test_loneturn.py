"""Turns between items that run alone and others, in simulated time."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

import pytest

from wigeonpier.policy.loneturn import (
    DRAIN_SECONDS,
    MAX_WAIT_SECONDS,
    SOLITUDE_SECONDS,
    TURN_SECONDS,
    Occupants,
    Turn,
    TurnClock,
    choose_turn,
)

SLOTS = 4
STEP_SECONDS = 0.05
IDLE = Occupants(math.inf, 0, 0, has_others=False, alone_since=None)


@dataclass
class BusyUpstream:
    """Upstream whose queue never ends, with items that have to run alone.

    :param item_seconds: length of each item.
    :param due_at: when the items that run alone become due.
    :param has_run_once: whether all others cannot be paused.
    """

    item_seconds: float
    due_at: list[float]
    has_run_once: bool = False
    clock: TurnClock = field(default_factory=TurnClock)
    others: list[float] = field(default_factory=list)
    lone_end: float = 0
    lone_start: float | None = None
    started_alone: list[float] = field(default_factory=list)
    started_others: list[float] = field(default_factory=list)
    now: float = 0

    def run(self, seconds: float) -> None:
        """Let time pass."""
        while self.now < seconds:
            self.others = [end for end in self.others if end > self.now]
            if self.lone_start is not None and self.lone_end <= self.now:
                self.lone_start = None
            while self._start_one():
                pass
            self.now += STEP_SECONDS

    def _start_one(self) -> bool:
        running = len(self.others) + (self.lone_start is not None)
        due = [at for at in self.due_at if at <= self.now]
        occupants = Occupants(
            min(due, default=math.inf),
            running,
            len(self.others) if self.has_run_once else 0,
            has_others=True,
            alone_since=self.lone_start,
        )
        turn = choose_turn(occupants, self.clock, self.now)
        if turn is Turn.pause_others:
            assert not self.has_run_once
            self.others.clear()
            return False
        if running >= SLOTS:
            return False
        match turn:
            case Turn.alone:
                assert not running
                self.clock.record_start(self.now)
                self.due_at.remove(due[0])
                self.started_alone.append(self.now)
                self.lone_start = self.now
                self.lone_end = self.now + self.item_seconds
                return True
            case Turn.others:
                self._start_other()
                return True
            case Turn.pausable if not self.has_run_once:
                self._start_other()
                return True
        return False

    def _start_other(self) -> None:
        if self.lone_start is not None:
            self.others.append(self.lone_end)
            self.lone_start = None
        self.started_others.append(self.now)
        self.others.append(self.now + self.item_seconds)


def test_an_idle_upstream_runs_a_due_item_at_once() -> None:
    occupants = replace(IDLE, due_at=5.0)
    assert choose_turn(occupants, TurnClock(), 5) is Turn.alone
    assert choose_turn(IDLE, TurnClock(), 5) is Turn.others


@pytest.mark.parametrize('item_seconds', [0.2, 3, 120])
def test_a_due_item_gets_its_turn_at_a_busy_upstream(
    item_seconds: float,
) -> None:
    """It waited until no other item ran, which may be never."""
    upstream = BusyUpstream(item_seconds, [20.0])
    upstream.run(60)
    (started_at,) = upstream.started_alone
    assert started_at <= 20 + MAX_WAIT_SECONDS + DRAIN_SECONDS + 0.2
    beside = started_at + min(item_seconds, SOLITUDE_SECONDS)
    assert not [
        at for at in upstream.started_others if started_at <= at < beside
    ]
    assert any(
        at < beside + 0.2 for at in upstream.started_others if at >= beside
    )


@pytest.mark.parametrize('item_seconds', [3, 40])
def test_a_due_item_waits_for_items_that_cannot_be_paused(
    item_seconds: float,
) -> None:
    upstream = BusyUpstream(item_seconds, [20.0], has_run_once=True)
    upstream.run(120)
    (started_at,) = upstream.started_alone
    assert started_at <= 20 + MAX_WAIT_SECONDS + item_seconds + 0.2


@pytest.mark.parametrize('item_seconds', [0.2, 3, 120])
def test_many_due_items_do_not_starve_the_others(item_seconds: float) -> None:
    upstream = BusyUpstream(item_seconds, [0.0] * 300)
    upstream.run(300)
    assert len(upstream.started_alone) > 10
    idle = [
        later - earlier
        for earlier, later in zip(
            upstream.started_others, upstream.started_others[1:], strict=False
        )
    ]
    longest_turn = DRAIN_SECONDS + TURN_SECONDS + SOLITUDE_SECONDS
    if item_seconds < MAX_WAIT_SECONDS:
        assert max(idle) <= longest_turn + 0.2
    # The others have the greater part of the time.
    blocked = sum(one for one in idle if one > item_seconds + 0.2)
    assert blocked < 300 / 2
