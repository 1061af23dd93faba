"""Components that both daemons share, and how daemons start and stop."""

from __future__ import annotations

import argparse
import os
import random
import secrets
import signal
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol, TypeVar

import gevent
from gevent.event import Event as Signal

from wigeonpier.disk.client import DiskClient
from wigeonpier.disk.folder import DataFolder, read_monotonic_clock
from wigeonpier.disk.routes import make_disk_routes
from wigeonpier.invariants import Invariant, check_invariant, violations
from wigeonpier.membership.messages import DiskReport
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.membership.upstreamlosses import UpstreamLosses
from wigeonpier.platform.gateway import GatewayPlatform
from wigeonpier.settings.document import DocumentError, load_document
from wigeonpier.settings.holder import ConfigurationHolder
from wigeonpier.settings.process import ProcessSettings
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import configure_logs, log_event
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.client import HttpClient
from wigeonpier.web.exporters import choose_exporter
from wigeonpier.web.headers import PEER_KEY
from wigeonpier.web.pages import HealthPage, make_page_routes

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.platform.port import Platform
    from wigeonpier.telemetry.trace import SpanRecord
    from wigeonpier.web.server import Route

BOOT_ID_BYTES = 8
# Two heartbeat periods, after which a process that has just started knows
# every reachable data folder.
DISCOVERY_SECONDS = 2.0
DISCOVERY_POLL_SECONDS = 0.05
USAGE_STATUS = 2

Settings = TypeVar('Settings', bound=ProcessSettings)


class App(Protocol):
    """A daemon that is ready to start."""

    def start(self) -> str:
        """Start the daemon and return the address that it listens on."""

    def leave(self, seconds: float) -> int:
        """Drain for so many seconds; return the requests still in flight."""


@dataclass(slots=True)
class Components:
    """Components that both daemons have.

    :param settings: settings of the process.
    :param start_id: random id of this start.
    :param metrics: metrics of the process.
    :param client: connections to peers; sends the peer key.
    :param platform: port to the platform.
    :param holder: configuration in force.
    :param export: exports finished spans.
    :param rng: source of randomness.
    :param folder: data folder, ``None`` where the process has none.
    :param is_leaving: whether the process accepts no new work.
    :param address: ``host:port`` for callers and peers, empty before start.
    :param suspicions: requests that are suspected of crashing upstreams.
    :param losses: recent crashes of upstreams.
    """

    settings: ProcessSettings
    start_id: str
    metrics: Metrics
    client: HttpClient
    platform: Platform
    holder: ConfigurationHolder
    export: Callable[[SpanRecord], None]
    rng: random.Random
    folder: DataFolder | None
    is_leaving: bool = False
    address: str = ''
    suspicions: Suspicions = field(default_factory=Suspicions)
    losses: UpstreamLosses = field(default_factory=UpstreamLosses)

    def report_disk(self) -> DiskReport | None:
        """Describe the data folder.

        :returns: the report, ``None`` where there is no folder.
        """
        if self.folder is None:
            return None
        free_space = os.statvfs(self.settings.data_folder)
        return DiskReport(
            self.folder.incarnation,
            self.address,
            self.settings.data_centre,
            free_space.f_bavail * free_space.f_frsize,
        )


def build_components(
    settings: ProcessSettings,
    make_client: Callable[[dict[str, str]], HttpClient] = HttpClient,
) -> Components:
    """Build the components that both daemons have.

    :param settings: settings of the process.
    :param make_client: makes the connections to peers and the platform.
    :returns: the components; nothing is started yet.
    """
    folder = None
    if settings.data_folder:
        folder = DataFolder(settings.data_folder, read_monotonic_clock)
    return Components(
        settings=settings,
        start_id=secrets.token_hex(BOOT_ID_BYTES),
        metrics=Metrics(),
        client=make_client({PEER_KEY: settings.peer_keys[0]}),
        platform=GatewayPlatform(make_client({}), settings.platform),
        holder=ConfigurationHolder(
            settings.site or settings.data_centre,
            settings.data_folder,
        ),
        export=choose_exporter(settings.trace_file, settings.otlp),
        rng=random.Random(),
        folder=folder,
    )


