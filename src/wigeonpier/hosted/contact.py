"""Tracks whether the store answers this process.

During an outage one probe at a time is sent for all views of the process.
They wait for its answer, or for that of any other call, so that an outage
costs few calls and all views resume at once when it ends.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Signal

from wigeonpier.loops import spawn_loop
from wigeonpier.policy.outage import may_have_expired
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.platform.port import StorePath
    from wigeonpier.platform.store import KeyValueStore
    from wigeonpier.policy.outage import OutagePlan

# Spreads the probes of processes that lost the store at the same moment.
SPREAD = (0.5, 1.0)
# Bounds the wait in case the wake-up is missed.
MAX_WAIT_SECONDS = 3.0


class StoreHealth:
    """Tracks the outcome of each call; probes the store while it is unreachable."""

    def __init__(
        self,
        store: KeyValueStore,
        plan: OutagePlan,
        rng: random.Random,
    ) -> None:
        """Track the calls of a store; probe it once started."""
        self.plan = plan
        # When the last outage ended; minus infinity before the first one.
        self.regained_at = -math.inf
        self._answered_at = time.monotonic()
        self._failed_at: float = 0
        # When the last answered call was made, and the last one before the
        # outage.
        self._asked_at = self._answered_at
        self._answered_until = self._answered_at
        self._lost_at: float = 0
        self._store = store
        self._rng = rng
        # Finds a process that relays calls to the store; none until it is set.
        self.find_relay: Callable[[], StorePath | None] = lambda: None
        self._unreachable = Signal()
        self._reachable = Signal()
        self._reachable.set()
        store.calls.on_outcome = self.record_call
        store.calls.find_relay_path = self.find_relay_path

    @property
    def is_unreachable(self) -> bool:
        """Check whether the last call that was started got no answer."""
        return self._unreachable.is_set()

    def has_answered_since(self, moment: float) -> bool:
        """Check whether the store has answered after a moment.

        :param moment: seconds of the monotonic clock.
        :returns: true if any call was answered later.
        """
        return self._answered_at > moment

    def has_been_reachable_since(self, moment: float) -> bool:
        """Check whether the store has been reachable since a moment.

        :param moment: seconds of the monotonic clock.
        :returns: false if a call that was started then may never be answered.
        """
        return not self.is_unreachable and self._lost_at < moment

    def start(self) -> None:
        """Start to probe the store whenever it is unreachable."""
        spawn_loop('store contact', self._step)

    def record_call(self, started_at: float, *, is_answered: bool) -> None:
        """Record the outcome of a call.

        :param started_at: when the call was made; a failure is ignored if the
            store has answered since, as with a watch that was aborted, and an
            answer to a call that was made before the store was lost, as with a
            watch that waited, does not end the outage.
        :param is_answered: whether the store answered it.
        """
        if is_answered:
            if self.is_unreachable and started_at < self._failed_at:
                return
            self._answered_at = time.monotonic()
            self._asked_at = max(self._asked_at, started_at)
            if self.is_unreachable:
                self._record_return(self._answered_at)
        elif started_at >= self._answered_at and not self.is_unreachable:
            self._failed_at = started_at
            self._answered_until = self._asked_at
            self._lost_at = time.monotonic()
            self._reachable.clear()
            self._unreachable.set()
            log_event(Event.platform_lost)

    def find_relay_path(self) -> StorePath | None:
        """Choose a process that relays a call to the store.

        :returns: the path to it, ``None`` as long as the store answers this
            process.
        """
        return self.find_relay() if self.is_unreachable else None

    def probe(self) -> None:
        """Probe the store."""
        self._store.probe(self.plan.call)

    def wait(self, seconds: float) -> None:
        """Wait before a failed call is repeated.

        :param seconds: pause if the store answers other calls or a process
            relays them; otherwise its first answer ends the wait.
        """
        if self.is_unreachable and self.find_relay() is None:
            self._reachable.wait(MAX_WAIT_SECONDS)
        else:
            gevent.sleep(seconds)

    def _record_return(self, now: float) -> None:
        lost_seconds = now - self._failed_at
        aborted_since = self._answered_until
        if may_have_expired(lost_seconds):
            self.regained_at = now
            aborted_since = -math.inf
        self._unreachable.clear()
        # A watch that was requested during the outage, or whose answer was due
        # then, may never be answered: items of a cancelled job were run for
        # 4.8 and 13 s after its end.
        self._store.calls.abort_watches(aborted_since)
        self._reachable.set()
        log_event(Event.platform_found, after=round(lost_seconds, 3))

    def _step(self) -> None:
        self._unreachable.wait()
        gevent.sleep(self.plan.pause * self._rng.uniform(*SPREAD))
        if self.is_unreachable:
            self.probe()
