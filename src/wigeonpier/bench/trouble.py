"""Faults that a soak run injects, each with a function that removes it."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from wigeonpier.bench.platform import PlatformFaults

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.bench.site import Entry, Replica, StandInSite

    Undo = Callable[[], None]

SLOW_PLATFORM_SECONDS = 0.3
LOST_SHARE = 0.4
SLOWDOWN = 8.0
RESTART_SECONDS = 0.4
DRAIN_SECONDS = 8.0
APPEND_METHOD = 'append'


@dataclass(slots=True)
class FaultInjector:
    """Injects faults into randomly chosen targets.

    :param site: the site under test.
    :param rng: seeded source of randomness.
    :param replica_count: number of replicas started so far, used in names.
    """

    site: StandInSite
    rng: random.Random
    replica_count: int

    def lose_replica(self) -> Undo:
        """Crash an upstream VM; a new one replaces it."""
        self.site.crash_replica(self._choose_replica().settings.name)
        return self._add_replica

    def leave_replica(self) -> Undo:
        """Drain and stop a local process; a new one replaces it."""
        replica = self._choose_replica()
        replica.app.leave(DRAIN_SECONDS)
        self.site.crash_replica(replica.settings.name)
        return self._add_replica

    def freeze_replica(self) -> Undo:
        """Freeze a local process."""
        replica = self._choose_replica()
        replica.faults.freeze()
        return replica.faults.thaw

    def isolate_replica(self) -> Undo:
        """Isolate a local process from all entries."""
        replica = self._choose_replica()
        replica.faults.cut_from.update(self.site.list_addresses())
        return replica.faults.cut_from.clear

    def crash_engine(self) -> Undo:
        """Crash an engine, which restarts by itself."""
        engine = self._choose_replica().engine
        if engine is not None:
            engine.crash(RESTART_SECONDS)
        return _do_nothing

    def slow_engine(self) -> Undo:
        """Slow an engine down by the factor `SLOWDOWN`."""
        engine = self._choose_replica().engine
        if engine is None:
            return _do_nothing
        batcher = engine.batcher
        batcher.slowdown = SLOWDOWN
        return lambda: setattr(batcher, 'slowdown', 1)

    def lose_entry(self) -> Undo:
        """Crash an entry VM; it restarts with its data folder."""
        name = self._choose_entry().settings.name
        self.site.crash_entry(name)
        return lambda: _restart_entry(self.site, name)

    def freeze_entry(self) -> Undo:
        """Freeze an entry process."""
        entry = self._choose_entry()
        entry.faults.freeze()
        return entry.faults.thaw

    def fill_disk(self) -> Undo:
        """Make writes to a data folder fail as on a full disk."""
        folder = self._choose_entry().app.components.folder
        if folder is None:
            return _do_nothing
        setattr(folder, APPEND_METHOD, _refuse_write)
        return lambda: _free_disk(folder)

    def stop_platform(self) -> Undo:
        """Make the key-value service refuse all calls."""
        self.site.platform.faults.down = True
        return self._restore_platform

    def slow_platform(self) -> Undo:
        """Delay all answers of the key-value service."""
        self.site.platform.faults.delay = SLOW_PLATFORM_SECONDS
        return self._restore_platform

    def lose_answers(self) -> Undo:
        """Lose answers to a share of writes that took effect."""
        self.site.platform.faults.lose_answers = LOST_SHARE
        return self._restore_platform

    def lose_writes(self) -> Undo:
        """Lose a share of writes before they take effect."""
        self.site.platform.faults.refuse_writes = LOST_SHARE
        return self._restore_platform

    def freeze_list(self) -> Undo:
        """Freeze the VM list at its present content."""
        platform = self.site.platform
        platform.faults.frozen_vms = [dict(vm) for vm in platform.vms]
        return self._restore_platform

    def _restore_platform(self) -> None:
        self.site.platform.faults = PlatformFaults()

    def _choose_replica(self) -> Replica:
        alive = [
            replica
            for replica in self.site.replicas.values()
            if replica.engine is not None
        ]
        return self.rng.choice(alive)

    def _choose_entry(self) -> Entry:
        alive = [
            entry
            for entry in self.site.entries.values()
            if not entry.faults.is_dead
        ]
        return self.rng.choice(alive)

    def _add_replica(self) -> None:
        self.replica_count += 1
        service = self.site.plan.service
        self.site.add_replica(f'{service}-{self.replica_count}')


FAULTS = MappingProxyType(
    {
        'lose_replica': FaultInjector.lose_replica,
        'leave_replica': FaultInjector.leave_replica,
        'freeze_replica': FaultInjector.freeze_replica,
        'cut_replica': FaultInjector.isolate_replica,
        'crash_engine': FaultInjector.crash_engine,
        'slow_engine': FaultInjector.slow_engine,
        'lose_entry': FaultInjector.lose_entry,
        'freeze_entry': FaultInjector.freeze_entry,
        'fill_disk': FaultInjector.fill_disk,
        'stop_platform': FaultInjector.stop_platform,
        'slow_platform': FaultInjector.slow_platform,
        'lose_answers': FaultInjector.lose_answers,
        'lose_writes': FaultInjector.lose_writes,
        'freeze_list': FaultInjector.freeze_list,
    }
)


def _do_nothing() -> None:
    """Undo nothing, for faults that end by themselves."""


def _refuse_write(*_details: Any) -> int:
    raise OSError(errno.ENOSPC, 'No space left on device')


def _free_disk(folder: Any) -> None:
    folder.__dict__.pop(APPEND_METHOD)


def _restart_entry(site: StandInSite, name: str) -> None:
    site.add_entry(name)
