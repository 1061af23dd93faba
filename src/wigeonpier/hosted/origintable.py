"""Remembers what began recent streams."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.policy.streamorigin import StreamOrigin

# Longer than callers resume a stream; routes time out within seconds.
KEEP_SECONDS = 60.0
# About 8 MB; an entry begins some 43 streams a second at the target size.
MAX_STREAMS = 32_768


class OriginTable:
    """Origins of recent streams, by key of the attempt."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty table.

        :param clock: returns seconds.
        """
        self._clock = clock
        # Oldest first.
        self._known: dict[str, tuple[float, StreamOrigin]] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._known)

    def record(self, key: str, origin: StreamOrigin) -> None:
        """Record what began a stream; the first record of a stream holds.

        :param key: key of the attempt.
        :param origin: what began it.
        """
        now = self._clock()
        self._expire(now)
        self._known.setdefault(key, (now, origin))

    def find(self, key: str) -> StreamOrigin | None:
        """Look up what began a stream.

        :param key: key of the attempt.
        :returns: its origin, ``None`` if it is not recorded.
        """
        known = self._known.get(key)
        return known[1] if known else None

    def list_recent(self, seconds: float) -> dict[str, StreamOrigin]:
        """List the streams that were recorded last.

        :param seconds: longest age.
        :returns: origins by key.
        """
        oldest = self._clock() - seconds
        return {
            key: origin
            for key, (recorded_at, origin) in self._known.items()
            if recorded_at > oldest
        }

    def _expire(self, now: float) -> None:
        oldest = now - KEEP_SECONDS
        while self._known:
            key, (recorded_at, _origin) = next(iter(self._known.items()))
            if recorded_at > oldest and len(self._known) < MAX_STREAMS:
                return
            self._known.pop(key)
