"""Stores quarantine entries on this disk.

It guards against the loss of all processes before a request that crashes
upstreams is refused, or while the store is unavailable.  Without a copy on
disk, what the processes knew would be lost, and the request would crash as
many upstreams again.  The entry of a refused request stays here until the
store has it, that of a suspected request for some minutes.
"""

from __future__ import annotations

import re
import time
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from gevent.event import Event as Signal
from result import Err

from wigeonpier.disk.storage import call_in_thread, replace_file
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.news import QuarantineEntry
from wigeonpier.loops import spawn_loop
from wigeonpier.membership.updates import add_age, add_part_age
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Commit
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import Request, Response, answer_json, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.platform.store import KeyValueStore

QUARANTINE_PATH = '/refusals'
FOLDER = 'refusals'
# No other file names are accepted.
FINGERPRINT_PATTERN = '([0-9a-f]{32})'
MAX_ENTRY_BYTES = 64_000
MAX_ENTRIES = 4096
# Counted from when the entry was received or the process started.
SUSPICION_TTL_SECONDS = 300.0
RETRY_DELAY_SECONDS = 0.3


class QuarantineReplica:
    """Stores entries, serves them, and writes them to the store."""

    def __init__(
        self,
        folder: str,
        store: KeyValueStore,
        wait: Callable[[float], object],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read the entries from the folder.

        :param folder: data folder of this process.
        :param store: the key-value service.
        :param wait: waits for a number of seconds and until the store is
            available.
        :param clock: gives the seconds of a monotonic clock; wall clocks
            differ between VMs.
        """
        self._clock = clock
        self._root = Path(folder) / FOLDER
        self._root.mkdir(parents=True, exist_ok=True)
        self._store = store
        self._wait = wait
        self._entries = dict(self._read_all())
        self._stored_at = dict.fromkeys(self._entries, clock())
        self._has_changes = Signal()
        self._has_changes.set()

    def start(self) -> None:
        """Begin to write entries to the store."""
        spawn_loop('refusals', self._write_pending)

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes.
        """
        return [
            make_route(
                'PUT', f'{QUARANTINE_PATH}/{FINGERPRINT_PATTERN}', self._put
            ),
            make_route('GET', QUARANTINE_PATH, self._list),
        ]

    def _put(self, request: Request, fingerprint: str) -> Response:
        request.body_limit = MAX_ENTRY_BYTES
        raw = request.read_body()
        entry = decode_body(raw, QuarantineEntry)
        self._delete_expired()
        while (
            len(self._entries) >= MAX_ENTRIES
            and fingerprint not in self._entries
        ):
            self._delete(self._choose_oldest())
        try:
            call_in_thread(replace_file, self._root / fingerprint, raw)
        except OSError as error:
            raise Refusal(ErrorKind.storage_down, str(error)) from error
        self._entries[fingerprint] = entry
        self._stored_at[fingerprint] = self._clock()
        self._has_changes.set()
        log_event(Event.refusal_held, fingerprint=fingerprint)
        return Response(HTTPStatus.OK, b'{}')

    def _list(self, _request: Request) -> Response:
        self._delete_expired()
        now = self._clock()
        return answer_json(
            {
                fingerprint: _update_ages(
                    entry,
                    now - self._stored_at[fingerprint],
                )
                for fingerprint, entry in self._entries.items()
            },
        )

    def _write_pending(self) -> None:
        self._has_changes.wait()
        self._has_changes.clear()
        for fingerprint, entry in tuple(self._entries.items()):
            if entry.is_proved and not self._write_to_store(fingerprint):
                self._wait(RETRY_DELAY_SECONDS)
                self._has_changes.set()
                return

    def _write_to_store(self, fingerprint: str) -> bool:
        key = storekeys.name_key(storekeys.REFUSED, fingerprint)
        content = msgspec.json.encode(self._entries[fingerprint])
        written = self._store.commit(Commit(writes={key: content}))
        if isinstance(written, Err):
            return False
        self._delete(fingerprint)
        return True

    def _delete_expired(self) -> None:
        """Drop expired entries of suspected requests."""
        oldest = self._clock() - SUSPICION_TTL_SECONDS
        for fingerprint, entry in tuple(self._entries.items()):
            is_old = self._stored_at[fingerprint] < oldest
            if not entry.is_proved and is_old:
                self._delete(fingerprint)

    def _choose_oldest(self) -> str:
        """Choose the entry to evict: suspected requests first, then by age."""
        return min(
            self._entries,
            key=lambda name: (
                self._entries[name].is_proved,
                self._stored_at[name],
            ),
        )

    def _delete(self, fingerprint: str) -> None:
        (self._root / fingerprint).unlink(missing_ok=True)
        self._entries.pop(fingerprint, None)
        self._stored_at.pop(fingerprint, None)

    def _read_all(self) -> list[tuple[str, QuarantineEntry]]:
        entries = []
        for path in self._root.iterdir():
            if not re.fullmatch(FINGERPRINT_PATTERN, path.name):
                # A temporary file of an interrupted write.
                path.unlink(missing_ok=True)
                continue
            try:
                entry = msgspec.json.decode(
                    path.read_bytes(),
                    type=QuarantineEntry,
                )
            except (OSError, msgspec.DecodeError) as error:
                # Truncated by a power loss, so that its write was never
                # confirmed.
                log_event(
                    Event.refusal_unkept,
                    fingerprint=path.name,
                    why=str(error),
                )
                path.unlink(missing_ok=True)
            else:
                entries.append((path.name, _drop_proofs(entry)))
        return entries


def _drop_proofs(entry: QuarantineEntry) -> QuarantineEntry:
    """Drop the proofs of an entry of unknown age.

    As new ones they would end the refusal of parts that crash upstreams since.
    """
    parts = msgspec.structs.replace(entry.parts, proofs=())
    return msgspec.structs.replace(entry, parts=parts)


def _update_ages(entry: QuarantineEntry, seconds: float) -> QuarantineEntry:
    """Add the time since an entry was received to the ages of its crashes."""
    return QuarantineEntry(
        tuple(add_age(entry.ends, seconds)),
        0,
        entry.is_proved,
        add_part_age(entry.parts, seconds),
    )
