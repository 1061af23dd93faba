"""Follows the upstream on the VM of this process."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.hosted.foreignanswer import expect_report
from wigeonpier.platform import ingress, register
from wigeonpier.platform.decoding import OddValueError
from wigeonpier.policy.backoff import Backoff
from wigeonpier.policy.incarnation import is_earlier, name_start
from wigeonpier.policy.streamorigin import UNKNOWN_VERSION
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import make_request
from wigeonpier.web.readlimits import MAX_SMALL_BODY_BYTES

if TYPE_CHECKING:
    from wigeonpier.models import Replica, UpstreamReport
    from wigeonpier.platform.port import Snapshot
    from wigeonpier.platform.store import KeyValueStore
    from wigeonpier.web.pool import ConnectionPool

REPORT_TIMEOUT_SECONDS = 0.4
# Interval at which the register is read until it lists the upstream.
SEARCH_INTERVAL_SECONDS = 1.2
MAX_FAILED_POLLS = 3
# An entry that names another start is used again after these pauses, since the
# refusal may have been the upstream's error.
STALE_PAUSE_SECONDS = 2.0
MAX_STALE_PAUSE_SECONDS = 30.0

_ReportListener = Callable[['UpstreamReport | None', float, float], None]


def _ignore_report(
    _report: UpstreamReport | None, _requested_at: float, _round_trip: float
) -> None:
    """Ignore a report."""


@dataclass(slots=True)
class StaleEntries:
    """Entries at whose address another instance answered.

    :param backoffs: pauses before an entry is used again, by start.
    """

    backoffs: dict[str, Backoff] = field(default_factory=dict)

    def add(self, found: Replica) -> None:
        """Record that another instance answered at an entry's address.

        :param found: the entry.
        """
        start = name_start(found.name, found.incarnation)
        backoff = self.backoffs.setdefault(
            start,
            Backoff(STALE_PAUSE_SECONDS, MAX_STALE_PAUSE_SECONDS),
        )
        backoff.record_refusal(time.monotonic())

    def is_usable(self, found: Replica) -> bool:
        """Check whether an entry may be used now.

        :param found: the entry.
        :returns: false until its pause is over.
        """
        backoff = self.backoffs.get(name_start(found.name, found.incarnation))
        return backoff is None or not backoff.is_paused(time.monotonic())

    def keep_only(self, starts: set[str]) -> None:
        """Drop the records of removed entries.

        :param starts: starts that the register lists.
        """
        for start in set(self.backoffs) - starts:
            self.backoffs.pop(start)


class LocalUpstream:
    """Follows the register entry and the load of the upstream on this VM."""

    def __init__(
        self,
        store: KeyValueStore,
        pool: ConnectionPool,
        address: str,
        on_report: _ReportListener = _ignore_report,
    ) -> None:
        """Prepare to follow the upstream at ``host:port``.

        :param store: key-value service with the register.
        :param pool: connections to the upstream.
        :param address: ``host:port`` of the upstream.
        :param on_report: called with each report, the time of its request in
            seconds of the monotonic clock, and the seconds until it arrived;
            with ``None`` when the upstream no longer answers.
        """
        self._on_report = on_report
        self.address = address
        self.replica: Replica | None = None
        self.report: UpstreamReport | None = None
        self.polled_at: float = 0
        self._store = store
        self._pool = pool
        self._failures = 0
        self._stale = StaleEntries()
        self._watcher: gevent.Greenlet[..., None] | None = None
        # Revisions of unreadable entries by key; each revision is logged once.
        self._unreadable: dict[str, int] = {}

    @property
    def is_usable(self) -> bool:
        """Check whether the upstream accepts new work."""
        if self.replica is None or self.report is None:
            return False
        if self.report.is_leaving:
            return False
        # A leaving entry of an earlier start does not apply to the one that
        # reports.
        return not self.replica.is_leaving or is_earlier(
            self.replica.incarnation,
            self.report.incarnation,
        )

    @property
    def version(self) -> str:
        """Return the software version, unknown for a start not yet listed."""
        replica = self.replica
        report = self.report
        if replica is None:
            return UNKNOWN_VERSION
        if report and is_earlier(replica.incarnation, report.incarnation):
            return UNKNOWN_VERSION
        return replica.version

    @property
    def has_failed_poll(self) -> bool:
        """Check whether the last poll got no report."""
        return self._failures > 0

    def follow(self) -> None:
        """Find the upstream's entry and follow it until it is removed."""
        if self.report is None:
            # An upstream that does not answer is not in the register either,
            # and calls to the store are charged, unlike calls on this VM.
            self.poll()
        if self.report is None:
            gevent.sleep(SEARCH_INTERVAL_SECONDS)
            return
        listed = self._store.list_prefix(register.REGISTER)
        if isinstance(listed, Err):
            gevent.sleep(SEARCH_INTERVAL_SECONDS)
            return
        found = self._find_replica(listed.ok_value)
        if found is None:
            self._drop('not in the register')
            gevent.sleep(SEARCH_INTERVAL_SECONDS)
            return
        self._apply_entry(found)
        self._watcher = gevent.spawn(
            self._watch,
            found.name,
            listed.ok_value.revision,
        )
        self._watcher.get()

    def record_replaced(self, known: Replica) -> None:
        """Stop using an entry because another instance answers at its address.

        The register is read again at once, since the entry may never be
        removed.

        :param known: the entry that the refused request was sent to.
        """
        if self.replica is None or self.replica.name != known.name:
            return
        self._stale.add(known)
        self._drop('another instance answers')
        if self._watcher is not None:
            self._watcher.kill(block=False)

    def poll(self) -> None:
        """Poll the load of the upstream; calls on the same VM are free."""
        requested_at = time.monotonic()
        self.polled_at = requested_at
        headers = [('Host', self.address)]
        raw = make_request('GET', ingress.REPORT_PATH, headers)
        called = self._pool.call(
            self.address,
            raw,
            REPORT_TIMEOUT_SECONDS,
            partial(expect_report, upstream=self.address),
            MAX_SMALL_BODY_BYTES,
        )
        round_trip = time.monotonic() - requested_at
        if isinstance(called, Err) or not called.ok_value.is_good:
            self._failures += 1
            if self._failures >= MAX_FAILED_POLLS:
                self.report = None
                self._on_report(None, requested_at, round_trip)
            return
        self._failures = 0
        try:
            received = register.decode_report(called.ok_value.body)
        except OddValueError as error:
            log_event(
                Event.upstream_unreadable,
                upstream=self.address,
                problem=str(error),
            )
            return
        known = self.report.incarnation if self.report else 0
        # A late report of an earlier start may arrive after one of this start.
        if not is_earlier(received.incarnation, known):
            self.report = received
            self._on_report(received, requested_at, round_trip)

    def _find_replica(self, snapshot: Snapshot) -> Replica | None:
        """Find the last start at the address; older entries may still exist."""
        latest = sorted(snapshot.entries, key=lambda entry: -entry.created)
        at_address = [
            found
            for entry in latest
            if (found := self._decode(entry.key, entry.value, entry.revision))
            and found.address == self.address
        ]
        self._stale.keep_only(
            {name_start(found.name, found.incarnation) for found in at_address},
        )
        usable = [found for found in at_address if self._stale.is_usable(found)]
        return max(usable, key=lambda found: found.incarnation, default=None)

    def _watch(self, name: str, revision: int) -> None:
        key = register.name_replica(name)
        for change in self._store.watch(key, revision):
            if change.key != key:
                continue
            if change.value is None:
                self._drop('its entry is gone')
                return
            found = self._decode(change.key, change.value, change.revision)
            if found is None:
                self._drop('its entry names no replica')
            elif found.address == self.address:
                self._apply_entry(found)
            else:
                self._drop('it is elsewhere now')
                return

    def _apply_entry(self, found: Replica) -> None:
        known = self.replica
        if known and is_earlier(found.incarnation, known.incarnation):
            log_event(
                Event.upstream_outdated,
                upstream=found.name,
                incarnation=found.incarnation,
            )
            return
        start = (found.name, found.incarnation)
        if known is None or (known.name, known.incarnation) != start:
            log_event(
                Event.upstream_added,
                upstream=found.name,
                address=found.address,
                incarnation=found.incarnation,
                version=found.version,
            )
        elif found.is_leaving and not known.is_leaving:
            log_event(Event.upstream_leaving, upstream=found.name)
        self.replica = found

    def _drop(self, why: str) -> None:
        if self.replica is not None:
            log_event(
                Event.upstream_removed,
                upstream=self.replica.name,
                why=why,
            )
        self.replica = None

    def _decode(self, key: str, raw: bytes, revision: int) -> Replica | None:
        try:
            return register.decode_replica(key, raw)
        except register.ForeignEntryError as error:
            if self._unreadable.get(key) == revision:
                return None
            self._unreadable[key] = revision
            log_event(
                Event.upstream_unreadable,
                upstream=key,
                revision=revision,
                problem=str(error),
            )
            return None
