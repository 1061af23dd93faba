"""Entries, local processes and engines as separate processes on loopback."""

from __future__ import annotations

import socket
import subprocess
import sys
from contextlib import ExitStack, closing
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from result import Err

from wigeonpier.bench.batching import EngineShape
from wigeonpier.bench.engine import COUNTS_PATH, EngineCount
from wigeonpier.bench.platform import StandInPlatform
from wigeonpier.bench.site import KORO, PEER_KEY, SitePlan, read_example
from wigeonpier.entry.configuration import Application
from wigeonpier.settings.process import EntrySettings, LocalSettings
from wigeonpier.web.client import HttpClient
from wigeonpier.web.headers import PEER_KEY as PEER_HEADER

if TYPE_CHECKING:
    from pathlib import Path

    from wigeonpier.settings.process import ProcessSettings

READY_SECONDS = 60.0
POLL_SECONDS = 0.2
STOP_SECONDS = 20.0
GRACE_SECONDS = 0.5


class EngineSettings(msgspec.Struct):
    """Settings of an engine's process.

    :param address: ``host:port`` to listen on.
    :param model: name of the model that it serves.
    :param shape: speed and capacity of the engine.
    :param seed: seed of its random choices.
    """

    address: str
    model: str
    shape: EngineShape
    seed: int


@dataclass(slots=True)
class Daemon:
    """One process of the fleet.

    :param name: name of its VM.
    :param address: ``host:port``.
    :param process: the child process.
    """

    name: str
    address: str
    process: subprocess.Popen[bytes]


