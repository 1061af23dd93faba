"""Measures the batch items of this worker for the load feed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wigeonpier.policy.backlog import (
    SlotAverage,
    predict_queue,
    report_backlog,
    report_closed,
)

if TYPE_CHECKING:
    from wigeonpier.hosted.runner import ItemRunner
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.policy.backlog import QueueOutlook
    from wigeonpier.reports import ItemBacklog

# Each of 20 entries reads the backlog ten times a second.
MEASURE_INTERVAL_SECONDS = 0.1


class BacklogMeter:
    """Predicts when items complete here, by the slots that items get."""

    def __init__(
        self, vm: str, upstream: LocalUpstream, runner: ItemRunner
    ) -> None:
        """Measure the items of a runner.

        :param vm: name of this process's VM.
        :param upstream: the upstream on this VM.
        :param runner: runs the items.
        """
        self.vm = vm
        self._upstream = upstream
        self._runner = runner
        self._average = SlotAverage()
        self._measured_at: float = 0
        self._reported: ItemBacklog | None = None

    @property
    def slots(self) -> float:
        """Return the slots that items get on average."""
        return self._average.slots or 0

    @property
    def may_take_items(self) -> bool:
        """Check whether items that are assigned now would be run."""
        if self._runner.is_leaving or not self._upstream.is_usable:
            return False
        return not self._runner.breaker.is_open(time.monotonic())

    def read(self) -> ItemBacklog:
        """Read the backlog for the load feed.

        :returns: the backlog; one that keeps other items away while no items
            would be run here.
        """
        now = time.monotonic()
        reported = self._reported
        is_due = now - self._measured_at >= MEASURE_INTERVAL_SECONDS
        if reported is None or is_due:
            self._measured_at = now
            reported = self._measure()
            self._reported = reported
        return reported

    def predict(self) -> QueueOutlook:
        """Predict when the items here run.

        :returns: the outlook.
        """
        seen = self._runner.observe()
        upstream = seen.upstream
        online = max(0, upstream.running + upstream.waiting - seen.running)
        free = max(0, upstream.slots - online)
        self._average.record(free, time.monotonic())
        return predict_queue(upstream, seen.items, self.slots)

    def _measure(self) -> ItemBacklog:
        run_seconds = self._runner.observe().lengths.measured_seconds
        if not self.may_take_items:
            return report_closed(self.vm, run_seconds)
        return report_backlog(
            self.vm, self.predict(), run_seconds, self._reported
        )
