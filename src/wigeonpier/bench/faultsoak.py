"""A randomised soak of the hosted daemons as processes, harmed from outside.

What it checks is seen by callers and upstreams only.  The in-process `soak`
does the same for the product's own interface, inside one process.
"""

from __future__ import annotations

import random
import signal
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import gevent

from wigeonpier.bench.processes import HostedProcess, take_port
from wigeonpier.bench.proxy import Harm, HarmingProxy
from wigeonpier.bench.replica import StandInReplica
from wigeonpier.bench.soakcallers import DATA_CENTRE, HOST, SERVICE, SoakCallers
from wigeonpier.bench.store import MOST_BODY, StandInStore
from wigeonpier.models import RouteKind, ServedConfiguration, ServedRoute
from wigeonpier.platform.operator import (
    CONFIGURATION_KEY,
    encode_configuration,
)
from wigeonpier.platform.register import name_replica

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

ENTRIES = 2
REPLICAS = 3
DISKS = 3
FIRST_VM = 2
# An answer takes 0.4 s, so that faults meet it midway.
EVENTS = 20
TIMEOUT_SECONDS = 5.0
OBJECTIVE_SECONDS = 0.3
RUN_SECONDS = 18.0
# No item may be given up for its age while faults go on.
RETENTION_SECONDS = 120.0
EVENT_SECONDS = 0.02
READY_SECONDS = 20.0
# Jobs have this long to end once nothing is harmed any more.
FINISH_SECONDS = 40.0
RESTART_SECONDS = 0.3
GAP_SECONDS = (0.3, 1.2)
HARM_SECONDS = (0.5, 3.0)
STEP_SECONDS = 0.05


