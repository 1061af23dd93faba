"""Builders of a small site on loopback with a simulated platform."""

from __future__ import annotations

import base64
import random
import shutil
import tempfile
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from types import MappingProxyType, SimpleNamespace
from typing import TYPE_CHECKING, Any

import gevent
import msgspec

from wigeonpier.bench.processes import take_port
from wigeonpier.bench.replica import StandInReplica
from wigeonpier.bench.store import StandInStore
from wigeonpier.hosted.binder import SlotBinder
from wigeonpier.hosted.chooser import UpstreamChooser
from wigeonpier.hosted.common import DaemonContext
from wigeonpier.hosted.entry import EntryApp
from wigeonpier.hosted.outcomes import OutcomeReporter
from wigeonpier.hosted.question import OnlineRequest
from wigeonpier.hosted.reserver import ReservationOutcome
from wigeonpier.hosted.sender import (
    RequestSender,
)
from wigeonpier.hosted.storage import StorageApp
from wigeonpier.hosted.suspects import SuspectTracker
from wigeonpier.hosted.suspicionpublisher import SuspicionPublisher
from wigeonpier.hosted.trials import TrialPlacer
from wigeonpier.hosted.worker import WorkerApp
from wigeonpier.membership.ends import CrashDetector
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.models import Bounds, HostSettings, OpenJob
from wigeonpier.platform.ingress import RequestHead
from wigeonpier.platform.operator import decode_configuration
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.exchange import make_request
from wigeonpier.web.messages import Request
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from result import Result

    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.web.client import CallFailure, Reply
    from wigeonpier.web.server import Route, Server

HOST = 'site.example'
SERVICE = 'assistant'
DATA_CENTRE = 'suva-a'
TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.02
DISKS = 3
FIRST_VM = 2
QUOTA_SLACK = 4
# In memory where possible: a disk that stalls for longer than entries wait for
# it makes a job's outcome unknown, which other tests cover.
MEMORY_FOLDER = Path('/dev/shm')
DISK_PARENT = MEMORY_FOLDER if MEMORY_FOLDER.is_dir() else None
NO_BODIES = MappingProxyType({})


