"""Site of the fault soak: daemons as processes, stand-ins for the rest."""

from __future__ import annotations

import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.bench.processes import HostedProcess, take_port
from wigeonpier.bench.proxy import HarmingProxy, ProxyFault
from wigeonpier.bench.replica import (
    CrashingRun,
    ReceivedRequest,
    StandInReplica,
)
from wigeonpier.bench.soakcallers import DATA_CENTRE, HOST, SERVICE
from wigeonpier.bench.store import MAX_BODY_BYTES, StandInStore
from wigeonpier.platform.operator import (
    CONFIGURATION_KEY,
    encode_configuration,
)
from wigeonpier.platform.register import name_replica
from wigeonpier.served import (
    RouteKind,
    ServedConfiguration,
    ServedCustomer,
    ServedRoute,
)

if TYPE_CHECKING:
    from pathlib import Path

DISKS = 3
FIRST_VM_NUMBER = 2
# An answer takes 0.4 s, so that faults hit it while it is streamed.
EVENTS = 20
EVENT_SECONDS = 0.02
VERSIONS = ('v1', 'v2')
TIMEOUT_SECONDS = 5.0
OBJECTIVE_SECONDS = 0.3
RUN_SECONDS = 18.0
# Longer than a run, so that no item expires while faults are injected.
RETENTION_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class SoakSize:
    """Size of a site.

    :param entries: number of entries.
    :param replicas: number of replicas, each with its own worker.
    """

    entries: int = 2
    replicas: int = 3


@dataclass
class SoakSite:
    """Processes and stand-ins of one run.

    :param folder: folder for settings, logs and disks.
    :param size: number of processes.
    :param store: stand-in of the store; each process reaches it through its
        own proxy.
    :param replicas: stand-ins of replicas.
    :param proxies: proxy in front of each replica, used by all callers.
    :param processes: the daemons.
    :param peers: port for other processes of the system, same on all VMs.
    :param version: version of the newest configuration.
    :param start_count: number of replica starts.
    :param customers: customers by key, ``None`` where keys are not required.
    :param has_versions: whether replicas of two software versions serve.
    :param most_tokens: tokens of jobs that may wait, 0 for no limit.
    """

    folder: Path
    size: SoakSize = field(default_factory=SoakSize)
    store: StandInStore = field(default_factory=StandInStore)
    replicas: list[StandInReplica] = field(default_factory=list)
    proxies: list[HarmingProxy] = field(default_factory=list)
    processes: list[HostedProcess] = field(default_factory=list)
    peers: int = field(default_factory=take_port)
    version: int = 1
    start_count: int = 0
    customers: dict[str, ServedCustomer] | None = None
    has_versions: bool = False
    most_tokens: int = 0
    _store_address: str = ''

    @property
    def entries(self) -> list[HostedProcess]:
        """List the entry processes."""
        return [one for one in self.processes if one.role == 'entry']

    def start(self) -> None:
        """Start all processes without waiting until they are ready."""
        self._store_address = self.store.start()
        self.configure()
        for number in range(self.size.replicas):
            self._add_replica(number)
        for number in range(self.size.entries):
            self._add_process('entry', f'edge-{number}')
        for number in range(DISKS):
            self._add_process('storage', f'storage-{number}')
        for process in self.processes:
            process.start()

    def stop(self) -> None:
        """Stop everything that this run started."""
        for process in self.processes:
            process.kill()
            process.store.stop()
        for proxy in self.proxies:
            proxy.stop()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()

    def heal(self) -> None:
        """Remove all faults and resume paused processes."""
        self.store.faults.is_down = False
        self.store.faults.lost_writes = 0
        self.store.faults.late_writes = 0
        for proxy in self.proxies:
            proxy.fault = ProxyFault.none
        for process in self.processes:
            process.store.fault = ProxyFault.none
            process.send(signal.SIGCONT)
        for replica in self.replicas:
            replica.faults.break_after = 0
            replica.faults.turn_away = 0
            replica.faults.late.remaining = 0
            replica.faults.endless.kind = None
            replica.faults.endless_report.kind = None

    def start_missing(self) -> None:
        """Start each process that is not running."""
        for process in self.processes:
            if not process.is_running:
                process.start()

    def list_received(self) -> list[ReceivedRequest]:
        """List the requests that replicas ran.

        :returns: requests of all replicas.
        """
        return [run for one in self.replicas for run in one.received]

    def list_crashing_runs(self) -> list[CrashingRun]:
        """List the runs of requests that crash replicas.

        :returns: runs on all replicas.
        """
        return [run for one in self.replicas for run in one.crashing_runs]

    def configure(self) -> None:
        """Write the configuration in the way the operator does."""
        routes = (
            _make_route(RouteKind.stream, '/ask/', tries=2),
            _make_route(RouteKind.stream, '/once/', tries=1),
            _make_route(
                RouteKind.batch,
                '/jobs/',
                tries=3,
                most_tokens=self.most_tokens,
            ),
        )
        configuration = ServedConfiguration(
            self.version,
            routes,
            MAX_BODY_BYTES,
            self.customers,
        )
        self.store.put(CONFIGURATION_KEY, encode_configuration(configuration))

    def restart_replica(self, replica: StandInReplica) -> None:
        """Register a replica under a new id, as each start does.

        :param replica: the replica.
        """
        self.store.remove(name_replica(replica.name))
        replica.name = self._make_replica_name()
        replica.register(DATA_CENTRE)

    def _make_replica_name(self) -> str:
        self.start_count += 1
        return f'i-{self.start_count}'

    def _add_replica(self, number: int) -> None:
        replica = StandInReplica(
            self._make_replica_name(),
            SERVICE,
            self.store,
            events=EVENTS,
            event_seconds=EVENT_SECONDS,
        )
        if self.has_versions:
            replica.version = VERSIONS[number % len(VERSIONS)]
            replica.incarnation = 1
        # A worker is addressed at the VM of its upstream.
        vm = FIRST_VM_NUMBER + number
        ip = f'127.0.0.{vm}'
        replica.start(DATA_CENTRE, ip)
        proxy = HarmingProxy(replica.address, ip)
        replica.address = proxy.address
        replica.frontends.append(proxy)
        replica.register(DATA_CENTRE)
        self.proxies.append(proxy)
        self.replicas.append(replica)
        self._add_process('worker', f'side-{number}', replica.address, ip)

    def _add_process(
        self,
        role: str,
        name: str,
        upstream: str = '',
        ip: str = '127.0.0.1',
    ) -> None:
        process = HostedProcess(
            role,
            name,
            self.folder,
            HarmingProxy(self._store_address),
            upstream,
            SERVICE,
            ip,
            # Storage has the same IP as the entries, so it needs its own port.
            0 if role == 'storage' else self.peers,
        )
        process.prepare()
        self.processes.append(process)


def _make_route(
    kind: RouteKind, prefix: str, *, tries: int, most_tokens: int = 0
) -> ServedRoute:
    return ServedRoute(
        name=prefix.strip('/'),
        host=HOST,
        prefix=prefix,
        kind=kind,
        services=((SERVICE, 1.0),),
        timeout=TIMEOUT_SECONDS,
        objective=OBJECTIVE_SECONDS,
        tries=tries,
        is_resumable=tries > 1,
        priority=0,
        run_objective=RUN_SECONDS,
        retention=RETENTION_SECONDS,
        most_tokens=most_tokens,
    )