def make_disk_client(
    client: HttpClient,
    find_disks: Callable[[], dict[str, DiskReport]],
) -> DiskClient:
    """Make a client that finds data folders in a view of the fleet.

    For some seconds after the start the client waits for a folder that is not
    known yet.

    :param client: connections to peers.
    :param find_disks: returns the reachable folders by incarnation.
    :returns: the client.
    """

    deadline = time.monotonic() + DISCOVERY_SECONDS

    def find_address(incarnation: str) -> str | None:
        report = find_disks().get(incarnation)
        while report is None and time.monotonic() < deadline:
            gevent.sleep(DISCOVERY_POLL_SECONDS)
            report = find_disks().get(incarnation)
        return report.address if report else None

    return DiskClient(client, find_address)


def make_common_routes(components: Components) -> list[Route]:
    """List the routes that every daemon has.

    :param components: components of the daemon.
    :returns: routes of the status pages, and of the data folder where there
        is one.
    """
    routes = make_page_routes(
        lambda: HealthPage(
            components.settings.name,
            components.holder.version,
            violations.total(),
        ),
        lambda: bool(components.holder.version) and not components.is_leaving,
        components.metrics,
    )
    components.metrics.add_gauge(
        'peer_bytes_total',
        lambda: components.client.bytes_moved,
    )
    if components.folder is not None:
        routes += make_disk_routes(components.folder)
    return routes


def run_program(
    program: str,
    model: type[Settings],
    build: Callable[[Settings], App],
) -> int:
    """Run a daemon from its command line.

    :param program: name of the program.
    :param model: model of its settings.
    :param build: builds the daemon.
    :returns: exit status.
    """
    parser = argparse.ArgumentParser(program)
    parser.add_argument('settings', help='file of settings, JSON with comments')
    try:
        settings = load_document(parser.parse_args().settings, model)
    except DocumentError as error:
        sys.stderr.write(f'{error}\n')
        return USAGE_STATUS
    configure_logs(settings.name, settings.log_level)
    return run_until_signal(
        program,
        settings.drain_seconds,
        build(settings),
    )


def run_until_signal(
    program: str,
    drain_seconds: float,
    app: App,
) -> int:
    """Run a daemon until a signal stops it.

    The first signal starts the drain.  A second signal, or the time limit of
    the settings, aborts the remaining work and logs that.

    :param program: name of the program.
    :param drain_seconds: maximum wait for work in progress.
    :param app: the daemon.
    :returns: exit status.
    """
    stop_requested = watch_signals()
    address = app.start()
    log_event(Event.process_started, program=program, address=address)
    stop_requested.wait()
    return _drain(program, drain_seconds, app)


def watch_signals() -> Signal:
    """Handle SIGTERM and SIGINT, even if the parent process ignored them.

    :returns: event that the first signal sets; a second signal exits the
        process at once.
    """
    stop_requested = Signal()

    def note_signal() -> None:
        if stop_requested.is_set():
            log_event(Event.work_cut, why='second signal')
            sys.stderr.flush()
            os._exit(1)
        stop_requested.set()

    gevent.signal_handler(signal.SIGTERM, note_signal)
    gevent.signal_handler(signal.SIGINT, note_signal)
    return stop_requested


def _drain(program: str, drain_seconds: float, app: App) -> int:
    log_event(Event.process_leaving, program=program)
    left = app.leave(drain_seconds)
    check_invariant(
        not left,
        Invariant.shutdown_cuts_nothing,
        f'{left} in progress at the end of the drain time',
    )
    if left:
        log_event(Event.work_cut, why='drain limit', in_hand=left)
        return 1
    log_event(Event.process_stopped, program=program)
    return 0
