"""Site on loopback in one process, of real components and stand-ins."""

from __future__ import annotations

import secrets
from collections import Counter
from dataclasses import dataclass, field
from importlib import resources
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import gevent
import jsonc

from wigeonpier.bench.batching import EngineShape
from wigeonpier.bench.engine import StandInEngine
from wigeonpier.bench.faults import ProcessFaults
from wigeonpier.bench.plain import StandInCatalogue
from wigeonpier.bench.platform import StandInPlatform
from wigeonpier.entry.app import EntryApp, build_entry
from wigeonpier.entry.configuration import Application
from wigeonpier.local.app import LocalApp, build_local
from wigeonpier.settings.process import EntrySettings, LocalSettings

if TYPE_CHECKING:
    from pathlib import Path

    from wigeonpier.web.server import Server

PEER_KEY = 'stand-in-peer-key-0123456789'
READY_SECONDS = 20.0
STEP_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class SitePlan:
    """Composition of a site.

    :param name: folder of its example configuration.
    :param data_centres: names of its data centres.
    :param service: name of its model service.
    :param replicas: number of replicas of the model service.
    :param plain: name of its plain service.
    :param entries: number of entry processes.
    :param disks: number of entries with a data folder.
    :param key: key of a customer.
    """

    name: str
    data_centres: tuple[str, ...]
    service: str
    replicas: int
    plain: str
    key: str
    entries: int = 2
    disks: int = 2


KORO = SitePlan(
    name='koro',
    data_centres=('suva-a', 'suva-b', 'nadi-1'),
    service='netlist-llm',
    replicas=6,
    plain='billing',
    key='koro-demo-key-suva-design-shop',
)
DAGAT = SitePlan(
    name='dagat',
    data_centres=('makati', 'pasig', 'taguig'),
    service='tala',
    replicas=5,
    plain='credits',
    key='dagat-demo-key-artist-uploads',
)
PLANS = MappingProxyType({plan.name: plan for plan in (KORO, DAGAT)})


@dataclass(slots=True)
class Entry:
    """One entry process of the site.

    :param app: components of the process.
    :param faults: active faults of the process.
    :param settings: settings of the process.
    """

    app: EntryApp
    faults: ProcessFaults
    settings: EntrySettings


@dataclass(slots=True)
class Replica:
    """One upstream with its local process.

    :param app: components of the local process.
    :param faults: active faults of the local process.
    :param settings: settings of the local process.
    :param engine: stand-in for its engine, ``None`` for a plain service.
    """

    app: LocalApp
    faults: ProcessFaults
    settings: LocalSettings
    engine: StandInEngine | None = None


