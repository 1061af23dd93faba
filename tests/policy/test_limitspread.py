"""How the limit of a customer is spread while slots are scarce."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_upstream
from wigeonpier.errors import Refusal
from wigeonpier.hosted import customeruse
from wigeonpier.hosted.customeruse import CustomerLimiter
from wigeonpier.hosted.usagecounter import UsageReport
from wigeonpier.models import Bounds, OnlineLoad
from wigeonpier.policy import limitspread
from wigeonpier.policy.allowance import (
    DEMAND_SECONDS,
    Limit,
    UsageCount,
    estimate_admission,
)
from wigeonpier.policy.limitspread import ScarcityState
from wigeonpier.policy.route import record_load
from wigeonpier.policy.window import (
    Window,
    spend,
    sum_spent,
    time_until_available,
)
from wigeonpier.served import ServedCustomer

if TYPE_CHECKING:
    from collections.abc import Callable

SPAN = 5.0
ENTRIES = 20
# 1.6 times the usual 52 requests a second, 420 in the window.
RATE = 84.0
CUSTOMER = ServedCustomer('c', rate=RATE)
BOUNDS = Bounds(8, 120, 3, quota_overage=0.1, quota_slack=20)
STEP = 0.01
REPORT_STEPS = 10


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


class Fleet:
    """Entries that admit a customer, and a counter that reports to all."""

    def __init__(self, clock: Clock, seed: int = 1) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.limiters = [
            CustomerLimiter(BOUNDS, None, list, random.Random(number))
            for number in range(ENTRIES)
        ]
        self.total = 0
        self.admitted: list[float] = []
        self.retries: list[float] = []
        self.report()

    def report(self) -> None:
        for limiter in self.limiters:
            self.total += limiter.take_unreported().get('c', 0)
        update = UsageReport('a', {'c': self.total}, {}, 60.0)
        for limiter in self.limiters:
            limiter.record_report('h', update)

    def run(
        self, demand: float, seconds: float, is_scarce: Callable[[], bool]
    ) -> None:
        for step in range(int(seconds / STEP)):
            self.clock.now += STEP
            if step % REPORT_STEPS == 0:
                self.report()
            for _ in range(ENTRIES):
                if self.rng.random() < demand * STEP / ENTRIES:
                    self.call(is_scarce=is_scarce())

    def call(self, *, is_scarce: bool) -> None:
        limiter = self.rng.choice(self.limiters)
        try:
            limiter.admit(CUSTOMER, 'r', is_scarce=is_scarce)
        except Refusal as refusal:
            assert refusal.retry_seconds is not None
            self.retries.append(refusal.retry_seconds)
        else:
            self.admitted.append(self.clock.now)

    def count(self, start: float, seconds: float) -> int:
        return sum(start < at <= start + seconds for at in self.admitted)


def test_a_hot_customer_is_not_shut_out_while_slots_are_scarce(
    clock: Clock,
) -> None:
    """Guards against a limit that is used up in the first two seconds."""
    start = clock.now
    fleet = Fleet(clock)
    fleet.run(210, 15, lambda: True)
    for second in range(15):
        assert fleet.count(start + second, 1) >= RATE / 2
    limit = RATE * SPAN
    for tenth in range(100):
        most = fleet.count(start + tenth / 10, SPAN)
        assert most <= limit * 1.1 + 20


def test_without_the_spread_it_is_shut_out(clock: Clock) -> None:
    """Shows that the replay has the load which the spread is for."""
    start = clock.now
    fleet = Fleet(clock)
    fleet.run(210, 10, lambda: False)
    assert min(fleet.count(start + second, 1) for second in range(10)) < 10


def test_decisions_are_unchanged_while_slots_are_ample(clock: Clock) -> None:
    """Guards against a spread limit where no slots are scarce."""
    fleet = Fleet(clock)
    admit = CustomerLimiter.admit
    decisions = 0

    def check(limiter: CustomerLimiter) -> bool:
        """Decide as before the limit was spread, by the same random draw."""
        account = limiter._find_account('c')
        spend(account.demand, 1, clock.now)
        own = sum_spent(account.own, clock.now)
        use = UsageCount(
            max(own, sum_spent(account.reported, clock.now)),
            sum_spent(account.unseen, clock.now),
            own,
            sum_spent(account.demand, clock.now) / DEMAND_SECONDS,
        )
        spend(account.demand, -1, clock.now)
        draws = random.Random()
        draws.setstate(limiter._rng.getstate())
        limit = Limit(RATE, 0, SPAN, 0.1, 20)
        return draws.random() < estimate_admission(limit, use)

    for step in range(600):
        clock.now += STEP
        if step % REPORT_STEPS == 0:
            fleet.report()
        for limiter in fleet.limiters[:3]:
            is_expected = check(limiter)
            is_admitted = True
            try:
                admit(limiter, CUSTOMER, 'r', is_scarce=False)
            except Refusal:
                is_admitted = False
            assert is_admitted == is_expected
            decisions += not is_admitted
    assert decisions


@given(
    rate=st.floats(0.1, 500),
    burst=st.floats(0, 100),
    seconds=st.floats(1, 60),
)
def test_only_the_window_is_checked_while_slots_are_ample(
    rate: float, burst: float, seconds: float
) -> None:
    limit = Limit(rate, burst, seconds, 0.1, 20)
    assert limitspread.list_limits(limit, is_scarce=False) == [limit]
    assert limitspread.list_limits(limit, is_scarce=True)[0] == limit


def test_small_customers_are_not_refused_for_two_calls_at_once(
    clock: Clock,
) -> None:
    """Guards against short spans that allow less than one burst of callers."""
    limiter = CustomerLimiter(BOUNDS, None, list, random.Random(1))
    limiter.record_report('h', UsageReport('a', {}, {}, 60.0))
    small = ServedCustomer('s', rate=1)
    for _ in range(4):
        limiter.admit(small, 'r', is_scarce=True)
        clock.now += 0.01


def test_a_lost_counter_does_not_refuse_two_calls_at_once(
    clock: Clock,
) -> None:
    """Guards against short spans that allow one request by low certainty."""
    limiter = CustomerLimiter(BOUNDS, None, list, random.Random(1))
    for host in ('h1', 'h2'):
        limiter.record_report(host, UsageReport('a', {}, {}, 60.0))
    clock.now += 3
    limiter.record_report('h1', UsageReport('a', {}, {}, 63.0))
    assert limiter._measure_certainty(clock.now) == 0.5
    small = ServedCustomer('s', rate=1)
    for _ in range(3):
        limiter.admit(small, 'r', is_scarce=True)


def test_a_request_that_never_ran_counts_in_no_short_span(
    clock: Clock,
) -> None:
    """Guards against a 429 for the retry of a request that did not run."""
    limiter = CustomerLimiter(BOUNDS, None, list, random.Random(1))
    limiter.record_report('h', UsageReport('a', {}, {}, 60.0))
    small = ServedCustomer('s', rate=1)
    # These are outside of all short spans by the time that others are refunded.
    for _ in range(10):
        limiter.admit(small, 'r', is_scarce=True)
        clock.now += 0.1
    clock.now += 1.3
    limiter.record_contact('h')
    clock.now += 1.3
    limiter.record_contact('h')
    for _ in range(20):
        limiter.admit(small, 'r', is_scarce=True)
        limiter.refund(small)
        clock.now += 0.02


@given(age=st.floats(0, 4.9), part=st.sampled_from(limitspread.SPAN_SHARES))
def test_a_cut_window_agrees_with_the_wait_for_room(
    age: float, part: float
) -> None:
    """Guards against a wait of 0 for a request that is refused."""
    window = Window(SPAN)
    spend(window, 10, 0.0)
    cut = limitspread.cut_window(window, SPAN * part, age)
    wait = time_until_available([cut], 10, 1, age)
    assert (wait > 0) == (limitspread.sum_since(window, SPAN * part, age) > 0)
    later = age + wait + 1e-6
    assert limitspread.sum_since(window, SPAN * part, later) == 0


def test_retries_of_refused_callers_are_spread(clock: Clock) -> None:
    """Guards against callers that were refused together and return together."""
    fleet = Fleet(clock)
    fleet.run(210, 5, lambda: True)
    late = sorted(fleet.retries)
    assert late[int(len(late) * 0.9)] - late[int(len(late) * 0.1)] > 0.5
    assert late[-1] < SPAN


def test_slots_are_scarce_by_fresh_loads_only() -> None:
    states = [build_upstream(f'vm-{number}', slots=8) for number in range(2)]
    assert limitspread.measure_use(states, 10.0) == 0
    record_load(states[0], OnlineLoad(6, takes_work=True, queued=2), 10.0)
    assert limitspread.measure_use(states, 10.5) == 1
    assert limitspread.measure_use(states, 12.0) == 0


def test_scarcity_lasts_for_a_while() -> None:
    """Guards against admission that alternates with each report."""
    scarcity = ScarcityState()
    assert not scarcity.update(0.5, 10.0)
    assert scarcity.update(0.9, 10.0)
    assert scarcity.update(0.5, 10.5)
    assert not scarcity.update(0.5, 12.0)
