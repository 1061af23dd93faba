"""Sends this process's heartbeats and takes in what entries tell."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event as Signal
from result import Err

from wigeonpier.loops import spawn_loop
from wigeonpier.membership.messages import (
    DiskReport,
    Heartbeat,
    HeartbeatReply,
)
from wigeonpier.policy.ranking import choose_subset
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.settings.holder import ConfigurationHolder
    from wigeonpier.web.client import HttpCaller

PERIOD_SECONDS = 1.0
PATIENCE_SECONDS = 1.0
LEAST_GAP_SECONDS = 0.05
HEARTBEAT_PATH = '/peer/v1/heartbeat'
CONFIGURATION_PATH = '/peer/v1/configuration'


@dataclass(slots=True)
class Neighbours:
    """What entries told this process.

    :param entries: addresses of live entries.
    :param disks: data folders in reach, by incarnation.
    """

    entries: tuple[str, ...]
    disks: dict[str, DiskReport] = field(default_factory=dict)


class Reporter:
    """Beats to a few entries once a second, or sooner when work is wanted."""

    def __init__(
        self,
        caller: HttpCaller,
        holder: ConfigurationHolder,
        seeds: tuple[str, ...],
        fan_out: int,
        describe: Callable[[], Heartbeat],
    ) -> None:
        """Beat to at most ``fan_out`` entries, chosen by this VM's name."""
        self.neighbours = Neighbours(seeds)
        self.on_reply: Callable[[HeartbeatReply], None] = _ignore_reply
        self._caller = caller
        self._holder = holder
        self._seeds = seeds
        self._fan_out = fan_out
        self._describe = describe
        self._sooner = Signal()

    def start(self) -> None:
        """Begin to beat."""
        spawn_loop('heartbeat', self._run)

    def learn_entries(self, entries: list[str]) -> None:
        """Take in entries that were heard of otherwise.

        :param entries: ``host:port`` of live entries.
        """
        known = set(self.neighbours.entries) | set(entries)
        self.neighbours.entries = tuple(sorted(known))

    def hurry(self) -> None:
        """Beat now rather than at the end of the period."""
        self._sooner.set()

    def beat(self) -> None:
        """Send one heartbeat to each chosen entry and wait for answers."""
        heartbeat = self._describe()
        targets = self._choose_targets(heartbeat)
        raw = msgspec.json.encode(heartbeat)
        # Only one entry is asked for work, so that offers do not add up.
        quiet = msgspec.json.encode(
            msgspec.structs.replace(
                heartbeat,
                wants=0,
            )
        )
        gevent.joinall(
            [
                gevent.spawn(self._beat_to, target, quiet if rank else raw)
                for rank, target in enumerate(targets)
            ]
        )

    def _run(self) -> None:
        self.beat()
        gevent.sleep(LEAST_GAP_SECONDS)
        self._sooner.wait(PERIOD_SECONDS - LEAST_GAP_SECONDS)
        self._sooner.clear()

    def _choose_targets(self, heartbeat: Heartbeat) -> list[str]:
        known = set(self.neighbours.entries or self._seeds)
        known.discard(heartbeat.address)
        return choose_subset(sorted(known), heartbeat.name, self._fan_out)

    def _beat_to(self, target: str, raw: bytes) -> None:
        called = self._caller.call(
            target,
            'POST',
            HEARTBEAT_PATH,
            raw,
            patience=PATIENCE_SECONDS,
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            log_event(Event.heartbeat_failed, entry=target)
            self._forget(target)
            return
        reply = called.ok_value.decode(HeartbeatReply)
        self.neighbours.entries = reply.entries or self.neighbours.entries
        if reply.disks:
            self.neighbours.disks = {
                disk.incarnation: disk for disk in reply.disks
            }
        if reply.version > self._holder.version:
            self._fetch_configuration(target)
        self.on_reply(reply)

    def _forget(self, target: str) -> None:
        rest = tuple(
            entry for entry in self.neighbours.entries if entry != target
        )
        self.neighbours.entries = rest or self._seeds

    def _fetch_configuration(self, target: str) -> None:
        called = self._caller.call(target, 'GET', CONFIGURATION_PATH)
        if not isinstance(called, Err) and called.ok_value.is_good:
            self._holder.adopt(called.ok_value.body)


def _ignore_reply(_reply: HeartbeatReply) -> None:
    """Do nothing before a controller listens."""
