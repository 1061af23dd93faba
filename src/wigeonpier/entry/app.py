"""Composition root of the entry process."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from wigeonpier.batch.chunk import ChunkContext
from wigeonpier.disk.client import read_first
from wigeonpier.entry.accounts import KeyRing
from wigeonpier.entry.admin import AdminHandler
from wigeonpier.entry.board import JobBoard
from wigeonpier.entry.configuration import ConfigurationHandler
from wigeonpier.entry.copies import CopyRepairer
from wigeonpier.entry.files import FileHandler
from wigeonpier.entry.finalizer import JobFinalizer
from wigeonpier.entry.forward import Forwarder
from wigeonpier.entry.jobs import JobHandler
from wigeonpier.entry.limitcalls import LIMIT_PATH, make_fleet
from wigeonpier.entry.limits import CustomerLimits
from wigeonpier.entry.online import OnlineHandler
from wigeonpier.entry.peers import PeerHandler
from wigeonpier.entry.resends import OnlineResends
from wigeonpier.entry.suspects import SuspectFilter
from wigeonpier.loops import spawn_loop
from wigeonpier.membership.directory import Directory
from wigeonpier.membership.exchange import make_exchange_route
from wigeonpier.membership.messages import (
    DiskReport,
    Heartbeat,
    HeartbeatReply,
    Role,
)
from wigeonpier.membership.reporter import (
    CONFIGURATION_PATH,
    HEARTBEAT_PATH,
    HeartbeatSender,
)
from wigeonpier.platform import keys
from wigeonpier.platform.view import PrefixWatcher
from wigeonpier.policy.attempts import Bounds
from wigeonpier.process import (
    Components,
    build_components,
    make_common_routes,
    make_disk_client,
)
from wigeonpier.settings.process import EntrySettings, split_address
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

    from wigeonpier.disk.client import DiskClient
    from wigeonpier.platform.port import Change

PROGRAM = 'wigeonpier-entry'
DEFAULT_BODY_LIMIT_BYTES = 1_000_000
PEER_PATHS = ('/peer/', '/disk/')
ADMIN_PATHS = ('/admin/',)
ENTRY_FAN_OUT = 64
VM_POLL_SECONDS = 1.0
SELF_REPORT_SECONDS = 0.25
TOKEN_REPORT_SECONDS = 1.0


@dataclass(slots=True)
class EntryApp:
    """All components of one entry process.

    :param components: components that both daemons have.
    :param directory: view of the fleet.
    :param disks: reaches data folders.
    :param board: jobs that are not finished.
    :param job_handler: accepts and shows jobs.
    :param limits: limits of customers.
    :param key_ring: customers by key.
    :param configuration: accepts configurations.
    :param heartbeat_sender: sends heartbeats to the other entries.
    :param finalizer: finalizes jobs.
    :param copies: replaces lost copies.
    :param views: watched keys of the key-value service.
    :param server: listener for callers and peers.
    :param admin: listener for operators.
    :param grace_seconds: how long new requests are accepted while leaving.
    """

    components: Components
    directory: Directory
    disks: DiskClient
    board: JobBoard
    job_handler: JobHandler
    limits: CustomerLimits
    key_ring: KeyRing
    configuration: ConfigurationHandler
    heartbeat_sender: HeartbeatSender
    finalizer: JobFinalizer
    copies: CopyRepairer
    views: tuple[PrefixWatcher, ...]
    server: Server
    admin: Server
    grace_seconds: float

    def start(self) -> str:
        """Start the listeners, the watches and the background loops.

        :returns: address for callers.
        """
        self.components.address = self.server.address
        self.components.holder.add_listener(self.key_ring.load)
        self.heartbeat_sender.on_reply = self._handle_reply
        for view in self.views:
            view.start()
        for controller in (self.finalizer, self.copies, self.heartbeat_sender):
            controller.start()
        spawn_loop('vm list', lambda: _update_vms(self))
        spawn_loop('limits', lambda: _report_tokens(self))
        spawn_loop('itself', lambda: _record_itself(self))
        self.server.start()
        self.admin.start()
        return self.server.address

    def leave(self, seconds: float) -> int:
        """Announce that the process leaves, then drain its listeners.

        :param seconds: maximum wait.
        :returns: number of requests still in flight.
        """
        deadline = time.monotonic() + seconds
        self.components.is_leaving = True
        self.server.is_closing = True
        self.heartbeat_sender.send_soon()
        gevent.sleep(min(self.grace_seconds, seconds))
        left = self.server.drain(max(0, deadline - time.monotonic()))
        self.admin.drain(0)
        return left

    def _handle_reply(self, reply: HeartbeatReply) -> None:
        self.directory.add_lost_folders(reply.gone)
        self.components.suspicions.merge(reply.suspicions)
        self.components.losses.merge(reply.losses)
        self.limits.record_peer_usage(reply.address, reply.usage)


def build_entry(
    settings: EntrySettings,
    make_client: Callable[[dict[str, str]], HttpClient] = HttpClient,
) -> EntryApp:
    """Wire an entry process.

    :param settings: settings of the process.
    :param make_client: makes the connections to peers and the platform.
    :returns: the process; nothing is started yet.
    """
    components = build_components(settings, make_client)
    clock = time.monotonic
    directory = Directory(clock, lambda name: _find_region(components, name))
    disks = make_disk_client(
        components.client,
        lambda: _index_disks(directory),
    )
    board = JobBoard(
        clock,
        lambda: _list_weights(components),
        directory.list_entries,
    )
    job_handler = JobHandler(
        components.platform,
        board,
        lambda file_id: _read_on_disks(directory, disks, file_id),
    )
    key_ring = KeyRing()
    heartbeat_sender = HeartbeatSender(
        components.client,
        components.holder,
        settings.entries,
        ENTRY_FAN_OUT,
        lambda: _describe(components, limits),
        components.platform.list_vms,
    )
    limits = CustomerLimits(
        clock,
        make_fleet(components, directory, heartbeat_sender),
        components.rng,
        components.start_id,
    )
    forwarder = Forwarder(
        directory,
        components.client,
        components.metrics,
        components.rng,
        SuspectFilter(components.suspicions, components.client),
    )
    online = OnlineHandler(
        components.holder,
        forwarder,
        limits,
        OnlineResends(components.platform),
        settings.data_centre,
    )
    files = FileHandler(components.holder, job_handler, disks, directory)
    peers = PeerHandler(
        components.holder,
        directory,
        board,
        limits,
        components.client,
        components.suspicions,
        components.losses,
    )
    server = _build_server(components, key_ring, online, files, peers)
    configuration = ConfigurationHandler(components.platform, components.holder)
    board.address = server.address
    admin = _build_admin(
        components, AdminHandler(configuration, directory, job_handler)
    )
    finalizer = JobFinalizer(
        board,
        directory,
        disks,
        lambda: _make_workshop(components, disks, directory),
        server.address,
    )
    return EntryApp(
        components=components,
        directory=directory,
        disks=disks,
        board=board,
        job_handler=job_handler,
        limits=limits,
        key_ring=key_ring,
        configuration=configuration,
        heartbeat_sender=heartbeat_sender,
        finalizer=finalizer,
        copies=CopyRepairer(
            components.platform, disks, directory, server.address
        ),
        views=_make_views(components, board),
        server=server,
        admin=admin,
        grace_seconds=settings.grace_seconds,
    )


def _build_server(
    components: Components,
    key_ring: KeyRing,
    online: OnlineHandler,
    files: FileHandler,
    peers: PeerHandler,
) -> Server:
    routes = [
        make_route('POST', '/v1/chat/completions', online.complete),
        make_route('POST', '/v1/completions', online.complete),
        make_route('GET', '/v1/models', online.list_models),
        make_route('*', '/services/([^/]+)(/.*)?', online.call_service),
        make_route('POST', '/v1/files', files.upload),
        make_route('GET', '/v1/files', files.list_files),
        make_route('GET', '/v1/files/([^/]+)', files.show),
        make_route('GET', '/v1/files/([^/]+)/content', files.read_content),
        make_route('POST', '/v1/batches', files.create_batch),
        make_route('GET', '/v1/batches', files.list_batches),
        make_route('GET', '/v1/batches/([^/]+)', files.show_batch),
        make_route('POST', '/v1/batches/([^/]+)/cancel', files.cancel_batch),
        make_route('POST', HEARTBEAT_PATH, peers.handle_heartbeat),
        make_route('GET', CONFIGURATION_PATH, peers.show_configuration),
        make_route('POST', LIMIT_PATH, peers.decide_limit),
        make_exchange_route(components.suspicions),
        *make_common_routes(components),
    ]
    settings = components.settings
    filters = [
        trace_requests('entry', components.export, components.metrics),
        answer_errors,
        limit_bodies(DEFAULT_BODY_LIMIT_BYTES),
        require_peer_key(settings.peer_keys, PEER_PATHS),
        key_ring.require_key,
    ]
    host, port = split_address(settings.listen)
    return Server(host, port, chain_filters(filters, dispatch_to(routes)))


def _build_admin(components: Components, handler: AdminHandler) -> Server:
    settings = components.settings
    filters = [
        trace_requests('admin', components.export, components.metrics),
        answer_errors,
        limit_bodies(DEFAULT_BODY_LIMIT_BYTES),
        require_peer_key(settings.peer_keys, ADMIN_PATHS),
    ]
    address = getattr(settings, 'admin', '127.0.0.1:0')
    host, port = split_address(address)
    return Server(
        host,
        port,
        chain_filters(filters, dispatch_to(handler.make_routes())),
    )


def _make_views(
    components: Components, board: JobBoard
) -> tuple[PrefixWatcher, ...]:
    platform, rng = components.platform, components.rng

    def note_configuration(change: Change) -> None:
        if change.value is not None:
            components.holder.adopt(change.value)

    return (
        PrefixWatcher(platform, keys.CONFIGURATION, note_configuration, rng),
        PrefixWatcher(platform, keys.JOBS, board.record_job, rng),
        PrefixWatcher(platform, keys.CHUNKS, board.record_claim, rng),
    )


def _make_workshop(
    components: Components,
    disks: DiskClient,
    directory: Directory,
) -> ChunkContext:
    batch = components.holder.deployment.batch
    return ChunkContext(
        platform=components.platform,
        disks=disks,
        list_disks=directory.list_disks,
        is_gone=lambda copy: copy in directory.list_lost_folders(),
        owner=components.settings.name,
        copies=batch.copies,
        least_copies=batch.least_copies,
        bounds=Bounds(batch.attempts, batch.lone_losses),
    )


def _describe(components: Components, limits: CustomerLimits) -> Heartbeat:
    return Heartbeat(
        name=components.settings.name,
        boot=components.start_id,
        role=Role.entry,
        address=components.address,
        data_centre=components.settings.data_centre,
        is_leaving=components.is_leaving,
        version=components.holder.version,
        disk=components.report_disk(),
        usage=limits.report(),
        suspicions=components.suspicions.summarize(),
        losses=components.losses.describe(),
    )


def _record_itself(app: EntryApp) -> None:
    """Add this entry to its own view of the fleet, without a call."""
    app.directory.record_heartbeat(_describe(app.components, app.limits))
    app.heartbeat_sender.add_entries(app.directory.list_entries())
    gevent.sleep(SELF_REPORT_SECONDS)


def _report_tokens(app: EntryApp) -> None:
    gevent.sleep(TOKEN_REPORT_SECONDS)
    holder = app.components.holder
    if holder.version:
        customers = holder.deployment.customers
        app.limits.report_tokens(
            {name: customer.limits for name, customer in customers.items()}.get,
        )


def _update_vms(app: EntryApp) -> None:
    listed = app.components.platform.list_vms()
    if listed.is_ok():
        app.directory.update_vms(listed.unwrap())
    app.limits.remove_entries(set(app.directory.list_entries()))
    gevent.sleep(VM_POLL_SECONDS)


def _index_disks(directory: Directory) -> dict[str, DiskReport]:
    return {
        member.heartbeat.disk.incarnation: member.heartbeat.disk
        for member in directory.members.values()
        if member.heartbeat.disk is not None
    }


def _read_on_disks(
    directory: Directory,
    disks: DiskClient,
    file_id: str,
) -> bytes | None:
    reachable = tuple(disk.incarnation for disk in directory.list_disks())
    return read_first(reachable, lambda copy: disks.read_page(copy, file_id, 0))


def _find_region(components: Components, data_centre: str) -> str:
    if not components.holder.version:
        return ''
    described = components.holder.deployment.data_centres.get(data_centre)
    return described.region if described else ''


def _list_weights(components: Components) -> dict[str, float]:
    return {
        name: customer.weight
        for name, customer in components.holder.deployment.customers.items()
    }
