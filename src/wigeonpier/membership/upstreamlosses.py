"""Keeps the recent crashes of all upstreams, as processes report them."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.policy.itemloss import UpstreamLoss

if TYPE_CHECKING:
    from collections.abc import Iterable

# Longer than most runs of an item, which is judged by crashes since its start.
MEMORY_SECONDS = 300.0
# Reports are repeated for this long, in case some of them are lost.
REPORTED_SECONDS = 15.0
# At 60 bytes each.  A receiver adds them to those of earlier heartbeats.
MAX_REPORTED = 64


class LossReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream in a message.

    :param identity: identifies the crash.
    :param upstream: name of its VM.
    :param age: seconds since the crash.
    """

    identity: str
    upstream: str
    age: float


class UpstreamLosses:
    """Crashes of upstreams of the last minutes."""

    def __init__(self) -> None:
        """Start without crashes."""
        # By an id, which is the same in all reports of one crash.
        self.losses: dict[str, UpstreamLoss] = {}
        # The last report of another process, seconds of the monotonic clock.
        self.informed_at = -math.inf

    @property
    def last_at(self) -> float:
        """Return when the last crash was, seconds of the monotonic clock."""
        return max(
            (loss.at for loss in self.losses.values()), default=-math.inf
        )

    def record(self, identity: str, upstream: str, age: float = 0) -> None:
        """Record a crash; a repeated report changes nothing.

        :param identity: identifies the crash.
        :param upstream: name of the VM.
        :param age: seconds since the crash.
        """
        now = time.monotonic()
        self.losses = {
            known: loss
            for known, loss in self.losses.items()
            if now - loss.at < MEMORY_SECONDS
        }
        self.losses.setdefault(identity, UpstreamLoss(upstream, now - age))

    def merge(self, reports: Iterable[LossReport]) -> None:
        """Merge the reports of another process.

        :param reports: the reports.
        """
        self.informed_at = time.monotonic()
        for report in reports:
            self.record(report.identity, report.upstream, report.age)

    def describe(self) -> tuple[LossReport, ...]:
        """Describe the latest crashes for other processes.

        :returns: reports.
        """
        now = time.monotonic()
        recent = [
            LossReport(identity, loss.upstream, round(now - loss.at, 3))
            for identity, loss in self.losses.items()
            if now - loss.at < REPORTED_SECONDS
        ]
        return tuple(recent[-MAX_REPORTED:])
