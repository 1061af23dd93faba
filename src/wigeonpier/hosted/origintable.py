"""Remembers what began recent streams."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.policy.streamorigin import is_content_key, merge_origins

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.policy.streamorigin import StreamOrigin

# Longer than callers resume a stream; routes time out within seconds.
KEEP_SECONDS = 60.0
# About 8 MB; an entry begins some 43 streams a second at the target size.
MAX_STREAMS = 32_768


@dataclass(frozen=True, slots=True)
class PlacedOrigin:
    """What began a stream, and by which key its keepers are chosen.

    :param place: the key.
    :param origin: what began the stream.
    """

    place: str
    origin: StreamOrigin


@dataclass(frozen=True, slots=True)
class _Record:
    recorded_at: float
    origin: StreamOrigin
    place: str


class OriginTable:
    """Origins of recent streams, by attempt and by content of the request."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty table.

        :param clock: returns seconds.
        """
        self._clock = clock
        # Oldest first.
        self._known: dict[str, _Record] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._known)

    def record(self, key: str, origin: StreamOrigin, place: str = '') -> None:
        """Record what began a stream.

        The first record of an attempt holds; those of requests with the same
        content are merged.

        :param key: key of the record.
        :param origin: what began the stream.
        :param place: key by which its keepers are chosen, its own by default.
        """
        now = self._clock()
        self._expire(now)
        known = self._known.get(key)
        if known is None:
            self._known[key] = _Record(now, origin, place or key)
        elif is_content_key(key):
            self._known.pop(key)
            merged = merge_origins(known.origin, origin)
            self._known[key] = _Record(now, merged, known.place)

    def find(self, key: str) -> StreamOrigin | None:
        """Look up what began a stream.

        :param key: key of the attempt.
        :returns: its origin, ``None`` if it is not recorded.
        """
        known = self._known.get(key)
        return known.origin if known else None

    def list_recent(self, seconds: float) -> dict[str, PlacedOrigin]:
        """List the streams that were recorded last.

        :param seconds: longest age.
        :returns: origins and places by key.
        """
        oldest = self._clock() - seconds
        return {
            key: PlacedOrigin(record.place, record.origin)
            for key, record in self._known.items()
            if record.recorded_at > oldest
        }

    def _expire(self, now: float) -> None:
        oldest = now - KEEP_SECONDS
        while self._known:
            key, record = next(iter(self._known.items()))
            if record.recorded_at > oldest and len(self._known) < MAX_STREAMS:
                return
            self._known.pop(key)
