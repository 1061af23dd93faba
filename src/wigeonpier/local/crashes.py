"""Reports the crashes of the upstream to the fleet."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.membership.ends import CrashDetector
from wigeonpier.policy.itemloss import SAME_CRASH_SECONDS
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.membership.upstreamlosses import UpstreamLosses


@dataclass(slots=True)
class CrashObserver:
    """Records crashes of the upstream of this process.

    :param name: name of this VM.
    :param start_id: random id of this start of the process.
    :param address: ``host:port`` of the upstream.
    :param crash_detector: detects whether the upstream has crashed.
    :param losses: crashes of all upstreams.
    :param on_crash: called after a crash, to notify the entries soon.
    """

    name: str
    start_id: str
    address: str
    crash_detector: CrashDetector
    losses: UpstreamLosses
    on_crash: Callable[[], None]
    _crashes: int = 0
    _crashed_at: float = -math.inf

    def check(self) -> None:
        """Record a crash if the upstream refuses connections."""
        if self.crash_detector.has_crashed(self.name, self.address):
            self.record()

    def record(self) -> None:
        """Record a crash; all runs that were lost in it may report it."""
        now = time.monotonic()
        if now - self._crashed_at >= SAME_CRASH_SECONDS:
            self._crashed_at = now
            self._crashes += 1
            identity = f'{self.name}/{self.start_id}/{self._crashes}'
            self.losses.record(identity, self.name)
        self.on_crash()


def make_crash_detector() -> CrashDetector:
    """Create a detector with connections of its own.

    :returns: the detector.
    """
    return CrashDetector(ConnectionPool())
