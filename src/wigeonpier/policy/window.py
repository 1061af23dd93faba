"""Counts amounts that were spent in a sliding window.

Addresses callers that arrive all at once, or that keep arriving while earlier
requests are answered slowly.  A token bucket refills meanwhile and admits more
the longer the answers take.  Here the limit holds in any span of the window's
length, whenever it begins.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

# Amounts spent within one of this many parts of the window are merged, so that
# a busy customer needs no more than a few kB.
WINDOW_PARTS = 64


@dataclass(slots=True)
class Window:
    """Amounts spent recently.

    :param seconds: length of the window.
    :param total: sum of the amounts in it, as of the last update.
    :param spent: time and amount, oldest first.
    :param part_seconds: amounts spent within this time are merged; by default
        one of the parts of the window.
    :param refunds_newest: whether the newest amounts are given back first.
    """

    seconds: float
    total: float = 0
    spent: deque[tuple[float, float]] = field(default_factory=deque)
    part_seconds: float = 0
    refunds_newest: bool = False

    def __post_init__(self) -> None:
        """Choose the length of a part."""
        self.part_seconds = self.part_seconds or self.seconds / WINDOW_PARTS

    @property
    def kept_seconds(self) -> float:
        """Give the time for which an element counts.

        An element also holds amounts spent up to one part later.
        """
        return self.seconds + self.part_seconds


def spend(window: Window, amount: float, now: float) -> None:
    """Record that an amount was spent.

    :param window: changed in place.
    :param amount: the amount; negative for one that was not used after all.
    :param now: seconds.
    """
    sum_spent(window, now)
    if amount < 0:
        _refund(window, -amount)
        return
    window.total += amount
    if window.spent and now - window.spent[-1][0] < window.part_seconds:
        at, merged = window.spent[-1]
        window.spent[-1] = (at, merged + amount)
    else:
        window.spent.append((now, amount))


def sum_spent(window: Window, now: float) -> float:
    """Sum the amounts spent in the window that ends now.

    :param window: older amounts are dropped from it.
    :param now: seconds.
    :returns: the sum.
    """
    kept = window.kept_seconds
    while window.spent and now - window.spent[0][0] >= kept:
        window.total -= window.spent.popleft()[1]
    if not window.spent:
        window.total = 0
    return window.total


def _refund(window: Window, amount: float) -> None:
    """Take back an amount, by default oldest first.

    A negative element would stay in the window longer than the one that it
    takes back, and free room that later requests have used.
    """
    place = -1 if window.refunds_newest else 0
    take = window.spent.pop if window.refunds_newest else window.spent.popleft
    remaining = amount
    while remaining > 0 and window.spent:
        at, spent = window.spent[place]
        refunded = min(remaining, spent)
        remaining -= refunded
        window.total -= refunded
        if refunded < spent:
            window.spent[place] = (at, spent - refunded)
        else:
            take()


def time_until_available(
    windows: list[Window],
    limit: float,
    amount: float,
    now: float,
) -> float:
    """Compute when an amount can be spent.

    :param windows: amounts spent, in windows of the same length.
    :param limit: most that may be spent in a window over all of them.
    :param amount: wanted amount; more than the limit counts as the limit.
    :param now: seconds.
    :returns: seconds, 0 where it can be spent now.
    """
    excess = sum(sum_spent(window, now) for window in windows)
    excess += min(amount, limit) - limit
    if excess <= 0:
        return 0
    expiring = sorted(
        (at + window.kept_seconds, spent)
        for window in windows
        for at, spent in window.spent
    )
    for expires_at, spent in expiring:
        excess -= spent
        if excess <= 0:
            return max(0, expires_at - now)
    return math.inf
