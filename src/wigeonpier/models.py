"""Data models of the hosted daemons, independent of the platform's names."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

# Longest value of the key-value service where the settings name none.
DEFAULT_VALUE_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class Bounds:
    """Guarantees of the site; times in seconds.

    :param grace: time from SIGTERM to SIGKILL.
    :param job_readable: how long a job stays readable after it was sent.
    :param contact: how long after a disturbance a process may still act on
        its earlier state.
    :param revocation: time after which nothing runs with a revoked key, 0
        where that is not guaranteed.
    :param quota_window: length of the window in which limits of customers
        hold.
    :param quota_overage: tolerated excess in a window, as a share of the
        limit.
    :param quota_slack: tolerated requests on top of that.
    """

    grace: float
    job_readable: float
    contact: float
    revocation: float = 0
    quota_window: float = 5
    quota_overage: float = 0
    quota_slack: float = 0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a process on the platform.

    :param name: name of its VM.
    :param data_centre: data centre of its VM.
    :param region: region of its data centre.
    :param regions: region of each data centre.
    :param store: ``host:port`` of the key-value service.
    :param store_history: seconds for which the service stores old changes.
    :param bounds: guarantees of the site.
    :param store_value_bytes: longest value that the service accepts.
    :param callers: ``host:port`` for callers, empty for none.
    :param readiness: ``host:port`` for the load balancer, empty for none.
    :param upstream: ``host:port`` of the upstream on its VM, empty for none.
    :param service: service of that upstream.
    :param metrics: ``host:port`` for metrics.
    :param peers: ``host:port`` for other processes of the system.
    :param data_folder: folder on a disk, empty for none.
    :param disks_lost: number of disks that may be lost at the same time.
    :param has_unreliable_upstreams: whether upstreams of the site may fail
        requests while they report that they are healthy.
    :param has_slow_readers: whether callers and upstreams of the site may read
        so slowly that what is buffered for them has to be limited.
    """

    name: str
    data_centre: str
    region: str
    regions: dict[str, str]
    store: str
    store_history: float
    bounds: Bounds
    store_value_bytes: int = DEFAULT_VALUE_BYTES
    callers: str = ''
    readiness: str = ''
    upstream: str = ''
    service: str = ''
    metrics: str = ''
    peers: str = ''
    data_folder: str = ''
    disks_lost: int = 0
    has_unreliable_upstreams: bool = False
    has_slow_readers: bool = False


@dataclass(frozen=True, slots=True)
class Replica:
    """An upstream as the register lists it.

    :param name: its id; a later start may have the same id.
    :param address: ``host:port``.
    :param service: service that it is a replica of.
    :param data_centre: data centre of its VM.
    :param slots: requests that it runs at once.
    :param is_leaving: whether it accepts no new work.
    :param incarnation: grows with each start, 0 where it is unknown.
    :param version: version of its software.
    """

    name: str
    address: str
    service: str
    data_centre: str
    slots: int
    is_leaving: bool
    incarnation: int = 0
    version: str = ''


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Load that an upstream reports.

    :param running: requests that run.
    :param waiting: requests that wait for a slot.
    :param is_leaving: whether it accepts no new work.
    :param incarnation: grows with each start, 0 where it is unknown.
    :param tokens: output tokens so far, by id of the run; empty where they are
        not reported.
    """

    running: int
    waiting: int
    is_leaving: bool = False
    incarnation: int = 0
    tokens: Mapping[str, int] = field(default_factory=dict)


class OnlineLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of an upstream that its worker reports to entries.

    Fields that are absent from a message have their defaults, so that a
    process of an earlier build and a later one understand each other.

    :param questions: online requests at the upstream.
    :param takes_work: whether the upstream answers and is not leaving.
    :param incarnation: grows with each start, 0 where it is unknown.
    :param has_store: whether the key-value service answers the worker.
    :param queued: requests that wait at the worker for a slot.
    """

    questions: int
    takes_work: bool
    incarnation: int = 0
    has_store: bool = False
    queued: int = 0


