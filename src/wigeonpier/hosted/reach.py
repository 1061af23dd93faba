"""Detects whether this process is isolated from store and upstreams."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from wigeonpier.loops import spawn_loop
from wigeonpier.policy import isolation
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.hosted.contact import StoreHealth

# Isolation is detected at most this much late.
CHECK_INTERVAL_SECONDS = 0.1


class IsolationDetector:
    """Tracks contact with upstreams, and probes the store if there is none."""

    def __init__(self, store_health: StoreHealth) -> None:
        """Count as connected until a first contact was lost."""
        self.is_isolated = False
        self._store_health = store_health
        self._last_contact_at: float | None = None

    def start(self) -> None:
        """Start the periodic check."""
        spawn_loop('reach', self._step)

    def record_contact(self) -> None:
        """Record an answer or a message of an upstream or a worker."""
        self._last_contact_at = time.monotonic()
        if self.is_isolated:
            self.is_isolated = False
            log_event(Event.reach_regained)

    def _step(self) -> None:
        gevent.sleep(CHECK_INTERVAL_SECONDS)
        if self._last_contact_at is None:
            return
        silent_seconds = time.monotonic() - self._last_contact_at
        if (
            isolation.should_probe_store(silent_seconds)
            and not self._store_health.is_unreachable
        ):
            # Without a call an unreachable store is not detected.
            self._store_health.probe()
        is_isolated = isolation.is_isolated(
            time.monotonic() - self._last_contact_at,
            has_store=not self._store_health.is_unreachable,
        )
        if is_isolated and not self.is_isolated:
            log_event(Event.reach_lost, silent=round(silent_seconds, 3))
        self.is_isolated = is_isolated
