"""Recent crashes of upstreams, as processes report them."""

from __future__ import annotations

import math
import time

import pytest

from wigeonpier.membership.upstreamlosses import (
    MAX_REPORTED,
    MEMORY_SECONDS,
    REPORTED_SECONDS,
    LossReport,
    UpstreamLosses,
)


def test_a_repeated_report_changes_nothing() -> None:
    """Reports go around between entries; each adds the time of the way."""
    losses = UpstreamLosses()
    losses.record('vm-1/a/1', 'vm-1', age=5)
    at = losses.last_at
    losses.merge([LossReport('vm-1/a/1', 'vm-1', 1.0)])
    assert losses.last_at == at
    losses.merge([LossReport('vm-1/a/2', 'vm-1', 1.0)])
    assert losses.last_at == pytest.approx(time.monotonic() - 1, abs=0.5)


def test_reports_reach_another_process() -> None:
    losses, other = UpstreamLosses(), UpstreamLosses()
    assert other.informed_at == -math.inf
    losses.record('vm-1/a/1', 'vm-1', age=2)
    other.merge(losses.describe())
    (loss,) = other.losses.values()
    assert loss.upstream == 'vm-1'
    assert loss.at == pytest.approx(time.monotonic() - 2, abs=0.5)
    assert other.informed_at == pytest.approx(time.monotonic(), abs=0.5)


def test_old_crashes_are_neither_reported_nor_kept() -> None:
    losses = UpstreamLosses()
    losses.record('vm-1/a/1', 'vm-1', age=REPORTED_SECONDS + 1)
    assert not losses.describe()
    losses.record('vm-2/a/1', 'vm-2', age=MEMORY_SECONDS + 1)
    losses.record('vm-3/a/1', 'vm-3')
    assert set(losses.losses) == {'vm-1/a/1', 'vm-3/a/1'}


def test_the_latest_crashes_of_many_are_reported() -> None:
    losses = UpstreamLosses()
    for number in range(MAX_REPORTED + 10):
        losses.record(f'{number}', f'vm-{number}')
    reported = [report.identity for report in losses.describe()]
    assert reported == [str(number) for number in range(10, MAX_REPORTED + 10)]
