"""Removes jobs from the store after the time they must stay readable."""

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

# One call per minute and process with a disk.
SCAN_INTERVAL_SECONDS = 60.0
# A job may reach the store late.
RETENTION_FACTOR = 3.0


class Janitor:
    """Removes old jobs periodically."""

    def __init__(
        self,
        ledger: JobLedger,
        readable_seconds: float,
        rng: random.Random,
    ) -> None:
        """Remove jobs after a multiple of the readable time, in seconds."""
        self._ledger = ledger
        self._retention_seconds = readable_seconds * RETENTION_FACTOR
        self._rng = rng
        # When each job was first seen, seconds of the monotonic clock.  With
        # the wall clock, a VM whose clock is ahead would remove open jobs.
        self._first_seen: dict[str, float] = {}

    def start(self) -> None:
        """Start the periodic scans."""
        spawn_loop('janitor', self._step)

    def scan(self, now: float) -> None:
        """Remove the jobs that are too old.

        :param now: seconds of the monotonic clock.
        """
        read = self._ledger.read_accept_times()
        if isinstance(read, Err):
            return
        self._first_seen = {
            job: self._first_seen.get(job, now) for job in read.ok_value
        }
        for job, seen_at in self._first_seen.items():
            if now - seen_at > self._retention_seconds:
                removed = self._ledger.remove(job)
                log_event(
                    Event.job_removed,
                    job=job,
                    age=round(now - seen_at),
                    whole=removed.is_ok(),
                )

    def _step(self) -> None:
        gevent.sleep(SCAN_INTERVAL_SECONDS * self._rng.uniform(1, 2))
        self.scan(time.monotonic())
