"""Faults of the fault soak, drawn by name."""

from __future__ import annotations

import shutil
import signal
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.proxy import Harm

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from wigeonpier.bench.processes import HostedProcess
    from wigeonpier.bench.proxy import HarmingProxy
    from wigeonpier.bench.replica import StandInReplica
    from wigeonpier.bench.soaksite import SoakSite

    Fault = tuple[str, Callable[[], None]]

RESTART_SECONDS = 0.3
HARM_SECONDS = (0.5, 3.0)
STEP_SECONDS = 0.05
HARMS = (Harm.delayed, Harm.silent, Harm.one_way)


@dataclass
class SoakFaults:
    """Harms a site from outside its processes.

    :param site: what is harmed.
    :param draw: chooses what and for how long.
    :param has_wiped: whether a disk was lost already.
    """

    site: SoakSite
    draw: random.Random
    has_wiped: bool = field(default=False, init=False)

    def list_faults(self) -> list[Fault]:
        """List all faults.

        :returns: names, and what does them once.
        """
        return [
            *self._list_process_faults(),
            *self._list_store_faults(),
            *self._list_replica_faults(),
        ]

    def _list_process_faults(self) -> Iterator[Fault]:
        yield 'kill', lambda: _restart(self._pick(), signal.SIGKILL)
        yield 'term', lambda: _restart(self._pick(), signal.SIGTERM)
        yield 'hup', lambda: _reload(self._pick())
        yield 'pause', lambda: _pause(self._pick(), self._draw_time())
        yield 'kill all', self._kill_all
        yield 'disk wiped', self._wipe_disk
        yield 'reset', lambda: self._pick().store.reset()
        for kind in HARMS:
            yield kind.value, partial(self._harm_store_way, kind)

    def _list_store_faults(self) -> Iterator[Fault]:
        yield 'store down', self._take_store_down
        yield 'store answers lost', self._lose_answers
        yield 'store history gone', self.site.store.compact
        yield 'configuration', self._change_configuration

    def _list_replica_faults(self) -> Iterator[Fault]:
        yield 'stream broken', self._break_stream
        yield 'turned away', self._turn_away
        yield (
            'replica restarted',
            lambda: self.site.restart_replica(self._pick_replica()),
        )
        yield 'replica reset', lambda: self.draw.choice(self.site.ways).reset()
        for kind in HARMS:
            yield f'replica {kind.value}', partial(self._harm_replica, kind)

    def _pick(self) -> HostedProcess:
        return self.draw.choice(self.site.processes)

    def _pick_replica(self) -> StandInReplica:
        return self.draw.choice(self.site.replicas)

    def _draw_time(self) -> float:
        return self.draw.uniform(*HARM_SECONDS)

    def _harm_store_way(self, kind: Harm) -> None:
        _harm(self._pick().store, kind, self._draw_time())

    def _harm_replica(self, kind: Harm) -> None:
        _harm(self.draw.choice(self.site.ways), kind, self._draw_time())

    def _kill_all(self) -> None:
        restarts = [
            gevent.spawn(_restart, process, signal.SIGKILL)
            for process in self.site.processes
        ]
        gevent.joinall(restarts)

    def _wipe_disk(self) -> None:
        """Lose a disk, once a run: so much may be lost at a time."""
        if self.has_wiped:
            return
        self.has_wiped = True
        process = self.draw.choice(
            [one for one in self.site.processes if one.role == 'storage'],
        )
        process.kill()
        shutil.rmtree(process.disk, ignore_errors=True)
        gevent.sleep(RESTART_SECONDS)
        _start(process)

    def _take_store_down(self) -> None:
        self.site.store.faults.is_down = True
        gevent.sleep(self._draw_time())
        self.site.store.faults.is_down = False

    def _lose_answers(self) -> None:
        self.site.store.faults.lost_writes += 2

    def _change_configuration(self) -> None:
        self.site.version += 1
        self.site.configure()

    def _break_stream(self) -> None:
        self._pick_replica().faults.break_after += 2

    def _turn_away(self) -> None:
        self._pick_replica().faults.turn_away += 3


def _restart(process: HostedProcess, number: signal.Signals) -> None:
    process.send(number)
    while process.is_running:
        gevent.sleep(STEP_SECONDS)
    gevent.sleep(RESTART_SECONDS)
    _start(process)


def _reload(process: HostedProcess) -> None:
    """Send SIGHUP; one that has not started yet is ended by it."""
    process.send(signal.SIGHUP)
    gevent.sleep(RESTART_SECONDS)
    _start(process)


def _start(process: HostedProcess) -> None:
    """Start a process unless another fault's restart was faster."""
    if not process.is_running:
        process.start()


def _pause(process: HostedProcess, seconds: float) -> None:
    process.send(signal.SIGSTOP)
    gevent.sleep(seconds)
    process.send(signal.SIGCONT)


def _harm(proxy: HarmingProxy, kind: Harm, seconds: float) -> None:
    proxy.harm = kind
    gevent.sleep(seconds)
    proxy.harm = Harm.none
