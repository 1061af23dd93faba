"""Estimates of run times and lengths of batch items."""

from __future__ import annotations

from wigeonpier.policy.runlengths import RunLengths


def test_mean_run_time_converges() -> None:
    lengths = RunLengths(seconds=6.0)
    for _run in range(30):
        lengths.record(4.0, 150)
    assert 4.0 < lengths.seconds < 4.1


def test_deviation_grows_with_uneven_items() -> None:
    even = RunLengths(events=100)
    uneven = RunLengths(events=100)
    for run in range(30):
        even.record(4.0, 100)
        uneven.record(4.0, 50 if run % 2 else 150)
    assert even.deviation < 0.01
    assert uneven.deviation > 0.3
