"""Limits of customers hold over all entries.

Guards against entries that each admit a share of the limit by reports of
their rates: 40 simultaneous requests of a customer with 5 requests per second
reached two entries.  Both reported their rates before they received the
other's report, each admitted three quarters of the limit, and 14 requests
were answered where 12 are allowed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import gevent
import pytest

from wigeonpier.entry.limits import CustomerLimits, Fleet
from wigeonpier.errors import Refusal
from wigeonpier.policy.ratelimit import WINDOW_SECONDS
from wigeonpier.settings.deployment import Limits

RATE = 5
ALLOWED = 12
REQUESTS = 40
CUSTOMER = 'a'
REPORT_SECONDS = 0.5


@dataclass
class Site:
    """Entries that call each other, with a simulated clock.

    :param count: number of entries.
    :param unreachable: entries that answer no call.
    :param unknown: entries that no other entry has had a heartbeat from.
    """

    count: int = 2
    now: float = 100.0
    unreachable: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)
    calls: int = 0
    starts: int = 0

    def __post_init__(self) -> None:
        self.names = [f'entry-{number}' for number in range(self.count)]
        self.entries = {name: self.make_limits(name) for name in self.names}

    def make_limits(self, name: str) -> CustomerLimits:
        self.starts += 1
        fleet = Fleet(
            lambda: name,
            lambda: [
                other
                for other in self.names
                if other == name or other not in self.unknown
            ],
            lambda: len(self.names),
            lambda owner, call: self.call(name, owner, call),
        )
        return CustomerLimits(
            lambda: self.now,
            fleet,
            random.Random(self.starts),
            f'{self.starts}',
        )

    def call(self, name: str, owner: str, call: object) -> object:
        self.calls += 1
        if {name, owner} & self.unreachable:
            return None
        return self.entries[owner].answer(call)

    def report(self) -> None:
        """Exchange heartbeats."""
        for name, entry in self.entries.items():
            usage = entry.report()
            for other, peer in self.entries.items():
                if other != name:
                    peer.record_peer_usage(name, usage)

    def restart(self, name: str) -> None:
        """Replace an entry by one that knows only the heartbeat replies."""
        self.entries[name] = self.make_limits(name)
        for other, peer in self.entries.items():
            if other != name:
                self.entries[name].record_peer_usage(other, peer.report())

    def send(self, entry: int, **limits: float) -> bool:
        configured = Limits(**({'requests_per_second': RATE} | limits))
        try:
            with self.entries[self.names[entry]].acquire(CUSTOMER, configured):
                return True
        except Refusal:
            return False


def count_fullest_window(admitted: list[float]) -> int:
    """Count the requests in the window that has the most."""
    return max(
        (
            sum(begin <= at < begin + WINDOW_SECONDS for at in admitted)
            for begin in admitted
        ),
        default=0,
    )


@pytest.mark.parametrize('seconds', [0.1, 0.6, 1.2, 1.9])
@pytest.mark.parametrize('report_each', [0.2, 0.5, 5.0])
@pytest.mark.parametrize('entries', [1, 2, 4, 27])
def test_simultaneous_requests_stay_within_the_limit(
    seconds, report_each, entries
) -> None:
    site = Site(entries)
    admitted = 0
    begin = site.now
    reported_at = begin
    for number in range(REQUESTS):
        site.now = begin + number * seconds / REQUESTS
        if site.now - reported_at >= report_each:
            reported_at = site.now
            site.report()
        admitted += site.send(number % entries)
    assert RATE <= admitted <= ALLOWED


def simulate_arrivals(
    site: Site, load: float, seed: int, restarts: float = 0
) -> tuple[list[float], int]:
    """Send random requests at a multiple of the limit, with restarts.

    :param load: mean rate of requests, as a multiple of the limit.
    :param restarts: mean rate of restarts of entries, per second.
    :returns: times of the admitted requests, and how many were sent.
    """
    rng = random.Random(seed)
    admitted = []
    sent = 0
    end = site.now + 60
    reported_at = site.now
    while site.now < end:
        gap = rng.expovariate(load * RATE)
        site.now += gap
        if site.now - reported_at >= REPORT_SECONDS:
            reported_at = site.now
            site.report()
        if rng.random() < restarts * gap:
            site.restart(rng.choice(site.names))
        sent += 1
        if site.send(rng.randrange(site.count)):
            admitted.append(site.now)
    return admitted, sent


@pytest.mark.parametrize('entries', [2, 4, 27])
@pytest.mark.parametrize('seed', range(5))
def test_no_window_exceeds_the_limit(entries, seed) -> None:
    """A fixed share for each entry exceeded the limit with many entries."""
    admitted, _sent = simulate_arrivals(Site(entries), 4, seed)
    assert count_fullest_window(admitted) <= RATE * WINDOW_SECONDS


@pytest.mark.parametrize('entries', [2, 4, 27])
@pytest.mark.parametrize('seed', range(5))
def test_restarting_entries_do_not_raise_the_limit(entries, seed) -> None:
    """A new owner receives from the others what they admitted."""
    admitted, _sent = simulate_arrivals(Site(entries), 4, seed, restarts=0.2)
    assert count_fullest_window(admitted) <= ALLOWED


@pytest.mark.parametrize('entries', [2, 4, 27])
def test_customer_below_its_limit_is_refused_as_by_one_entry(entries) -> None:
    alone = sum(
        sent - len(admitted)
        for seed in range(5)
        for admitted, sent in [simulate_arrivals(Site(1), 0.8, seed)]
    )
    together = sum(
        sent - len(admitted)
        for seed in range(5)
        for admitted, sent in [simulate_arrivals(Site(entries), 0.8, seed)]
    )
    assert together <= 1.1 * alone


@pytest.mark.parametrize('seconds', [0.3, 1.0])
def test_entry_unknown_to_the_others_does_not_admit_the_limit_again(
    seconds,
) -> None:
    """An entry that has just started can reach the others."""
    site = Site(2)
    site.unknown = {'entry-1'}
    admitted = 0
    begin = site.now
    for number in range(REQUESTS):
        site.now = begin + number * seconds / REQUESTS
        admitted += site.send(number % 2)
    assert admitted <= ALLOWED


@pytest.mark.parametrize('entries', [2, 4, 27])
def test_entries_without_contact_to_the_owner_share_the_limit(entries) -> None:
    admitted = []
    for seed in range(20):
        site = Site(entries)
        site.starts = 1000 * seed
        site.entries = {name: site.make_limits(name) for name in site.names}
        site.unreachable = set(site.names)
        admitted.append(
            sum(site.send(number % entries) for number in range(REQUESTS)),
        )
    # The owner itself still admits up to the complete limit.
    assert sum(admitted) / len(admitted) <= 2 * RATE * WINDOW_SECONDS
    assert min(admitted) >= 1


def test_owner_that_does_not_answer_is_not_called_for_each_request() -> None:
    site = Site(2)
    site.unreachable = set(site.names)
    for _ in range(REQUESTS):
        site.send(0)
        site.send(1)
    assert site.calls <= 2


def test_customer_of_a_single_entry_gets_the_whole_limit() -> None:
    site = Site()
    begin = site.now
    admitted = 0
    for number in range(400):
        site.now = begin + number * 0.05
        site.report()
        admitted += site.send(0)
    assert admitted >= 0.95 * RATE * 20


def test_customer_with_a_low_rate_is_admitted_at_its_rate() -> None:
    site = Site()
    begin = site.now
    admitted = 0
    for number in range(400):
        site.now = begin + number * 0.25
        site.report()
        admitted += site.send(number % 2, requests_per_second=0.1)
    assert 8 <= admitted <= 12


@pytest.mark.parametrize('entries', [1, 2])
def test_pause_shorter_than_the_window_does_not_reset_the_count(
    entries,
) -> None:
    """The account of a customer was removed after a pause of a minute."""
    site = Site(entries)
    assert site.send(0, requests_per_second=0.01)
    site.now += 61
    site.report()
    assert not site.send(entries - 1, requests_per_second=0.01)
    site.now += 45
    site.report()
    assert site.send(0, requests_per_second=0.01)


@pytest.mark.parametrize('entries', [1, 2, 4])
def test_requests_in_progress_are_counted_over_all_entries(entries) -> None:
    site = Site(entries)
    limits = Limits(requests_per_second=100, concurrent=4)
    admitted = []
    for number in range(REQUESTS):
        name = site.names[number % entries]
        context = site.entries[name].acquire(CUSTOMER, limits)
        try:
            context.__enter__()
        except Refusal:
            continue
        admitted.append(context)
    assert len(admitted) == 4
    admitted.pop().__exit__(None, None, None)
    gevent.sleep(0)
    # The owner knows the end of a request at once, for requests at any entry.
    assert site.send(entries - 1, requests_per_second=100, concurrent=4)


@pytest.mark.parametrize('entries', [1, 2, 4])
def test_tokens_are_counted_over_all_entries(entries) -> None:
    site = Site(entries)
    limits = Limits(requests_per_second=100, tokens_per_second=10)
    admitted = 0
    begin = site.now
    for number in range(200):
        site.now = begin + number * 0.1
        name = site.names[number % entries]
        try:
            with site.entries[name].acquire(CUSTOMER, limits) as account:
                admitted += 1
                account.tokens += 10
        except Refusal:
            continue
        site.entries[name].report_tokens({CUSTOMER: limits}.get)
    assert 18 <= admitted <= 24
