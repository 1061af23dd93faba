"""Records what began the streams of an entry, and finds what began others.

The record of a stream is sent to two workers with its first event, so that it
outlives the entry.  An entry at which the caller resumes the stream asks the
same workers, which it finds by the key of the attempt.
"""

from __future__ import annotations

import time
from collections import defaultdict
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err

from wigeonpier.hosted.failures import SendFailure
from wigeonpier.hosted.originkeeper import (
    ORIGINS_PATH,
    SEARCH_PATH,
    OriginAnswer,
    OriginReport,
    OriginSearch,
)
from wigeonpier.hosted.origintable import OriginTable
from wigeonpier.policy.keeperring import KeeperRing, make_ring
from wigeonpier.policy.streamorigin import (
    UNKNOWN_VERSION,
    StreamOrigin,
    digest_attempt,
    infer_version,
)
from wigeonpier.settings.process import split_address
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.models import HostSettings
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.pool import ConnectionPool

# Collects the streams that begin at the same moment into one call.
BATCH_SECONDS = 0.003
COPIES = 2
# Asked in pairs; the second pair has the record if keepers came or went since.
MAX_ASKED = 4
# A worker in the same region answers within 10 ms.  A caller waits for both
# pairs, so that a stream of which nothing is known is refused early.
ASK_SECONDS = 0.1
SEND_SECONDS = 0.4
# Older streams are over; a keeper that starts late does not need them.
RESENT_SECONDS = 10.0
# A stream and the attempts that resume it last for one timeout; versions are
# looked back at for one more.
LIFETIME_TIMEOUTS = 2