@dataclass(slots=True)
class StandInSite:
    """All processes of a site.

    :param plan: composition of the site.
    :param folder: parent of the data folders.
    :param seed: seed of the stand-ins.
    :param shape: speed and capacity of the engines.
    :param batch: batch settings that override those of the example.
    :param trace_file: file for the spans of all processes, empty for none.
    """

    plan: SitePlan
    folder: Path
    seed: int = 0
    shape: EngineShape = field(default_factory=EngineShape)
    batch: dict[str, Any] = field(default_factory=dict)
    trace_file: str = ''
    platform: StandInPlatform = field(init=False)
    catalogue: StandInCatalogue = field(default_factory=StandInCatalogue)
    entries: dict[str, Entry] = field(default_factory=dict)
    replicas: dict[str, Replica] = field(default_factory=dict)
    _servers: list[Server] = field(default_factory=list)
    _lost_starts: Counter[str] = field(default_factory=Counter)
    _platform_address: str = ''

    def start(self, port: int = 0) -> None:
        """Start all processes and wait until they are ready.

        :param port: port of the first entry, 0 for a free one.
        """
        self.platform = StandInPlatform(self.seed)
        server = self.platform.serve()
        self._servers.append(server)
        self._platform_address = server.address
        plan = self.plan
        for number in range(1, plan.entries + 1):
            self.add_entry(f'entry-{number}', port if number == 1 else 0)
        self.apply(self.read_base(), self.read_overlays())
        for replica in range(1, plan.replicas + 1):
            self.add_replica(f'{plan.service}-{replica}')
        self.add_plain(f'{plan.plain}-1')
        self.wait_until_ready()

    def stop(self) -> None:
        """Stop all processes without draining."""
        for entry in self.entries.values():
            _kill(entry)
            entry.app.admin.stop()
        for replica in self.replicas.values():
            _kill(replica)
            if replica.engine:
                replica.engine.stop()
        for server in self._servers:
            server.stop()

    def read_base(self) -> dict[str, Any]:
        """Read the example's base document.

        :returns: the document, with the batch settings of this site.
        """
        base = read_example(self.plan.name)
        base['batch'] |= self.batch
        return base

    def read_overlays(self) -> dict[str, Any]:
        """Read the example's overlays.

        :returns: overlay by site.
        """
        folder = resources.files('wigeonpier') / 'examples' / self.plan.name
        return {
            path.name.removesuffix('.jsonc'): jsonc.loads(path.read_text())
            for path in (folder / 'overlays').iterdir()
        }

    def apply(self, base: dict[str, Any], overlays: dict[str, Any]) -> int:
        """Accept a configuration through a live entry.

        :param base: base document.
        :param overlays: overlay by site.
        :returns: its version.
        """
        app = self.find_entry().app
        application = Application(
            app.components.holder.version,
            secrets.token_hex(8),
            'site',
            base,
            overlays,
        )
        return app.configuration.apply(application).version

    def find_entry(self) -> Entry:
        """Find a live entry.

        :returns: the first live entry.
        """
        return next(
            entry for entry in self.entries.values() if not entry.faults.is_dead
        )

    def add_entry(self, name: str, port: int = 0) -> Entry:
        """Start an entry process.

        :param name: name of its VM; the data folder of an earlier process with
            this name is reused.
        :param port: port, 0 for a free one.
        :returns: the entry.
        """
        number = int(name.rpartition('-')[2]) - 1
        has_disk = number < self.plan.disks
        settings = EntrySettings(
            name=name,
            data_centre=self._choose_data_centre(number),
            listen=f'127.0.0.1:{port}',
            platform=self._platform_address,
            peer_keys=(PEER_KEY,),
            data_folder=str(self.folder / name) if has_disk else '',
            entries=self.list_addresses(),
            trace_file=self.trace_file,
        )
        faults = ProcessFaults()
        app = build_entry(settings, faults.make_client)
        app.server.handler = faults.wrap(app.server.handler)
        address = app.start()
        self.platform.remove_vm(name)
        self.platform.add_vm(name, address, settings.data_centre)
        self.entries[name] = Entry(app, faults, settings)
        return self.entries[name]

    def add_replica(self, name: str) -> Replica:
        """Start an engine and its local process.

        :param name: name of its VM.
        :returns: the replica.
        """
        number = int(name.rpartition('-')[2]) - 1
        engine = StandInEngine(
            (self.plan.service,),
            self.shape,
            seed=self.seed + number,
        )
        engine.serve()
        replica = self._start_local(
            name,
            number,
            self.plan.service,
            engine.address,
        )
        replica.engine = engine
        return replica

    def add_plain(self, name: str) -> Replica:
        """Start the plain service and its local process.

        :param name: name of its VM.
        :returns: the replica.
        """
        server = self.catalogue.serve()
        self._servers.append(server)
        return self._start_local(name, 0, self.plan.plain, server.address)

    def crash_entry(self, name: str) -> None:
        """Crash an entry VM.

        :param name: name of its VM.
        """
        entry = self.entries[name]
        _kill(entry)
        entry.app.admin.stop()
        self.platform.remove_vm(name)

    def crash_replica(self, name: str) -> None:
        """Crash an upstream VM.

        :param name: name of its VM.
        """
        replica = self.replicas.pop(name)
        _kill(replica)
        if replica.engine:
            replica.engine.stop()
            self._lost_starts.update(replica.engine.prompt_starts)
        self.platform.remove_vm(name)

    def count_starts(self) -> Counter[str]:
        """Count how often engines started each prompt.

        :returns: starts by prompt, including crashed engines.
        """
        starts = Counter(self._lost_starts)
        for replica in self.replicas.values():
            if replica.engine:
                starts.update(replica.engine.prompt_starts)
        return starts

    def list_addresses(self) -> tuple[str, ...]:
        """List addresses of live entries.

        :returns: ``host:port``.
        """
        return tuple(
            entry.app.server.address
            for entry in self.entries.values()
            if not entry.faults.is_dead
        )

    def wait_until_ready(self) -> None:
        """Wait until each live entry knows all replicas and disks.

        :raises TimeoutError: if that takes longer than `READY_SECONDS`.
        """
        with gevent.Timeout(READY_SECONDS, TimeoutError('site not ready')):
            while not self._is_ready():
                gevent.sleep(STEP_SECONDS)

    def _is_ready(self) -> bool:
        names = set(self.replicas)
        return all(
            names
            <= {
                state.name
                for state in entry.app.directory.list_upstreams()
                if not state.is_leaving
            }
            and len(entry.app.directory.list_disks()) >= self._count_disks()
            for entry in self.entries.values()
            if not entry.faults.is_dead
        )

    def _count_disks(self) -> int:
        return sum(
            bool(entry.settings.data_folder)
            for entry in self.entries.values()
            if not entry.faults.is_dead
        )

    def _choose_data_centre(self, number: int) -> str:
        centres = self.plan.data_centres
        return centres[number % len(centres)]

    def _start_local(
        self,
        name: str,
        number: int,
        service: str,
        upstream: str,
    ) -> Replica:
        settings = LocalSettings(
            name=name,
            data_centre=self._choose_data_centre(number),
            platform=self._platform_address,
            peer_keys=(PEER_KEY,),
            entries=self.list_addresses(),
            upstream=upstream,
            service=service,
            trace_file=self.trace_file,
        )
        faults = ProcessFaults()
        app = build_local(settings, faults.make_client)
        app.server.handler = faults.wrap(app.server.handler)
        address = app.start()
        self.platform.remove_vm(name)
        self.platform.add_vm(name, address, settings.data_centre)
        self.replicas[name] = Replica(app, faults, settings)
        return self.replicas[name]


def _kill(process: Entry | Replica) -> None:
    process.faults.is_dead = True
    process.faults.thaw()
    process.app.server.stop()


def read_example(name: str) -> dict[str, Any]:
    """Read an example's base document.

    :param name: folder of the example.
    :returns: the document.
    """
    source = resources.files('wigeonpier') / 'examples' / name / 'base.jsonc'
    content: dict[str, Any] = jsonc.loads(source.read_text())
    return content
