"""Enforces the limits of customers over all entries.

Each customer has one owner: the entry that counts its use at all entries.
Every entry computes the owner from the entries that it knows.
"""

from __future__ import annotations

import math
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.membership.messages import LimitAnswer, LimitCall, Usage
from wigeonpier.policy.backoff import Backoff
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.policy.ratelimit import (
    WINDOW_SECONDS,
    Decision,
    Demand,
    Exhausted,
    OwnedAccount,
    RateLimit,
    admission_probability,
    decide,
    open_account,
    share_limit,
)
from wigeonpier.policy.window import Window, spend, sum_spent
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from wigeonpier.settings.deployment import Limits

IDLE_SECONDS = 60.0
# Pauses before an owner that did not answer is called again.
INITIAL_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
# Key of requests that were admitted without an owner, or by entries that are
# gone, in place of an address.
UNATTRIBUTED = ''


@dataclass(slots=True)
class Account:
    """Usage of one active customer at this entry.

    :param admitted: requests in the window, by the start of the owner that
        admitted them.
    :param in_progress: requests in progress.
    :param tokens: tokens of answers that no owner has counted yet.
    :param is_tight: whether the end of a request is reported at once.
    :param used_at: time of the last request, seconds.
    :param fallback: counts here while no owner answers, else ``None``.
    :param total: requests at all entries, from the owner's last answer.
    :param total_until: when that total leaves the window, seconds.
    """

    admitted: dict[str, Window] = field(default_factory=dict)
    in_progress: int = 0
    tokens: float = 0
    is_tight: bool = False
    used_at: float = 0
    fallback: OwnedAccount | None = None
    total: float = 0
    total_until: float = 0

    def count_total(self, now: float) -> float:
        """Count the requests in the window at all entries.

        :param now: seconds.
        :returns: the owner's last total, 0 where it is out of date.
        """
        return self.total if now < self.total_until else 0

    def list_admitted(self, now: float) -> dict[str, float]:
        """Count the requests in the window, by owner.

        :param now: seconds.
        :returns: number of requests by the owner's start.
        """
        sums = {
            owner: sum_spent(window, now)
            for owner, window in self.admitted.items()
        }
        recent = {owner: total for owner, total in sums.items() if total}
        for expired in sums.keys() - recent.keys():
            self.admitted.pop(expired)
        return recent


@dataclass(frozen=True, slots=True)
class Fleet:
    """Access to the other entries.

    :param address: returns the address of this entry.
    :param list_entries: lists the addresses of live entries, this one
        included.
    :param count_entries: counts the entries that may exist.
    :param call_owner: sends a call to the owner; returns ``None`` where it
        does not answer.
    """

    address: Callable[[], str]
    list_entries: Callable[[], list[str]]
    count_entries: Callable[[], int]
    call_owner: Callable[[str, LimitCall], LimitAnswer | None]


