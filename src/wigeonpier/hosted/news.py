"""Messages between hosted processes on load and suspected requests."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from wigeonpier.hosted.usagecounter import UsageReport
from wigeonpier.membership.updates import (
    NO_PARTS,
    CrashReport,
    PartUpdate,
    SuspicionUpdate,
)
from wigeonpier.models import OnlineLoad
from wigeonpier.reports import ItemBacklog, UpstreamHealth, UpstreamPace


class FeedLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the feed from a worker to entries.

    The last three fields are in the first line of a connection and in each
    line in which they change; absent means unchanged.  A worker of an earlier
    build never sends them.

    :param load: load of the upstream.
    :param news: update of suspected requests.
    :param usage: requests of customers.
    :param pace: how fast the upstream works.
    :param health: health of the upstream by the outcomes of requests.
    :param items: batch items at the worker.
    """

    load: OnlineLoad | None = None
    news: SuspicionUpdate | None = None
    usage: UsageReport | None = None
    pace: UpstreamPace | None = None
    health: UpstreamHealth | None = None
    items: ItemBacklog | None = None


class QuarantineEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Suspected requests as stored in the key-value service and on disks.

    It is about one request, or about parts of prompts.

    :param ends: upstreams that crashed while running it; their ages refer to
        the time at which it was written.
    :param kept_at: when it was written, seconds of the wall clock; 0 if the
        ages refer to the time at which it is read.
    :param is_proved: whether it is refused; only disks store requests that are
        merely suspected.
    :param parts: culprits and lost runs, likewise; a process of an earlier
        build does not read them.
    """

    ends: tuple[CrashReport, ...]
    kept_at: float
    is_proved: bool = True
    parts: PartUpdate = NO_PARTS


class TrialRequest(msgspec.Struct, frozen=True):
    """A suspected request for which a slot is requested.

    :param fingerprint: the request.
    :param company: which other suspected requests may run beside it.
    """

    fingerprint: str
    company: str


class SlotClaim(msgspec.Struct, frozen=True, omit_defaults=True):
    """What decides the order of requests that wait at a worker for a slot.

    :param customer: customer of the request.
    :param weight: share of the slots that the customer may claim against
        others, relative to theirs.
    :param seconds_left: time in which the request can still start and complete
        before its deadline, seconds.
    :param max_wait: longest wait for a slot in this call, seconds.
    """

    customer: str
    weight: float = 1
    seconds_left: float = 0
    max_wait: float = 0


class SendOutcome(StrEnum):
    """How an upstream handled one request, as its health is judged."""

    succeeded = 'succeeded'
    failed = 'failed'
    silent = 'silent'


class SendReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Outcome of one request at an upstream.

    :param fingerprint: short digest that distinguishes requests; the same for
        repeats of one request.
    :param outcome: how the upstream handled it.
    :param age: seconds since the outcome, for reports that were delayed.
    :param is_trial: whether it was sent while the entry knew the upstream as
        on trial.
    :param took: seconds from the send to a failure; 0 for other outcomes, and
        from an entry of an earlier build.
    """

    fingerprint: str
    outcome: SendOutcome = SendOutcome.succeeded
    age: float = 0
    is_trial: bool = False
    took: float = 0


class SendReports(msgspec.Struct, frozen=True, omit_defaults=True):
    """Outcomes that one entry reports to the worker of an upstream.

    :param entry: name of the entry's VM.
    :param incarnation: start of the upstream, 0 where it is unknown.
    :param reports: outcomes since the last report, oldest first.
    :param succeeded: number of further successes since the last report.
    """

    entry: str
    incarnation: int = 0
    reports: tuple[SendReport, ...] = ()
    succeeded: int = 0


class IdleWorker(msgspec.Struct, frozen=True):
    """A worker that could run more batch items, as an entry knows it.

    :param vm: name of its VM.
    :param address: ``host:port`` of the worker.
    :param ready_seconds: time after which a whole item that is handed over now
        completes there, seconds.
    """

    vm: str
    address: str
    ready_seconds: float


class ReservationRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request of an entry to a worker for a slot of its upstream.

    :param is_late: whether the online request is already late.
    :param trial: the suspected request, ``None`` for any other one.
    :param admitted: requests of limited customers that were not yet reported,
        by customer.
    :param claim: place of the request among others, ``None`` where the slot is
        refused at once if none is free.
    :param outcomes: outcomes of earlier requests at the upstream.
    :param idle: a worker to which batch items could be handed over.
    """

    is_late: bool = False
    trial: TrialRequest | None = None
    admitted: dict[str, int] = {}
    claim: SlotClaim | None = None
    outcomes: SendReports | None = None
    idle: IdleWorker | None = None