def make_route_entry(kind: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Write a route as the operator does."""
    return {
        'name': f'r{prefix.strip("/")}',
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'service': SERVICE,
        'timeoutMs': 5000,
        'targetLatencyMs': 300,
        'maxAttempts': 2,
        'resumable': True,
        'runAimMs': 18000,
        'retentionS': 60,
    } | changes


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Write a configuration as the operator does."""
    return {
        'version': version,
        'routes': [
            make_route_entry('streaming', '/ask/'),
            make_route_entry(
                'streaming', '/once/', resumable=False, maxAttempts=1
            ),
            make_route_entry('batch_run', '/jobs/', maxAttempts=3),
        ],
        'limits': {'maxBodyBytes': 4_000_000},
    } | changes


def make_customer(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    """Write a customer as the operator does."""
    return {'name': name, 'apiKeys': list(keys)} | changes


def make_settings(
    name: str,
    store: str,
    upstream: str = '',
    folder: str = '',
    peers: str = '',
    revocation: float = 0,
) -> HostSettings:
    """Make the settings of a process on loopback, on free ports."""
    return HostSettings(
        name=name,
        data_centre=DATA_CENTRE,
        region='viti-levu',
        regions={DATA_CENTRE: 'viti-levu'},
        store=store,
        store_history=20,
        bounds=Bounds(
            grace=8,
            job_readable=120,
            contact=3,
            revocation=revocation,
            quota_overage=0.1,
            quota_slack=QUOTA_SLACK,
        ),
        callers=f'127.0.0.1:{take_port()}',
        readiness=f'127.0.0.1:{take_port()}',
        metrics=f'127.0.0.1:{take_port()}',
        peers=peers or f'127.0.0.1:{take_port()}',
        data_folder=folder,
        disks_lost=1,
        upstream=upstream,
        service=SERVICE,
    )


def make_open_job(name: str = 'j', **changes: Any) -> OpenJob:
    """Make a job as stored on the board."""
    fields = {
        'name': name,
        'route': 'rjobs',
        'host': HOST,
        'service': SERVICE,
        'sent_at': 0.0,
        'run_objective': 18.0,
        'retention': 60.0,
        'tries': 3,
        'tokens': 100,
        'owners': (),
    }
    return OpenJob(**(fields | changes))


def make_online_request(
    *, waited: float = 0, has_begun: bool = False
) -> OnlineRequest:
    """Make a resumable request that arrived some seconds ago."""
    now = time.monotonic()
    content = msgspec.json.encode(make_configuration())
    route = decode_configuration(content).routes[0]
    return OnlineRequest(
        http_request=Request('POST', '/ask/a', '', {}, None, target='/ask/a'),
        head=RequestHead('q1', HOST, 5.0, (), ''),
        route=route,
        service=SERVICE,
        body=b'{}',
        received_at=now - waited,
        deadline=now - waited + route.timeout,
        resume_after='',
        first_event_at=now if has_begun else 0,
    )


def make_sender(states: list[UpstreamState]) -> RequestSender:
    """Make a sender for these upstreams; each one grants a slot."""
    rng = random.Random(1)
    pool = ConnectionPool()
    replicas = SimpleNamespace(
        list_upstreams=lambda: states,
        is_outdated=False,
        has_recent_crash=lambda _service: False,
        upstreams={state.name: state for state in states},
        view=SimpleNamespace(hurry=lambda: None),
    )
    settings = make_settings('edge-0', '127.0.0.1:1')
    chooser = UpstreamChooser(settings, replicas, rng)
    reserver = SimpleNamespace(
        reserve=lambda *_given, **_named: ReservationOutcome.granted
    )
    suspicions = Suspicions()
    suspects = SuspectTracker(
        suspicions,
        SuspicionPublisher(suspicions, replicas, pool, 1, rng),
        CrashDetector(pool),
        replicas,
        Metrics(),
        SimpleNamespace(note=lambda _fingerprint: None),
    )
    binder = SlotBinder(
        replicas,
        chooser,
        rng,
        SimpleNamespace(is_isolated=False, record_contact=lambda: None),
        reserver,
        suspects,
        TrialPlacer(chooser, reserver, suspects),
    )
    return RequestSender(
        binder, pool, OutcomeReporter(settings, pool, Metrics())
    )


def wait_for(condition: Callable[[], object], what: str) -> None:
    """Wait for a condition; fail with its description after a time-out."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f'timed out waiting until {what}'
        gevent.sleep(POLL_SECONDS)


class SiteContext(DaemonContext):
    """What one daemon of a site shares, which can be closed."""

    def serve_metrics(self, *routes: Route) -> Server:
        """Serve the metrics until the site stops."""
        self.metrics_server = super().serve_metrics(*routes)
        return self.metrics_server

    def close(self) -> None:
        """Close the listener and the idle connections."""
        server = getattr(self, 'metrics_server', None)
        if server is not None:
            server.stop()
        close_idle(self.pool)


def close_idle(pool: ConnectionPool) -> None:
    """Close the idle connections of a pool.

    Some thousand tests run in one process, and parts of it fail with more than
    1,023 descriptors.
    """
    for address in list(pool._idle):
        pool.forget(address)


@dataclass
class HostedSite:
    """A site: a store, replicas with workers, entries and disks."""

    store: StandInStore = field(default_factory=StandInStore)
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    replicas: list[StandInReplica] = field(default_factory=list)
    workers: list[WorkerApp] = field(default_factory=list)
    disks: list[StorageApp] = field(default_factory=list)
    entries: list[EntryApp] = field(default_factory=list)
    addresses: list[str] = field(default_factory=list)
    store_address: str = ''
    greenlets: list[gevent.Greenlet] = field(default_factory=list)
    folders: list[str] = field(default_factory=list)
    contexts: list[SiteContext] = field(default_factory=list)
    peer_port: int = field(default_factory=take_port)
    configuration: dict[str, Any] = field(default_factory=make_configuration)
    revocation: float = 0
    has_unreliable_upstreams: bool = False

    def start(self, replicas: int = 2, entries: int = 1, **shape: Any) -> None:
        """Start everything and wait until it is ready."""
        self.store_address = self.store.start()
        self.store.put('op/config', self.configuration)
        for number in range(replicas):
            self.add_replica(f'i-{number}', **shape)
        for number in range(entries):
            self.add_entry(f'edge-{number}')
        for number in range(DISKS):
            self.add_disk(f'storage-{number}')
        wait_for(
            lambda: all(app.is_ready for app in self.entries),
            'entries are ready',
        )
        wait_for(
            lambda: len(self.list_members()) == replicas,
            'workers are members',
        )
        wait_for(
            lambda: all(
                len(app._disk_job_writer.board.disks) > 1
                for app in self.entries
            ),
            'entries know the disks',
        )

    def stop(self) -> None:
        """Stop all listeners, and all greenlets of the site."""
        for app in self.entries:
            app._callers.stop()
            app._balancer.stop()
        for worker in self.workers:
            worker._server.stop()
        for replica in self.replicas:
            replica.stop()
        for disk in self.disks:
            disk._server.stop()
        self.store.stop()
        gevent.killall(self.greenlets, timeout=1)
        for context in self.contexts:
            context.close()
        close_idle(self.pool)
        for folder in self.folders:
            shutil.rmtree(folder, ignore_errors=True)

    def add_replica(self, name: str, **shape: Any) -> StandInReplica:
        """Start a replica and its worker."""
        replica = StandInReplica(name, SERVICE, self.store, **shape)
        host = f'127.0.0.{FIRST_VM + len(self.replicas)}'
        replica.start(DATA_CENTRE, host)
        context = self._make_common(f'side-{name}', replica.address, host)
        worker = WorkerApp(context)
        worker.start()
        self.replicas.append(replica)
        self.workers.append(worker)
        return replica

    def add_entry(self, name: str) -> EntryApp:
        """Start an entry."""
        app = EntryApp(self._make_common(name))
        self.addresses.append(app.start())
        self.entries.append(app)
        return app

    def add_disk(self, name: str) -> None:
        """Start a process with a disk."""
        folder = tempfile.mkdtemp(dir=DISK_PARENT)
        self.folders.append(folder)
        settings = make_settings(name, self.store_address, folder=folder)
        disk = StorageApp(self._add_context(settings))
        disk.start()
        self.disks.append(disk)

    def _make_common(
        self,
        name: str,
        upstream: str = '',
        host: str = '127.0.0.1',
    ) -> DaemonContext:
        settings = make_settings(
            name,
            self.store_address,
            upstream,
            peers=f'{host}:{self.peer_port}',
            revocation=self.revocation,
        )
        return self._add_context(
            replace(
                settings,
                has_unreliable_upstreams=self.has_unreliable_upstreams,
            ),
        )

    def _add_context(self, settings: HostSettings) -> SiteContext:
        context = SiteContext(settings)
        self.contexts.append(context)
        return context

    def configure(self, **changes: Any) -> None:
        """Change the configuration as the operator does."""
        version = self.configuration['version'] + 1
        self.configuration |= changes | {'version': version}
        self.store.put('op/config', self.configuration)
        wait_for(
            lambda: all(
                app._configuration.get_version() == version
                for app in self.entries
            ),
            f'version {version} is in force',
        )

    def list_members(self) -> list[str]:
        """List the workers that run items."""
        return self.store.list_keys('wigeonpier/hosted/board/members/')

    def call(
        self,
        method: str,
        target: str,
        identity: str = '',
        body: bytes = b'',
        *,
        entry: int = 0,
        **headers: str,
    ) -> Reply:
        """Call an entry and read its complete answer."""
        given = (method, target, identity, body)
        return self.try_call(*given, entry=entry, **headers).unwrap()

    def try_call(
        self,
        method: str,
        target: str,
        identity: str = '',
        body: bytes = b'',
        *,
        entry: int = 0,
        **headers: str,
    ) -> Result[Reply, CallFailure]:
        """Call an entry; its answer may be truncated."""
        listed = [('Host', HOST), ('X-Deadline-Ms', '5000')]
        if identity:
            listed.append(('X-Attempt-Id', identity))
        listed += [
            (name.replace('_', '-'), text) for name, text in headers.items()
        ]
        raw = make_request(method, target, listed, body)
        return self.pool.call(self.addresses[entry], raw, TIMEOUT_SECONDS)

    def submit_job(
        self,
        job: str,
        items: int = 4,
        *,
        entry: int = 0,
        bodies: Mapping[int, bytes] = NO_BODIES,
        item_headers: Mapping[str, str] = NO_BODIES,
        **headers: str,
    ) -> Reply:
        """Submit a job; some items may have their own body."""
        content = {
            'items': [
                {
                    'id': f'{job}{number}',
                    'path': f'/jobs/{job}/{number}',
                    'headers': {'X-Token-Counts': '10,20', **item_headers},
                    'body': base64.b64encode(
                        bodies.get(number, b'{}'),
                    ).decode(),
                    'tokens': 30,
                }
                for number in range(items)
            ],
        }
        body = msgspec.json.encode(content)
        return self.call('POST', '/jobs/x', job, body, entry=entry, **headers)

    def read_results(self, job: str, *, entry: int = 0) -> dict[str, Any]:
        """Read all results of a job."""
        reply = self.call('GET', f'/-/lots/{job}?after=0', entry=entry)
        assert reply.status == 200, reply
        return msgspec.json.decode(reply.body)

    def wait_for_results(self, job: str, count: int) -> list[dict[str, Any]]:
        """Wait until a job has at least a number of results."""
        wait_for(
            lambda: len(self.read_results(job)['results']) >= count,
            f'{count} results of {job}',
        )
        return self.read_results(job)['results']