@dataclass(slots=True)
class CustomerLimits:
    """Admits requests of customers, and counts for the customers it owns.

    :param clock: returns seconds.
    :param fleet: the other entries.
    :param rng: source of randomness.
    :param start: identifies this start of the process.
    :param accounts: usage of customers that are active at this entry.
    :param owned: accounts of the customers that this entry owns.
    :param peers: requests that other entries admitted, by entry and customer.
    :param pauses: pauses after calls that failed, by owner.
    """

    clock: Callable[[], float]
    fleet: Fleet
    rng: random.Random
    start: str
    accounts: dict[str, Account] = field(default_factory=dict)
    owned: dict[str, OwnedAccount] = field(default_factory=dict)
    peers: dict[str, dict[str, Usage]] = field(default_factory=dict)
    pauses: dict[str, Backoff] = field(default_factory=dict)

    @contextmanager
    def acquire(self, customer: str, limits: Limits) -> Iterator[Account]:
        """Admit one online request and count it while the context is open.

        :param customer: name of the customer.
        :param limits: its limits over all entries.
        :yields: the account, to be charged for tokens.
        :raises Refusal: when a limit is reached; the request did not run.
        """
        account = self.accounts.setdefault(customer, Account())
        limit = make_rate_limit(limits)
        # Requests that wait for the decision count as well.
        account.in_progress += 1
        try:
            self._admit(customer, account, limit)
            yield account
        finally:
            account.in_progress -= 1
            if account.is_tight:
                gevent.spawn(
                    self._request_decision, customer, account, limit, 0
                )

    def answer(self, call: LimitCall) -> LimitAnswer:
        """Decide on the call of an entry as the owner of its customer.

        :param call: the call.
        :returns: the decision.
        """
        now = self.clock()
        limit = RateLimit(
            call.requests_limit, call.tokens_limit, call.concurrent_limit
        )
        account = self.owned.get(call.customer)
        if account is None:
            account = self._open_account(call.customer, limit, now)
        elsewhere = sum(
            requests
            for owner, requests in call.admitted.items()
            if owner != self.start
        )
        decision = decide(
            account,
            limit,
            Demand(
                call.entry,
                call.requests,
                elsewhere,
                call.in_progress,
                call.tokens,
            ),
            now,
        )
        return LimitAnswer(
            self.start,
            decision.exhausted,
            decision.retry_after,
            decision.is_tight,
            decision.total,
        )

    def report(self) -> tuple[Usage, ...]:
        """List the usage at this entry, for the other entries.

        :returns: requests in the window, by customer.
        """
        now = self.clock()
        self._remove_idle(now)
        return tuple(
            Usage(customer, round(requests, 2), account.count_total(now))
            for customer, account in self.accounts.items()
            if (requests := sum(account.list_admitted(now).values()))
        )

    def report_tokens(self, limits_of: Callable[[str], Limits | None]) -> None:
        """Report tokens to the owners that no later request has reported.

        :param limits_of: returns a customer's limits, ``None`` for none.
        """
        for customer, account in list(self.accounts.items()):
            limits = limits_of(customer) if account.tokens else None
            if limits is not None:
                limit = make_rate_limit(limits)
                self._request_decision(customer, account, limit, 0)

    def record_peer_usage(self, entry: str, usage: tuple[Usage, ...]) -> None:
        """Record the usage at another entry.

        :param entry: address of the entry.
        :param usage: requests in the window, by customer.
        """
        self.peers[entry] = {used.customer: used for used in usage}

    def remove_entries(self, live: set[str]) -> None:
        """Remove the state of entries that are not live any more.

        :param live: addresses of live entries.
        """
        for entry in set(self.peers) - live:
            self.peers.pop(entry)
            self.pauses.pop(entry, None)
            for account in self.owned.values():
                account.in_progress.pop(entry, None)

    def _admit(self, customer: str, account: Account, limit: RateLimit) -> None:
        account.used_at = self.clock()
        decision = self._request_decision(customer, account, limit, 1)
        if decision is None:
            decision = self._decide_without_owner(account, limit)
        if decision.exhausted:
            log_event(
                Event.customer_limited,
                customer=customer,
                limit=decision.exhausted,
                is_alone=account.fallback is not None,
                entries=self.fleet.count_entries(),
            )
            raise _refuse(decision)

    def _request_decision(
        self,
        customer: str,
        account: Account,
        limit: RateLimit,
        requests: int,
    ) -> Decision | None:
        """Call the owner; return ``None`` where it does not answer."""
        requested_at = self.clock()
        tokens = account.tokens
        account.tokens = 0
        call = LimitCall(
            entry=self.fleet.address(),
            customer=customer,
            requests=requests,
            admitted=account.list_admitted(requested_at),
            in_progress=account.in_progress,
            tokens=tokens,
            requests_limit=limit.requests,
            tokens_limit=limit.tokens,
            concurrent_limit=limit.concurrent,
        )
        answer = self._call_owner(call, requested_at)
        if answer is None:
            account.tokens += tokens
            return None
        account.fallback = None
        account.is_tight = answer.is_tight
        account.total = answer.total
        account.total_until = requested_at + limit.window_seconds
        if requests and not answer.exhausted:
            self._record_admitted(account, limit, answer.owner, requested_at)
        return Decision(
            Exhausted(answer.exhausted),
            answer.retry_after,
            answer.is_tight,
        )

    def _call_owner(self, call: LimitCall, now: float) -> LimitAnswer | None:
        entries = self.fleet.list_entries()
        owner = rank_by_key(entries, call.customer)[0] if entries else ''
        if owner == call.entry:
            return self.answer(call)
        pause = self.pauses.setdefault(
            owner,
            Backoff(INITIAL_PAUSE_SECONDS, MAX_PAUSE_SECONDS),
        )
        if not owner or pause.is_paused(now):
            return None
        answer = self.fleet.call_owner(owner, call)
        if answer is None:
            pause.record_refusal(self.clock())
        else:
            pause.record_success()
        return answer

    def _decide_without_owner(
        self, account: Account, limit: RateLimit
    ) -> Decision:
        """Admit this entry's equal share while the owner does not answer."""
        now = self.clock()
        entries = self.fleet.count_entries()
        share = share_limit(limit, entries)
        if account.fallback is None:
            account.fallback = open_account(share, now)
        if self.rng.random() >= admission_probability(limit, entries):
            return Decision(Exhausted.requests, share.window_seconds)
        admitted = account.list_admitted(now)
        admitted.pop(UNATTRIBUTED, None)
        elsewhere = sum(admitted.values())
        decision = decide(
            account.fallback,
            share,
            Demand(UNATTRIBUTED, 1, elsewhere, account.in_progress, 0),
            now,
        )
        if not decision.exhausted:
            self._record_admitted(account, limit, UNATTRIBUTED, now)
        return decision

    def _record_admitted(
        self,
        account: Account,
        limit: RateLimit,
        owner: str,
        now: float,
    ) -> None:
        window = account.admitted.setdefault(owner, Window(WINDOW_SECONDS))
        window.seconds = limit.window_seconds
        spend(window, 1, now)

    def _open_account(
        self,
        customer: str,
        limit: RateLimit,
        now: float,
    ) -> OwnedAccount:
        account = open_account(limit, now)
        local = self.accounts.get(customer)
        total = local.count_total(now) if local else 0
        for entry, usage in self.peers.items():
            used = usage.get(customer)
            if used is not None:
                account.record_elsewhere(entry, used.requests, now)
                total = max(total, used.total)
        # The rest of the total was admitted by entries that are gone; only
        # the previous owner counted it.
        missing = total - account.count_admitted(now)
        account.record_elsewhere(UNATTRIBUTED, max(0, missing), now)
        self.owned[customer] = account
        return account

    def _remove_idle(self, now: float) -> None:
        self.accounts = {
            customer: account
            for customer, account in self.accounts.items()
            if account.in_progress
            or account.list_admitted(now)
            or now - account.used_at < IDLE_SECONDS
        }
        self.owned = {
            customer: owned
            for customer, owned in self.owned.items()
            if owned.count_admitted(now) or now - owned.used_at < IDLE_SECONDS
        }


def make_rate_limit(limits: Limits) -> RateLimit:
    """Convert configured limits to the limit that the policy uses.

    :param limits: limits of the configuration.
    :returns: the limit.
    """
    return RateLimit(
        limits.requests_per_second,
        limits.tokens_per_second,
        limits.concurrent,
    )


def _refuse(decision: Decision) -> Refusal:
    if decision.exhausted is Exhausted.concurrent:
        return Refusal(
            ErrorKind.limit_reached,
            'too many requests are in progress',
        )
    seconds = max(1, math.ceil(decision.retry_after))
    return Refusal(
        ErrorKind.limit_reached,
        f'{decision.exhausted} is reached; come back in {seconds} s',
        retry_after=seconds,
    )
