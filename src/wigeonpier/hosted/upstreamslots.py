"""Measures and reserves the slots of the upstream on this VM."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.policy.reservation import SlotUse

if TYPE_CHECKING:
    from wigeonpier.hosted.healthkeeper import HealthKeeper
    from wigeonpier.hosted.loadfeed import LoadFeed
    from wigeonpier.hosted.reservations import SlotTable
    from wigeonpier.hosted.runner import ItemRunner
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.models import OnlineLoad

# Polling the upstream on the same VM takes about 1 ms, which a load report of
# this age saves.
MAX_LOAD_AGE_SECONDS = 0.01
# After a failed poll, as often as the load feed polls: with three quick ones an
# upstream that misses 45 ms would be taken for one that is gone.
FAILED_POLL_SECONDS = 0.05


class UpstreamSlots:
    """Slots of the upstream, as its load and the reservations show them."""

    def __init__(
        self,
        upstream: LocalUpstream,
        runner: ItemRunner,
        feed: LoadFeed,
        table: SlotTable,
        health: HealthKeeper,
    ) -> None:
        """Combine what is known of the slots.

        :param upstream: the upstream on this VM.
        :param runner: runs batch items, which reservations preempt.
        :param feed: measures the load of the upstream.
        :param table: reserved slots.
        :param health: whether the upstream is ejected, or runs a trial.
        """
        self._health = health
        self._upstream = upstream
        self._runner = runner
        self._feed = feed
        self._table = table

    @property
    def is_known(self) -> bool:
        """Check whether the upstream is in the register."""
        return self._upstream.replica is not None

    @property
    def is_current(self) -> bool:
        """Check whether the last poll of the upstream got a report."""
        return not self._upstream.has_failed_poll

    def update(self) -> None:
        """Poll the upstream unless its report is recent."""
        age = time.monotonic() - self._upstream.polled_at
        max_age = (
            MAX_LOAD_AGE_SECONDS if self.is_current else FAILED_POLL_SECONDS
        )
        if age > max_age:
            self._upstream.poll()

    def measure(self) -> SlotUse | None:
        """Measure what takes the slots.

        :returns: ``None`` while the upstream is not known, takes no work or is
            ejected.
        """
        replica = self._upstream.replica
        load = self._feed.measure()
        if replica is None or not load.takes_work:
            return None
        if not self._health.may_reserve():
            return None
        return SlotUse(replica.slots, load.questions, self._count_reserved())

    def measure_load(self, left_out: int = 0) -> OnlineLoad:
        """Measure the load as an answer to a reservation reports it.

        :param left_out: reserved slots that do not count.
        :returns: the load with the other reserved slots.
        """
        load = self._feed.measure()
        reserved = max(0, self._count_reserved() - left_out)
        return msgspec.structs.replace(
            load, questions=load.questions + reserved
        )

    def reserve(self) -> None:
        """Reserve one slot."""
        self._table.add(time.monotonic())
        self._health.record_grant()
        self._runner.update_pace()

    def _count_reserved(self) -> int:
        return self._table.count(self._upstream.polled_at)
