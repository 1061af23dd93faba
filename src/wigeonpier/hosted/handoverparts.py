"""Wires the parts of a worker that hand items over or take them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpier.hosted.backlogmeter import BacklogMeter
from wigeonpier.hosted.handover import ItemHandover
from wigeonpier.hosted.itemclaims import ClaimTable, OfferHandler

if TYPE_CHECKING:
    from wigeonpier.hosted.assignments import AssignmentFollower
    from wigeonpier.hosted.common import DaemonContext
    from wigeonpier.hosted.itemtrials import ItemTrials
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.runner import ItemRunner


class HandoverParts:
    """Reports the backlog of a worker, and hands items over or takes them."""

    def __init__(
        self,
        context: DaemonContext,
        runner: ItemRunner,
        trials: ItemTrials,
        ledger: JobLedger,
    ) -> None:
        """Create the parts.

        :param context: what all daemons share.
        :param runner: runs the items.
        :param trials: knows which items are suspected of crashing upstreams.
        :param ledger: jobs in the store.
        """
        self._context = context
        self._runner = runner
        self._trials = trials
        self._ledger = ledger
        self._claims = ClaimTable()
        self.meter = BacklogMeter(
            context.settings.name, trials.upstream, runner
        )
        self.offers = OfferHandler(
            runner,
            self.meter,
            self._claims,
            trials,
            context.store_health,
            context.metrics,
        )

    def connect(self, assignments: AssignmentFollower) -> ItemHandover:
        """Let claimed items begin with their assignment.

        :param assignments: items that are assigned to this process.
        :returns: hands items over.
        """
        assignments.claims = self._claims
        return ItemHandover(
            self.meter,
            self._runner,
            assignments,
            self._ledger,
            self._context.pool,
            self._trials,
            self._context.store_health,
            self._context.metrics,
        )
