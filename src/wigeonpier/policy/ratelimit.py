"""Decides whether requests of a customer fit its limits, in a single place.

Addresses a customer whose callers reach many entries at the same moment.
Entries that each decide by outdated reports of the others admit the same free
capacity twice, and entries that split the limit refuse requests while other
shares are unused.  Here one entry, the owner, counts for all of them.

An owner that is new to a customer learns from each entry what that entry has
admitted in the window, with its first call or its last heartbeat.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from wigeonpier.policy.buckets import (
    BURST_SECONDS,
    Bucket,
    fill_bucket,
    time_until_affordable,
)
from wigeonpier.policy.window import (
    Window,
    spend,
    sum_spent,
    time_until_available,
)

# The request limit holds in any span of this length, or of one that has room
# for a single request.
WINDOW_SECONDS = 2.0
# Above this share of the concurrency limit, an entry reports each request that
# ends.
TIGHT_SHARE = 0.5


class Exhausted(StrEnum):
    """The limit that keeps a request from being admitted."""

    nothing = ''
    requests = 'requests_per_second'
    tokens = 'tokens_per_second'
    concurrent = 'concurrent'


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Limits of a customer over all entries.

    :param requests: requests a second.
    :param tokens: answer tokens a second.
    :param concurrent: requests in progress.
    """

    requests: float
    tokens: float
    concurrent: float

    @property
    def window_seconds(self) -> float:
        """Return the length of the request window."""
        return max(WINDOW_SECONDS, 1 / self.requests)

    @property
    def window_requests(self) -> float:
        """Return the requests that fit into the window."""
        return self.requests * self.window_seconds


@dataclass(frozen=True, slots=True)
class Demand:
    """A call of an entry to the owner: requests to admit, and usage to report.

    :param entry: address of the entry.
    :param requests: requests to admit, 0 for a report.
    :param elsewhere: requests that the entry admitted in the window without
        this owner.
    :param in_progress: requests in progress at the entry, including this one.
    :param tokens: answer tokens that were not reported before.
    """

    entry: str
    requests: int
    elsewhere: float
    in_progress: int
    tokens: float


@dataclass(frozen=True, slots=True)
class Decision:
    """The owner's answer.

    :param exhausted: the limit that is reached, if any.
    :param retry_after: seconds until the request would be admitted, 0 where
        that is unknown.
    :param is_tight: whether requests that end are to be reported at once.
    :param total: requests of all entries in the window.
    """

    exhausted: Exhausted = Exhausted.nothing
    retry_after: float = 0
    is_tight: bool = False
    total: float = 0


@dataclass(slots=True)
class OwnedAccount:
    """What the owner has counted for one customer.

    :param tokens: bucket of answer tokens.
    :param admitted: requests that this owner admitted.
    :param elsewhere: requests that entries admitted without it, by entry.
    :param in_progress: requests in progress, by entry.
    :param used_at: time of the last call for this customer, seconds.
    """

    tokens: Bucket
    admitted: Window = field(default_factory=lambda: Window(WINDOW_SECONDS))
    elsewhere: dict[str, Window] = field(default_factory=dict)
    in_progress: dict[str, int] = field(default_factory=dict)
    used_at: float = 0

    @property
    def windows(self) -> list[Window]:
        """List the windows of all admitted requests."""
        return [self.admitted, *self.elsewhere.values()]

    def count_admitted(self, now: float) -> float:
        """Count the requests in the window.

        :param now: seconds.
        :returns: requests of all entries.
        """
        return sum(sum_spent(window, now) for window in self.windows)

    def record_elsewhere(self, entry: str, requests: float, now: float) -> None:
        """Count requests that an entry admitted without this owner.

        :param entry: address of the entry.
        :param requests: how many in the window.
        :param now: seconds.
        """
        window = self.elsewhere.get(entry)
        if window is None:
            if not requests:
                return
            window = Window(self.admitted.seconds)
            self.elsewhere[entry] = window
        missing = requests - sum_spent(window, now)
        if missing > 0:
            spend(window, missing, now)


def open_account(limit: RateLimit, now: float) -> OwnedAccount:
    """Open an account with a full bucket.

    :param limit: limits of the customer.
    :param now: seconds.
    :returns: the account.
    """
    return OwnedAccount(Bucket(limit.tokens * BURST_SECONDS, now))


def decide(
    account: OwnedAccount,
    limit: RateLimit,
    demand: Demand,
    now: float,
) -> Decision:
    """Decide on a request, and count it if it is admitted.

    :param account: changed in place.
    :param limit: limits of the customer.
    :param demand: call of an entry.
    :param now: seconds.
    :returns: the decision.
    """
    account.used_at = now
    _set_window(account, limit)
    account.record_elsewhere(demand.entry, demand.elsewhere, now)
    account.in_progress[demand.entry] = demand.in_progress
    fill_bucket(account.tokens, limit.tokens, now)
    account.tokens.tokens -= demand.tokens
    in_progress = sum(account.in_progress.values())
    is_tight = in_progress > limit.concurrent * TIGHT_SHARE
    if not demand.requests:
        total = account.count_admitted(now)
        return Decision(is_tight=is_tight, total=total)
    exhausted, wait = _find_exhausted(account, limit, demand.requests, now)
    if exhausted:
        account.in_progress[demand.entry] -= demand.requests
    else:
        spend(account.admitted, demand.requests, now)
    total = account.count_admitted(now)
    return Decision(exhausted, wait, is_tight, total)


def share_limit(limit: RateLimit, entries: int) -> RateLimit:
    """Compute what one entry may admit while the owner is unreachable.

    :param limit: limits of the customer over all entries.
    :param entries: how many entries there may be.
    :returns: an equal share.
    """
    share = 1 / max(1, entries)
    return RateLimit(
        limit.requests * share,
        limit.tokens * share,
        limit.concurrent * share,
    )


def admission_probability(limit: RateLimit, entries: int) -> float:
    """Compute the probability of admission if a share is below one request.

    Entries that each admitted their first request would together exceed the
    limit as soon as they outnumber the requests in the window.

    :param limit: limits of the customer over all entries.
    :param entries: how many entries there may be.
    :returns: from 0 to 1.
    """
    return min(1, limit.window_requests / max(1, entries))


def _set_window(account: OwnedAccount, limit: RateLimit) -> None:
    for window in account.windows:
        window.seconds = limit.window_seconds


def _find_exhausted(
    account: OwnedAccount,
    limit: RateLimit,
    requests: int,
    now: float,
) -> tuple[Exhausted, float]:
    wait = time_until_available(
        account.windows,
        limit.window_requests,
        requests,
        now,
    )
    if wait:
        return Exhausted.requests, wait
    wait = time_until_affordable(account.tokens, limit.tokens, 0)
    if wait:
        return Exhausted.tokens, wait
    if sum(account.in_progress.values()) > max(1, limit.concurrent):
        return Exhausted.concurrent, 0
    return Exhausted.nothing, 0
