"""Copies quarantine entries to disks and reads them back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.hosted.news import QuarantineEntry
from wigeonpier.hosted.quarantine.replica import QUARANTINE_PATH
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from wigeonpier.models import DiskMember
    from wigeonpier.web.pool import ConnectionPool

WRITE_TIMEOUT_SECONDS = 0.5
READ_TIMEOUT_SECONDS = 0.5
# The attempts together outlast the restart of a process.
READ_ATTEMPTS = 6
RETRY_DELAY_SECONDS = 0.3


class QuarantinePublisher:
    """Copies entries to disks while the store does not accept writes."""

    def __init__(
        self,
        pool: ConnectionPool,
        list_disks: Callable[[], Iterable[DiskMember]],
        load: Callable[[Mapping[str, QuarantineEntry]], object],
    ) -> None:
        """Create the publisher.

        :param pool: connections to the processes with disks.
        :param list_disks: lists these processes.
        :param load: called with the entries of a disk, by fingerprint.
        """
        self._pool = pool
        self._list_disks = list_disks
        self._load = load
        self._fetched: set[str] = set()

    def replicate(self, fingerprint: str, content: bytes) -> None:
        """Copy an entry to all disks, without waiting for the result.

        :param fingerprint: digest of the request.
        :param content: the entry as it is stored.
        """
        for disk in self._list_disks():
            gevent.spawn(self._send, disk, fingerprint, content)

    def fetch_new(self, disks: Iterable[DiskMember]) -> None:
        """Read the entries of each disk that was not read before.

        The store may not have them yet: a process that starts just as the
        store recovers would otherwise serve requests before the disks have
        written their entries to the store.

        :param disks: processes with a disk.
        """
        for disk in disks:
            if disk.name not in self._fetched:
                self._fetched.add(disk.name)
                gevent.spawn(self._fetch, disk)

    def _send(self, disk: DiskMember, fingerprint: str, content: bytes) -> None:
        target = f'{QUARANTINE_PATH}/{fingerprint}'
        raw = make_request('PUT', target, [('Host', disk.address)], content)
        called = self._pool.call(disk.address, raw, WRITE_TIMEOUT_SECONDS)
        if isinstance(called, Err) or not called.ok_value.is_good:
            reason = f'the disk of {disk.name} did not store it'
            log_event(Event.refusal_unkept, fingerprint=fingerprint, why=reason)

    def _fetch(self, disk: DiskMember) -> None:
        raw = make_request('GET', QUARANTINE_PATH, [('Host', disk.address)])
        for _ in range(READ_ATTEMPTS):
            called = self._pool.call(disk.address, raw, READ_TIMEOUT_SECONDS)
            if not isinstance(called, Err) and called.ok_value.is_good:
                self._load(called.ok_value.decode(dict[str, QuarantineEntry]))
                return
            gevent.sleep(RETRY_DELAY_SECONDS)