@dataclass
class FaultSoak:
    """One run.

    :param seed: draws faults and load.
    :param seconds: how long faults go on.
    :param folder: settings, logs and disks.
    :param peers: port of all VMs for other processes of the system.
    """

    seed: int
    seconds: float
    folder: Path
    store: StandInStore = field(default_factory=StandInStore)
    replicas: list[StandInReplica] = field(default_factory=list)
    processes: list[HostedProcess] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    version: int = 1
    peers: int = field(default_factory=take_port)
    starts: int = REPLICAS
    store_address: str = ''
    harming: list[gevent.Greenlet[..., None]] = field(default_factory=list)

    def run(self) -> dict[str, Any]:
        """Run and check.

        :returns: what was done, and each broken promise in words.
        """
        self._start()
        callers = SoakCallers(self.entries, random.Random(self.seed + 1))
        with ExitStack() as stack:
            stack.callback(self.stop)
            self._await_ready(callers)
            callers.start()
            self._harm_for(random.Random(self.seed))
            self._heal()
            callers.finish(FINISH_SECONDS)
            broken = callers.find_broken(self.replicas)
        return {
            'seed': self.seed,
            'faults': self.faults,
            'questions': callers.count_outcomes(),
            'jobs': callers.count_jobs(),
            'broken': broken,
        }

    @property
    def entries(self) -> list[HostedProcess]:
        """Give the entries."""
        return [one for one in self.processes if one.role == 'entry']

    def stop(self) -> None:
        """End everything that this run started."""
        gevent.killall(self.harming)
        for process in self.processes:
            process.kill()
            process.store.stop()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()

    def _start(self) -> None:
        self.store_address = self.store.start()
        self._configure()
        for number in range(REPLICAS):
            replica = StandInReplica(
                f'i-{number}',
                SERVICE,
                self.store,
                events=EVENTS,
                event_seconds=EVENT_SECONDS,
            )
            # The process beside an upstream is found at the upstream's VM.
            vm = FIRST_VM + number
            ip = f'127.0.0.{vm}'
            replica.start(DATA_CENTRE, ip)
            self.replicas.append(replica)
            self._add('worker', f'side-{number}', replica.address, ip)
        for number in range(ENTRIES):
            self._add('entry', f'edge-{number}')
        for number in range(DISKS):
            self._add('storage', f'storage-{number}')
        for process in self.processes:
            process.start()

    def _add(
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
            HarmingProxy(self.store_address),
            upstream,
            SERVICE,
            ip,
            # Storage shares the address of the entries, and needs its own.
            0 if role == 'storage' else self.peers,
        )
        process.prepare()
        self.processes.append(process)

    def _configure(self) -> None:
        routes = (
            _make_route(RouteKind.stream, '/ask/', tries=2),
            _make_route(RouteKind.stream, '/once/', tries=1),
            _make_route(RouteKind.batch, '/jobs/', tries=3),
        )
        configuration = ServedConfiguration(self.version, routes, MOST_BODY)
        self.store.put(CONFIGURATION_KEY, encode_configuration(configuration))

    def _await_ready(self, callers: SoakCallers) -> None:
        give_up = time.monotonic() + READY_SECONDS
        while not callers.is_ready():
            if time.monotonic() > give_up:
                raise TimeoutError('the daemons never became ready')
            gevent.sleep(STEP_SECONDS)

    def _harm_for(self, draw: random.Random) -> None:
        kinds = list(self._list_faults(draw))
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            name, harm = draw.choice(kinds)
            self.faults[name] = self.faults.get(name, 0) + 1
            self.harming.append(gevent.spawn(harm))
            gevent.sleep(draw.uniform(*GAP_SECONDS))

    def _list_faults(
        self,
        draw: random.Random,
    ) -> Iterator[tuple[str, Callable[[], None]]]:
        yield from self._list_process_faults(draw)
        yield from self._list_store_faults(draw)
        yield from self._list_replica_faults(draw)

    def _list_process_faults(
        self,
        draw: random.Random,
    ) -> Iterator[tuple[str, Callable[[], None]]]:
        def pick() -> HostedProcess:
            return draw.choice(self.processes)

        def draw_time() -> float:
            return draw.uniform(*HARM_SECONDS)

        yield 'kill', lambda: self._restart(pick(), signal.SIGKILL)
        yield 'term', lambda: self._restart(pick(), signal.SIGTERM)
        yield 'hup', lambda: self._reload(pick())
        yield 'pause', lambda: _pause(pick(), draw_time())
        yield 'kill all', self._kill_all
        yield 'reset', lambda: pick().store.reset()
        for kind in (Harm.delayed, Harm.silent, Harm.one_way):
            yield kind.value, _bind_harm(pick, kind, draw_time)

    def _list_store_faults(
        self,
        draw: random.Random,
    ) -> Iterator[tuple[str, Callable[[], None]]]:
        def take_down() -> None:
            self._take_store_down(draw.uniform(*HARM_SECONDS))

        yield 'store down', take_down
        yield 'store answers lost', self._lose_answers
        yield 'store history gone', self.store.compact
        yield 'configuration', self._change_configuration

    def _list_replica_faults(
        self,
        draw: random.Random,
    ) -> Iterator[tuple[str, Callable[[], None]]]:
        def pick() -> StandInReplica:
            return draw.choice(self.replicas)

        yield 'stream broken', lambda: _break_stream(pick())
        yield 'turned away', lambda: _turn_away(pick())
        yield 'replica restarted', lambda: self._restart_replica(pick())

    def _restart(self, process: HostedProcess, number: signal.Signals) -> None:
        process.send(number)
        while process.is_running:
            gevent.sleep(STEP_SECONDS)
        gevent.sleep(RESTART_SECONDS)
        if not process.is_running:
            process.start()

    def _reload(self, process: HostedProcess) -> None:
        """Send SIGHUP; one that has not started yet is ended by it."""
        process.send(signal.SIGHUP)
        gevent.sleep(RESTART_SECONDS)
        if not process.is_running:
            process.start()

    def _kill_all(self) -> None:
        restarts = [
            gevent.spawn(self._restart, process, signal.SIGKILL)
            for process in self.processes
        ]
        gevent.joinall(restarts)

    def _take_store_down(self, seconds: float) -> None:
        self.store.faults.is_down = True
        gevent.sleep(seconds)
        self.store.faults.is_down = False

    def _lose_answers(self) -> None:
        self.store.faults.lost_writes += 2

    def _restart_replica(self, replica: StandInReplica) -> None:
        self.store.remove(name_replica(replica.name))
        self.starts += 1
        replica.name = f'i-{self.starts}'
        replica.register(DATA_CENTRE)

    def _change_configuration(self) -> None:
        self.version += 1
        self._configure()

    def _heal(self) -> None:
        self.store.faults.is_down = False
        self.store.faults.lost_writes = 0
        for process in self.processes:
            process.store.harm = Harm.none
            process.send(signal.SIGCONT)
        gevent.joinall(self.harming, timeout=READY_SECONDS)
        for process in self.processes:
            if not process.is_running:
                process.start()
        for replica in self.replicas:
            replica.faults.break_after = 0
            replica.faults.turn_away = 0


def run_fault_soak(seed: int, seconds: float, folder: Path) -> dict[str, Any]:
    """Run one soak.

    :param seed: draws faults and load.
    :param seconds: how long faults go on.
    :param folder: for settings, logs and disks.
    :returns: the report.
    """
    folder.mkdir(parents=True, exist_ok=True)
    return FaultSoak(seed, seconds, folder).run()


def _make_route(kind: RouteKind, prefix: str, *, tries: int) -> ServedRoute:
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
        most_tokens=0,
    )


def _bind_harm(
    pick: Callable[[], HostedProcess],
    kind: Harm,
    draw_time: Callable[[], float],
) -> Callable[[], None]:
    def harm() -> None:
        proxy = pick().store
        proxy.harm = kind
        gevent.sleep(draw_time())
        proxy.harm = Harm.none

    return harm


def _pause(process: HostedProcess, seconds: float) -> None:
    process.send(signal.SIGSTOP)
    gevent.sleep(seconds)
    process.send(signal.SIGCONT)


def _break_stream(replica: StandInReplica) -> None:
    replica.faults.break_after += 2


def _turn_away(replica: StandInReplica) -> None:
    replica.faults.turn_away += 3
