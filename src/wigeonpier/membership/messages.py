"""Messages of heartbeats and customer limits."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from wigeonpier.batch.claims import Claim
from wigeonpier.batch.models import Job
from wigeonpier.membership.updates import SuspicionUpdate
from wigeonpier.membership.upstreamlosses import LossReport


class Role(StrEnum):
    """Role of a process."""

    entry = 'entry'
    local = 'local'


class DiskReport(msgspec.Struct, frozen=True):
    """A data folder.

    :param incarnation: its id.
    :param address: ``host:port`` of its process.
    :param data_centre: data centre of its VM.
    :param free_bytes: free disk space, bytes.
    """

    incarnation: str
    address: str
    data_centre: str
    free_bytes: int


class UpstreamReport(msgspec.Struct, frozen=True):
    """The upstream on the VM of a local process.

    :param service: service that it is a replica of.
    :param models: models that it serves.
    :param slots: concurrent streams that it runs within its latency target.
    :param online: online requests in progress.
    :param batch: batch items in progress.
    :param is_well: whether it answers.
    """

    service: str
    models: tuple[str, ...]
    slots: int
    online: int
    batch: int
    is_well: bool


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one customer that one entry admitted.

    :param customer: name of the customer.
    :param requests: requests in the window of its limit.
    :param total: requests of all entries in the window, as its owner last
        answered.
    """

    customer: str
    requests: float
    total: float = 0


class LimitCall(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the entry that owns a customer's limit to admit requests.

    :param entry: ``host:port`` of the calling entry.
    :param customer: name of the customer.
    :param requests: requests to admit, 0 for a mere report.
    :param admitted: requests in the window, by the start id of the process
        that admitted them.
    :param in_progress: requests in progress at the entry.
    :param tokens: tokens of answers that were not yet reported.
    :param requests_limit: requests a second over all entries.
    :param tokens_limit: tokens of answers a second.
    :param concurrent_limit: requests in progress.
    """

    entry: str
    customer: str
    requests: int
    admitted: dict[str, float]
    in_progress: int
    tokens: float
    requests_limit: float
    tokens_limit: float
    concurrent_limit: float


class LimitAnswer(msgspec.Struct, frozen=True):
    """Answers a :class:`LimitCall`.

    :param owner: start id of the process that decided.
    :param exhausted: name of the limit that is reached, empty for none.
    :param retry_after: seconds until the requests would be admitted.
    :param is_tight: whether finished requests must be reported at once.
    :param total: requests of all entries in the window.
    """

    owner: str
    exhausted: str = ''
    retry_after: float = 0
    is_tight: bool = False
    total: float = 0


class Heartbeat(msgspec.Struct, kw_only=True):
    """State that a process reports to entries.

    :param name: name of its VM.
    :param boot: random id of this start of the process.
    :param role: its role.
    :param address: ``host:port`` for peers.
    :param data_centre: data centre of its VM.
    :param is_leaving: whether it accepts no new work.
    :param version: version of its active configuration.
    :param upstream: the upstream on its VM.
    :param disk: its data folder.
    :param wants: batch items that it could start now.
    :param held: jobs of which it owns chunks.
    :param usage: active customers, from an entry.
    :param suspicions: requests that it suspects of crashing upstreams.
    :param losses: recent crashes of upstreams.
    """

    name: str
    boot: str
    role: Role
    address: str
    data_centre: str
    is_leaving: bool
    version: int
    upstream: UpstreamReport | None = None
    disk: DiskReport | None = None
    wants: int = 0
    held: tuple[str, ...] = ()
    usage: tuple[Usage, ...] = ()
    suspicions: SuspicionUpdate = SuspicionUpdate()
    losses: tuple[LossReport, ...] = ()


class Offer(msgspec.Struct, kw_only=True):
    """A chunk that a local process may claim.

    :param job: the job as last read by the entry.
    :param chunk: index of the chunk.
    :param revision: revision of the claim's key, 0 where there is none.
    :param claim: the claim that is replaced.
    """

    job: Job
    chunk: int
    revision: int
    claim: Claim | None = None


class HeartbeatReply(msgspec.Struct, kw_only=True):
    """Reply of an entry to a heartbeat.

    :param version: version of the entry's active configuration.
    :param entries: ``host:port`` of live entries.
    :param disks: reachable data folders.
    :param gone: data folders that are lost for good.
    :param offers: chunks to claim.
    :param stopped: held jobs that were cancelled.
    :param suspicions: requests that the entry suspects of crashing upstreams.
    :param address: ``host:port`` of the entry.
    :param usage: active customers.
    :param losses: recent crashes of upstreams.
    """

    version: int
    entries: tuple[str, ...]
    disks: tuple[DiskReport, ...] = ()
    gone: tuple[str, ...] = ()
    offers: tuple[Offer, ...] = ()
    stopped: tuple[str, ...] = ()
    suspicions: SuspicionUpdate = SuspicionUpdate()
    address: str = ''
    usage: tuple[Usage, ...] = ()
    losses: tuple[LossReport, ...] = ()
