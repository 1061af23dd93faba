"""A local copy of all keys under a prefix, updated by a watch."""

from __future__ import annotations

import math
import time
import traceback
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

import gevent
from gevent.event import Event as Signal
from result import Err

from wigeonpier.invariants import InvariantError
from wigeonpier.loops import spawn_loop
from wigeonpier.platform.port import Change, Entry
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.platform.port import WatchedStore

# Makes a watcher of a prefix that reports changes to a callback.
WatcherFactory: TypeAlias = (
    'Callable[[str, Callable[[Change], None]], PrefixWatcher]'
)

INITIAL_PAUSE_SECONDS = 0.2
# Updates have to apply within 2 s, even if one or two calls are lost.
MAX_PAUSE_SECONDS = 0.6
PAUSE_JITTER = (0.5, 1.5)


@dataclass(slots=True)
class PrefixWatcher:
    """Local copy of the keys under a prefix.

    :param platform: the key-value service.
    :param prefix: start of the watched keys.
    :param on_change: called with each change, in order.
    :param rng: spreads the reads of many processes after an outage.
    :param entries: last known entry of each key.
    :param is_complete: whether all keys were read once.
    :param completed_at: when they were, seconds of the monotonic clock.
    :param pause: seconds until the next attempt.
    :param wait: waits for a number of seconds, or less where an attempt can
        succeed earlier.
    """

    platform: WatchedStore
    prefix: str
    on_change: Callable[[Change], None]
    rng: random.Random
    entries: dict[str, Entry] = field(default_factory=dict)
    is_complete: bool = False
    completed_at: float = math.inf
    pause: float = INITIAL_PAUSE_SECONDS
    wait: Callable[[float], object] = gevent.sleep
    _is_urgent: Signal = field(default_factory=Signal)
    # Revisions of the keys that could not be applied; each is logged once.
    _failed: dict[str, int] = field(default_factory=dict)

    def start(self) -> None:
        """Start the watch."""
        spawn_loop(f'watch {self.prefix}', self._run)

    def hurry(self) -> None:
        """Skip the current and the next pause between two calls of the watch.

        The call after the current pause returns what has changed so far, and
        the change that is needed may come just after it.  This costs at most
        two calls.
        """
        self._is_urgent.set()

    def _run(self) -> None:
        if self._follow():
            self.pause = INITIAL_PAUSE_SECONDS
        self.wait(self.pause * self.rng.uniform(*PAUSE_JITTER))
        self.pause = min(MAX_PAUSE_SECONDS, self.pause * 2)

    def _follow(self) -> bool:
        listed = self.platform.list_prefix(self.prefix)
        if isinstance(listed, Err):
            return False
        snapshot = listed.ok_value
        listed_keys = {entry.key: entry for entry in snapshot.entries}
        for key in set(self.entries) - set(listed_keys):
            self._apply(Change(key, None, snapshot.revision))
        for entry in snapshot.entries:
            previous = self.entries.get(entry.key)
            if previous is None or previous.revision != entry.revision:
                self._apply(
                    Change(
                        entry.key,
                        entry.value,
                        entry.revision,
                        entry.created,
                    ),
                )
        self.is_complete = True
        self.completed_at = min(self.completed_at, time.monotonic())
        for change in self.platform.watch(
            self.prefix,
            snapshot.revision,
            self._gather,
        ):
            self._apply(change)
        return True

    def _gather(self, seconds: float) -> None:
        if self._is_urgent.is_set():
            self._is_urgent.clear()
        else:
            # Stays set if it ends the pause, which skips the next one too.
            self._is_urgent.wait(seconds)

    def _apply(self, change: Change) -> None:
        if change.value is None:
            self.entries.pop(change.key, None)
            self._failed.pop(change.key, None)
        else:
            self.entries[change.key] = Entry(
                change.key,
                change.value,
                change.revision,
                change.created,
            )
        try:
            self.on_change(change)
        except InvariantError:
            raise
        except Exception:
            # The keys behind it are followed nevertheless.
            self._log_failure(change)

    def _log_failure(self, change: Change) -> None:
        if self._failed.get(change.key) == change.revision:
            return
        self._failed[change.key] = change.revision
        log_event(
            Event.key_unreadable,
            key=change.key,
            revision=change.revision,
            trace=traceback.format_exc(),
        )