class StreamOrigins:
    """Origins of streams, as this entry and the keepers know them."""

    def __init__(
        self,
        settings: HostSettings,
        replicas: ReplicaRegister,
        store_health: StoreHealth,
        pool: ConnectionPool,
        metrics: Metrics,
    ) -> None:
        """Create the records.

        :param settings: settings of the process.
        :param replicas: upstreams, on whose VMs the keepers are.
        :param store_health: state of the connection to the store.
        :param pool: connections to the keepers.
        :param metrics: metrics of this process.
        """
        self._metrics = metrics
        self._store_health = store_health
        self.table = OriginTable()
        self._region = settings.region
        self._port = split_address(settings.peers)[1]
        self._replicas = replicas
        self._pool = pool
        self._pending: dict[str, StreamOrigin] = {}
        self._ring = make_ring(())
        # Change of the register that the ring was made at.
        self._ring_change = -1

    def record(self, request: OnlineRequest) -> None:
        """Record what wrote the first event of a stream, before it is forwarded.

        A stream that is resumed here is recorded under both attempts.

        :param request: the request; its origin is set unless it is known.
        """
        origin = request.origin
        if origin is None:
            origin = StreamOrigin(request.service, request.sends[-1].version)
            request.origin = origin
        if not request.route.is_resumable:
            return
        customer = request.http_request.customer
        for identity in {request.head.identity, request.head.resumes} - {''}:
            key = digest_attempt(identity, customer)
            self.table.record(key, origin)
            if not self._pending:
                gevent.spawn_later(BATCH_SECONDS, self._send_pending)
            self._pending[key] = origin

    def bind(self, request: OnlineRequest) -> SendFailure | None:
        """Bind a request to what began the stream that its caller resumes.

        :param request: the request; its origin and service are set.
        :returns: why the stream cannot continue, ``None`` if it may.
        """
        is_named = bool(request.head.resumes)
        origin = self._find(request) if is_named else None
        if origin is None:
            origin = self._infer(request, names_attempt=is_named)
        failure = _check_origin(request, origin)
        self._metrics.count(
            'streams_resumed_total',
            by='caller',
            outcome=failure.name if failure else 'bound',
        )
        if failure is None:
            request.origin = origin
            request.service = origin.service
            return None
        log_event(
            Event.stream_not_resumed,
            request=request.head.identity,
            resumes=request.head.resumes,
            after=request.head.resume_after,
            service=request.service,
            began=origin.version,
            why=failure.value,
        )
        return failure

    def resend(self, address: str) -> None:
        """Send recent records to a worker that may have just started.

        :param address: address of its upstream.
        """
        host = split_address(address)[0]
        ring = self._update_ring()
        recent = {
            key: origin
            for key, origin in self.table.list_recent(RESENT_SECONDS).items()
            if host in ring.choose(key, COPIES)
        }
        if recent:
            gevent.spawn(self._send, host, recent)

    def _infer(
        self, request: OnlineRequest, *, names_attempt: bool
    ) -> StreamOrigin:
        replicas = self._replicas
        lifetime = request.route.timeout * LIFETIME_TIMEOUTS
        since = time.monotonic() - lifetime
        history = replicas.versions.describe(
            request.service,
            replicas.upstreams.values(),
            since,
            is_followed=replicas.view.completed_at < since
            and self._store_health.has_been_reachable_since(since),
        )
        version = infer_version(history, names_attempt=names_attempt)
        return StreamOrigin(request.service, version)

    def _find(self, request: OnlineRequest) -> StreamOrigin | None:
        """Find a record at this entry, or else at its keepers."""
        key = digest_attempt(
            request.head.resumes, request.http_request.customer
        )
        found = self.table.find(key)
        if found is not None:
            return found
        hosts = self._update_ring().choose(key, MAX_ASKED)
        for start in range(0, len(hosts), COPIES):
            found = self._ask_all(hosts[start : start + COPIES], key)
            if found is not None:
                self.table.record(key, found)
                return found
        return None

    def _send_pending(self) -> None:
        pending = self._pending
        self._pending = {}
        ring = self._update_ring()
        chosen = {key: ring.choose(key, COPIES + 1) for key in pending}
        failed = self._send_all(
            pending, ((key, chosen[key][:COPIES]) for key in pending)
        )
        # The next keeper on the ring is the third one that is asked.
        self._send_all(pending, ((key, chosen[key][COPIES:]) for key in failed))

    def _send_all(
        self,
        pending: dict[str, StreamOrigin],
        keepers: Iterable[tuple[str, list[str]]],
    ) -> set[str]:
        """Send records to their keepers.

        :returns: keys of those that not all of their keepers got.
        """
        by_host: defaultdict[str, dict[str, StreamOrigin]] = defaultdict(dict)
        for stream, hosts in keepers:
            for host in hosts:
                by_host[host][stream] = pending[stream]
        sends = [gevent.spawn(self._send, *batch) for batch in by_host.items()]
        gevent.joinall(sends)
        return {failed for send in sends for failed in send.value or ()}

    def _send(
        self, host: str, records: dict[str, StreamOrigin]
    ) -> frozenset[str]:
        """Send records to one keeper; return the keys that it did not get."""
        body = msgspec.json.encode(OriginReport(records))
        raw, address = self._make_call(host, ORIGINS_PATH, body)
        called = self._pool.call(address, raw, SEND_SECONDS)
        if isinstance(called, Err) or not called.ok_value.is_good:
            return frozenset(records)
        return frozenset()

    def _ask_all(self, hosts: list[str], key: str) -> StreamOrigin | None:
        """Ask some keepers at once, and use the first record."""
        asks = [gevent.spawn(self._ask, host, key) for host in hosts]
        for ask in gevent.iwait(asks, timeout=ASK_SECONDS):
            if ask.value is not None:
                return ask.value
        return None

    def _ask(self, host: str, key: str) -> StreamOrigin | None:
        body = msgspec.json.encode(OriginSearch(key))
        raw, address = self._make_call(host, SEARCH_PATH, body)
        called = self._pool.call(address, raw, ASK_SECONDS)
        if isinstance(called, Err) or not called.ok_value.is_good:
            return None
        return called.ok_value.decode(OriginAnswer).origin

    def _make_call(
        self, host: str, path: str, body: bytes
    ) -> tuple[bytes, str]:
        # Workers listen at the same port on their VMs as this process here.
        address = f'{host}:{self._port}'
        return make_request('POST', path, [('Host', address)], body), address

    def _update_ring(self) -> KeeperRing:
        """Return the ring of the workers whose upstreams are not leaving.

        Workers of other regions are used only where there are none in this
        one, since regions lose each other for long.
        """
        if self._ring_change == self._replicas.changes:
            return self._ring
        self._ring_change = self._replicas.changes
        states = [
            state
            for state in self._replicas.upstreams.values()
            if not state.is_leaving
        ]
        near = [state for state in states if state.region == self._region]
        self._ring = make_ring(
            split_address(state.address)[0] for state in near or states
        )
        return self._ring


def _check_origin(
    request: OnlineRequest, origin: StreamOrigin
) -> SendFailure | None:
    if origin.version == UNKNOWN_VERSION:
        return SendFailure.origin_unknown
    services = {service for service, _weight in request.route.services}
    if origin.service not in services:
        return SendFailure.version_gone
    return None