@dataclass(frozen=True, slots=True)
class Reservation:
    """Answer of a worker to a request for a slot of its upstream.

    :param is_granted: whether a slot is reserved.
    :param load: load of the upstream, without the slot just reserved.
    :param trial: why a suspected request may not run there, empty for no
        reason.
    :param retry_after: where no slot is reserved, seconds after which the
        worker expects to have one for this customer; 0 where it has no
        estimate.
    """

    is_granted: bool
    load: OnlineLoad
    trial: str = ''
    retry_after: float = 0


@dataclass(frozen=True, slots=True)
class JobItem:
    """One request of a batch job.

    :param name: its id, unique in the job.
    :param path: path at the upstream.
    :param headers: headers of the request.
    :param body: body of the request.
    :param tokens: tokens of the prompt plus maximum tokens of the output.
    """

    name: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int


class ItemState(StrEnum):
    """How an item ended."""

    completed = 'completed'
    abandoned = 'abandoned'


@dataclass(frozen=True, slots=True)
class ItemResult:
    """Final result of an item; it never changes.

    :param name: id of the item.
    :param state: how it ended.
    :param output: text of all events, separated by line feeds.
    """

    name: str
    state: ItemState
    output: str


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results of a job, starting at a position.

    :param total: items of the job.
    :param results: results in order.
    """

    total: int
    results: tuple[ItemResult, ...]


@dataclass(frozen=True, slots=True)
class OpenJob:
    """A job with unfinished items, as every process knows it.

    :param name: id of the job.
    :param route: name of its route.
    :param host: host that the caller named.
    :param service: service that runs it.
    :param sent_at: when it was accepted, seconds of the wall clock.
    :param run_objective: seconds after which it is due.
    :param retention: seconds for which an item must be attempted.
    :param tries: failed runs after which an item is abandoned.
    :param tokens: tokens of all items.
    :param owners: VM that runs each item, by position in the job.
    :param parts: number of keys that store the items.
    :param customer: customer of the job, empty where no key is needed.
    :param priority: rank of its items, 0 is the highest.
    """

    name: str
    route: str
    host: str
    service: str
    sent_at: float
    run_objective: float
    retention: float
    tries: int
    tokens: int
    owners: tuple[str, ...]
    parts: int = 1
    customer: str = ''
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """A worker that runs batch items at its upstream.

    :param name: name of its VM.
    :param service: service of its upstream.
    :param data_centre: data centre of its VM.
    """

    name: str
    service: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class Assignment:
    """Items of one job that are assigned to one worker.

    :param job: their job.
    :param indexes: positions of the items in the job.
    :param items: the items, empty where they are too large for one key.
    :param is_moved: whether another worker may have run them before.
    """

    job: OpenJob
    indexes: tuple[int, ...]
    items: tuple[JobItem, ...]
    is_moved: bool = False


@dataclass(frozen=True, slots=True)
class DiskJob:
    """A job that was accepted while the store was unavailable.

    :param job: the job; its items have no owner yet.
    :param items: all items.
    :param attempts: ids of the attempts to accept it that stored it here;
        empty where an earlier build did.
    """

    job: OpenJob
    items: tuple[JobItem, ...]
    attempts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JobFence:
    """Record in the store that attempts to accept a job were refused.

    A write of the job names the revision that it has read, so that a write of a
    refused attempt no longer takes effect.

    :param revision: revision of the record, 0 if there is none.
    :param attempts: ids of the refused attempts.
    :param is_ended: whether the job was ended before the store had it.
    """

    revision: int = 0
    attempts: tuple[str, ...] = ()
    is_ended: bool = False


@dataclass(frozen=True, slots=True)
class DiskMember:
    """A process that stores accepted jobs while the store is unavailable.

    :param name: name of its VM.
    :param address: ``host:port`` for entries.
    """

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class DiskHome:
    """Record of a disk that may hold jobs, also while its process is away.

    :param member: the process with the disk.
    :param revision: revision of the record.
    """

    member: DiskMember
    revision: int


@dataclass(frozen=True, slots=True)
class ItemProgress:
    """Progress of an unfinished item.

    :param texts: data of its events so far.
    :param last_event: id of the last event.
    :param failures: number of runs that failed at an upstream.
    :param version: software version of the upstream that wrote the events,
        empty if it is unknown, as in what an earlier build has saved.
    """

    texts: tuple[str, ...]
    last_event: str
    failures: int
    version: str = ''
