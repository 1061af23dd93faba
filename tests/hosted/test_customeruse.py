"""Tests how much of the quota window an entry has complete counts for.

Entries that were partitioned together receive requests again before they are
in contact with all counters.  They must not take the missing counts for zero.
"""

from __future__ import annotations

import random

import pytest

from wigeonpier.hosted import customeruse
from wigeonpier.hosted.customeruse import CustomerLimiter
from wigeonpier.hosted.usagecounter import UsageReport
from wigeonpier.models import Bounds

SPAN = 5.0
HOSTS = ('h1', 'h2', 'h3', 'h4')


class Clock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace the limiter's clock by one that the test advances."""
    clock = Clock()
    monkeypatch.setattr(customeruse, 'time', clock)
    return clock


def make_limiter() -> CustomerLimiter:
    bounds = Bounds(8, 120, 3, quota_window=SPAN, quota_slack=20)
    return CustomerLimiter(bounds, None, list, random.Random(1))


def report(
    limiter: CustomerLimiter, hosts, *, start='a', age=60.0, total=10
) -> None:
    for host in hosts:
        update = UsageReport(start, {'c': total}, {'c': total}, age)
        limiter.record_report(host, update)


def test_certainty_is_full_with_all_counters_in_contact(clock: Clock) -> None:
    limiter = make_limiter()
    report(limiter, HOSTS)
    assert limiter._measure_certainty(clock.now) == 1
    assert limiter._find_account('c').reported.total == 40


def test_silent_counters_lower_the_certainty(clock: Clock) -> None:
    limiter = make_limiter()
    report(limiter, HOSTS)
    clock.now += 3
    report(limiter, HOSTS[:1])
    assert limiter._measure_certainty(clock.now) == 0.25
    clock.now += SPAN
    report(limiter, HOSTS[:1])
    # The counts of the silent counters have expired, and so have the counters.
    assert limiter._measure_certainty(clock.now) == 1


def test_a_counter_back_in_contact_reports_what_was_missed(
    clock: Clock,
) -> None:
    limiter = make_limiter()
    report(limiter, HOSTS)
    clock.now += 4
    report(limiter, HOSTS, total=15)
    assert limiter._measure_certainty(clock.now) == 1
    assert limiter._find_account('c').reported.total == 60


def test_counts_survive_the_restart_of_a_counter_in_contact(
    clock: Clock,
) -> None:
    limiter = make_limiter()
    report(limiter, HOSTS)
    clock.now += 1
    report(limiter, HOSTS, start='b', age=0.1, total=0)
    assert limiter._measure_certainty(clock.now) == 1
    assert limiter._find_account('c').reported.total == 40


def test_certainty_is_low_after_all_counters_restarted(clock: Clock) -> None:
    limiter = make_limiter()
    report(limiter, HOSTS, age=1.0, total=2)
    assert limiter._measure_certainty(clock.now) == pytest.approx(0.2)
    clock.now += 1.5
    report(limiter, HOSTS, total=3)
    assert limiter._measure_certainty(clock.now) == pytest.approx(0.5)
