"""Stores quarantine entries for processes that start later.

Running processes exchange what they know; the store preserves it when all of
them are lost.  It is written once for each refused request, and read together
with the board, which entries read anyway, so that it costs no calls while no
request is refused.  While the store is unavailable, the disks store the
entries instead.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err

from wigeonpier.hosted.board import Board
from wigeonpier.hosted.news import QuarantineEntry
from wigeonpier.membership.updates import (
    SuspicionUpdate,
    add_age,
    add_part_age,
)
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Commit, Failure
from wigeonpier.policy.promptparts import digest_part
from wigeonpier.policy.suspicion import (
    CRASHES_BEFORE_ISOLATION,
    MEMORY_SECONDS,
    needs_pauses,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.membership.updates import PartUpdate
    from wigeonpier.platform.store import KeyValueStore

# Combines the reads for jobs that start at the same time.
MIN_READ_INTERVAL_SECONDS = 5.0
RETRY_DELAY_SECONDS = 0.5
# A process whose wall clock is ahead by less does not delete entries that are
# still in use.
MAX_CLOCK_SKEW_SECONDS = 86_400.0


class QuarantineStore:
    """Writes the entries of this process and reads those of others."""

    def __init__(
        self,
        store: KeyValueStore,
        suspicions: Suspicions,
        wait: Callable[[float], object],
    ) -> None:
        """Create the store.

        :param store: the key-value service.
        :param suspicions: suspected requests that this process knows.
        :param wait: waits for a number of seconds and until the key-value
            service is available.
        """
        self._store = store
        self._wait = wait
        self._suspicions = suspicions
        # Entries that the store has not accepted yet.
        self._unwritten: set[str] = set()
        # Entries that were copied to the disks.
        self._replicated: set[str] = set()
        # Parts of prompts that this process has stored.
        self._stored_culprits: set[str] = set()
        suspicions.parts.culprits.on_change = self.update_culprit
        self._read_at = -math.inf
        # Copies an entry to the disks.
        self.replicate: Callable[[str, bytes], object] = _ignore_entry

    def record(self, fingerprint: str) -> None:
        """Store a request once it is refused, or an item that needs pauses.

        A request that has met its second crash is copied to the disks, which
        costs no call to the store.  Otherwise each loss of all processes would
        allow it two more crashes.

        :param fingerprint: digest of the request.
        """
        if not self._is_stored(fingerprint):
            crashes = tuple(self._suspicions.list_crashes(fingerprint))
            if len(crashes) >= CRASHES_BEFORE_ISOLATION:
                self.replicate(fingerprint, self._encode(fingerprint))
            return
        self._begin_write(fingerprint)

    def record_parts(self, update: PartUpdate) -> None:
        """Store the culprits of an update, and copy its suspects to the disks.

        :param update: an update of this process, after it was merged.
        """
        for culprit in update.culprits:
            self.record_culprit(culprit.name)
        suspects = {part for run in update.lost for part in run.parts}
        for part in sorted(suspects):
            found = self._suspicions.parts.describe_suspect(part)
            if len(found.lost) >= CRASHES_BEFORE_ISOLATION:
                entry = QuarantineEntry(
                    (), time.time(), is_proved=False, parts=found
                )
                self.replicate(digest_part(part), msgspec.json.encode(entry))

    def record_culprit(self, name: str) -> None:
        """Store parts of prompts that crash upstreams.

        :param name: name of the culprit.
        """
        self._stored_culprits.add(name)
        self._begin_write(name)

    def update_culprit(self, name: str) -> None:
        """Store a culprit that has changed, or remove one that has ended.

        :param name: name of a culprit; ignored unless this process stored it.
        """
        if name not in self._stored_culprits:
            return
        if name in self._suspicions.parts.culprits.by_name:
            self._begin_write(name)
        else:
            self._stored_culprits.discard(name)
            gevent.spawn(self.forget, name)

    def replicate_refused(self, condemned: Iterable[str]) -> None:
        """Copy requests to the disks that another process has refused.

        For use while the store is unavailable: a worker does not know the
        disks and may be lost before it can write to the store.

        :param condemned: fingerprints of the refused requests.
        """
        for fingerprint in condemned:
            self._replicate(fingerprint)

    def forget(self, fingerprint: str) -> None:
        """Remove a request that an operator has cleared or that has expired.

        :param fingerprint: digest of the request.
        """
        self._unwritten.discard(fingerprint)
        key = storekeys.name_key(storekeys.REFUSED, fingerprint)
        result = self._store.commit(Commit(deletes=(key,)))
        if isinstance(result, Err):
            self._log_failure(fingerprint, result.err_value.value)

    def read(self, *, is_fresh: bool = False) -> bool:
        """Read all entries unless they were read recently.

        For processes that do not read the board, when they start a job; later
        changes reach them as updates.

        :param is_fresh: whether to read in any case, and what is stored now.
        :returns: false if the store does not answer.
        """
        now = time.monotonic()
        is_recent = now - self._read_at < MIN_READ_INTERVAL_SECONDS
        if is_recent and not is_fresh:
            return True
        self._read_at = now
        listed = self._store.list_prefix(
            storekeys.REFUSED, allow_stale=not is_fresh
        )
        if isinstance(listed, Err):
            return False
        board = Board()
        for entry in listed.ok_value.entries:
            board.put(entry)
        self.load(board.refused)
        return True

    def load(self, entries: Mapping[str, QuarantineEntry]) -> None:
        """Merge stored entries into what this process knows.

        :param entries: the entries by fingerprint.
        """
        now = time.time()
        for fingerprint, entry in entries.items():
            age = max(0, now - entry.kept_at) if entry.kept_at else 0
            if age > MEMORY_SECONDS + MAX_CLOCK_SKEW_SECONDS:
                gevent.spawn(self.forget, fingerprint)
            elif age <= MEMORY_SECONDS:
                self._suspicions.merge(
                    SuspicionUpdate(
                        tuple(add_age(entry.ends, age)),
                        condemned=(fingerprint,) if entry.is_proved else (),
                        parts=add_part_age(entry.parts, age),
                    )
                )

    def _begin_write(self, name: str) -> None:
        is_writing = bool(self._unwritten)
        self._unwritten.add(name)
        if not is_writing:
            gevent.spawn(self._write_all)

    def _write_all(self) -> None:
        """Write until the store has accepted all entries."""
        while self._unwritten:
            for fingerprint in tuple(self._unwritten):
                self._write(fingerprint)
            if self._unwritten:
                self._wait(RETRY_DELAY_SECONDS)

    def _write(self, fingerprint: str) -> None:
        is_culprit = fingerprint in self._suspicions.parts.culprits.by_name
        if not is_culprit and not self._is_stored(fingerprint):
            # It was cleared before it could be written.
            self._unwritten.discard(fingerprint)
            return
        key = storekeys.name_key(storekeys.REFUSED, fingerprint)
        content = self._encode(fingerprint)
        result = self._store.commit(Commit(writes={key: content}))
        if isinstance(result, Err):
            self._log_failure(fingerprint, result.err_value.value)
            self._replicate(fingerprint)
            if result.err_value is Failure.rejected:
                self._unwritten.discard(fingerprint)
        else:
            self._unwritten.discard(fingerprint)
            self._replicated.discard(fingerprint)

    def _is_stored(self, fingerprint: str) -> bool:
        suspect = self._suspicions.suspects.get(fingerprint)
        if suspect is None or suspect.is_culprit:
            return suspect is not None
        is_item = any(crash.is_item for crash in suspect.crashes)
        return is_item and needs_pauses(suspect)

    def _replicate(self, fingerprint: str) -> None:
        """Copy an entry to the disks unless it was copied before."""
        if fingerprint not in self._replicated:
            self._replicated.add(fingerprint)
            self.replicate(fingerprint, self._encode(fingerprint))

    def _encode(self, fingerprint: str) -> bytes:
        parts = self._suspicions.parts.describe_culprit(fingerprint)
        if parts.culprits:
            return msgspec.json.encode(
                QuarantineEntry((), time.time(), parts=parts)
            )
        crashes = tuple(self._suspicions.list_crashes(fingerprint))
        is_proved = self._suspicions.is_refused(fingerprint)
        return msgspec.json.encode(
            QuarantineEntry(crashes, time.time(), is_proved),
        )

    def _log_failure(self, fingerprint: str, reason: str) -> None:
        log_event(Event.refusal_unkept, fingerprint=fingerprint, why=reason)


def _ignore_entry(_fingerprint: str, _content: bytes) -> None:
    """Do nothing, in processes that do not know the disks."""
