"""Reports of crashes of the upstream to the fleet."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from wigeonpier.local import crashes
from wigeonpier.local.crashes import CrashObserver
from wigeonpier.membership.upstreamlosses import UpstreamLosses


@pytest.fixture
def observer() -> CrashObserver:
    """Return the observer of an upstream that refuses connections."""
    return CrashObserver(
        'vm-1',
        'start',
        '127.0.0.1:1',
        SimpleNamespace(has_crashed=lambda _upstream, _address: True),
        UpstreamLosses(),
        lambda: None,
    )


def test_all_runs_that_are_lost_in_a_crash_report_one(observer) -> None:
    for _ in range(5):
        observer.check()
        observer.record()
    assert len(observer.losses.losses) == 1


def test_two_crashes_are_recorded(observer, monkeypatch) -> None:
    observer.check()
    monkeypatch.setattr(crashes, 'SAME_CRASH_SECONDS', 0)
    observer.check()
    assert len(observer.losses.losses) == 2


def test_a_broken_connection_alone_is_no_crash(observer) -> None:
    observer.crash_detector.has_crashed = lambda _upstream, _address: False
    observer.check()
    assert not observer.losses.losses
