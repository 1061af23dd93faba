"""Composition root of the worker, which runs on the VM of an upstream."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING

import gevent

from wigeonpier.hosted.announcedversions import VersionAnnouncer
from wigeonpier.hosted.assignments import AssignmentFollower
from wigeonpier.hosted.handoverparts import HandoverParts
from wigeonpier.hosted.healthkeeper import HealthKeeper
from wigeonpier.hosted.itemspacing import ItemSpacing
from wigeonpier.hosted.itemtrials import ItemTrials
from wigeonpier.hosted.ledger import JobLedger
from wigeonpier.hosted.loadfeed import FeedDetails, LoadFeed
from wigeonpier.hosted.membership import Membership
from wigeonpier.hosted.newest import NewestRevisionHandler
from wigeonpier.hosted.originkeeper import OriginKeeper
from wigeonpier.hosted.pacemeter import PaceMeter
from wigeonpier.hosted.progress import ProgressSaver
from wigeonpier.hosted.quarantine.store import QuarantineStore
from wigeonpier.hosted.relay import RelayHandler
from wigeonpier.hosted.reservations import ReservationHandler, SlotTable
from wigeonpier.hosted.results import ResultWriter
from wigeonpier.hosted.runner import ItemRunner
from wigeonpier.hosted.suspicionhandler import SuspicionHandler
from wigeonpier.hosted.trialleases import TrialLeases
from wigeonpier.hosted.upstream import LocalUpstream
from wigeonpier.hosted.upstreamslots import UpstreamSlots
from wigeonpier.hosted.usagecounter import UsageCounter
from wigeonpier.loops import spawn_loop
from wigeonpier.membership.ends import CrashDetector
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.models import Member
from wigeonpier.platform import storekeys
from wigeonpier.policy.trial import TrialTable
from wigeonpier.settings.process import split_address
from wigeonpier.web.server import Server, dispatch_to

if TYPE_CHECKING:
    from wigeonpier.hosted.common import DaemonContext

LEAVE_POLL_SECONDS = 0.05
USABLE_POLL_SECONDS = 0.1


class WorkerApp:
    """The worker of an upstream.

    It runs batch items, reports the load of the upstream, and reserves slots
    for online requests.
    """

    def __init__(self, context: DaemonContext) -> None:
        """Create the components without starting them."""
        settings = context.settings
        ledger = JobLedger(context.store)
        self._context = context
        pace_meter = PaceMeter(settings.upstream, context.metrics)
        self._upstream = LocalUpstream(
            context.store,
            context.pool,
            settings.upstream,
            pace_meter.record,
        )
        self._writer = ResultWriter(ledger, context.store_health.wait)
        slots = SlotTable()
        suspicions = Suspicions()
        trials = TrialTable()
        quarantine = QuarantineStore(
            context.store,
            suspicions,
            context.store_health.wait,
        )
        health = HealthKeeper(settings, self._upstream, context.metrics)
        self._trials = ItemTrials(
            self._upstream,
            suspicions,
            trials,
            CrashDetector(context.pool),
            quarantine,
            health,
            ItemSpacing(self._upstream, suspicions, context.metrics),
            TrialLeases(
                context.store,
                settings.name,
                partial(quarantine.read, is_fresh=True),
                random.Random(),
            ),
        )
        self._runner = ItemRunner(
            self._upstream,
            self._writer,
            context.pool,
            context.metrics,
            slots,
            self._trials,
        )
        self._progress = ProgressSaver(
            ledger,
            self._runner.work,
            lambda: self._runner.observe().lengths.seconds,
        )
        usage = UsageCounter(settings.bounds.quota_window)
        self._feed = LoadFeed(
            self._upstream,
            self._runner,
            context.store_health,
            suspicions,
            usage,
            FeedDetails(read_pace=pace_meter.read),
        )
        self._feed.details.read_health = health.read_health
        newest = NewestRevisionHandler(
            context.store, settings.bounds.revocation
        )
        relay = RelayHandler(context.store.calls, context.pool)
        upstream_slots = UpstreamSlots(
            self._upstream, self._runner, self._feed, slots, health
        )
        reservations = ReservationHandler(
            upstream_slots, trials, usage, context.metrics, health
        )
        self._feed.details.count_queued = reservations.queue.count
        self._origins = OriginKeeper(context.metrics)
        handover = HandoverParts(context, self._runner, self._trials, ledger)
        self._feed.details.read_items = handover.meter.read
        self._server = Server(
            *split_address(settings.peers),
            dispatch_to(
                self._feed.make_routes()
                + relay.make_routes()
                + newest.make_routes()
                + usage.make_routes()
                + reservations.make_routes()
                + handover.offers.make_routes()
                + health.make_routes()
                + self._origins.make_routes()
                + SuspicionHandler(
                    suspicions, trials, self._trials.record_culprits
                ).make_routes(),
            ),
        )
        self._assignments = AssignmentFollower(
            settings.name,
            ledger,
            self._runner,
            partial(context.view, is_decisive=self._has_assignments),
            quarantine.read,
            context.store_health.wait,
        )
        reservations.on_idle = handover.connect(self._assignments).consider
        self._versions = VersionAnnouncer(
            context.store,
            settings.name,
            self._upstream,
            context.store_health.wait,
        )
        self._membership = Membership(
            context.store,
            storekeys.name_key(storekeys.MEMBERS, settings.name),
            Member(settings.name, settings.service, settings.data_centre),
            context.store_health.wait,
        )

    def start(self) -> str:
        """Start listening, and follow the upstream and the assignments.

        :returns: address for entries.
        """
        self._context.serve_metrics()
        self._server.start()
        spawn_loop('upstream', self._upstream.follow)
        for part in (
            self._feed,
            self._assignments,
            self._writer,
            self._runner,
            self._progress,
            self._membership,
            self._versions,
        ):
            part.start()
        spawn_loop('membership wanted', self._update_membership)
        return self._server.address

    def leave(self, seconds: float) -> int:
        """Stop all items and save their progress.

        :param seconds: longest time to write results.
        :returns: 1 if results are left unwritten, else 0.
        """
        deadline = time.monotonic() + seconds
        self._feed.is_closed = True
        self._runner.leave()
        self._progress.save_all()
        while not self._writer.is_idle and time.monotonic() < deadline:
            gevent.sleep(LEAVE_POLL_SECONDS)
        self._membership.leave()
        return int(not self._writer.is_idle)

    def _has_assignments(self) -> bool:
        return self._assignments.has_work

    def _update_membership(self) -> None:
        is_open = self._runner.breaker.is_open(time.monotonic())
        self._membership.is_wanted = self._upstream.is_usable and not is_open
        gevent.sleep(USABLE_POLL_SECONDS)
