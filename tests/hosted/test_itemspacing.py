"""When items are tried again after upstreams crashed under them."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from tests.hosted.builders import make_open_job
from wigeonpier.hosted.items import ItemWork
from wigeonpier.hosted.itemspacing import LAST_TRY_SECONDS, ItemSpacing
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.membership.updates import CrashReport, SuspicionUpdate
from wigeonpier.models import JobItem
from wigeonpier.telemetry.metrics import Metrics

VERSION = 'v1'
SLOTS = 8
# Ages of crashes: three in a burst, and four after pauses.
MANY = (150.0, 149.5, 149.0, 140.0, 120.0, 80.0, 12.0)
BURST_OVER = (8.0, 7.5, 7.0)
BURST = (4.0, 3.5, 3.0)


def make_work(seconds_left: float = 3600) -> ItemWork:
    """Make an item that is abandoned after some seconds."""
    now = time.monotonic()
    item = JobItem('j0', '/jobs/j/0', {}, b'{}', 30)
    return ItemWork(make_open_job(), 0, item, now + 18, now + seconds_left)


def make_spacing(
    work: ItemWork, ages: tuple[float, ...], running: int = 0
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
