"""Maintains the upstreams that may be routed to, from a watch."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from typing import TYPE_CHECKING

import gevent

from wigeonpier.hosted.servedversions import ServedVersions
from wigeonpier.platform.port import Change
from wigeonpier.platform.register import (
    REGISTER,
    ForeignEntryError,
    decode_replica,
    name_replica,
)
from wigeonpier.policy.incarnation import comes_after, is_earlier
from wigeonpier.policy.outage import is_view_outdated
from wigeonpier.policy.ranking import choose_subset
from wigeonpier.policy.route import (
    UpstreamState,
    is_down,
    record_crash,
    record_return,
)
from wigeonpier.policy.streamorigin import UNKNOWN_VERSION
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.models import HostSettings, Replica
    from wigeonpier.platform.port import Entry
    from wigeonpier.platform.view import WatcherFactory

# Upstreams of one service that an entry routes to.  Each is a connection that
# reports its load ten times a second, at 80 us of processor time a report:
# about 44 connections take 3.5 % of a core.  Choosing between two random ones
# of so many is as good as choosing between two of all.
MAX_UPSTREAMS = 40
# Ids whose last start is remembered after they are gone, to reject late entries
# of earlier starts; far more than start in a day.
MAX_REMEMBERED_STARTS = 4096


class ReplicaRegister:
    """Maintains the state of each upstream in the register."""

    def __init__(
        self,
        make_watcher: WatcherFactory,
        settings: HostSettings,
        store_health: StoreHealth,
        forget: Callable[[str], None],
    ) -> None:
        """Watch the register once started."""
        self.upstreams: dict[str, UpstreamState] = {}
        # Called with an upstream once a later start of it is known.
        self.on_restart: Callable[[UpstreamState], object] = _ignore_upstream
        self.view = make_watcher(REGISTER, self._apply)
        self._created_revisions: dict[str, int] = {}
        self._last_incarnations: dict[str, int] = {}
        self._routed: list[UpstreamState] | None = None
        self.versions = ServedVersions()
        # Grows when an upstream comes, leaves or goes.
        self.changes = 0
        self._replaced_at = -math.inf
        self._settings = settings
        self._store_health = store_health
        self._forget_address = forget

    def start(self) -> None:
        """Start to watch."""
        self.view.start()

    def list_upstreams(self) -> list[UpstreamState]:
        """List the upstreams that this entry routes to.

        :returns: their states, changed in place by routing.  Of a service with
            many upstreams each entry gets a different subset.
        """
        if self._routed is None:
            self._routed = self._choose_routed()
        return self._routed

    def record_replaced(self, state: UpstreamState, instance: str) -> None:
        """Record that another instance answered at the address of an upstream.

        :param state: the upstream; no requests are routed to it until its
            entry changes.
        :param instance: id of the instance that answered; requests are routed
            to it if the register lists it, even by an older entry.
        """
        # The callback reads ``is_leaving``, so that it runs before the change.
        self.on_restart(state)
        state.is_leaving = True
        self.changes += 1
        self._replaced_at = time.monotonic()
        entry = self.view.entries.get(name_replica(instance))
        if entry is not None and self.upstreams.get(state.name) is state:
            self._restore_hidden(entry, state)

    def record_crash(self, start: str) -> None:
        """Record that an upstream has crashed.

        :param start: its start; another process may have observed the crash.
        """
        for state in self.upstreams.values():
            if state.start == start:
                record_crash(state, time.monotonic())

    def has_recent_crash(self, service: str) -> bool:
        """Check whether an upstream of a service will soon be back.

        :param service: name of the service.
        :returns: true if one crashed some seconds ago.
        """
        now = time.monotonic()
        return any(
            is_down(state, now)
            for state in self.upstreams.values()
            if state.service == service
        )

    @property
    def is_outdated(self) -> bool:
        """Check whether the register probably lacks live upstreams."""
        return is_view_outdated(time.monotonic() - self._replaced_at)

    def _choose_routed(self) -> list[UpstreamState]:
        by_service: defaultdict[str, list[str]] = defaultdict(list)
        for state in self.upstreams.values():
            if not state.is_leaving:
                by_service[state.service].append(state.name)
        return [
            self.upstreams[name]
            for names in by_service.values()
            for name in choose_subset(names, self._settings.name, MAX_UPSTREAMS)
        ]

    def _apply(self, change: Change) -> None:
        self._routed = None
        name = change.key.removeprefix(REGISTER)
        if change.value is None:
            self._remove_after_grace(name, change.key)
            return
        try:
            replica = decode_replica(change.key, change.value)
        except ForeignEntryError as error:
            log_event(
                Event.upstream_unreadable,
                upstream=name,
                revision=change.revision,
                problem=str(error),
            )
            # The key no longer names a replica, whatever it named before.
            self._remove(name)
            return
        self._apply_replica(replica, change)

    def _apply_replica(self, replica: Replica, change: Change) -> None:
        if is_earlier(replica.incarnation, self._get_last_start(replica.name)):
            log_event(
                Event.upstream_outdated,
                upstream=replica.name,
                revision=change.revision,
                incarnation=replica.incarnation,
            )
            return
        state = self.upstreams.get(replica.name)
        if state is not None and _is_another_start(state, replica):
            self.on_restart(state)
            self._remove(replica.name)
            state = None
        if state is None:
            if self._is_superseded(replica, change):
                return
            state = self._add(replica, change.revision)
        if replica.is_leaving and not state.is_leaving:
            self._log(Event.upstream_leaving, state, change.revision)
        record_return(state, time.monotonic())
        state.slots = replica.slots
        # A load report of the same start may have come before its entry.
        state.version = replica.version
        if state.is_leaving != replica.is_leaving:
            self.changes += 1
        state.is_leaving = replica.is_leaving

    def _get_last_start(self, name: str) -> int:
        """Return the last start in the register or in a load report."""
        state = self.upstreams.get(name)
        reported = state.incarnation if state else 0
        return max(reported, self._last_incarnations.get(name, 0))

    def _add(self, replica: Replica, revision: int) -> UpstreamState:
        state = UpstreamState(
            name=replica.name,
            address=replica.address,
            service=replica.service,
            models=(),
            data_centre=replica.data_centre,
            region=self._settings.regions.get(replica.data_centre, ''),
            incarnation=replica.incarnation,
            version=replica.version,
        )
        self.upstreams[replica.name] = state
        self.changes += 1
        self._remember_start(replica)
        self._log(Event.upstream_added, state, revision)
        return state

    def _remember_start(self, replica: Replica) -> None:
        if replica.incarnation:
            self._last_incarnations.pop(replica.name, None)
            self._last_incarnations[replica.name] = replica.incarnation
            while len(self._last_incarnations) > MAX_REMEMBERED_STARTS:
                self._last_incarnations.pop(next(iter(self._last_incarnations)))

    def _is_superseded(self, replica: Replica, change: Change) -> bool:
        """Check for a later instance at the address, and remove earlier ones.

        Entries arrive in any order.  The entry of a replica that crashed
        exists for some heartbeats beside that of its next start, which was
        created later.
        """
        for other in list(self.upstreams.values()):
            if other.address != replica.address:
                continue
            if comes_after(
                (other.incarnation, self._created_revisions.get(other.name, 0)),
                (replica.incarnation, change.created),
            ):
                return True
            self.on_restart(other)
            self._remove(other.name)
        self._created_revisions[replica.name] = change.created
        return False

    def _remove_after_grace(self, name: str, key: str) -> None:
        since = time.monotonic() - self._store_health.regained_at
        remaining = self._store_health.plan.keep - since
        if remaining > 0:
            gevent.spawn_later(remaining, self._remove_if_absent, name, key)
        else:
            self._remove_expired(name)

    def _remove_if_absent(self, name: str, key: str) -> None:
        if key not in self.view.entries:
            self._remove_expired(name)

    def _remove_expired(self, name: str) -> None:
        """Remove an upstream, and route to another one at its address."""
        state = self.upstreams.get(name)
        self._remove(name)
        if state is not None:
            for entry in list(self.view.entries.values()):
                self._restore_hidden(entry, state)

    def _restore_hidden(self, entry: Entry, hidden_by: UpstreamState) -> None:
        """Route to an entry that was hidden by a later one at its address."""
        try:
            replica = decode_replica(entry.key, entry.value)
        except ForeignEntryError:
            # Was logged when the entry was first read.
            return
        is_hidden = replica.name not in self.upstreams
        if is_hidden and replica.address == hidden_by.address:
            self._remove(hidden_by.name)
            self._apply_replica(
                replica,
                Change(entry.key, entry.value, entry.revision, entry.created),
            )

    def _remove(self, name: str) -> None:
        self._routed = None
        self._created_revisions.pop(name, None)
        state = self.upstreams.pop(name, None)
        if state is not None:
            self.changes += 1
            self.versions.record_removed(state)
            state.is_leaving = True
            self._forget_address(state.address)
            self._log(Event.upstream_removed, state, 0)

    def _log(self, event: Event, state: UpstreamState, revision: int) -> None:
        log_event(
            event,
            upstream=state.name,
            address=state.address,
            service=state.service,
            data_centre=state.data_centre,
            incarnation=state.incarnation,
            version=state.version,
            revision=revision,
        )


def _ignore_upstream(_state: UpstreamState) -> None:
    """Ignore the upstream until a callback is set."""


def _is_another_start(state: UpstreamState, replica: Replica) -> bool:
    """Check whether an entry belongs to another start than the known one.

    Failures, load and connections of the earlier start don't apply to it.
    """
    if UNKNOWN_VERSION != state.version != replica.version:
        return True
    return (state.incarnation, state.address, state.service) != (
        replica.incarnation,
        replica.address,
        replica.service,
    )
