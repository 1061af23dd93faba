"""Measures the demand for the slots of one upstream and who exceeds its share.

Addresses the same load as :mod:`wigeonpier.policy.fairqueue`.  The share of a
customer is its part of all slots by weight among the customers that asked at
this worker lately, not its part of the slots in use, so that nobody is above
its share while slots are ample.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wigeonpier.policy.reservation import SlotUse

# Time constant of the counts.  A load peak lasts 2.4 s.
DECAY_SECONDS = 2.0
# Time constant of the claims of one customer, which show within some 0.3 s
# that it has begun to send several times its usual load.
CLAIM_SECONDS = 0.8
# Time constant of the demand of a peak after it; peaks recur every 5.8 s.
PEAK_SECONDS = 8.0
# A customer counts as active for this long; small ones seldom reach the same
# worker twice.
ACTIVE_SECONDS = 10.0
# Slots that any customer may hold; a worker sees so little of a small customer
# that three requests at the same time may exceed its share.
TOLERATED_SLOTS = 3
# Time that a request runs, until it is measured, and its bounds.
RUN_SECONDS = 0.6
RUN_BOUNDS = (0.05, 10.0)
# Share of the requests of the others that may find no free slot.
MISS_SHARE = 0.015
MAX_HEADROOM_SHARE = 0.5
# Freed slots in the decayed sum below which the run time is not measured.
MIN_FREED = 4.0
# Grants kept by customer, more than an upstream has slots.
MAX_GRANTS = 64
# Customers whose counts are kept.
MAX_CUSTOMERS = 1024


@dataclass(slots=True)
class DecayingSum:
    """A sum whose older parts count less.

    :param amount: the sum at that time.
    :param at: time of the last change, seconds.
    :param seconds: time constant.
    """

    amount: float = 0
    at: float = 0
    seconds: float = DECAY_SECONDS

    def add(self, amount: float, now: float) -> None:
        """Add an amount.

        :param amount: the amount.
        :param now: seconds.
        """
        self.amount = self.read(now) + amount
        self.at = now

    def raise_to(self, amount: float, now: float) -> float:
        """Raise the sum to an amount, if it is below.

        :param amount: the amount.
        :param now: seconds.
        :returns: the larger of both.
        """
        self.amount = max(amount, self.read(now))
        self.at = now
        return self.amount

    def read(self, now: float) -> float:
        """Read the sum.

        :param now: seconds.
        :returns: the sum as it counts now.
        """
        return self.amount * math.exp((self.at - now) / self.seconds)


@dataclass(slots=True)
class CustomerDemand:
    """Demand of one customer at this worker.

    :param share: its share relative to others.
    :param seen_at: time of its last claim, seconds.
    :param below: claims that it made while it was not above its share.
    :param claims: all claims that it made lately.
    :param others: highest recent demand of the other customers, requests a
        second.
    :param grants: times of its latest grants, oldest first.
    """

    share: float
    seen_at: float
    below: DecayingSum = field(default_factory=DecayingSum)
    claims: DecayingSum = field(
        default_factory=lambda: DecayingSum(seconds=CLAIM_SECONDS)
    )
    others: DecayingSum = field(
        default_factory=lambda: DecayingSum(seconds=PEAK_SECONDS)
    )
    grants: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_GRANTS)
    )


@dataclass(slots=True)
class SlotDemand:
    """Demand for the slots of one upstream.

    :param customers: demand by customer.
    :param run_seconds: measured time that a request takes a slot.
    """

    customers: dict[str, CustomerDemand] = field(default_factory=dict)
    run_seconds: float = RUN_SECONDS
    _below: DecayingSum = field(default_factory=DecayingSum)
    _used: DecayingSum = field(default_factory=DecayingSum)
    _freed: DecayingSum = field(default_factory=DecayingSum)
    _occupied: float = 0

    def record_claim(
        self, customer: str, share: float, slots: int, now: float
    ) -> None:
        """Record that a customer asks for a slot.

        :param customer: the customer.
        :param share: its share relative to others.
        :param slots: slots of the upstream.
        :param now: seconds.
        """
        known = self.customers.get(customer)
        if known is None:
            if len(self.customers) >= MAX_CUSTOMERS:
                self._drop_inactive(now)
            known = CustomerDemand(share, now)
            self.customers[customer] = known
        known.share = share
        known.seen_at = now
        known.claims.add(1, now)
        if not self.is_above_share(customer, slots, now):
            known.below.add(1, now)
            self._below.add(1, now)

    def record_grant(self, customer: str, now: float) -> None:
        """Record that a request gets a slot.

        :param customer: its customer, empty where it is unknown.
        :param now: seconds.
        """
        self._occupied += 1
        known = self.customers.get(customer)
        if known is not None:
            known.grants.append(now)

    def observe(self, use: SlotUse, now: float) -> None:
        """Measure for how long requests take slots, from the slots that free.

        :param use: what takes the slots now.
        :param now: seconds.
        """
        seconds = min(max(0, now - self._used.at), DECAY_SECONDS)
        occupied = min(use.slots, use.online + use.reserved)
        self._used.add(self._occupied * seconds, now)
        self._freed.add(max(0, self._occupied - occupied), now)
        self._occupied = occupied
        if self._freed.amount >= MIN_FREED:
            lowest, highest = RUN_BOUNDS
            measured = self._used.amount / self._freed.amount
            self.run_seconds = min(highest, max(lowest, measured))

    def is_above_share(self, customer: str, slots: int, now: float) -> bool:
        """Check whether one more slot exceeds a customer's share of all slots.

        Its grants within the time of a request are the slots that it holds.
        By chance, a large customer at its usual load holds more than its share
        at some workers; the slots that it asks for show that it needs less.

        :param customer: the customer.
        :param slots: slots of the upstream.
        :param now: seconds.
        :returns: false for one that has asked for little here.
        """
        known = self.customers.get(customer)
        if known is None:
            return False
        begun_after = now - self.run_seconds
        held = sum(granted > begun_after for granted in known.grants)
        if held < TOLERATED_SLOTS:
            return False
        total = math.fsum(
            one.share
            for one in self.customers.values()
            if now - one.seen_at < ACTIVE_SECONDS
        )
        if total <= known.share:
            return False
        fair = slots * known.share / total
        asked = known.claims.read(now) / CLAIM_SECONDS * self.run_seconds
        return held + 1 > fair and asked > fair

    def measure_others(self, customer: str, now: float) -> float:
        """Measure the demand of the others that are not above their share.

        Their last peak counts as well: at the start of the next one, counts of
        the trough would leave them too few slots.

        :param customer: a customer that has asked for slots, whose own demand
            does not count.
        :param now: seconds.
        :returns: requests a second.
        """
        known = self.customers[customer]
        others = max(0, self._below.read(now) - known.below.read(now))
        return known.others.raise_to(others / DECAY_SECONDS, now)

    def compute_headroom(self, customer: str, slots: int, now: float) -> int:
        """Compute the slots that a customer above its share leaves to others.

        With all slots in use, one frees every ``run_seconds / slots``.  The
        number of kept slots in use is then that of a queue with one server,
        in which each further one is less likely by the ratio of both rates.

        :param customer: the customer.
        :param slots: slots of the upstream.
        :param now: seconds.
        :returns: number of slots, 0 where nobody else asks for any or the
            customer is not above its share.
        """
        if not self.is_above_share(customer, slots, now):
            return 0
        ratio = self.measure_others(customer, now) * self.run_seconds / slots
        if ratio <= MISS_SHARE:
            return 0
        needed = slots * MAX_HEADROOM_SHARE
        if ratio < 1:
            needed = min(needed, math.log(MISS_SHARE) / math.log(ratio))
        return math.ceil(needed)

    def _drop_inactive(self, now: float) -> None:
        """Drop the customers whose last claims are the oldest."""
        latest = sorted(
            self.customers.items(), key=lambda pair: -pair[1].seen_at
        )
        kept = [
            pair
            for pair in latest[: MAX_CUSTOMERS // 2]
            if now - pair[1].seen_at < ACTIVE_SECONDS
        ]
        self.customers = dict(kept)
