"""Composition root of the entry: online requests and calls on batch jobs."""

from __future__ import annotations

import re
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.acceptance import JobAcceptor
from wigeonpier.hosted.announcedversions import AnnouncedVersions
from wigeonpier.hosted.arrival import authenticate_job_call, route_request
from wigeonpier.hosted.backlogs import WorkerBacklogs
from wigeonpier.hosted.binder import SlotBinder
from wigeonpier.hosted.chooser import UpstreamChooser
from wigeonpier.hosted.configuration import ConfigurationWatch
from wigeonpier.hosted.customerpage import CustomerPage
from wigeonpier.hosted.customeruse import CustomerLimiter
from wigeonpier.hosted.failures import RETRY_ELSEWHERE_SECONDS
from wigeonpier.hosted.holder import DiskJobWriter
from wigeonpier.hosted.jobs import JobHandler
from wigeonpier.hosted.knowledge import ConfigurationFreshness
from wigeonpier.hosted.ledger import JobLedger
from wigeonpier.hosted.loadfollower import FeedListeners, LoadFollower
from wigeonpier.hosted.originkeepers import OriginKeepers
from wigeonpier.hosted.origins import StreamOrigins
from wigeonpier.hosted.outcomes import OutcomeReporter
from wigeonpier.hosted.proofs import FreshnessProver
from wigeonpier.hosted.quarantine.publisher import QuarantinePublisher
from wigeonpier.hosted.quarantine.store import QuarantineStore
from wigeonpier.hosted.questions import OnlineHandler
from wigeonpier.hosted.reach import IsolationDetector
from wigeonpier.hosted.reader import JobReader
from wigeonpier.hosted.relay import Relays
from wigeonpier.hosted.replicas import ReplicaRegister
from wigeonpier.hosted.reserver import SlotReserver
from wigeonpier.hosted.sender import (
    RequestSender,
)
from wigeonpier.hosted.suspectpage import SuspectPage
from wigeonpier.hosted.suspects import SuspectTracker
from wigeonpier.hosted.suspicionpublisher import SuspicionPublisher
from wigeonpier.hosted.trials import TrialPlacer
from wigeonpier.hosted.views import JobViews
from wigeonpier.membership.ends import CrashDetector
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.platform import ingress
from wigeonpier.served import (
    RouteKind,
)
from wigeonpier.settings.process import split_address
from wigeonpier.web.messages import Response, answer_refusal
from wigeonpier.web.server import Server

if TYPE_CHECKING:
    from wigeonpier.hosted.board import Board
    from wigeonpier.hosted.common import DaemonContext
    from wigeonpier.membership.updates import SuspicionUpdate
    from wigeonpier.models import OnlineLoad
    from wigeonpier.web.messages import Request

# The balancer probes once a second and removes a process after two failures.
BALANCER_NOTICE_SECONDS = 2.6
JOB_PATTERN = re.compile(ingress.JOB_PATTERN)
ITEM_PATTERN = re.compile(ingress.ITEM_PATTERN)


