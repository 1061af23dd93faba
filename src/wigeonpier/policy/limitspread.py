"""Spreads the limit of a customer over its window while slots are scarce.

Addresses a customer that used up its window of 420 requests in two seconds, at
a time when all slots were taken, and was refused for the other three.  While
slots are scarce, admission also checks shorter spans: in any of them a customer
may send its rate and its burst, so that its callers get a steady rate.  While
slots are ample the whole limit may be used at once, as it harms nobody.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wigeonpier.policy.window import Window, sum_spent

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.policy.allowance import Limit
    from wigeonpier.policy.route import UpstreamState

# Shorter spans that are checked, as shares of the window.  In the shortest, of
# 0.6 s, counts of other entries are some 0.15 s late.
SPAN_SHARES = (0.125, 0.25, 0.5)
# Share of the slots from which on they are scarce.  The choice between two
# upstreams, by loads that are 0.1 s old, meets full ones above it.
SCARCE_SHARE = 0.85
# Slots count as scarce for this long after they were, so that the limit does
# not change with each answer.
SCARCE_SECONDS = 1.0
# Longest time over which the retries of refused callers are spread.
MAX_SPREAD_SECONDS = 1.5


@dataclass(slots=True)
class ScarcityState:
    """Whether slots are scarce, as one entry knows.

    :param scarce_until: until when they count as scarce, seconds.
    """

    scarce_until: float = 0

    def update(self, share: float, now: float) -> bool:
        """Record the use of the slots.

        :param share: as :func:`measure_use` gives it.
        :param now: seconds.
        :returns: whether slots are scarce now.
        """
        if share >= SCARCE_SHARE:
            self.scarce_until = now + SCARCE_SECONDS
        return now < self.scarce_until


def measure_use(upstreams: Iterable[UpstreamState], now: float) -> float:
    """Measure the share of slots that are taken or waited for.

    :param upstreams: upstreams that requests may go to; those without a fresh
        load are left out.
    :param now: seconds.
    :returns: share, above 1 where requests wait; 0 if nothing is known.
    """
    known = [
        state
        for state in upstreams
        if state.load_fresh_until > now
        and state.takes_work
        and not state.is_leaving
    ]
    slots = sum(state.slots for state in known)
    taken = sum(
        state.reported + state.sent_since_report + state.queued
        for state in known
    )
    return taken / slots if slots else 0


def list_limits(limit: Limit, *, is_scarce: bool) -> list[Limit]:
    """List the limits that a request has to fit.

    :param limit: limit of the customer over the window.
    :param is_scarce: whether slots are scarce.
    :returns: the limit, and those of shorter spans while slots are scarce.
        Their tolerance as a number of requests is that of the window: counts
        in a short span are few, and a customer with few requests often sends
        several at the same time.
    """
    if not is_scarce:
        return [limit]
    spans = [
        replace(limit, seconds=limit.seconds * share) for share in SPAN_SHARES
    ]
    return [limit, *spans]


def cut_window(window: Window, seconds: float, now: float) -> Window:
    """Copy the amounts that were spent in the last part of a window.

    :param window: the window.
    :param seconds: length of the part; the whole window is returned as it is.
    :param now: seconds.
    :returns: a window of that length.
    """
    if seconds >= window.seconds:
        return window
    part = Window(seconds, part_seconds=window.part_seconds)
    part.spent.extend(
        pair for pair in window.spent if now - pair[0] < part.kept_seconds
    )
    part.total = math.fsum(amount for _at, amount in part.spent)
    return part


def make_recent(seconds: float) -> Window:
    """Make the window from which the short spans are cut.

    A request that did not run is taken from its newest amounts: the oldest may
    be outside of a short span, in which the request would count on and lead to
    the refusal of its retry.  The limit holds over the whole window, from which
    the oldest are taken.

    :param seconds: length of the whole window.
    :returns: an empty window as long as the longest short span.
    """
    return Window(seconds * max(SPAN_SHARES), refunds_newest=True)


def sum_since(window: Window, seconds: float, now: float) -> float:
    """Sum the amounts spent in the last part of a window.

    :param window: older amounts than its length are dropped from it.
    :param seconds: length of the part.
    :param now: seconds.
    :returns: the sum.
    """
    if seconds >= window.seconds:
        return sum_spent(window, now)
    return cut_window(window, seconds, now).total


def spread_retry(
    wait: float, demand: float, limit: Limit, draw: float
) -> float:
    """Compute after which time a refused caller retries.

    Those that exceed the rate within a second return over as much time as the
    rate needs to serve them.

    :param wait: time until one request fits, seconds.
    :param demand: estimated requests a second of the customer at all entries.
    :param limit: limit of the customer.
    :param draw: from 0 to 1, drawn for this refusal.
    :returns: seconds.
    """
    excess = max(0, demand / limit.rate - 1) if limit.rate else 0
    return wait + min(MAX_SPREAD_SECONDS, excess) * draw
