"""Decides whether one more request of a customer fits its limit.

Addresses a customer whose callers reach dozens of entries, with peaks of five
times the troughs and sometimes many times its usual load, while no entry sees
what the others admit at the same moment: their counts arrive some 0.1 s late.
A refusal below the limit loses a valid request; admitting too much breaks the
limit.

As long as the requests that may arrive uncounted fit into the remaining room,
all are admitted.  Near the limit each entry uses its own demand and its share
of the customer's requests to estimate the demand at all entries, and admits at
random the fraction that all entries together have room for.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Age of the counts of other entries when they arrive.
UNSEEN_SECONDS = 0.15
# Uncounted demand is estimated for twice as long, since demand rises exactly
# when the estimate matters.
FORECAST_SECONDS = 2 * UNSEEN_SECONDS
# Nothing is refused while this share of a limit is left: the demand of a
# low-traffic customer at other entries cannot be estimated from a few requests.
UNRESTRICTED_SHARE = 0.3
# Share of the tolerance above a limit that makes up for requests refused below
# it, since counts of other entries arrive late.
MARGIN_SHARE = 0.5
# Window over which demand is measured.
DEMAND_SECONDS = 0.5
# Share of a limit that is assumed to be requested at other entries, so that an
# entry with few requests does not overestimate its part.
ASSUMED_SHARE = 0.25
# Share of the slack that is used while earlier counts may be lost.
UNCERTAIN_SLACK_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit of a customer's requests in a span.

    :param rate: requests a second.
    :param burst: additional requests in a span.
    :param seconds: length of the span.
    :param overage: tolerance above the limit, as a share of it.
    :param slack: tolerance above the limit, as a number of requests.
    """

    rate: float
    burst: float
    seconds: float
    overage: float
    slack: float

    @property
    def requests(self) -> float:
        """Return the requests that a span allows."""
        return self.rate * self.seconds + self.burst

    @property
    def margin(self) -> float:
        """Return the requests above the limit that this policy makes use of."""
        return MARGIN_SHARE * (self.overage * self.requests + self.slack)


@dataclass(frozen=True, slots=True)
class UsageCount:
    """What an entry knows of a customer's requests.

    :param reported: requests of all entries in the span, as reported.
    :param unseen: requests of this entry that the report may lack.
    :param own: requests of this entry in the span.
    :param demand: requests a second that arrived here recently, including
        refused ones and the current one.
    :param certainty: share of the span that the reports cover, from 0 to 1.
    """

    reported: float
    unseen: float
    own: float
    demand: float
    certainty: float = 1


def estimate_admission(limit: Limit, use: UsageCount) -> float:
    """Estimate the probability with which to admit a request.

    :param limit: limit of the customer.
    :param use: what is known of its requests.
    :returns: from 0 to 1.
    """
    allowed = _limit_requests(limit, use.certainty)
    room = max(1, allowed) - use.reported - use.unseen
    if room <= 0:
        return 0
    if room >= allowed * UNRESTRICTED_SHARE:
        return 1
    expected = estimate_demand(limit, use) * FORECAST_SECONDS
    return 1 if expected <= room else room / expected


def estimate_demand(limit: Limit, use: UsageCount) -> float:
    """Estimate a customer's demand at all entries.

    :param limit: limit of the customer.
    :param use: what is known of its requests.
    :returns: requests a second, including refused ones.
    """
    return use.demand / _estimate_own_share(limit, use)


def _estimate_own_share(limit: Limit, use: UsageCount) -> float:
    """Estimate the share of the customer's requests that reaches this entry."""
    own = use.own + 1
    return own / max(own, use.reported + ASSUMED_SHARE * limit.requests)


def _limit_requests(limit: Limit, certainty: float) -> float:
    """Compute the allowed requests where earlier counts may be lost.

    If all processes were lost, a customer may have used its whole span just
    before.  Then it gets its rate without burst until the span is over.
    """
    if certainty >= 1:
        return limit.requests + limit.margin
    slack = (1 - certainty) * limit.slack * UNCERTAIN_SLACK_SHARE
    return limit.requests * certainty + slack


def measure_certainty(covered: list[float], span: float) -> float:
    """Compute how much of a span is covered by the reports of all counters.

    :param covered: per counting process, for how long its counts have been
        known here, seconds; 0 for a process that is not reporting.
    :param span: length of the span, seconds.
    :returns: from 0 to 1.
    """
    known = [min(1, seconds / span) for seconds in covered]
    return math.fsum(known) / len(known) if known else 1
