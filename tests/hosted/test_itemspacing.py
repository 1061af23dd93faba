"""When items are tried again after upstreams crashed under them."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from tests.hosted.builders import make_open_job
from wigeonpier.hosted import itemspacing
from wigeonpier.hosted.items import ItemWork
from wigeonpier.hosted.itemspacing import LAST_TRY_SECONDS, Hold, ItemSpacing
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.membership.updates import (
    CrashReport,
    CulpritReport,
    SuspicionUpdate,
)
from wigeonpier.models import JobItem
from wigeonpier.policy.promptparts import LostRun
from wigeonpier.telemetry.metrics import Metrics

VERSION = 'v1'
SLOTS = 8
HELD_ITEMS = 300
# Ages of crashes: three in a burst, and four after pauses.
MANY = (150.0, 149.5, 149.0, 140.0, 120.0, 80.0, 12.0)
BURST_OVER = (8.0, 7.5, 7.0)
BURST = (4.0, 3.5, 3.0)
# Crashes 6 s apart, the last ones as long ago as their pauses last.
SPREAD_FIRST = (17.5, 11.5, 5.5)
SPREAD_SECOND = (25.5, 19.5, 13.5, 7.5)
SPREAD_LATE = tuple(47.5 - 6 * number for number in range(8))


def make_work(seconds_left: float = 3600) -> ItemWork:
    """Make an item that is abandoned after some seconds."""
    now = time.monotonic()
    item = JobItem('j0', '/jobs/j/0', {}, b'{}', 30)
    return ItemWork(make_open_job(), 0, item, now + 18, now + seconds_left)


def make_spacing(
    work: ItemWork,
    ages: tuple[float, ...],
    running: int = 0,
    *,
    had_output: bool = False,
) -> ItemSpacing:
    """Make the spacing of a worker under whose item upstreams crashed."""
    suspicions = Suspicions()
    suspicions.merge(
        SuspicionUpdate(
            ends=tuple(
                CrashReport(
                    work.fingerprint,
                    f'i-{number}',
                    VERSION,
                    age,
                    was_alone=True,
                    had_output=had_output,
                    is_item=True,
                )
                for number, age in enumerate(ages)
            )
        )
    )
    upstream = SimpleNamespace(
        version=VERSION,
        report=SimpleNamespace(running=running, waiting=0),
        replica=SimpleNamespace(slots=SLOTS),
    )
    return ItemSpacing(upstream, suspicions, Metrics())


@pytest.mark.parametrize(
    ('ages', 'may_start'),
    [(BURST[:2], True), (BURST, False), (BURST_OVER, True), (MANY, False)],
)
def test_an_item_waits_for_its_pause_only(ages, may_start) -> None:
    work = make_work()
    assert make_spacing(work, ages).may_start(work) is may_start


@pytest.mark.parametrize(
    ('ages', 'had_output'),
    [(SPREAD_FIRST, False), (SPREAD_SECOND, False), (SPREAD_LATE, True)],
)
def test_crashes_before_the_first_pause_make_none_longer(
    ages, had_output
) -> None:
    """A sound item waited 20 to 60 s after the last crash."""
    work = make_work()
    spacing = make_spacing(work, ages, had_output=had_output)
    assert spacing.may_start(work)


def test_an_item_with_a_crashing_part_is_tried_before_it_is_abandoned() -> None:
    """The pause of the part would have ended after the retention."""
    work = make_work(LAST_TRY_SECONDS - 1)
    work._part_keys = ('a/bad',)
    spacing = make_spacing(work, ())
    blame_part(spacing, work, MANY)
    assert spacing.may_start(work)
    blame_part(spacing, work, (*MANY, 1.0))
    assert not spacing.may_start(work)


def test_an_item_with_a_crashing_part_waits_for_its_pause() -> None:
    work = make_work()
    work._part_keys = ('a/bad',)
    spacing = make_spacing(work, ())
    blame_part(spacing, work, MANY)
    assert not spacing.may_start(work)


class CountedTime(float):
    """A time that counts how often it is compared."""

    compared = 0

    def __gt__(self, other: float) -> bool:
        """Count the comparison."""
        CountedTime.compared += 1
        return float(self) > other


def test_items_that_wait_are_not_all_checked_for_each_of_them(
    monkeypatch,
) -> None:
    """A step of the runner took 87 ms with 1,000 items that waited."""
    spacing = make_spacing(make_work(), MANY)
    now = time.monotonic()
    waits = CountedTime(now + 60)
    monkeypatch.setattr(CountedTime, 'compared', 0)
    hold = Hold(now, 'item', 3)
    for number in range(HELD_ITEMS):
        spacing._record_hold(
            SimpleNamespace(
                fingerprint=str(number),
                job=SimpleNamespace(name='j'),
                item=SimpleNamespace(name=str(number)),
            ),
            hold,
            waits,
            now,
        )
    assert spacing.count_held() == HELD_ITEMS
    assert CountedTime.compared <= 4 * HELD_ITEMS


def test_items_that_wait_no_longer_are_dropped(monkeypatch) -> None:
    monkeypatch.setattr(itemspacing, 'DROP_INTERVAL_SECONDS', 0)
    work = make_work()
    spacing = make_spacing(work, MANY)
    spacing.held['ended'] = time.monotonic() - 1
    assert not spacing.may_start(work)
    assert list(spacing.held) == [work.fingerprint]


def blame_part(
    spacing: ItemSpacing, work: ItemWork, ages: tuple[float, ...]
) -> None:
    """Let a part of an item be the cause of crashes."""
    now = time.monotonic()
    culprits = spacing.suspicions.parts.culprits
    culprits.add(CulpritReport('c', work.part_keys, (VERSION,)), now)
    for number, age in enumerate(ages):
        culprits.explain(
            LostRun(
                'r', work.part_keys, f'i-{number}', VERSION, now - age, True
            )
        )


def test_an_item_is_tried_before_it_is_abandoned() -> None:
    """Its pause would have ended after its retention."""
    work = make_work(LAST_TRY_SECONDS - 1)
    assert make_spacing(work, MANY).may_start(work)
    crashed_just_now = (*MANY, 1.0)
    assert not make_spacing(work, crashed_just_now).may_start(work)


def test_a_try_waits_for_an_upstream_with_room() -> None:
    work = make_work()
    assert not make_spacing(work, BURST_OVER, running=SLOTS).may_start(work)
    long_ago = tuple(age + 60 for age in BURST)
    assert make_spacing(work, long_ago, running=SLOTS).may_start(work)


def test_an_item_is_tried_at_once_on_another_version() -> None:
    work = make_work()
    spacing = make_spacing(work, MANY)
    spacing.upstream.version = 'v2'
    assert spacing.may_start(work)


def test_an_item_that_waits_is_reported_once() -> None:
    work = make_work()
    spacing = make_spacing(work, MANY)
    for _ in range(3):
        assert not spacing.may_start(work)
    assert spacing.count_held() == 1
    assert spacing.metrics._counters['items_held_total', ()] == 1
    spacing.suspicions.clear(work.fingerprint)
    assert spacing.may_start(work)
    assert not spacing.count_held()
