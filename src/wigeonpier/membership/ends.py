"""Detects whether an upstream crashed or only a connection to it broke.

A connection breaks for many reasons.  If the process behind it has crashed,
its VM refuses the next connection at once; the register shows this only when
the lease has expired, some heartbeats later.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.pool import Listening

if TYPE_CHECKING:
    from wigeonpier.web.pool import ConnectionPool

# A VM in the next data centre answers within 3 ms, a busy process within some
# tens of milliseconds; a VM that takes longer is gone or unreachable.
PROBE_TIMEOUT_SECONDS = 0.1
# No process crashes twice within this time, since it takes longer to start.
SAME_CRASH_SECONDS = 1.0


@dataclass(slots=True)
class CrashDetector:
    """Probes addresses, each with at most one probe at a time.

    :param pool: connections; one that a probe opens is kept there.
    """

    pool: ConnectionPool
    _crashed: dict[str, float] = field(default_factory=dict)
    _probes: dict[str, gevent.Greenlet[..., None]] = field(
        default_factory=dict,
    )

    def has_crashed(self, upstream: str, address: str) -> bool:
        """Check whether the process behind a broken connection has crashed.

        :param upstream: id of the upstream.
        :param address: ``host:port`` at which it listened.
        :returns: true where the address refuses connections; false also
            without an answer in time, since a network partition looks the
            same.
        """
        if self._crashed_recently(upstream):
            return True
        probe = self._probes.get(upstream)
        if probe is None:
            probe = gevent.spawn(self._probe, upstream, address)
            self._probes[upstream] = probe
        probe.join(PROBE_TIMEOUT_SECONDS)
        return self._crashed_recently(upstream)

    def _crashed_recently(self, upstream: str) -> bool:
        crashed_at = self._crashed.get(upstream)
        if crashed_at is None:
            return False
        return time.monotonic() - crashed_at < SAME_CRASH_SECONDS

    def _probe(self, upstream: str, address: str) -> None:
        listener = self.pool.find_listener(address, PROBE_TIMEOUT_SECONDS)
        self._probes.pop(upstream)
        if listener is not Listening.refused:
            return
        now = time.monotonic()
        self._crashed = {
            other: crashed_at
            for other, crashed_at in self._crashed.items()
            if now - crashed_at < SAME_CRASH_SECONDS
        }
        self._crashed[upstream] = now
        log_event(Event.upstream_ended, upstream=upstream, address=address)
