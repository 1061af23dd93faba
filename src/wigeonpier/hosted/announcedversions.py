"""Announces in the store which software versions serve, and reads them.

An entry that has just started, or whose view of the register is outdated, does
not know which versions have begun streams.  Each worker announces that of its
upstream under a lease, which outlives it for longer than a stream lasts.
"""

from __future__ import annotations

import hashlib
import math
import time
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.lock import BoundedSemaphore
from result import Err, Ok

from wigeonpier.loops import spawn_loop
from wigeonpier.platform import storekeys
from wigeonpier.platform.decoding import OddValueError, decode_value
from wigeonpier.platform.port import Commit
from wigeonpier.policy.streamorigin import UNKNOWN_VERSION
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.platform.store import KeyValueStore

LEASE_SECONDS = 30.0
RENEWAL_INTERVAL_SECONDS = 10.0
# At least so long a version stays announced after its last worker is gone.
ANNOUNCED_SECONDS = LEASE_SECONDS - RENEWAL_INTERVAL_SECONDS
CHECK_INTERVAL_SECONDS = 0.1
RETRY_SECONDS = 0.5
# A caller that resumes a stream waits for this read.
READ_TIMEOUT_SECONDS = 0.4
DIGEST_BYTES = 8


class VersionRecord(msgspec.Struct, frozen=True):
    """An announcement.

    :param service: service of the upstream.
    :param version: its software version.
    """

    service: str
    version: str


class VersionAnnouncer:
    """Keeps the version of one upstream announced while it is known."""

    def __init__(
        self,
        store: KeyValueStore,
        vm: str,
        upstream: LocalUpstream,
        wait: Callable[[float], object] = gevent.sleep,
    ) -> None:
        """Announce nothing until started.

        :param store: the key-value service.
        :param vm: name of this process's VM.
        :param upstream: the upstream.
        :param wait: waits some seconds, or less if the store answers again.
        """
        self._store = store
        self._vm = vm
        self._upstream = upstream
        self._wait = wait
        self._announced: VersionRecord | None = None
        self._lease = 0
        self._renewed_at: float = 0

    def start(self) -> None:
        """Start to announce the version."""
        spawn_loop('version', self._step)

    def _step(self) -> None:
        gevent.sleep(CHECK_INTERVAL_SECONDS)
        found = self._describe()
        if found is None:
            return
        is_current = found == self._announced
        if not is_current and not self._announce(found):
            self._wait(RETRY_SECONDS)
        elif is_current and self._is_renewal_due() and not self._renew():
            self._wait(RETRY_SECONDS)

    def _describe(self) -> VersionRecord | None:
        replica = self._upstream.replica
        if replica is None or self._upstream.version == UNKNOWN_VERSION:
            return None
        return VersionRecord(replica.service, self._upstream.version)

    def _is_renewal_due(self) -> bool:
        return time.monotonic() - self._renewed_at >= RENEWAL_INTERVAL_SECONDS

    def _announce(self, record: VersionRecord) -> bool:
        """Write an announcement under a lease of its own.

        That of a former version is not renewed any more, and ends later.
        """
        asked_at = time.monotonic()
        granted = self._store.grant_lease(LEASE_SECONDS)
        if isinstance(granted, Err):
            return False
        key = storekeys.name_key(storekeys.VERSIONS, self._vm, _digest(record))
        # As for members: a late write must not put the key under its own lease.
        found = self._store.read_revision(key)
        if isinstance(found, Err):
            return False
        change = Commit(
            {key: found.ok_value},
            {key: msgspec.json.encode(record)},
            lease=granted.ok_value,
        )
        if isinstance(self._store.commit(change), Err):
            return False
        self._announced = record
        self._lease = granted.ok_value
        self._renewed_at = asked_at
        return True

    def _renew(self) -> bool:
        asked_at = time.monotonic()
        renewed = self._store.renew_lease(self._lease)
        if isinstance(renewed, Err):
            return False
        if renewed.ok_value:
            self._renewed_at = asked_at
        else:
            self._announced = None
        return True


class AnnouncedVersions:
    """Reads the announcements, once for all callers that wait for it."""

    def __init__(self, store: KeyValueStore) -> None:
        """Read from the given store."""
        self._store = store
        self._lock = BoundedSemaphore()
        # When the last attempt began, and the last one that was answered.
        self._tried_at = -math.inf
        self._read_at = -math.inf
        self._known: frozenset[VersionRecord] = frozenset()

    def read(self, service: str, since: float) -> frozenset[str] | None:
        """Read which versions of a service have served lately.

        :param service: name of the service.
        :param since: the announcements must be read after this moment, seconds
            of the monotonic clock.
        :returns: the versions, ``None`` if the store does not answer.
        """
        with self._lock:
            # Callers that wait for an attempt that fails do not try again.
            if self._tried_at < since:
                self._refresh()
            if self._read_at < since:
                return None
        return frozenset(
            record.version
            for record in self._known
            if record.service == service
        )

    def _refresh(self) -> None:
        asked_at = time.monotonic()
        self._tried_at = asked_at
        listed = self._store.list_prefix(
            storekeys.VERSIONS, READ_TIMEOUT_SECONDS
        )
        if not isinstance(listed, Ok):
            return
        try:
            self._known = frozenset(
                decode_value(entry.value, VersionRecord)
                for entry in listed.ok_value.entries
            )
        except OddValueError as error:
            # It may announce any version.
            log_event(
                Event.key_unreadable, key=storekeys.VERSIONS, why=str(error)
            )
            return
        self._read_at = asked_at


def _digest(record: VersionRecord) -> str:
    """Digest a version, whose name may have any characters and length."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(msgspec.json.encode(record))
    return digest.hexdigest()
