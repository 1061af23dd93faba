"""A process's view of all keys under a prefix, kept fresh by a watch."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

import gevent
from result import Err

from wigeonpier.loops import spawn_loop
from wigeonpier.platform.port import Change, Entry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.platform.port import WatchedStore

# Makes a view of a prefix whose changes go to a callback.
ViewFactory: TypeAlias = 'Callable[[str, Callable[[Change], None]], PrefixView]'

FIRST_PAUSE_SECONDS = 0.2
# News has to be in force within 2 s, also where a call or two were lost.
LONGEST_PAUSE_SECONDS = 0.6
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
    :param pause: seconds until it is tried again.
    :param wait: waits so many seconds, less where news makes it worth trying.
    """

    platform: WatchedStore
    prefix: str
    on_change: Callable[[Change], None]
    draw: random.Random
    entries: dict[str, Entry] = field(default_factory=dict)
    is_complete: bool = False
    pause: float = FIRST_PAUSE_SECONDS
    wait: Callable[[float], object] = gevent.sleep

    def start(self) -> None:
        """Begin to watch."""
        spawn_loop(f'watch {self.prefix}', self._run)

    def _run(self) -> None:
        if self._follow():
            self.pause = FIRST_PAUSE_SECONDS
        self.wait(self.pause * self.draw.uniform(*SPREAD))
        self.pause = min(LONGEST_PAUSE_SECONDS, self.pause * 2)

    def _follow(self) -> bool:
        listed = self.platform.list_prefix(self.prefix)
        if isinstance(listed, Err):
            return False
        snapshot = listed.ok_value
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
