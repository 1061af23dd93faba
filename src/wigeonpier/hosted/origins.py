"""Records what began the streams of an entry, and finds what began others.

The record of a stream is sent to two workers with its first event, so that it
outlives the entry.  An entry at which the caller resumes the stream asks the
same workers, which it finds by the key of the attempt.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from wigeonpier.hosted.announcedversions import ANNOUNCED_SECONDS
from wigeonpier.hosted.failures import SendFailure
from wigeonpier.hosted.origintable import OriginTable
from wigeonpier.loops import spawn_loop
from wigeonpier.policy.streamorigin import (
    UNKNOWN_VERSION,
    StreamOrigin,
    digest_attempt,
    infer_version,
    name_content,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.hosted.announcedversions import AnnouncedVersions
    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.originkeepers import OriginKeepers
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.telemetry.metrics import Metrics

# Older streams are over; a keeper that starts late does not need them.
RESENT_SECONDS = 10.0
# A worker that leaves goes on for two seconds and more.
MOVE_CHECK_SECONDS = 0.1
# A stream and the attempts that resume it last for one timeout; versions are
# looked back at for one more.
LIFETIME_TIMEOUTS = 2


class StreamOrigins:
    """Origins of streams, as this entry and the keepers know them."""

    def __init__(
        self,
        replicas: ReplicaRegister,
        store_health: StoreHealth,
        keepers: OriginKeepers,
        announcements: AnnouncedVersions,
        metrics: Metrics,
    ) -> None:
        """Begin without records.

        :param replicas: upstreams in the register.
        :param store_health: state of the connection to the store.
        :param keepers: workers that keep records for all entries.
        :param announcements: versions that workers announce in the store.
        :param metrics: metrics of this process.
        """
        self.table = OriginTable()
        self._replicas = replicas
        self._store_health = store_health
        self._keepers = keepers
        self._announcements = announcements
        self._metrics = metrics

    def start(self) -> None:
        """Start to move records as workers come and go."""
        spawn_loop('stream origins', self._step)

    def record(self, request: OnlineRequest) -> None:
        """Record what wrote the first event of a stream, before it is forwarded.

        A stream that is resumed here is recorded under both attempts.

        :param request: the request; its origin is set unless it is known.
        """
        origin = request.origin
        if origin is None:
            origin = StreamOrigin(request.service, request.sends[-1].version)
            request.origin = origin
        else:
            self._metrics.count(
                'streams_resumed_total', by='caller', outcome='resumed'
            )
        if not request.route.is_resumable:
            return
        customer = request.http_request.customer
        content = name_content(request.fingerprint)
        identities = {request.head.identity, request.head.resumes} - {''}
        keys = [digest_attempt(identity, customer) for identity in identities]
        for key in (content, *keys):
            self.table.record(key, origin, content)
            self._keepers.publish(key, origin, content)

    def bind(self, request: OnlineRequest) -> SendFailure | None:
        """Bind a request to what began the stream that its caller resumes.

        :param request: the request; its origin and service are set.
        :returns: why the stream cannot continue, ``None`` if it may.
        """
        origin = self._find(request) or self._infer(request)
        failure = _check_origin(request, origin)
        if failure is None:
            request.origin = origin
            request.service = origin.service
        return failure

    def record_refusal(
        self, request: OnlineRequest, failure: SendFailure
    ) -> None:
        """Record that a stream is not resumed.

        :param request: the request of the caller that resumes it.
        :param failure: why it cannot continue.
        """
        self._metrics.count(
            'streams_resumed_total', by='caller', outcome=failure.name
        )
        log_event(
            Event.stream_not_resumed,
            request=request.head.identity,
            resumes=request.head.resumes,
            after=request.head.resume_after,
            service=request.service,
            began=request.origin.version if request.origin else '',
            why=failure.value,
        )

    def resend(self, address: str) -> None:
        """Send recent records to a worker that may have just started.

        :param address: address of its upstream.
        """
        recent = self.table.list_recent(RESENT_SECONDS)
        self._keepers.resend(address, recent)

    def _infer(self, request: OnlineRequest) -> StreamOrigin:
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
        announced = None
        # What was announced is known for some time only.
        if history.is_settled or lifetime <= ANNOUNCED_SECONDS:
            announced = self._announcements.read(
                request.service, request.received_at
            )
        version = infer_version(history, announced)
        return StreamOrigin(request.service, version)

    def _find(self, request: OnlineRequest) -> StreamOrigin | None:
        """Find a record at this entry, or else at its keepers.

        A caller that names no attempt is found by the content of its request.
        """
        content = name_content(request.fingerprint)
        key = content
        if request.head.resumes:
            key = digest_attempt(
                request.head.resumes, request.http_request.customer
            )
        found = self.table.find(key) or self._keepers.search(key, content)
        if found is None and key != content:
            # Where an entry of an earlier build has sent it.
            found = self._keepers.search(key)
        if found is not None:
            self.table.record(key, found, content)
        return found

    def _step(self) -> None:
        gevent.sleep(MOVE_CHECK_SECONDS)
        if self._keepers.has_moved():
            self._keepers.move(self.table.list_recent(RESENT_SECONDS))


def _check_origin(
    request: OnlineRequest, origin: StreamOrigin
) -> SendFailure | None:
    if origin.version == UNKNOWN_VERSION:
        return SendFailure.origin_unknown
    services = {service for service, _weight in request.route.services}
    if origin.service not in services:
        return SendFailure.version_gone
    return None
