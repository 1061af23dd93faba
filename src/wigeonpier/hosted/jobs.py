"""Handles the batch job calls of an entry: submit, read, fetch body, cancel."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Ok

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.acceptance import (
    SubmittedJob,
    make_too_large_refusal,
)
from wigeonpier.hosted.jobparts import find_excess
from wigeonpier.hosted.views import UnsureJobRefusal, make_unreadable_refusal
from wigeonpier.platform import ingress, jobbodies
from wigeonpier.policy.ownership import scope_job
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import JSON_TYPE, Response

if TYPE_CHECKING:
    from wigeonpier.hosted.acceptance import JobAcceptor
    from wigeonpier.hosted.arrival import RoutedRequest
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.reader import JobReader
    from wigeonpier.hosted.views import JobView, JobViews
    from wigeonpier.models import ResultPage
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.messages import Request

CLOSE_TIMEOUT_SECONDS = 3.4
RETRY_PAUSE_SECONDS = 0.15
OCTET_STREAM_TYPE = 'application/octet-stream'
EMPTY_BODY = b'{}'


class JobHandler:
    """Handles the calls of batch jobs."""

    def __init__(
        self,
        ledger: JobLedger,
        views: JobViews,
        acceptor: JobAcceptor,
        reader: JobReader,
        metrics: Metrics,
    ) -> None:
        """Accept jobs by the acceptor, read results by reader or views."""
        self._ledger = ledger
        self._views = views
        self._acceptor = acceptor
        self._reader = reader
        self._metrics = metrics

    def submit(self, routed: RoutedRequest) -> Response:
        """Accept a job; repeated submissions are accepted only once.

        :param routed: the caller's request with its route.
        :returns: 202 once the job is stored.
        """
        started_at = time.monotonic()
        job = _parse_job(routed)
        try:
            self._check_size(job)
            outcome = self._acceptor.accept(job, routed.request.connection)
        except Refusal as refusal:
            self._metrics.count('jobs_total', outcome=refusal.kind.value)
            raise
        self._metrics.count('jobs_total', outcome=outcome.value)
        log_event(
            Event.job_accepted,
            job=job.name,
            route=routed.route.name,
            items=len(job.items),
            tokens=job.tokens,
            place=outcome.value,
            seconds=round(time.monotonic() - started_at, 3),
        )
        return Response(HTTPStatus.ACCEPTED, EMPTY_BODY)

    def read(self, request: Request, name: str) -> Response:
        """Read the results of a job from a position on.

        :param request: the caller's request.
        :param name: id of the job.
        :returns: a page of results.
        """
        after = _parse_after(request.query)
        job = scope_job(request.customer, name)
        page = self._read_page(job, after, ingress.read_max_wait(request))
        body = jobbodies.encode_results(
            page.total,
            after + len(page.results),
            page.results,
        )
        return Response(HTTPStatus.OK, body, JSON_TYPE)

    def fetch_body(self, request: Request, name: str) -> Response:
        """Return the body of an item.

        :param request: the caller's request.
        :param name: id of the job.
        :returns: the bytes of the body.
        """
        item_name = _parse_query(request.query).get('id', '')
        job = scope_job(request.customer, name)
        body = self._views.find_body(job, item_name)
        if body is None:
            raise Refusal(
                ErrorKind.not_found,
                f'the job has no item {item_name!r}',
            )
        return Response(HTTPStatus.OK, body, OCTET_STREAM_TYPE)

    def cancel(self, request: Request, name: str) -> Response:
        """Cancel a job; results listed so far stay readable.

        :param request: the caller's request.
        :param name: id of the job.
        :returns: 200 once no process may start an item of the job any more.
        """
        job = scope_job(request.customer, name)
        deadline = time.monotonic() + CLOSE_TIMEOUT_SECONDS
        view = self._find_to_end(job, deadline)
        while not view.is_closed:
            if isinstance(self._ledger.close(job), Ok):
                view.is_closed = True
                log_event(Event.job_ended, job=job, listed=len(view.results))
            elif time.monotonic() > deadline:
                raise make_unreadable_refusal()
            else:
                gevent.sleep(RETRY_PAUSE_SECONDS)
        return Response(HTTPStatus.OK, EMPTY_BODY)

    def _check_size(self, job: SubmittedJob) -> None:
        """Refuse a job that could be accepted but never written.

        :raises Refusal: before anything of it is kept.
        """
        limits = self._ledger.store.limits
        excess = find_excess(job.name, job.items, limits.value_bytes)
        if excess:
            raise make_too_large_refusal(excess)

    def _find_to_end(self, job: str, deadline: float) -> JobView:
        """Find a job that its caller ends.

        :raises Refusal: if there is none, also none that the store creates
            later by a write whose answer an entry has lost.
        """
        while time.monotonic() < deadline:
            view = self._find_or_fence(job)
            if view is not None:
                return view
            gevent.sleep(RETRY_PAUSE_SECONDS)
        raise make_unreadable_refusal()

    def _find_or_fence(self, job: str) -> JobView | None:
        """Find a job; return ``None`` if it is missing and not fenced."""
        try:
            return self._views.find(job)
        except UnsureJobRefusal:
            # Its disk must not start it once it is back.
            self._ledger.fences.write_end(job)
            raise
        except Refusal as refusal:
            if refusal.kind is not ErrorKind.not_found:
                raise
            if isinstance(self._ledger.fences.write_newest(job), Ok):
                raise
        return None

    def _read_page(self, name: str, after: int, wait: float) -> ResultPage:
        if not self._views.has_results(name, after):
            read = self._reader.read(name, after, wait)
            if read is not None:
                return read
        # The reader has no current answer; read the store.
        view = self._views.find(name)
        self._views.refresh(view, after, wait)
        return view.make_page(after)


def _parse_job(routed: RoutedRequest) -> SubmittedJob:
    name = routed.head.identity
    if not name or '/' in name:
        raise Refusal(ErrorKind.invalid_request, f'{name!r} is no id of a job')
    try:
        items = jobbodies.decode_items(routed.request.read_body())
    except (ValueError, msgspec.DecodeError) as error:
        raise Refusal(ErrorKind.invalid_request, str(error)) from error
    customer = routed.request.customer
    return SubmittedJob(
        scope_job(customer, name),
        routed.head.host,
        routed.route,
        items,
        customer,
        routed.priority,
    )


def _parse_query(query: str) -> dict[str, str]:
    pairs = [pair.partition('=') for pair in query.split('&') if pair]
    return {name: value for name, _equals, value in pairs}


def _parse_after(query: str) -> int:
    value = _parse_query(query).get('after', '0')
    if not value.isdigit():
        raise Refusal(ErrorKind.invalid_request, 'after is no number')
    return int(value)
