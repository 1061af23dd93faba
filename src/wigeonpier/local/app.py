"""Composition root of the local process."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.batch.chunk import ChunkContext
from wigeonpier.local.chunks import OwnedChunks
from wigeonpier.local.crashes import CrashObserver, make_crash_detector
from wigeonpier.local.engine import Engine
from wigeonpier.local.gate import Gate
from wigeonpier.local.loneitems import LoneItems
from wigeonpier.local.online import OnlinePath, answer_online
from wigeonpier.local.suspects import LocalSuspects
from wigeonpier.local.upstream import UpstreamWatch
from wigeonpier.local.work import Worker
from wigeonpier.membership.exchange import make_exchange_route
from wigeonpier.membership.messages import (
    Heartbeat,
    HeartbeatReply,
    Role,
    UpstreamReport,
)
from wigeonpier.membership.reporter import HeartbeatSender
from wigeonpier.policy.attempts import Bounds
from wigeonpier.policy.copies import Disk
from wigeonpier.process import (
    Components,
    build_components,
    make_common_routes,
    make_disk_client,
)
from wigeonpier.settings.deployment import ServiceKind
from wigeonpier.settings.process import LocalSettings, split_address
from wigeonpier.web.client import HttpClient
from wigeonpier.web.filters import (
    answer_errors,
    limit_bodies,
    require_peer_key,
    trace_requests,
)
from wigeonpier.web.server import (
    Server,
    chain_filters,
    dispatch_to,
    make_route,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.settings.deployment import Deployment
    from wigeonpier.web.messages import Request, Response

PROGRAM = 'wigeonpier-local'
FAN_OUT = 4
BODY_LIMIT = 16_000_000
# Of the answer to a probe of the upstream's health or models.
MAX_PROBE_BYTES = 262_144
PROTECTED_PATHS = ('/v1/', '/services/', '/disk/', '/peer/')
MILLISECONDS = 1000


@dataclass(slots=True)
class LocalApp:
    """Components of one local process.

    :param components: components that all daemons have.
    :param gate: admission control for the upstream.
    :param watch: monitors the health of the upstream.
    :param worker: owns chunks and runs their items.
    :param crash_observer: reports crashes of the upstream.
    :param heartbeat_sender: sends heartbeats to entry processes.
    :param server: server for requests of peers.
    """

    components: Components
    gate: Gate
    watch: UpstreamWatch
    worker: Worker
    crash_observer: CrashObserver
    heartbeat_sender: HeartbeatSender
    server: Server

    def start(self) -> str:
        """Start the server, the probes, the heartbeats and the batch work.

        :returns: address of the server.
        """
        self.components.address = self.server.address
        self.components.holder.add_listener(self._apply_deployment)
        self.watch.start()
        self.watch.on_change = self._handle_health
        self.worker.on_queue_low = self.heartbeat_sender.send_soon
        self.worker.start()
        self.heartbeat_sender.on_reply = self._handle_reply
        self.heartbeat_sender.start()
        self.server.start()
        return self.server.address

    def leave(self, seconds: float) -> int:
        """Accept no new work, release batch work, wait for online requests.

        :param seconds: maximum time to wait.
        :returns: number of requests in flight and chunks not released.
        """
        deadline = time.monotonic() + seconds
        self.components.is_leaving = True
        self.gate.is_open = False
        self.heartbeat_sender.send_heartbeats()
        unreleased = self.worker.leave(seconds)
        in_flight = self.server.drain(max(0, deadline - time.monotonic()))
        return in_flight + unreleased

    def _apply_deployment(self, deployment: Deployment) -> None:
        service = deployment.services.get(
            _get_settings(self.components).service
        )
        if service is not None:
            self.gate.target_seconds = service.between_tokens_ms / MILLISECONDS
            self.gate.kind = service.gate
            self.gate.batch_streams = service.batch_streams
        batch = deployment.batch
        self.worker.owned_chunks.context = ChunkContext(
            platform=self.components.platform,
            disks=self.worker.owned_chunks.context.disks,
            list_disks=self.worker.owned_chunks.context.list_disks,
            is_gone=self.worker.owned_chunks.context.is_gone,
            owner=self.components.settings.name,
            copies=batch.copies,
            least_copies=batch.least_copies,
            bounds=Bounds(batch.attempts, batch.lone_losses),
        )

    def _handle_health(self) -> None:
        if not self.watch.is_healthy:
            self.crash_observer.check()
        self.heartbeat_sender.send_soon()

    def _handle_reply(self, reply: HeartbeatReply) -> None:
        self.worker.owned_chunks.claim_offers(reply.offers)
        self.worker.owned_chunks.stop_jobs(reply.stopped)
        self.components.suspicions.merge(reply.suspicions)
        self.components.losses.merge(reply.losses)


def build_local(
    settings: LocalSettings,
    make_client: Callable[[dict[str, str]], HttpClient] = HttpClient,
) -> LocalApp:
    """Build a local process.

    :param settings: its settings.
    :param make_client: creates the client for peers and the platform.
    :returns: the process, not started.
    """
    components = build_components(settings, make_client)
    upstream = make_upstream_client()
    gate = Gate()
    watch = UpstreamWatch(
        upstream,
        settings.upstream,
        lambda: _find_service_kind(components),
    )
    heartbeat_sender = HeartbeatSender(
        components.client,
        components.holder,
        settings.entries,
        FAN_OUT,
        lambda: _make_heartbeat(components, gate, watch, worker),
        components.platform.list_vms,
    )
    crash_detector = make_crash_detector()
    crash_observer = CrashObserver(
        settings.name,
        components.start_id,
        settings.upstream,
        crash_detector,
        components.losses,
        heartbeat_sender.send_soon,
    )
    worker = Worker(
        gate,
        Engine(
            upstream,
            settings.upstream,
            gate,
            components.metrics,
            settings.service,
        ),
        watch,
        OwnedChunks(
            _make_chunk_context(components, heartbeat_sender),
            components.losses,
        ),
        components.metrics,
        LoneItems(settings.name, components.losses, crash_observer.check),
    )
    path = OnlinePath(
        gate,
        upstream,
        settings.upstream,
        components.metrics,
        settings.service,
        LocalSuspects(
            f'{settings.name}/{components.start_id}',
            settings.upstream,
            components.suspicions,
            crash_detector,
            crash_observer.record,
        ),
    )
    return LocalApp(
        components,
        gate,
        watch,
        worker,
        crash_observer,
        heartbeat_sender,
        _build_server(components, path),
    )


def make_upstream_client() -> HttpClient:
    """Create the client for calls to the upstream.

    An engine may send the answer to an earlier request once more, and its
    answers need not bear an id.  On a connection of its own, a request can
    receive no answer to another one.

    :returns: the client.
    """
    return HttpClient(
        {'connection': 'close'},
        reuses_connections=False,
        max_call_bytes=MAX_PROBE_BYTES,
    )


def _build_server(components: Components, path: OnlinePath) -> Server:
    def complete(request: Request) -> Response:
        return answer_online(path, request, request.path)

    def call_service(
        request: Request,
        _name: str,
        rest: str | None,
    ) -> Response:
        target = rest or '/'
        if request.query:
            target = f'{target}?{request.query}'
        return answer_online(path, request, target)

    routes = [
        make_route('POST', '/v1/(?:chat/)?completions', complete),
        make_route('*', '/services/([^/]+)(/.*)?', call_service),
        make_exchange_route(components.suspicions),
        *make_common_routes(components),
    ]
    filters = [
        trace_requests('local', components.export, components.metrics),
        answer_errors,
        limit_bodies(BODY_LIMIT),
        require_peer_key(components.settings.peer_keys, PROTECTED_PATHS),
    ]
    host, port = split_address(components.settings.listen)
    return Server(host, port, chain_filters(filters, dispatch_to(routes)))


def _make_chunk_context(
    components: Components, heartbeat_sender: HeartbeatSender
) -> ChunkContext:
    def list_disks() -> list[Disk]:
        return [
            Disk(
                report.incarnation,
                report.address,
                report.data_centre,
                report.free_bytes,
            )
            for report in heartbeat_sender.peers.disks.values()
        ]

    return ChunkContext(
        platform=components.platform,
        disks=make_disk_client(
            components.client,
            lambda: heartbeat_sender.peers.disks,
        ),
        list_disks=list_disks,
        is_gone=lambda copy: copy in heartbeat_sender.peers.gone,
        owner=components.settings.name,
        copies=1,
        least_copies=1,
        bounds=Bounds(1, 1),
    )


def _make_heartbeat(
    components: Components,
    gate: Gate,
    watch: UpstreamWatch,
    worker: Worker,
) -> Heartbeat:
    return Heartbeat(
        name=components.settings.name,
        boot=components.start_id,
        role=Role.local,
        address=components.address,
        data_centre=components.settings.data_centre,
        is_leaving=components.is_leaving,
        version=components.holder.version,
        upstream=UpstreamReport(
            service=_get_settings(components).service,
            models=watch.models,
            slots=gate.slots,
            online=gate.online + gate.waiting,
            batch=len(gate.batch),
            is_well=watch.is_healthy,
        ),
        disk=components.report_disk(),
        wants=worker.count_wanted(),
        held=worker.owned_chunks.list_owned_jobs(),
        suspicions=components.suspicions.summarize(),
        losses=components.losses.describe(),
    )


def _get_settings(components: Components) -> LocalSettings:
    settings = components.settings
    if not isinstance(settings, LocalSettings):
        raise TypeError('settings of a local process must be LocalSettings')
    return settings


def _find_service_kind(components: Components) -> ServiceKind:
    if not components.holder.version:
        return ServiceKind.model
    services = components.holder.deployment.services
    service = services.get(_get_settings(components).service)
    return service.kind if service else ServiceKind.model
