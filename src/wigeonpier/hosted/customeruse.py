"""Limits the requests of each customer over all entries."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.usagecounter import USAGE_PATH
from wigeonpier.loops import spawn_loop
from wigeonpier.policy import allowance, limitspread
from wigeonpier.policy.window import (
    Window,
    spend,
    sum_spent,
    time_until_available,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.hosted.usagecounter import UsageReport
    from wigeonpier.models import Bounds
    from wigeonpier.served import ServedCustomer
    from wigeonpier.web.pool import ConnectionPool

# Longest delay before a count is reported, where no slot reservation carries
# it earlier.
REPORT_INTERVAL_SECONDS = 0.2
REPORT_TIMEOUT_SECONDS = 0.5
# A counter that is silent for so long is down or unreachable: the load feed
# sends a line at least every 0.4 s.
CONTACT_TIMEOUT_SECONDS = 2.0
# Factors between which the retry delays of refused callers are drawn.
RETRY_JITTER = (1.0, 1.5)


class CustomerRow(msgspec.Struct, frozen=True):
    """Request counts of one customer, as an entry shows them.

    :param customer: name of the customer.
    :param used: requests at all entries within the quota window.
    :param here: those of them that were admitted by this entry.
    :param refused: requests refused by this entry since its start.
    """

    customer: str
    used: float
    here: float
    refused: int


@dataclass(slots=True)
class Account:
    """Request counts of one customer at this entry.

    :param reported: requests at all entries, as reported by the counters.
    :param own: requests that this entry admitted.
    :param unseen: those of them that the reports may not include yet.
    :param demand: requests that this entry received, including refused ones.
    :param refused: requests that this entry refused.
    :param recent_reported: as ``reported``, for spans shorter than the window.
    :param recent_own: as ``own``, for these.
    """

    reported: Window
    own: Window
    recent_reported: Window
    recent_own: Window
    unseen: Window = field(
        default_factory=lambda: Window(allowance.UNSEEN_SECONDS),
    )
    demand: Window = field(
        default_factory=lambda: Window(allowance.DEMAND_SECONDS),
    )
    refused: int = 0


@dataclass(slots=True)
class CounterState:
    """State of a counter, a worker that counts the requests of customers.

    :param contact_at: time of its last message, seconds of the monotonic
        clock.
    :param complete_since: time since which all its counts are known, seconds
        of the monotonic clock.
    :param start: id of its current start.
    :param totals: requests by customer since that start.
    """

    contact_at: float
    complete_since: float
    start: str = ''
    totals: dict[str, int] = field(default_factory=dict)


class CustomerLimiter:
    """Counts the requests of customers and admits those within the limits."""

    def __init__(
        self,
        bounds: Bounds,
        pool: ConnectionPool,
        list_counters: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        """Create the limiter.

        :param bounds: guarantees that the site is configured with.
        :param pool: connections to the counters.
        :param list_counters: lists ``host:port`` of each counter in contact.
        :param rng: source of randomness.
        """
        self._bounds = bounds
        self._pool = pool
        self._list_counters = list_counters
        self._rng = rng
        self._accounts: dict[str, Account] = {}
        self._counters: dict[str, CounterState] = {}
        # Requests that have not been reported yet.
        self._unreported: Counter[str] = Counter()

    def start(self) -> None:
        """Begin to send reports that no slot reservation has carried."""
        spawn_loop('usage', self._report)

    def admit(
        self,
        customer: ServedCustomer,
        request: str,
        *,
        is_scarce: bool = False,
    ) -> None:
        """Admit one request of a customer.

        :param customer: the customer.
        :param request: id of the request, for the log.
        :param is_scarce: whether slots are scarce, so that the limit is spread
            over its window.
        :raises Refusal: when the limit of the customer is reached.
        """
        if not customer.rate:
            return
        now = time.monotonic()
        account = self._find_account(customer.name)
        spend(account.demand, 1, now)
        limit = allowance.Limit(
            customer.rate,
            customer.burst,
            self._bounds.quota_window,
            self._bounds.quota_overage,
            self._bounds.quota_slack,
        )
        checks = [
            (checked, self._measure(account, checked.seconds, now))
            for checked in limitspread.list_limits(limit, is_scarce=is_scarce)
        ]
        chances = [allowance.estimate_admission(*check) for check in checks]
        if self._rng.random() >= min(chances):
            account.refused += 1
            exceeded = checks[chances.index(min(chances))]
            _log_limited(request, customer.name, *exceeded)
            raise self._refuse(account, *exceeded, now)
        self._count(customer.name, account, 1, now)

    def refund(self, customer: ServedCustomer) -> None:
        """Uncount an admitted request that did not run.

        :param customer: the customer.
        """
        if customer.rate:
            account = self._find_account(customer.name)
            self._count(customer.name, account, -1, time.monotonic())

    def take_unreported(self) -> dict[str, int]:
        """Remove and return the counts to report with the next call.

        :returns: requests by customer.
        """
        if not self._unreported:
            return {}
        unreported = {
            name: count for name, count in self._unreported.items() if count
        }
        self._unreported.clear()
        return unreported

    def restore_unreported(self, unreported: dict[str, int]) -> None:
        """Queue the counts of an unanswered call to be reported again.

        :param unreported: requests by customer; the counter may have counted
            them already.
        """
        self._unreported.update(unreported)

    def record_contact(self, host: str) -> None:
        """Record that a counter has sent something.

        :param host: address of its VM.
        """
        self._find_counter(host).contact_at = time.monotonic()

    def record_report(self, host: str, report: UsageReport) -> None:
        """Record the report of a counter.

        :param host: address of its VM.
        :param report: the report.
        """
        now = time.monotonic()
        counter = self._find_counter(host)
        if report.start == counter.start:
            increments = {
                name: total - counter.totals.get(name, 0)
                for name, total in report.totals.items()
            }
        else:
            self._record_restart(counter, report, now)
            increments = report.recent
        counter.contact_at = now
        counter.totals |= report.totals
        for name, count in increments.items():
            account = self._find_account(name)
            spend(account.reported, count, now)
            spend(account.recent_reported, count, now)

    def list_rows(self) -> list[CustomerRow]:
        """List the counts of all customers that this entry has counts of.

        :returns: a row for each customer, sorted by name.
        """
        now = time.monotonic()
        return [
            CustomerRow(
                name,
                sum_spent(account.reported, now),
                sum_spent(account.own, now),
                account.refused,
            )
            for name, account in sorted(self._accounts.items())
        ]

    def count_counters(self) -> int:
        """Count the counters that are in contact.

        :returns: number of counters.
        """
        now = time.monotonic()
        return sum(_is_in_contact(one, now) for one in self._counters.values())

    def _record_restart(
        self,
        counter: CounterState,
        report: UsageReport,
        now: float,
    ) -> None:
        """Record the first report of a new start of a counter.

        If contact was never lost, the counts of its previous start are
        complete and remain valid.
        """
        started_at = now - report.age
        if counter.start and _is_in_contact(counter, now):
            counter.complete_since = min(counter.complete_since, started_at)
        else:
            counter.complete_since = started_at
        counter.start = report.start
        counter.totals = {}

    def _find_account(self, name: str) -> Account:
        account = self._accounts.get(name)
        if account is None:
            span = self._bounds.quota_window
            account = Account(
                Window(span),
                Window(span),
                limitspread.make_recent(span),
                limitspread.make_recent(span),
            )
            self._accounts[name] = account
        return account

    def _find_counter(self, host: str) -> CounterState:
        now = time.monotonic()
        return self._counters.setdefault(host, CounterState(now, now))

    def _count(
        self,
        name: str,
        account: Account,
        count: int,
        now: float,
    ) -> None:
        spend(account.own, count, now)
        spend(account.recent_own, count, now)
        spend(account.unseen, count, now)
        self._unreported[name] += count

    def _measure(
        self, account: Account, span: float, now: float
    ) -> allowance.UsageCount:
        """Measure what is known of the requests in a span of the window."""
        # A lost counter lowers what the whole window allows.  Short spans allow
        # a small customer two requests, and would refuse the second one.
        is_whole = span >= self._bounds.quota_window
        certainty = self._measure_certainty(now) if is_whole else 1
        # Without a counter, only the requests of this entry are known.
        counted, admitted = (
            (account.reported, account.own)
            if is_whole
            else (account.recent_reported, account.recent_own)
        )
        own = limitspread.sum_since(admitted, span, now)
        reported = max(own, limitspread.sum_since(counted, span, now))
        return allowance.UsageCount(
            reported,
            sum_spent(account.unseen, now),
            own,
            sum_spent(account.demand, now) / allowance.DEMAND_SECONDS,
            certainty,
        )

    def _measure_certainty(self, now: float) -> float:
        """Measure how much of the window is known."""
        window = self._bounds.quota_window
        # The counts of a counter that is silent for longer have expired.
        self._counters = {
            host: counter
            for host, counter in self._counters.items()
            if now - counter.contact_at < window + CONTACT_TIMEOUT_SECONDS
        }
        covered = [
            now - counter.complete_since if _is_in_contact(counter, now) else 0
            for counter in self._counters.values()
        ]
        return allowance.measure_certainty(covered, window)

    def _refuse(
        self,
        account: Account,
        limit: allowance.Limit,
        use: allowance.UsageCount,
        now: float,
    ) -> Refusal:
        is_whole = limit.seconds >= self._bounds.quota_window
        counted = account.reported if is_whole else account.recent_reported
        window = limitspread.cut_window(counted, limit.seconds, now)
        wait = time_until_available([window], limit.requests, 1, now)
        seconds = max(wait, allowance.UNSEEN_SECONDS)
        if is_whole:
            seconds *= self._rng.uniform(*RETRY_JITTER)
        else:
            demand = allowance.estimate_demand(limit, use)
            draw = self._rng.random()
            seconds = limitspread.spread_retry(seconds, demand, limit, draw)
        maximum = round(limit.requests)
        return Refusal(
            ErrorKind.limit_reached,
            f'at most {maximum} requests in {limit.seconds} s',
            retry_seconds=round(seconds, 3),
        )

    def _report(self) -> None:
        gevent.sleep(REPORT_INTERVAL_SECONDS)
        counters = self._list_counters() if self._unreported else []
        if not counters:
            return
        unreported = self.take_unreported()
        address = self._rng.choice(counters)
        body = msgspec.json.encode(unreported)
        raw = make_request('POST', USAGE_PATH, [('Host', address)], body)
        called = self._pool.call(address, raw, REPORT_TIMEOUT_SECONDS)
        if isinstance(called, Err) or not called.ok_value.is_good:
            self.restore_unreported(unreported)


def _log_limited(
    request: str,
    customer: str,
    limit: allowance.Limit,
    use: allowance.UsageCount,
) -> None:
    log_event(
        Event.customer_limited,
        request=request,
        customer=customer,
        limit=limit.requests,
        span=limit.seconds,
        reported=use.reported,
        unseen=use.unseen,
        own=use.own,
        demand=use.demand,
        certainty=round(use.certainty, 2),
    )


def _is_in_contact(counter: CounterState, now: float) -> bool:
    return (
        bool(counter.start)
        and now - counter.contact_at < CONTACT_TIMEOUT_SECONDS
    )
