"""Provides a token bucket for amounts that are counted after they were used.

Addresses answers whose length is unknown until they end.  Usage beyond the
rate is a debt that is paid off over time.  Requests, which are counted before
they run, use :mod:`wigeonpier.policy.window`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

BURST_SECONDS = 2.0


@dataclass(slots=True)
class Bucket:
    """Tokens that may be spent.

    :param tokens: remaining tokens; may be negative after a large spend.
    :param filled_at: when it was last filled, seconds.
    """

    tokens: float
    filled_at: float


def fill_bucket(bucket: Bucket, rate: float, now: float) -> None:
    """Add the tokens that have accrued since the last call.

    :param bucket: changed in place.
    :param rate: tokens a second.
    :param now: seconds.
    """
    earned = max(0, now - bucket.filled_at) * rate
    bucket.tokens = min(rate * BURST_SECONDS, bucket.tokens + earned)
    bucket.filled_at = now


def time_until_affordable(bucket: Bucket, rate: float, amount: float) -> int:
    """Compute when an amount can be spent.

    :param bucket: the bucket, filled just now.
    :param rate: tokens a second.
    :param amount: wanted amount.
    :returns: whole seconds, 0 where it can be spent now.
    """
    missing = min(amount, rate * BURST_SECONDS) - bucket.tokens
    return max(0, math.ceil(missing / rate))
