"""The calls of batch jobs at an entry: hand in, read, fetch a body, end."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.lock import BoundedSemaphore
from result import Err, Ok, Result

from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.models import OpenJob, RouteKind
from wigeonpier.platform import ingress
from wigeonpier.platform.port import Failure
from wigeonpier.policy.matching import draw_service, match_route
from wigeonpier.policy.placement import deal_items
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import JSON_TYPE, Response

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.configuration import ConfigurationWatch
    from wigeonpier.hosted.ledger import (
        Board,
        JobLedger,
        PlacedResult,
        RecordHead,
    )
    from wigeonpier.models import ItemResult, JobItem, ServedRoute
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.messages import Request

# A caller waits 4 s for an answer and comes again once; half of that leaves
# it the time to do so.
HAND_IN_SECONDS = 2.0
# Where the outcome of a write is not known, it is asked for longer: saying
# too early that it failed could be untrue.
CERTAIN_SECONDS = 3.4
READ_SECONDS = 1.2
PAUSE_SECONDS = 0.15
RETRY_AFTER_SECONDS = 1.0
# One page of results holds at most 1 MB.
PAGE_BYTES = 900_000
# Readers of one job within this time share one look at the store; what has
# been read anywhere must be readable everywhere a second later.
FRESH_SECONDS = 0.7
# A slowed store answers within 0.3 s; a look that takes longer waits for
# results that do not exist yet.
SHARED_LOOK_SECONDS = 0.6
MOST_CACHED_JOBS = 64
OCTETS = 'application/octet-stream'


@dataclass(slots=True)
class JobView:
    """What an entry has read of a job; none of it ever changes.

    :param head: head of its record.
    :param results: results by position.
    :param revision: revision up to which results were read.
    :param looked_at: when they were read.
    :param items: its items, read when a body is asked for.
    :param is_closed: whether it was taken off the board here.
    """

    head: RecordHead
    results: list[PlacedResult] = field(default_factory=list)
    revision: int = 0
    looked_at: float = 0
    items: list[JobItem] | None = None
    is_closed: bool = False
    lock: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    @property
    def is_finished(self) -> bool:
        """Tell whether each item has its result."""
        return len(self.results) >= len(self.head.names)


class JobDesk:
    """Answers the calls of batch jobs."""

    def __init__(
        self,
        configuration: ConfigurationWatch,
        ledger: JobLedger,
        metrics: Metrics,
        draw: random.Random,
    ) -> None:
        """Keep jobs in the ledger."""
        self._configuration = configuration
        self._ledger = ledger
        self._metrics = metrics
        self._draw = draw
        self._views: dict[str, JobView] = {}

    def find_route(self, request: Request) -> ServedRoute | None:
        """Find the batch route of a request.

        :param request: the caller's.
        :returns: the route, ``None`` where it is not one of batch work.
        """
        configuration = self._configuration.current
        if configuration is None:
            return None
        head = ingress.read_question(request)
        route = match_route(configuration, head.host, request.path)
        if route is None or route.kind is not RouteKind.batch:
            return None
        request.body_limit = configuration.body_limit
        return route

    def hand_in(self, request: Request, route: ServedRoute) -> Response:
        """Accept a job, once however often it is sent.

        :param request: the caller's.
        :param route: its route.
        :returns: 202 once the job is kept.
        :raises Refusal: where it is not kept; the kind says whether it may
            be.
        """
        name = ingress.get_job_identity(request)
        if not name:
            raise Refusal(ErrorKind.invalid_request, 'the job has no id')
        raw = request.read_body()
        try:
            items = ingress.decode_items(raw)
        except (ValueError, msgspec.DecodeError) as error:
            raise Refusal(ErrorKind.invalid_request, str(error)) from error
        head = ingress.read_question(request)
        began = time.monotonic()
        is_again = self._keep(name, items, route, head)
        log_event(
            Event.job_accepted,
            job=name,
            items=len(items),
            again=is_again,
            seconds=round(time.monotonic() - began, 3),
        )
        self._metrics.count('jobs_total', outcome='accepted')
        return Response(HTTPStatus.ACCEPTED, b'{}')

    def read(self, request: Request, name: str) -> Response:
        """Read results from a position on.

        :param request: the caller's.
        :param name: id of the job.
        :returns: a page of results.
        """
        view = self._find_view(name)
        after = _read_after(request.query)
        self._look(view, after, ingress.read_wait(request))
        page: list[ItemResult] = []
        size = 0
        for placed in view.results[after:]:
            size += len(placed.found.output)
            if page and size > PAGE_BYTES:
                break
            page.append(placed.found)
        body = ingress.encode_results(
            len(view.head.names),
            after + len(page),
            page,
        )
        return Response(HTTPStatus.OK, body, JSON_TYPE)

    def fetch_body(self, request: Request, name: str) -> Response:
        """Give the body of an item.

        :param request: the caller's.
        :param name: id of the job.
        :returns: its bytes.
        """
        view = self._find_view(name)
        if view.items is None:
            read = self._ledger.read_items(view.head.job)
            if isinstance(read, Err):
                raise _refuse_unread()
            view.items = read.ok_value
        wanted = _read_query(request.query).get('id', '')
        for item in view.items:
            if item.name == wanted:
                return Response(HTTPStatus.OK, item.body, OCTETS)
        raise Refusal(ErrorKind.not_found, f'the job has no item {wanted!r}')

    def end(self, _request: Request, name: str) -> Response:
        """End a job; what is listed stays listed.

        :param _request: the caller's.
        :param name: id of the job.
        :returns: 200 once no process may start an item of it any more.
        """
        view = self._find_view(name)
        give_up = time.monotonic() + CERTAIN_SECONDS
        while not view.is_closed:
            if isinstance(self._ledger.close(name), Ok):
                view.is_closed = True
                log_event(Event.job_ended, job=name, listed=len(view.results))
            elif time.monotonic() > give_up:
                raise _refuse_unread()
            else:
                gevent.sleep(PAUSE_SECONDS)
        return Response(HTTPStatus.OK, b'{}')

    def _keep(
        self,
        name: str,
        items: list[JobItem],
        route: ServedRoute,
        head: ingress.QuestionHead,
    ) -> bool:
        """Try until the job is kept; tell whether it was before."""
        began = time.monotonic()
        may_stand = False
        while True:
            outcome = self._try_hand_in(name, items, route, head)
            if outcome is None or outcome is Failure.conflict:
                return outcome is Failure.conflict
            may_stand = may_stand or outcome is Failure.unknown
            patience = CERTAIN_SECONDS if may_stand else HAND_IN_SECONDS
            if time.monotonic() - began > patience:
                raise self._refuse_unsure(name, may_stand=may_stand)
            gevent.sleep(PAUSE_SECONDS)

    def _try_hand_in(
        self,
        name: str,
        items: list[JobItem],
        route: ServedRoute,
        head: ingress.QuestionHead,
    ) -> Failure | None:
        read = self._ledger.read_board()
        if isinstance(read, Err):
            return read.err_value
        board = read.ok_value
        if name in board.jobs:
            return Failure.conflict
        tokens = sum(item.tokens for item in items)
        if not self._has_room(board, route, tokens):
            found = self._ledger.read_head(name)
            if isinstance(found, Err):
                return found.err_value
            if found.ok_value is not None:
                return Failure.conflict
            raise self._refuse_full(name, tokens, route)
        job = self._plan(name, items, route, head, board)
        created = self._ledger.create(job, items)
        return created.err_value if isinstance(created, Err) else None

    def _plan(
        self,
        name: str,
        items: list[JobItem],
        route: ServedRoute,
        head: ingress.QuestionHead,
        board: Board,
    ) -> OpenJob:
        now = time.time()
        service = draw_service(route, self._draw)
        return OpenJob(
            name=name,
            route=route.name,
            host=head.host,
            service=service,
            sent_at=now,
            run_objective=route.run_objective,
            retention=route.retention,
            tries=route.tries,
            tokens=sum(item.tokens for item in items),
            owners=deal_items(
                name,
                len(items),
                board.list_members(service),
                list(board.jobs.values()),
                now,
            ),
        )

    def _has_room(self, board: Board, route: ServedRoute, tokens: int) -> bool:
        if not route.most_tokens:
            return True
        others = [job for job in board.jobs.values() if job.route == route.name]
        # Items that are done count here until their job is; only where that
        # does not fit, the results of each job are looked at.
        waiting = sum(job.tokens for job in others) + tokens
        if waiting <= route.most_tokens:
            return True
        for job in others:
            waiting -= self._count_done_tokens(job)
            if waiting <= route.most_tokens:
                return True
        return False

    def _count_done_tokens(self, job: OpenJob) -> int:
        view = self._find_view(job.name)
        self._look(view, len(view.results), 0)
        if view.items is None:
            read = self._ledger.read_items(view.head.job)
            if isinstance(read, Err):
                raise _refuse_unread()
            view.items = read.ok_value
        return sum(view.items[placed.index].tokens for placed in view.results)

    def _find_view(self, name: str) -> JobView:
        view = self._views.get(name)
        if view is not None:
            return view
        give_up = time.monotonic() + READ_SECONDS
        while True:
            read = self._ledger.read_head(name)
            if isinstance(read, Ok):
                break
            if time.monotonic() > give_up:
                raise _refuse_unread()
            gevent.sleep(PAUSE_SECONDS)
        if read.ok_value is None:
            raise Refusal(ErrorKind.not_found, f'there is no job {name}')
        while len(self._views) >= MOST_CACHED_JOBS:
            self._views.pop(next(iter(self._views)))
        return self._views.setdefault(name, JobView(read.ok_value))

    def _look(self, view: JobView, known: int, wait: float) -> None:
        """Read new results, once for all readers that ask at the time."""
        has_news = len(view.results) > known
        # Whoever looks right now adds results as they come.  Until its call
        # has been with the store for a while, what is known may be old.
        patience = 0 if has_news else max(wait, SHARED_LOOK_SECONDS)
        if not view.lock.acquire(timeout=patience):
            return
        with ExitStack() as stack:
            stack.callback(view.lock.release)
            self._read_on(view, known, wait)

    def _read_on(self, view: JobView, known: int, wait: float) -> None:
        has_news = len(view.results) > known
        age = time.monotonic() - view.looked_at
        is_enough = has_news or not wait
        if view.is_finished or (age < FRESH_SECONDS and is_enough):
            return
        read = self._read_results(view, 0 if has_news else wait)
        view.looked_at = time.monotonic()
        if isinstance(read, Err):
            if has_news:
                # What is known never changes; more comes with the store.
                return
            raise _refuse_unread()
        placed, revision = read.ok_value
        view.revision = revision
        view.results += placed
        if view.is_finished and not view.is_closed:
            name = view.head.job.name
            view.is_closed = isinstance(self._ledger.close(name), Ok)
            log_event(Event.job_finished, job=name)

    def _read_results(
        self,
        view: JobView,
        wait: float,
    ) -> Result[tuple[list[PlacedResult], int], Failure]:
        name = view.head.job.name
        if view.revision:
            heard = self._ledger.await_results(name, view.revision, wait)
            if isinstance(heard, Ok):
                return heard
        # The history from that revision on may be gone.
        read = self._ledger.read_results(name)
        if isinstance(read, Ok):
            view.results.clear()
        return read

    def _refuse_unsure(self, name: str, *, may_stand: bool) -> Refusal:
        log_event(Event.job_refused, job=name, may_stand=may_stand)
        self._metrics.count('jobs_total', outcome='store away')
        if may_stand:
            return Refusal(
                ErrorKind.upstream_lost,
                'it is not known whether the job is kept',
                ran=Ran.unknown,
            )
        return Refusal(
            ErrorKind.platform_down,
            'the job cannot be kept now',
            retry_seconds=RETRY_AFTER_SECONDS,
        )

    def _refuse_full(
        self,
        name: str,
        tokens: int,
        route: ServedRoute,
    ) -> Refusal:
        log_event(
            Event.job_refused,
            job=name,
            tokens=tokens,
            most_tokens=route.most_tokens,
        )
        self._metrics.count('jobs_total', outcome='no room')
        return Refusal(
            ErrorKind.limit_reached,
            'too many tokens wait on the route',
            retry_seconds=RETRY_AFTER_SECONDS,
        )


def _refuse_unread() -> Refusal:
    return Refusal(
        ErrorKind.platform_down,
        'the job cannot be read now',
        retry_seconds=RETRY_AFTER_SECONDS,
    )


def _read_query(query: str) -> dict[str, str]:
    pairs = [pair.partition('=') for pair in query.split('&') if pair]
    return {name: value for name, _equals, value in pairs}


def _read_after(query: str) -> int:
    text = _read_query(query).get('after', '0')
    if not text.isdigit():
        raise Refusal(ErrorKind.invalid_request, 'after is no number')
    return int(text)
