"""Decides which customer a request is from, and whether this can be known now.

Addresses keys that are added and revoked while some entries cannot reach the
store.  An entry that may lack a new key cannot refuse it for good, since
callers do not retry after that; an entry that may lack a revocation must not
accept the key.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from wigeonpier.policy.freshness import may_authorize, may_refuse_unknown_key

if TYPE_CHECKING:
    from wigeonpier.served import (
        ServedConfiguration,
        ServedCustomer,
    )


class Verdict(StrEnum):
    """What is known of the caller."""

    admitted = 'admitted'
    unknown_key = 'unknown_key'
    unsure = 'unsure'


@dataclass(frozen=True, slots=True)
class Identity:
    """The caller of a request.

    :param verdict: whether the caller is known.
    :param customer: the customer, ``None`` for a caller without a key.
    """

    verdict: Verdict
    customer: ServedCustomer | None = None


@dataclass(frozen=True, slots=True)
class Freshness:
    """How far a configuration can be trusted.

    :param age: seconds since it was known to be the newest.
    :param bound: seconds after which a revoked key must not be accepted, 0
        for no bound.
    """

    age: float
    bound: float


def identify(
    configuration: ServedConfiguration,
    key: str,
    freshness: Freshness,
    *,
    is_open: bool,
) -> Identity:
    """Identify the caller of a request.

    :param configuration: configuration in force.
    :param key: the caller's key, empty where there is none.
    :param freshness: how far the configuration can be trusted.
    :param is_open: whether no key is needed.
    :returns: the verdict and the customer.
    """
    if configuration.customers is None:
        return Identity(Verdict.admitted)
    customer = configuration.customers.get(key)
    if is_open:
        return Identity(Verdict.admitted, customer)
    if not key:
        return Identity(Verdict.unknown_key)
    if customer is None:
        is_certain = may_refuse_unknown_key(freshness.age, freshness.bound)
        return Identity(
            Verdict.unknown_key if is_certain else Verdict.unsure,
        )
    if not may_authorize(freshness.age, freshness.bound):
        return Identity(Verdict.unsure)
    return Identity(Verdict.admitted, customer)
