"""Faults that the fault soak injects, by name."""

from __future__ import annotations

import shutil
import signal
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.proxy import ProxyFault
from wigeonpier.bench.soaksite import VERSIONS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from wigeonpier.bench.processes import HostedProcess
    from wigeonpier.bench.proxy import HarmingProxy
    from wigeonpier.bench.replica import StandInReplica
    from wigeonpier.bench.soaksite import SoakSite

    Fault = tuple[str, Callable[[], None]]

RESTART_SECONDS = 0.3
FAULT_SECONDS = (0.5, 3.0)
STEP_SECONDS = 0.05
KEEP_NAME_SHARE = 0.5
PROXY_FAULTS = (ProxyFault.delayed, ProxyFault.silent, ProxyFault.one_way)


@dataclass
class SoakFaults:
    """Injects faults into a site from outside its processes.

    :param site: site under test.
    :param rng: chooses targets and durations.
    :param has_wiped_disk: whether a disk was wiped already.
    """

    site: SoakSite
    rng: random.Random
    has_wiped_disk: bool = field(default=False, init=False)

    def list_faults(self) -> list[Fault]:
        """List all faults.

        :returns: name and function that injects the fault once.
        """
        return [
            *self._list_process_faults(),
            *self._list_store_faults(),
            *self._list_replica_faults(),
            *self._list_version_faults(),
        ]

    def _list_process_faults(self) -> Iterator[Fault]:
        yield 'kill', lambda: _restart(self._choose_process(), signal.SIGKILL)
        yield 'term', lambda: _restart(self._choose_process(), signal.SIGTERM)
        yield 'hup', lambda: _reload(self._choose_process())
        yield (
            'pause',
            lambda: _pause(self._choose_process(), self._choose_duration()),
        )
        yield 'kill all', self._kill_all
        yield 'disk wiped', self._wipe_disk
        yield 'reset', lambda: self._choose_process().store.reset()
        for kind in PROXY_FAULTS:
            yield kind.value, partial(self._disturb_store_link, kind)

    def _list_store_faults(self) -> Iterator[Fault]:
        yield 'store down', self._take_store_down
        yield 'store answers lost', self._lose_answers
        yield 'store history gone', self.site.store.compact
        yield 'configuration', self._change_configuration

    def _list_replica_faults(self) -> Iterator[Fault]:
        yield 'stream broken', self._break_stream
        yield 'turned away', self._refuse_requests
        yield (
            'replica restarted',
            lambda: self.site.restart_replica(self._choose_replica()),
        )
        yield (
            'replica reset',
            lambda: self.rng.choice(self.site.proxies).reset(),
        )
        for kind in PROXY_FAULTS:
            yield (
                f'replica {kind.value}',
                partial(self._disturb_replica_link, kind),
            )

    def _list_version_faults(self) -> Iterator[Fault]:
        if self.site.has_versions:
            yield 'replica updated', self._update_replica

    def _choose_process(self) -> HostedProcess:
        return self.rng.choice(self.site.processes)

    def _choose_replica(self) -> StandInReplica:
        return self.rng.choice(self.site.replicas)

    def _choose_duration(self) -> float:
        return self.rng.uniform(*FAULT_SECONDS)

    def _disturb_store_link(self, kind: ProxyFault) -> None:
        _apply_proxy_fault(
            self._choose_process().store, kind, self._choose_duration()
        )

    def _disturb_replica_link(self, kind: ProxyFault) -> None:
        _apply_proxy_fault(
            self.rng.choice(self.site.proxies), kind, self._choose_duration()
        )

    def _kill_all(self) -> None:
        restarts = [
            gevent.spawn(_restart, process, signal.SIGKILL)
            for process in self.site.processes
        ]
        gevent.joinall(restarts)

    def _wipe_disk(self) -> None:
        """Wipe one disk per run, as the site tolerates the loss of one disk."""
        if self.has_wiped_disk:
            return
        self.has_wiped_disk = True
        process = self.rng.choice(
            [one for one in self.site.processes if one.role == 'storage'],
        )
        process.kill()
        shutil.rmtree(process.disk, ignore_errors=True)
        gevent.sleep(RESTART_SECONDS)
        _start(process)

    def _take_store_down(self) -> None:
        self.site.store.faults.is_down = True
        gevent.sleep(self._choose_duration())
        self.site.store.faults.is_down = False

    def _lose_answers(self) -> None:
        self.site.store.faults.lost_writes += 2

    def _change_configuration(self) -> None:
        self.site.version += 1
        self.site.configure()

    def _break_stream(self) -> None:
        self._choose_replica().faults.break_after += 2

    def _update_replica(self) -> None:
        """Restart a replica with another version, perhaps under its id."""
        replica = self._choose_replica()
        replica.version = self.rng.choice(VERSIONS)
        replica.keeps_name = self.rng.random() < KEEP_NAME_SHARE
        replica.end()

    def _refuse_requests(self) -> None:
        self._choose_replica().faults.turn_away += 3


def _restart(process: HostedProcess, number: signal.Signals) -> None:
    process.send(number)
    while process.is_running:
        gevent.sleep(STEP_SECONDS)
    gevent.sleep(RESTART_SECONDS)
    _start(process)


def _reload(process: HostedProcess) -> None:
    """Send SIGHUP; it terminates a process that is still starting."""
    process.send(signal.SIGHUP)
    gevent.sleep(RESTART_SECONDS)
    _start(process)


def _start(process: HostedProcess) -> None:
    """Start a process unless another fault has already restarted it."""
    if not process.is_running:
        process.start()


def _pause(process: HostedProcess, seconds: float) -> None:
    process.send(signal.SIGSTOP)
    gevent.sleep(seconds)
    process.send(signal.SIGCONT)


def _apply_proxy_fault(
    proxy: HarmingProxy, kind: ProxyFault, seconds: float
) -> None:
    proxy.fault = kind
    gevent.sleep(seconds)
    proxy.fault = ProxyFault.none
