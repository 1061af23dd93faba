"""Sends the heartbeats of this process and handles the replies."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event as Signal
from result import Err, Result

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

    from wigeonpier.platform.port import Failure, Vm
    from wigeonpier.settings.holder import ConfigurationHolder
    from wigeonpier.web.client import HttpClient

PERIOD_SECONDS = 1.0
TIMEOUT_SECONDS = 1.0
MIN_GAP_SECONDS = 0.05
HEARTBEAT_PATH = '/peer/v1/heartbeat'
CONFIGURATION_PATH = '/peer/v1/configuration'


@dataclass(slots=True)
class Peers:
    """Fleet state that entries reported to this process.

    :param entries: addresses of live entries.
    :param disks: reachable data folders, by incarnation.
    :param gone: data folders that are lost for good.
    """

    entries: tuple[str, ...]
    disks: dict[str, DiskReport] = field(default_factory=dict)
    gone: frozenset[str] = frozenset()


class HeartbeatSender:
    """Sends heartbeats to a few entries once a second, or sooner on demand."""

    def __init__(
        self,
        client: HttpClient,
        holder: ConfigurationHolder,
        seeds: tuple[str, ...],
        fan_out: int,
        describe: Callable[[], Heartbeat],
        list_vms: Callable[[], Result[tuple[Vm, ...], Failure]],
    ) -> None:
        """Send to at most ``fan_out`` entries, chosen by this VM's name."""
        self.peers = Peers(seeds)
        self.on_reply: Callable[[HeartbeatReply], None] = _ignore_reply
        # Whether a heartbeat has been sent to the chosen entries once.
        self.has_tried_all = False
        self._client = client
        self._holder = holder
        self._seeds = seeds
        self._fan_out = fan_out
        self._describe = describe
        self._list_vms = list_vms
        self._send_now = Signal()

    def start(self) -> None:
        """Start to send heartbeats."""
        spawn_loop('heartbeat', self._run)

    def add_entries(self, entries: list[str]) -> None:
        """Add entries that were learnt of other than by heartbeats.

        :param entries: ``host:port`` of live entries.
        """
        known = set(self.peers.entries)
        if set(entries) - known:
            self.send_soon()
        self.peers.entries = tuple(sorted(known | set(entries)))

    def send_soon(self) -> None:
        """Send the next heartbeat now instead of at the end of the period."""
        self._send_now.set()

    def send_heartbeats(self) -> None:
        """Send one heartbeat to each chosen entry and handle the replies."""
        heartbeat = self._describe()
        # Work is requested from only one entry, so that offers do not add up.
        without_wants = msgspec.structs.replace(heartbeat, wants=0)
        workers = {
            target: gevent.spawn(
                self._send_to,
                target,
                without_wants if rank else heartbeat,
            )
            for rank, target in enumerate(self._choose_targets(heartbeat))
        }
        gevent.joinall(list(workers.values()))
        replies = {
            target: worker.value
            for target, worker in workers.items()
            if worker.value is not None
        }
        self._apply_replies(replies)
        self.has_tried_all = True
        for reply in replies.values():
            self.on_reply(reply)

    def _run(self) -> None:
        self.send_heartbeats()
        gevent.sleep(MIN_GAP_SECONDS)
        self._send_now.wait(PERIOD_SECONDS - MIN_GAP_SECONDS)
        self._send_now.clear()

    def _choose_targets(self, heartbeat: Heartbeat) -> list[str]:
        known = set(self.peers.entries or self._list_candidates())
        known.discard(heartbeat.address)
        return choose_subset(sorted(known), heartbeat.name, self._fan_out)

    def _list_candidates(self) -> tuple[str, ...]:
        """List candidates when no known entry answers.

        The VM list does not distinguish entries from other processes; those
        do not accept heartbeats.
        """
        listed = self._list_vms()
        vms = () if isinstance(listed, Err) else listed.ok_value
        return (*self._seeds, *(vm.address for vm in vms))

    def _send_to(
        self,
        target: str,
        heartbeat: Heartbeat,
    ) -> HeartbeatReply | None:
        called = self._client.call(
            target,
            'POST',
            HEARTBEAT_PATH,
            msgspec.json.encode(heartbeat),
            timeout=TIMEOUT_SECONDS,
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            log_event(Event.heartbeat_failed, entry=target)
            return None
        return called.ok_value.decode(HeartbeatReply)

    def _apply_replies(self, replies: dict[str, HeartbeatReply]) -> None:
        entries = set(replies)
        for target, reply in replies.items():
            entries.update(reply.entries)
            if reply.disks:
                self.peers.disks = {
                    disk.incarnation: disk for disk in reply.disks
                }
            self.peers.gone |= frozenset(reply.gone)
            if reply.version > self._holder.version:
                self._fetch_configuration(target)
        if entries - set(self.peers.entries):
            self.send_soon()
        self.peers.entries = tuple(sorted(entries))

    def _fetch_configuration(self, target: str) -> None:
        called = self._client.call(target, 'GET', CONFIGURATION_PATH)
        if not isinstance(called, Err) and called.ok_value.is_good:
            self._holder.adopt(called.ok_value.body)


def _ignore_reply(_reply: HeartbeatReply) -> None:
    """Ignore replies until a controller sets its handler."""