@dataclass(slots=True)
class ProcessFleet:
    """Entries and local processes as separate processes.

    :param folder: parent of the settings files and data folders.
    :param shape: speed and capacity of the engines.
    :param most_engines: maximum number of stand-in engines.
    :param platform: stand-in for the platform, used by all processes.
    :param entries: entry processes by name.
    :param replicas: local processes by name.
    :param admins: administration addresses of the entries.
    :param engines: stand-in engines, shared if there are more replicas.
    :param client: HTTP client for calls to the processes.
    """

    folder: Path
    shape: EngineShape = field(default_factory=EngineShape)
    most_engines: int = 1
    platform: StandInPlatform = field(default_factory=StandInPlatform)
    entries: dict[str, Daemon] = field(default_factory=dict)
    replicas: dict[str, Daemon] = field(default_factory=dict)
    admins: list[str] = field(default_factory=list)
    engines: list[Daemon] = field(default_factory=list)
    client: HttpClient = field(
        default_factory=lambda: HttpClient({PEER_HEADER: PEER_KEY}),
    )
    _stack: ExitStack = field(default_factory=ExitStack)
    _platform_address: str = ''
    _plan: SitePlan = KORO

    def start(
        self,
        entries: int,
        replicas: int,
        disks: int = 0,
        base: dict[str, Any] | None = None,
        plan: SitePlan = KORO,
    ) -> None:
        """Start the fleet and wait until it is ready.

        :param entries: number of entry processes.
        :param replicas: number of local processes.
        :param disks: number of entries with a data folder.
        :param base: base document, the example's by default.
        :param plan: names of data centres and services.
        """
        server = self.platform.serve()
        self._stack.callback(server.stop)
        self._platform_address = server.address
        self._plan = plan
        addresses = tuple(_choose_address() for _ in range(entries))
        for number, address in enumerate(addresses):
            self._start_entry(number, address, addresses, number < disks)
        self._apply(base or read_example(plan.name))
        for replica in range(replicas):
            if replica < self.most_engines:
                self._start_engine(replica)
            self._start_local(replica, addresses)
        self._await_ready()

    def __enter__(self) -> ProcessFleet:
        """Return the fleet, which is stopped at the end of the block."""
        return self

    def __exit__(self, *_details: object) -> None:
        """Stop all processes."""
        self.stop()

    def stop(self) -> None:
        """Terminate all processes and wait until they have exited."""
        # Local processes first, as they transfer their work through entries.
        for group in (self.replicas, self.entries):
            _stop_all(list(group.values()))
        _stop_all(self.engines)
        self._stack.close()

    def count_engines(self) -> EngineCount:
        """Sum the counts of all engines.

        :returns: the sums, with the latest time.
        """
        counts = [
            self.client.call(engine.address, 'GET', COUNTS_PATH)
            .unwrap()
            .decode(EngineCount)
            for engine in self.engines
        ]
        return EngineCount(
            sum(count.batch_tokens for count in counts),
            sum(count.batch_seconds for count in counts),
            sum(count.online_seconds for count in counts),
            max(count.at for count in counts),
        )

    def read_metric(self, daemon: Daemon, name: str) -> float:
        """Read one metric of a process.

        :param daemon: the process.
        :param name: name of the metric without prefix.
        :returns: value, 0 if the metric is absent.
        """
        full = f'wigeonpier_{name}'
        called = self.client.call(daemon.address, 'GET', '/metrics')
        lines = called.unwrap().body.decode().splitlines()
        for line in lines:
            key, _, number = line.rpartition(' ')
            if key == full:
                return float(number)
        return 0

    def list_daemons(self) -> list[Daemon]:
        """List all processes.

        :returns: entries first.
        """
        return [*self.entries.values(), *self.replicas.values()]

    def _start_entry(
        self,
        number: int,
        address: str,
        addresses: tuple[str, ...],
        has_disk: bool,
    ) -> None:
        position = number + 1
        name = f'entry-{position}'
        admin = _choose_address()
        settings = EntrySettings(
            name=name,
            data_centre=self._choose_data_centre(number),
            listen=address,
            platform=self._platform_address,
            peer_keys=(PEER_KEY,),
            data_folder=str(self.folder / name) if has_disk else '',
            entries=addresses,
            admin=admin,
            grace_seconds=GRACE_SECONDS,
            log_level='error',
            drain_seconds=5,
        )
        self.admins.append(admin)
        self.entries[name] = self._spawn('entry', settings)

    def _start_engine(self, number: int) -> None:
        """Start an engine as a process, so that it can use its own core."""
        address = _choose_address()
        encoded = msgspec.json.encode(
            EngineSettings(address, self._plan.service, self.shape, number),
        )
        module = 'wigeonpier.bench.main'
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                module,
                'engine',
                encoded.decode(),
            ]
        )
        self.engines.append(Daemon(f'engine-{number}', address, process))

    def _start_local(self, number: int, entries: tuple[str, ...]) -> None:
        position = number + 1
        name = f'replica-{position}'
        settings = LocalSettings(
            name=name,
            data_centre=self._choose_data_centre(number),
            listen=_choose_address(),
            platform=self._platform_address,
            peer_keys=(PEER_KEY,),
            entries=entries,
            upstream=self.engines[number % len(self.engines)].address,
            service=self._plan.service,
            log_level='error',
            drain_seconds=5,
        )
        self.replicas[name] = self._spawn('local', settings)

    def _spawn(self, program: str, settings: ProcessSettings) -> Daemon:
        name = settings.name
        path = self.folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        module = f'wigeonpier.{program}.main'
        process = subprocess.Popen([sys.executable, '-m', module, str(path)])
        self.platform.add_vm(
            settings.name,
            settings.listen,
            settings.data_centre,
        )
        return Daemon(settings.name, settings.listen, process)

    def _apply(self, base: dict[str, Any]) -> None:
        application = Application(0, 'first', 'bench', base)
        raw = msgspec.json.encode(application)
        with gevent.Timeout(
            READY_SECONDS, TimeoutError('no entry accepts the configuration')
        ):
            while not self._call_admin(raw):
                gevent.sleep(POLL_SECONDS)

    def _call_admin(self, raw: bytes) -> bool:
        called = self.client.call(
            self.admins[0],
            'POST',
            '/admin/v1/configuration',
            raw,
        )
        return not isinstance(called, Err) and called.ok_value.is_good

    def _await_ready(self) -> None:
        with gevent.Timeout(READY_SECONDS, TimeoutError('fleet not ready')):
            while not self._is_ready():
                gevent.sleep(POLL_SECONDS)

    def _is_ready(self) -> bool:
        endpoints = [
            *((engine, '/healthz') for engine in self.engines),
            *((daemon, '/readyz') for daemon in self.list_daemons()),
        ]
        return all(self._answers_well(*one) for one in endpoints)

    def _choose_data_centre(self, number: int) -> str:
        centres = self._plan.data_centres
        return centres[number % len(centres)]

    def _answers_well(self, daemon: Daemon, path: str) -> bool:
        called = self.client.call(daemon.address, 'GET', path)
        return not isinstance(called, Err) and called.ok_value.is_good


def _stop_all(daemons: list[Daemon]) -> None:
    for daemon in daemons:
        daemon.process.terminate()
    # The stand-ins in this process must answer while the others drain.
    with gevent.Timeout(STOP_SECONDS, TimeoutError('processes not stopped')):
        while any(one.process.poll() is None for one in daemons):
            gevent.sleep(POLL_SECONDS)


def _choose_address() -> str:
    with closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    return f'127.0.0.1:{port}'
