"""A process's view of all keys under a prefix, kept fresh by a watch."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.loops import spawn_loop
from wigeonpier.platform.port import Change, Entry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.platform.port import WatchedStore

FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 5.0
SPREAD = (0.5, 1.5)


@dataclass(slots=True)
class PrefixView:
    """Keys under a prefix as last seen.

    :param platform: the port.
    :param prefix: what is watched.
    :param on_change: called with each change, in order.
    :param draw: spreads the return of many processes after an outage.
    :param entries: keys as last seen.
    :param is_complete: whether all keys were read once.
    :param lost_at: since when the service does not answer, 0 while it does.
    :param pause: seconds until it is tried again.
    :param longest_pause: most seconds until it is tried again.
    :param regained_at: when it last answered again after a loss.
    """

    platform: WatchedStore
    prefix: str
    on_change: Callable[[Change], None]
    draw: random.Random
    entries: dict[str, Entry] = field(default_factory=dict)
    is_complete: bool = False
    lost_at: float = 0
    pause: float = FIRST_PAUSE_SECONDS
    longest_pause: float = LONGEST_PAUSE_SECONDS
    regained_at: float = 0

    def start(self) -> None:
        """Begin to watch."""
        spawn_loop(f'watch {self.prefix}', self._run)

    def _run(self) -> None:
        if self._follow():
            self.pause = FIRST_PAUSE_SECONDS
        else:
            self.lost_at = self.lost_at or time.monotonic()
        gevent.sleep(self.pause * self.draw.uniform(*SPREAD))
        self.pause = min(self.longest_pause, self.pause * 2)

    def _follow(self) -> bool:
        listed = self.platform.list_prefix(self.prefix)
        if isinstance(listed, Err):
            return False
        snapshot = listed.ok_value
        if self.lost_at:
            self.regained_at = time.monotonic()
        self.lost_at = 0
        fresh = {entry.key: entry for entry in snapshot.entries}
        for key in set(self.entries) - set(fresh):
            self._apply(Change(key, None, snapshot.revision))
        for entry in snapshot.entries:
            known = self.entries.get(entry.key)
            if known is None or known.revision != entry.revision:
                self._apply(
                    Change(
                        entry.key,
                        entry.value,
                        entry.revision,
                        entry.created,
                    ),
                )
        self.is_complete = True
        for change in self.platform.watch(self.prefix, snapshot.revision):
            self._apply(change)
        return True

    def _apply(self, change: Change) -> None:
        if change.value is None:
            self.entries.pop(change.key, None)
        else:
            self.entries[change.key] = Entry(
                change.key,
                change.value,
                change.revision,
                change.created,
            )
        self.on_change(change)
