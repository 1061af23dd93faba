"""Announces this process on the board by a key with a lease."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.loops import spawn_loop
from wigeonpier.platform.port import Commit
from wigeonpier.policy.backoff import Backoff
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.models import DiskMember, Member
    from wigeonpier.platform.store import KeyValueStore

LEASE_SECONDS = 3.0
# Two renewals in a row may be lost before the lease expires.
RENEWAL_INTERVAL_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.2
# A grant of a lease is a write, and all processes request one while the store
# refuses them.
MAX_RETRY_SECONDS = 1.6


def _is_prepared() -> bool:
    """Return true: nothing has to stand before a process joins."""
    return True


class Membership:
    """Keeps this process on the board as long as it is wanted there."""

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        content: Member | DiskMember,
        wait: Callable[[float], object] = gevent.sleep,
        prepare: Callable[[], bool] = _is_prepared,
    ) -> None:
        """Stay off the board until started and wanted.

        :param store: stores the key.
        :param key: name of the key.
        :param content: its value.
        :param wait: waits some seconds, or less if the store answers again.
        :param prepare: writes what has to stand before this process joins;
            returns false where it could not.
        """
        self._prepare = prepare
        self.is_wanted = False
        self._store = store
        self._key = key
        self._content = msgspec.json.encode(content)
        self._lease = 0
        self._wait = wait
        self._backoff = Backoff(CHECK_INTERVAL_SECONDS, MAX_RETRY_SECONDS)

    def start(self) -> None:
        """Start to join and to renew the lease."""
        spawn_loop('membership', self._step)

    def leave(self) -> None:
        """Leave the board at once, before the lease expires."""
        self.is_wanted = False
        if self._lease:
            self._store.revoke_lease(self._lease)
            self._lease = 0
            log_event(Event.member_left, key=self._key, why='leaving')

    def _step(self) -> None:
        if self.is_wanted and self._lease:
            self._renew()
            gevent.sleep(RENEWAL_INTERVAL_SECONDS)
        elif self.is_wanted:
            self._join()
        else:
            self.leave()
            gevent.sleep(CHECK_INTERVAL_SECONDS)

    def _renew(self) -> None:
        renewed = self._store.renew_lease(self._lease)
        if isinstance(renewed, Ok) and not renewed.ok_value:
            log_event(Event.member_left, key=self._key, why='lapsed')
            self._lease = 0

    def _join(self) -> None:
        if self._try_join():
            self._backoff.record_success()
            log_event(Event.member_joined, key=self._key)
        else:
            self._wait(self._backoff.record_refusal(time.monotonic()))

    def _try_join(self) -> bool:
        if not self._prepare():
            return False
        granted = self._store.grant_lease(LEASE_SECONDS)
        if isinstance(granted, Err):
            return False
        # A write without an answer may be executed after the next one.  It must
        # not put the key under its own lease, which nobody renews.
        found = self._store.read_revision(self._key)
        if isinstance(found, Err):
            return False
        change = Commit(
            {self._key: found.ok_value},
            {self._key: self._content},
            lease=granted.ok_value,
        )
        if isinstance(self._store.commit(change), Err):
            return False
        self._lease = granted.ok_value
        return True
