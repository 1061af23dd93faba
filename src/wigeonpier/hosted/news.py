"""Messages between hosted processes on load and suspected requests."""

from __future__ import annotations

import msgspec

from wigeonpier.hosted.usagecounter import UsageReport
from wigeonpier.membership.updates import CrashReport, SuspicionUpdate
from wigeonpier.models import OnlineLoad


class FeedLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the feed from a worker to entries.

    :param load: load of the upstream.
    :param news: update of suspected requests.
    :param usage: requests of customers.
    """

    load: OnlineLoad | None = None
    news: SuspicionUpdate | None = None
    usage: UsageReport | None = None


class QuarantineEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """A suspected request as stored in the key-value service and on disks.

    :param ends: upstreams that crashed while running it; their ages refer to
        the time at which it was written.
    :param kept_at: when it was written, seconds of the wall clock; 0 if the
        ages refer to the time at which it is read.
    :param is_proved: whether it is refused; only disks store requests that are
        merely suspected.
    """

    ends: tuple[CrashReport, ...]
    kept_at: float
    is_proved: bool = True


class TrialRequest(msgspec.Struct, frozen=True):
    """A suspected request for which a slot is requested.

    :param fingerprint: the request.
    :param company: which other suspected requests may run beside it.
    """

    fingerprint: str
    company: str


class ReservationRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request of an entry to a worker for a slot of its upstream.

    :param is_late: whether the online request is already late.
    :param trial: the suspected request, ``None`` for any other one.
    :param admitted: requests of limited customers that were not yet reported,
        by customer.
    """

    is_late: bool = False
    trial: TrialRequest | None = None
    admitted: dict[str, int] = {}
