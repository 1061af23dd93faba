"""Composition roots of the daemons on the users' platform."""

from __future__ import annotations

import random
import re
import time
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.acceptance import JobAcceptor
from wigeonpier.hosted.arrival import receive
from wigeonpier.hosted.assignments import AssignmentFollower
from wigeonpier.hosted.configuration import ConfigurationWatch
from wigeonpier.hosted.dealer import Dealer
from wigeonpier.hosted.holder import JobHolder
from wigeonpier.hosted.intake import Intake
from wigeonpier.hosted.janitor import Janitor
from wigeonpier.hosted.jobs import JobDesk
from wigeonpier.hosted.ledger import JobLedger
from wigeonpier.hosted.loadfeed import LoadFeed
from wigeonpier.hosted.loadfollower import LoadFollower
from wigeonpier.hosted.membership import Membership
from wigeonpier.hosted.progress import ProgressKeeper
from wigeonpier.hosted.questions import QuestionDesk
from wigeonpier.hosted.replicas import ReplicaRegister
from wigeonpier.hosted.results import ResultWriter
from wigeonpier.hosted.retire import RetireDesk
from wigeonpier.hosted.runner import ItemRunner
from wigeonpier.hosted.sender import QuestionSender
from wigeonpier.hosted.upstream import OwnUpstream
from wigeonpier.hosted.views import JobViews
from wigeonpier.loops import spawn_loop
from wigeonpier.models import DiskMember, Member, RouteKind
from wigeonpier.platform import ingress, places
from wigeonpier.platform.store import KeyValueStore
from wigeonpier.settings.process import split_address
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.exchange import ConnectionPool
from wigeonpier.web.messages import Response, answer_refusal
from wigeonpier.web.pages import METRICS_TYPE
from wigeonpier.web.server import Server, dispatch_to

if TYPE_CHECKING:
    from wigeonpier.models import HostSettings
    from wigeonpier.web.messages import Request

# The balancer asks once a second and takes a process out after two misses.
NOTICED_SECONDS = 2.6
# Left for the last bytes before the platform kills the process.
KILL_MARGIN_SECONDS = 0.6
# Another entry takes the request at once.
ELSEWHERE_SECONDS = 0.05
LEAVE_STEP_SECONDS = 0.05
USABLE_STEP_SECONDS = 0.1
# Others belong to listeners and folders that are open.
APPLIED_AT_ONCE = frozenset(('store',))
JOB_PATTERN = re.compile(ingress.JOB_PATTERN)
ITEM_PATTERN = re.compile(ingress.ITEM_PATTERN)


@dataclass(slots=True)
class Common:
    """Parts that every hosted daemon has.

    :param settings: what the process was told.
    :param metrics: its numbers.
    :param pool: connections to others.
    :param store: the key-value service.
    :param draw: source of randomness.
    """

    settings: HostSettings
    metrics: Metrics = field(default_factory=Metrics)
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    draw: random.Random = field(default_factory=random.Random)
    store: KeyValueStore = field(init=False)

    def __post_init__(self) -> None:
        """Connect to the store of the settings."""
        self.store = KeyValueStore(
            self.pool,
            self.settings.store,
            self.metrics,
            self.settings.store_history,
        )

    def apply(self, settings: HostSettings) -> set[str]:
        """Take settings that were read anew.

        :param settings: the new ones.
        :returns: names of those that differ.
        """
        known = asdict(self.settings)
        fresh = asdict(settings)
        self.store.address = settings.store
        self.settings = settings
        return {name for name in known if known[name] != fresh[name]}

    def serve_metrics(self) -> Server:
        """Serve the numbers of the process.

        :returns: the server, started.
        """
        self.metrics.add_gauge('connections', lambda: self.pool.opened)
        server = Server(
            *split_address(self.settings.metrics),
            lambda _request: Response(
                HTTPStatus.OK,
                self.metrics.render().encode(),
                METRICS_TYPE,
            ),
        )
        server.start()
        return server


