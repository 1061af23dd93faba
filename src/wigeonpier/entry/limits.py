"""Limits of customers at one entry."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.membership.messages import Usage
from wigeonpier.policy.buckets import Bucket, fill_bucket, tell_wait
from wigeonpier.policy.shares import share_limit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.settings.deployment import Limits

RATE_SECONDS = 5.0
IDLE_SECONDS = 60.0


@dataclass(slots=True)
class Account:
    """What one active customer uses at this entry.

    :param requests: bucket of requests.
    :param tokens: bucket of tokens of answers.
    :param in_hand: requests in hand.
    :param rate: requests a second, over the last seconds.
    :param seen: when it last asked, seconds.
    """

    requests: Bucket
    tokens: Bucket
    in_hand: int = 0
    rate: float = 0
    seen: float = 0


@dataclass(slots=True)
class CustomerLimits:
    """Accounts of the customers that are active here.

    :param clock: gives seconds.
    :param accounts: by customer; idle ones are dropped.
    :param others: rates that other entries told, by entry and customer.
    :param count_entries: gives the number of live entries.
    """

    clock: Callable[[], float]
    count_entries: Callable[[], int]
    accounts: dict[str, Account] = field(default_factory=dict)
    others: dict[str, dict[str, float]] = field(default_factory=dict)

    @contextmanager
    def hold(self, customer: str, limits: Limits) -> Iterator[Account]:
        """Admit one online request.

        :param customer: who asks.
        :param limits: what it may use across all entries.
        :yields: the account, to be charged for tokens.
        :raises Refusal: when a limit is reached; the request did not run.
        """
        now = self.clock()
        account = self._find(customer, limits, now)
        self._note_demand(account, now)
        share = self._share(customer, account)
        _check_rate(account.requests, limits.requests_per_second * share, 1)
        _check_rate(account.tokens, limits.tokens_per_second * share, 0)
        if account.in_hand >= max(1, limits.concurrent * share):
            raise Refusal(
                ErrorKind.limit_reached,
                f'at most {limits.concurrent} requests may be in hand',
            )
        account.requests.tokens -= 1
        account.in_hand += 1
        try:
            yield account
        finally:
            account.in_hand -= 1

    def report(self) -> tuple[Usage, ...]:
        """Tell the other entries who is active here.

        :returns: rates by customer.
        """
        now = self.clock()
        self.accounts = {
            name: account
            for name, account in self.accounts.items()
            if account.in_hand or now - account.seen < IDLE_SECONDS
        }
        return tuple(
            Usage(active, round(_decay(used, now), 2))
            for active, used in self.accounts.items()
            if now - used.seen < RATE_SECONDS
        )

    def note_others(self, entry: str, usage: tuple[Usage, ...]) -> None:
        """Take in what another entry told.

        :param entry: its name.
        :param usage: rates by customer.
        """
        self.others[entry] = {told.customer: told.rate for told in usage}

    def forget_entry(self, entry: str) -> None:
        """Drop what an entry told that is gone.

        :param entry: its name.
        """
        self.others.pop(entry, None)

    def _find(self, customer: str, limits: Limits, now: float) -> Account:
        account = self.accounts.get(customer)
        if account is None:
            account = Account(
                Bucket(limits.requests_per_second, now),
                Bucket(limits.tokens_per_second, now),
            )
            self.accounts[customer] = account
        share = self._share(customer, account)
        fill_bucket(account.requests, limits.requests_per_second * share, now)
        fill_bucket(account.tokens, limits.tokens_per_second * share, now)
        return account

    def _share(self, customer: str, account: Account) -> float:
        rates = [told.get(customer, 0) for told in self.others.values()]
        return share_limit(account.rate, rates, self.count_entries())

    def _note_demand(self, account: Account, now: float) -> None:
        account.rate = _decay(account, now) + 1 / RATE_SECONDS
        account.seen = now


def _decay(account: Account, now: float) -> float:
    left = max(0, 1 - (now - account.seen) / RATE_SECONDS)
    return account.rate * left


def _check_rate(bucket: Bucket, rate: float, amount: float) -> None:
    wait = tell_wait(bucket, rate, amount)
    if wait:
        raise Refusal(
            ErrorKind.limit_reached,
            f'the rate limit is reached; come back in {wait} s',
            retry_after=wait,
        )