class EntryApp:
    """The entry: serves online requests and calls on batch jobs."""

    def __init__(self, context: DaemonContext) -> None:
        """Wire the components; none is started yet.

        :param context: what all daemons share.
        """
        settings = context.settings
        self._context = context
        self._is_leaving = False
        self._is_draining = False
        self._configuration = ConfigurationWatch(context.view)
        self._replicas = ReplicaRegister(
            context.view,
            settings,
            context.store_health,
            context.pool.forget,
        )
        self._isolation_detector = IsolationDetector(context.store_health)
        self._relays = Relays(split_address(settings.peers)[1], context.rng)
        context.store_health.find_relay = self._relays.find
        self._freshness = ConfigurationFreshness(
            self._configuration,
            settings.bounds.revocation,
            FreshnessProver(
                context.store,
                self._configuration,
                context.pool,
                self._relays.list_addresses,
                context.rng,
            ).confirm,
        )
        self._suspicions = Suspicions()
        self._quarantine = QuarantineStore(
            context.store,
            self._suspicions,
            context.store_health.wait,
        )
        self._publisher = SuspicionPublisher(
            self._suspicions,
            self._replicas,
            context.pool,
            split_address(settings.peers)[1],
            context.rng,
        )
        self._limiter = CustomerLimiter(
            settings.bounds,
            context.pool,
            self._list_counters,
            context.rng,
        )
        self._backlogs = WorkerBacklogs(
            split_address(settings.peers)[1], self._replicas
        )
        self._origins = StreamOrigins(
            self._replicas,
            context.store_health,
            OriginKeepers(settings, self._replicas, context.pool),
            AnnouncedVersions(context.store),
            context.metrics,
        )
        self._loads = LoadFollower(
            settings,
            self._replicas,
            context.pool,
            context.rng,
            FeedListeners(
                self._record_load,
                self._receive_update,
                self._greet_worker,
                self._limiter.record_report,
                self._backlogs.record,
            ),
        )
        self._online_handler = OnlineHandler(
            self._configuration,
            self._make_sender(),
            context.metrics,
            context.rng,
            self._limiter,
            self._origins,
        )
        ledger = JobLedger(context.store)
        self._disk_job_writer = DiskJobWriter(
            settings,
            ledger,
            context.pool,
            on_board=self._load_board,
            wait=context.store_health.wait,
        )
        self._quarantine_copies = QuarantinePublisher(
            context.pool,
            lambda: self._disk_job_writer.board.disks.values(),
            self._quarantine.load,
        )
        self._quarantine.replicate = self._quarantine_copies.replicate
        views = JobViews(ledger, self._disk_job_writer.may_be_on_disk)
        self._jobs = JobHandler(
            ledger,
            views,
            JobAcceptor(
                ledger,
                views,
                self._disk_job_writer,
                self._isolation_detector,
                context.rng,
                self._backlogs,
            ),
            JobReader(self._disk_job_writer, context.pool, context.metrics),
            context.metrics,
        )
        self._job_calls = (
            (JOB_PATTERN, 'GET', self._jobs.read),
            (JOB_PATTERN, 'DELETE', self._jobs.cancel),
            (ITEM_PATTERN, 'GET', self._jobs.fetch_body),
        )
        self._callers = Server(
            *split_address(settings.callers),
            self._answer,
            self._configuration.get_client_limits,
        )
        self._balancer = Server(
            *split_address(settings.readiness),
            self._answer_ready,
        )

    def start(self) -> str:
        """Start all components.

        :returns: address that callers connect to.
        """
        self._serve_operators()
        for component in (
            self._balancer,
            self._configuration,
            self._freshness,
            self._replicas,
            self._origins,
            self._loads,
            self._limiter,
            self._isolation_detector,
            self._disk_job_writer,
            self._callers,
        ):
            component.start()
        return self._callers.address

    def leave(self, seconds: float) -> int:
        """Accept requests until the balancer has noticed, then drain.

        :param seconds: longest time for both.
        :returns: number of requests that are still in flight.
        """
        deadline = time.monotonic() + seconds
        self._is_leaving = True
        self._callers.is_closing = True
        gevent.sleep(min(BALANCER_NOTICE_SECONDS, seconds))
        self._is_draining = True
        return self._callers.drain(deadline - time.monotonic())

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send new callers here."""
        if self._is_leaving or self._isolation_detector.is_isolated:
            return False
        if not self._replicas.view.is_complete:
            return False
        is_known = self._configuration.current is not None
        return is_known and self._freshness.is_ready

    def _serve_operators(self) -> None:
        page = SuspectPage(self._suspicions, self._publisher, self._quarantine)
        metrics = self._context.metrics
        metrics.add_gauge('suspects', lambda: len(self._suspicions.suspects))
        metrics.add_gauge('refused_requests', page.count_refused)
        metrics.add_gauge('refused_parts', page.count_parts)
        customers = CustomerPage(
            self._configuration,
            self._freshness,
            self._limiter,
        )
        metrics.add_gauge('customers_limited', customers.count_refused)
        metrics.add_gauge('knowledge_age_seconds', customers.measure_age)
        self._context.serve_metrics(
            *page.make_routes(),
            *customers.make_routes(),
        )

    def _make_sender(self) -> RequestSender:
        context = self._context
        chooser = UpstreamChooser(context.settings, self._replicas, context.rng)
        outcomes = OutcomeReporter(
            context.settings, context.pool, context.metrics
        )
        reserver = SlotReserver(
            split_address(context.settings.peers)[1],
            context.pool,
            context.metrics,
            self._limiter,
            outcomes,
            self._backlogs.find_idle,
        )
        suspects = SuspectTracker(
            self._suspicions,
            self._publisher,
            CrashDetector(context.pool),
            self._replicas,
            context.metrics,
            self._quarantine,
        )
        self._replicas.on_restart = suspects.record_replaced
        binder = SlotBinder(
            self._replicas,
            chooser,
            context.rng,
            self._isolation_detector,
            reserver,
            suspects,
            TrialPlacer(chooser, reserver, suspects),
        )
        return RequestSender(binder, context.pool, outcomes)

    def _record_load(self, host: str, load: OnlineLoad) -> None:
        self._isolation_detector.record_contact()
        self._backlogs.record_contact(host)
        self._relays.record_offer(host, has_store=load.has_store)
        self._limiter.record_contact(host)

    def _greet_worker(self, address: str) -> None:
        """Send what a worker that may have just started has to know."""
        self._publisher.publish_all(address)
        self._origins.resend(address)

    def _list_counters(self) -> list[str]:
        """List the counters whose load feeds are fresh."""
        port = split_address(self._context.settings.peers)[1]
        now = time.monotonic()
        hosts = [
            split_address(state.address)[0]
            for state in self._replicas.list_upstreams()
            if state.load_fresh_until > now
        ]
        return [f'{host}:{port}' for host in hosts]

    def _receive_update(self, update: SuspicionUpdate) -> None:
        self._publisher.receive(update)
        if self._context.store_health.is_unreachable:
            self._quarantine.replicate_refused(update.condemned)

    def _load_board(self, board: Board) -> None:
        self._quarantine.load(board.refused)
        self._quarantine_copies.fetch_new(board.disks.values())

    def _answer_ready(self, _request: Request) -> Response:
        if self.is_ready:
            return Response(HTTPStatus.OK, b'{}')
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, b'{}')

    def _answer(self, request: Request) -> Response:
        try:
            self._check_open()
            return self._dispatch(request)
        except Refusal as refusal:
            return answer_refusal(refusal)

    def _check_open(self) -> None:
        """Refuse requests on open connections while the entry drains."""
        if self._is_draining:
            raise Refusal(
                ErrorKind.leaving,
                'this entry is leaving',
                retry_seconds=RETRY_ELSEWHERE_SECONDS,
            )

    def _check_isolation(self) -> None:
        """Refuse requests at once while the entry reaches no upstream.

        The caller then has time left to try another entry.
        """
        if self._isolation_detector.is_isolated:
            raise Refusal(
                ErrorKind.no_upstream,
                'this entry is cut off',
                retry_seconds=RETRY_ELSEWHERE_SECONDS,
            )

    def _dispatch(self, request: Request) -> Response:
        for pattern, method, call in self._job_calls:
            found = pattern.fullmatch(request.path)
            if found and request.method == method:
                authenticate_job_call(
                    request,
                    self._configuration.current,
                    self._freshness.measure(),
                )
                return call(request, found.group(1))
        routed = route_request(
            request,
            self._configuration.current,
            self._freshness.measure(),
        )
        self._check_isolation()
        if routed.route.kind is RouteKind.batch:
            return self._jobs.submit(routed)
        return self._online_handler.answer(routed)