class EntryApp:
    """The entry: questions and the calls of batch jobs."""

    def __init__(self, common: Common) -> None:
        """Wire the entry; nothing runs yet."""
        settings = common.settings
        self._common = common
        self._is_leaving = False
        self._is_draining = False
        self._configuration = ConfigurationWatch(common.store, common.draw)
        self._replicas = ReplicaRegister(
            common.store,
            settings,
            common.draw,
            common.pool.forget,
        )
        self._loads = LoadFollower(
            settings,
            self._replicas,
            common.pool,
            common.draw,
        )
        self._questions = QuestionDesk(
            self._configuration,
            QuestionSender(
                settings,
                self._replicas,
                common.pool,
                common.draw,
            ),
            common.metrics,
            common.draw,
        )
        ledger = JobLedger(common.store)
        self._holder = JobHolder(settings, ledger, common.pool)
        views = JobViews(ledger, self._holder.is_held)
        self._jobs = JobDesk(
            ledger,
            views,
            JobAcceptor(ledger, views, self._holder, common.draw),
            common.metrics,
        )
        self._callers = Server(*split_address(settings.callers), self._answer)
        self._balancer = Server(
            *split_address(settings.readiness),
            self._answer_ready,
        )

    def start(self) -> str:
        """Listen and follow the store.

        :returns: address for callers.
        """
        self._common.serve_metrics()
        self._balancer.start()
        self._configuration.start()
        self._replicas.start()
        self._loads.start()
        self._holder.start()
        self._callers.start()
        return self._callers.address

    def leave(self, seconds: float) -> int:
        """Take requests until the balancer has noticed, then drain.

        :param seconds: longest time.
        :returns: requests that are still in hand.
        """
        give_up = time.monotonic() + seconds
        self._is_leaving = True
        self._callers.is_closing = True
        gevent.sleep(min(NOTICED_SECONDS, seconds))
        self._is_draining = True
        return self._callers.drain(give_up - time.monotonic())

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers may be sent here."""
        is_known = self._replicas.view.is_complete
        return bool(
            self._configuration.current and is_known and not self._is_leaving,
        )

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
        """Refuse what comes on kept connections too late to be finished."""
        if self._is_draining:
            raise Refusal(
                ErrorKind.leaving,
                'this entry is leaving',
                retry_seconds=ELSEWHERE_SECONDS,
            )

    def _dispatch(self, request: Request) -> Response:
        job = JOB_PATTERN.fullmatch(request.path)
        if job and request.method == 'GET':
            return self._jobs.read(request, job.group(1))
        if job and request.method == 'DELETE':
            return self._jobs.end(request, job.group(1))
        item = ITEM_PATTERN.fullmatch(request.path)
        if item and request.method == 'GET':
            return self._jobs.fetch_body(request, item.group(1))
        arrival = receive(request, self._configuration.current)
        if arrival.route.kind is RouteKind.batch:
            return self._jobs.hand_in(arrival)
        return self._questions.answer(arrival)


class WorkerApp:
    """The process beside an upstream: batch items."""

    def __init__(self, common: Common) -> None:
        """Wire the worker; nothing runs yet."""
        settings = common.settings
        ledger = JobLedger(common.store)
        self._common = common
        self._upstream = OwnUpstream(
            common.store,
            common.pool,
            settings.upstream,
        )
        self._writer = ResultWriter(ledger)
        self._runner = ItemRunner(
            self._upstream,
            self._writer,
            common.pool,
            common.metrics,
        )
        self._progress = ProgressKeeper(ledger, self._runner.work)
        self._feed = LoadFeed(self._upstream, self._runner)
        self._server = Server(
            *split_address(settings.peers),
            dispatch_to(self._feed.make_routes()),
        )
        self._assignments = AssignmentFollower(
            settings.name,
            ledger,
            self._runner,
            common.draw,
        )
        self._membership = Membership(
            common.store,
            places.name_key(places.MEMBERS, settings.name),
            Member(settings.name, settings.service, settings.data_centre),
        )

    def start(self) -> str:
        """Follow the upstream and the assignments.

        :returns: address for entries.
        """
        self._common.serve_metrics()
        self._server.start()
        self._feed.start()
        spawn_loop('upstream', self._upstream.follow)
        self._assignments.start()
        self._writer.start()
        self._runner.start()
        self._progress.start()
        self._membership.start()
        spawn_loop('membership wanted', self._follow_usable)
        return self._server.address

    def leave(self, seconds: float) -> int:
        """Stop items, and keep what they have so far.

        :param seconds: longest time.
        :returns: 1 where results are left unwritten.
        """
        give_up = time.monotonic() + seconds
        self._feed.is_closed = True
        self._runner.leave()
        self._progress.save(1)
        while not self._writer.is_idle and time.monotonic() < give_up:
            gevent.sleep(LEAVE_STEP_SECONDS)
        self._membership.leave()
        return int(not self._writer.is_idle)

    def _follow_usable(self) -> None:
        self._membership.is_wanted = self._upstream.is_usable
        gevent.sleep(USABLE_STEP_SECONDS)


class StorageApp:
    """The process on a VM with a disk.

    It keeps accepted jobs while the store is away, hands the items of lost
    processes to others, removes old jobs, and answers for its disk when it is
    to be emptied.
    """

    def __init__(self, common: Common) -> None:
        """Wire the process; nothing runs yet."""
        settings = common.settings
        ledger = JobLedger(common.store)
        self._common = common
        self._intake = Intake(settings.data_folder, ledger, common.draw)
        self._dealer = Dealer(ledger, common.draw)
        self._janitor = Janitor(
            ledger,
            settings.bounds.job_readable,
            common.draw,
        )
        self._disk = Membership(
            common.store,
            places.name_key(places.DISKS, settings.name),
            DiskMember(settings.name, settings.peers),
        )
        self._retire = RetireDesk(
            settings.name,
            ledger,
            self._intake,
            self._disk,
            common.draw,
        )
        self._server = Server(
            *split_address(settings.peers),
            dispatch_to(self._intake.make_routes()),
        )

    def start(self) -> str:
        """Listen, and follow the members and the operator's orders.

        :returns: address for entries.
        """
        self._common.serve_metrics()
        self._server.start()
        self._disk.is_wanted = True
        self._disk.start()
        self._intake.start()
        self._retire.start()
        self._dealer.start()
        self._janitor.start()
        return self._server.address

    def leave(self, seconds: float) -> int:
        """Take no job any more; what is held stays on the disk.

        :param seconds: longest time.
        :returns: requests that are still in hand.
        """
        self._intake.is_closed = True
        self._disk.leave()
        return self._server.drain(seconds)
