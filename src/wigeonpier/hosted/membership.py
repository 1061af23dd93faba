"""Tells others what this process does, by a key with a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.loops import spawn_loop
from wigeonpier.platform.port import Commit
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.models import DiskMember, Member
    from wigeonpier.platform.store import KeyValueStore

# A lost process is replaced after this time; a renewal may be lost twice.
LEASE_SECONDS = 3.0
RENEWAL_SECONDS = 1.0
RETRY_SECONDS = 0.2


class Membership:
    """Keeps this process on the board while it does its work."""

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        content: Member | DiskMember,
    ) -> None:
        """Stay off the board until started and wanted."""
        self.is_wanted = False
        self._store = store
        self._key = key
        self._content = msgspec.json.encode(content)
        self._lease = 0

    def start(self) -> None:
        """Begin to join and to renew."""
        spawn_loop('membership', self._step)

    def leave(self) -> None:
        """Leave the board at once, without waiting to be missed."""
        self.is_wanted = False
        if self._lease:
            self._store.end_lease(self._lease)
            self._lease = 0
            log_event(Event.member_left, key=self._key, why='leaving')

    def _step(self) -> None:
        if self.is_wanted and self._lease:
            self._renew()
            gevent.sleep(RENEWAL_SECONDS)
        elif self.is_wanted:
            self._join()
            gevent.sleep(RETRY_SECONDS)
        else:
            self.leave()
            gevent.sleep(RETRY_SECONDS)

    def _renew(self) -> None:
        kept = self._store.keep_lease(self._lease)
        if isinstance(kept, Ok) and not kept.ok_value:
            log_event(Event.member_left, key=self._key, why='lapsed')
            self._lease = 0

    def _join(self) -> None:
        granted = self._store.grant_lease(LEASE_SECONDS)
        if isinstance(granted, Err):
            return
        writes = {self._key: self._content}
        change = Commit(writes=writes, lease=granted.ok_value)
        if isinstance(self._store.commit(change), Ok):
            self._lease = granted.ok_value
            log_event(Event.member_joined, key=self._key)
