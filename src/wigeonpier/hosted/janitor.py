"""Removes jobs that need not be readable any more from the store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.loops import spawn_loop
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.ledger import JobLedger

# One call a minute and process with a disk.
SWEEP_SECONDS = 60.0
# The day's clock may differ between VMs, and a job may have come late to the
# store; nothing is gained by haste.
KEEP_FACTOR = 3.0


class Janitor:
    """Looks for old jobs now and then."""

    def __init__(
        self,
        ledger: JobLedger,
        readable_seconds: float,
        draw: random.Random,
    ) -> None:
        """Remove jobs that were readable for long enough."""
        self._ledger = ledger
        self._keep_seconds = readable_seconds * KEEP_FACTOR
        self._draw = draw

    def start(self) -> None:
        """Begin to look."""
        spawn_loop('janitor', self._step)

    def sweep(self, now: float) -> None:
        """Remove what is too old.

        :param now: seconds of the day's clock.
        """
        read = self._ledger.read_ages()
        if isinstance(read, Err):
            return
        for job, sent_at in read.ok_value.items():
            if now - sent_at > self._keep_seconds:
                removed = self._ledger.remove(job)
                log_event(
                    Event.job_removed,
                    job=job,
                    age=round(now - sent_at),
                    whole=removed.is_ok(),
                )

    def _step(self) -> None:
        gevent.sleep(SWEEP_SECONDS * self._draw.uniform(1, 2))
        self.sweep(time.time())
