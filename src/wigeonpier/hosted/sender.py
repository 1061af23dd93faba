"""Sends requests to upstreams and checks the head of each response."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from wigeonpier.hosted.failures import (
    DISCONNECTS,
    HEALTH_NEUTRAL,
    MAX_SAFE_IDLE_SECONDS,
    CallerGoneError,
    QueueLeftError,
    SendFailure,
    classify_disconnect,
)
from wigeonpier.hosted.foreignanswer import expect_answer
from wigeonpier.hosted.reserver import ReservationOutcome
from wigeonpier.platform import ingress, register
from wigeonpier.policy import waiting
from wigeonpier.policy.route import record_outcome
from wigeonpier.policy.streamorigin import may_continue
from wigeonpier.policy.trial import IsolationLevel
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import make_request
from wigeonpier.web.pool import MAX_IDLE_SECONDS

if TYPE_CHECKING:
    from wigeonpier.hosted.binder import SlotBinder
    from wigeonpier.hosted.outcomes import OutcomeReporter
    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.pool import ConnectionPool

# A send that is rejected before it runs costs a few ms; this many rejections
# show that the service is full.
MAX_SENDS = 4
# An upstream that has restarted at once registers with its next heartbeat.
MAX_CAUSE_WAIT_SECONDS = 0.5


@dataclass(slots=True)
class RequestSender:
    """Sends requests to upstreams.

    :param binder: chooses the upstreams.
    :param pool: connections to the upstreams.
    :param outcomes: reports outcomes to the workers of the upstreams.
    """

    binder: SlotBinder
    pool: ConnectionPool
    outcomes: OutcomeReporter

    def send(self, request: OnlineRequest) -> Result[Exchange, SendFailure]:
        """Send a request, retrying until an upstream responds.

        :param request: the request; the upstream that responded is set on it.
        :returns: the exchange with its response head read, or the last failure
            once the request may not be sent again.
        :raises CallerGoneError: when the caller has disconnected.
        """
        outcome: Result[Exchange, SendFailure] = Err(SendFailure.no_upstream)
        while len(request.tried) < MAX_SENDS and request.may_run_again:
            chosen = self._choose_next(request)
            if isinstance(chosen, Err):
                # Once all upstreams were tried, the last failure is the reason.
                is_exhausted = chosen.err_value is SendFailure.no_upstream
                return outcome if is_exhausted else chosen
            outcome = self._send_once(request, chosen.ok_value)
            if isinstance(outcome, Ok):
                break
            self._handle_failure(request, chosen.ok_value, outcome.err_value)
        if isinstance(outcome, Ok):
            return outcome
        if _may_be_repeated_elsewhere(request):
            self._await_cause(request)
        if self.binder.is_refused(request):
            return Err(SendFailure.crashes_upstreams)
        return outcome

    def record_failure(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        failure: SendFailure,
    ) -> None:
        """Record a failed send for health checks, crash tracking and the log.

        :param request: the request that was sent.
        :param upstream: the upstream that it was sent to.
        :param failure: what went wrong.
        :raises CallerGoneError: when the caller has disconnected, which makes
            the send fail as well.
        """
        if request.is_abandoned:
            raise CallerGoneError('the caller has disconnected')
        if failure is SendFailure.replaced:
            instance = request.sends[-1].instance
            self.binder.replicas.record_replaced(upstream, instance)
            # Takes a few ms and does not show that the service is full, so it
            # does not count towards MAX_SENDS.
            request.tried.discard(upstream.name)
        elif failure not in HEALTH_NEUTRAL:
            record_outcome(upstream, went_well=False, now=time.monotonic())
        request.sends[-1].outcome = failure.value
        has_crashed = (
            failure in DISCONNECTS
            and self.binder.suspects.detect_crash(upstream)
        )
        self.outcomes.record_failure(
            request, upstream, failure, has_crashed=has_crashed
        )
        if has_crashed and failure is SendFailure.lost:
            self.binder.suspects.record_crash(request, upstream)
        elif failure is SendFailure.lost:
            self.binder.suspects.record_possible_crash(request, upstream)
            # If it ran alone, this may be the crash that gets it refused,
            # which is known as soon as the crash is confirmed.
            request.is_retry_blocked = (
                request.sends[-1].company == IsolationLevel.exclusive
            )
        # A trial whose upstream may have crashed goes on until that is known.
        if has_crashed or failure is not SendFailure.lost:
            self.binder.suspects.release_trial(request, upstream)
        log_event(
            Event.request_retried,
            request=request.head.identity,
            fingerprint=request.fingerprint,
            parts=request.head.shared_parts,
            had_output=request.sends[-1].had_output,
            upstream=upstream.name,
            failures=upstream.failures,
            runs=request.runs,
            seconds_left=round(request.seconds_left, 3),
            why=failure.value,
            status=request.last_send.status,
            problem=request.last_send.problem,
            has_ended=has_crashed,
        )

    def _choose_next(
        self,
        request: OnlineRequest,
    ) -> Result[UpstreamState, SendFailure]:
        """Choose the next upstream, which may take until the request is late.

        :returns: the upstream, or why the request is not sent again.
        :raises CallerGoneError: when the caller has disconnected.
        """
        failure = self.binder.find_send_failure(request)
        if failure is not None:
            return Err(failure)
        upstream = request.next_upstream or self.binder.choose_upstream(request)
        request.next_upstream = None
        if upstream and not may_continue(upstream, request.origin):
            # The answer to a reservation shows that it has restarted.
            request.tried.add(upstream.name)
            upstream = self.binder.chooser.choose(request)
        _check_caller(request)
        failure = self.binder.find_send_failure(request)
        if failure is not None:
            return Err(failure)
        return Ok(upstream) if upstream else Err(SendFailure.no_upstream)

    def _handle_failure(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        failure: SendFailure,
    ) -> None:
        """Record a failed send, and delay the next one if the request is late.

        :raises CallerGoneError: when the caller has disconnected.
        """
        self.record_failure(request, upstream, failure)
        if failure is SendFailure.late:
            self._back_off(request, upstream)

    def _send_once(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
    ) -> Result[Exchange, SendFailure]:
        request.record_send(upstream)
        opened = self.pool.begin(
            upstream.address,
            request.seconds_left,
            MAX_SAFE_IDLE_SECONDS
            if request.is_last_attempt
            else MAX_IDLE_SECONDS,
            request.head.identity,
        )
        if isinstance(opened, Err):
            return Err(SendFailure.no_connection)
        exchange = opened.ok_value
        if request.is_abandoned:
            # The close of the caller found no exchange to abort.
            exchange.close()
            raise CallerGoneError('the caller has disconnected')
        expect_answer(exchange, request.head.identity, upstream.name)
        request.attach(upstream, exchange)
        try:
            self._await_head(request, upstream, exchange)
        except QueueLeftError as departure:
            _leave_queue(request, upstream)
            return Err(departure.reason)
        except OSError as error:
            request.last_send.problem = repr(error)
            request.release(is_broken=True)
            return Err(classify_disconnect(error))
        self.binder.isolation_detector.record_contact()
        failure = self._check_answer(request, upstream, exchange)
        if failure is not None:
            request.release(is_broken=failure is SendFailure.foreign_answer)
            return Err(failure)
        return Ok(exchange)

    def _await_head(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        exchange: Exchange,
    ) -> None:
        """Send, and wait for the response head or for a better upstream.

        On a route without a latency objective no request counts as late, so
        the request stays where it is.

        :raises QueueLeftError: when the request is to leave this upstream.
        """
        self.outcomes.track(request, upstream, exchange.idle_seconds)
        limit = request.choose_read_timeout(has_events=False)
        began = time.monotonic()
        exchange.write(_encode(request, upstream), limit)
        timeout = request.route.objective * waiting.MIN_QUEUE_SHARE
        # A suspected request has to stay where it is isolated from others.
        may_move = request.may_run_again and not request.isolation
        while may_move and 0 < timeout < limit:
            try:
                exchange.await_head(timeout)
            except TimeoutError:
                self._check_queue(request, upstream)
            else:
                return
            timeout = waiting.CHECK_INTERVAL_SECONDS
            if time.monotonic() - began + timeout > limit:
                break
        # The policy decides how long to wait, also within a head.
        exchange.await_head(
            limit - (time.monotonic() - began), head_seconds=limit
        )

    def _check_answer(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        exchange: Exchange,
    ) -> SendFailure | None:
        """Check the head of a response, and report a fault that it shows."""
        _record_load(upstream, exchange)
        request.last_send.status = exchange.status
        request.last_send.claims_not_run = ingress.has_not_run(exchange)
        failure = _check_head(request, upstream, exchange)
        self.outcomes.record_answer(request, exchange, failure)
        return failure

    def _check_queue(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
    ) -> None:
        """Check whether a waiting request should leave the upstream.

        :raises QueueLeftError: when it should.
        """
        other = self.binder.chooser.choose(request)
        if other is None:
            return
        now = time.monotonic()
        decision = waiting.decide_queued(
            upstream,
            other,
            request.measure_wait(now),
            now,
        )
        if decision is waiting.QueueDecision.move:
            if (
                self.binder.reserve_slot(request, other)
                is ReservationOutcome.refused
            ):
                return
            request.next_upstream = other
            raise QueueLeftError(SendFailure.queued)
        # The pause would exceed the longest gap between the events of a stream
        # that callers accept.
        if (
            decision is waiting.QueueDecision.back_off
            and not request.first_event_at
        ):
            raise QueueLeftError(SendFailure.late)
        if decision is waiting.QueueDecision.distrust:
            request.next_upstream = other
            raise QueueLeftError(SendFailure.silent)

    def _await_cause(self, request: OnlineRequest) -> None:
        """Wait for confirmation that the upstream of a lost lone run crashed.

        A caller that is answered before retries at an entry that does not know
        the cause either, and crashes one more upstream.

        :raises CallerGoneError: when the caller has disconnected.
        """
        deadline = time.monotonic() + MAX_CAUSE_WAIT_SECONDS
        while time.monotonic() < deadline:
            if self.binder.is_refused(request):
                break
            _check_caller(request)
            gevent.sleep(waiting.CHECK_INTERVAL_SECONDS)
        _check_caller(request)

    def _back_off(
        self, request: OnlineRequest, upstream: UpstreamState
    ) -> None:
        """Wait at the entry until an upstream has room, or for a time limit.

        :raises CallerGoneError: when the caller has disconnected.
        """
        request.tried.discard(upstream.name)
        limit = waiting.limit_back_off(request.seconds_left)
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline and not request.is_abandoned:
            gevent.sleep(
                waiting.CHECK_INTERVAL_SECONDS * self.binder.rng.uniform(1, 2)
            )
            other = self.binder.chooser.choose(request)
            if other is None or not waiting.may_resend(other, time.monotonic()):
                continue
            if (
                self.binder.reserve_slot(request, other)
                is ReservationOutcome.granted
            ):
                request.next_upstream = other
                return
        _check_caller(request)


def _leave_queue(request: OnlineRequest, upstream: UpstreamState) -> None:
    request.release(is_broken=True)
    waiting.record_departure(upstream)


def _may_be_repeated_elsewhere(request: OnlineRequest) -> bool:
    """Check whether a caller may repeat a request that was lost alone.

    Callers repeat no other requests after a failure, nor near their deadline.
    """
    return (
        request.is_retry_blocked
        and request.route.is_idempotent
        and request.seconds_left > 2 * MAX_CAUSE_WAIT_SECONDS
    )


def _check_caller(request: OnlineRequest) -> None:
    """Check that the caller still waits for the request.

    :raises CallerGoneError: when the caller has disconnected.
    """
    if request.is_abandoned:
        raise CallerGoneError('the caller has disconnected')


def _check_head(
    request: OnlineRequest,
    upstream: UpstreamState,
    exchange: Exchange,
) -> SendFailure | None:
    """Check the head of a response.

    :returns: the failure, ``None`` where the response goes to the caller.
    """
    if not ingress.bears_identity(exchange, request.head.identity):
        return SendFailure.foreign_answer
    if ingress.has_not_run(exchange):
        request.runs -= 1
        instance = ingress.get_instance(exchange)
        if instance in {'', upstream.name}:
            return SendFailure.turned_away
        request.sends[-1].instance = instance
        return SendFailure.replaced
    return _check_run(request, exchange)


def _check_run(
    request: OnlineRequest, exchange: Exchange
) -> SendFailure | None:
    """Check the head of the response of an upstream that may have run it."""
    if not ingress.is_signed(exchange):
        return SendFailure.foreign_answer
    if not ingress.is_success(exchange) and request.may_run_again:
        return SendFailure.failed
    # The caller would take it for a promise that the request has not run.
    if ingress.is_promise(exchange):
        return SendFailure.unfounded
    return None


def _encode(request: OnlineRequest, upstream: UpstreamState) -> bytes:
    send = ingress.Send(
        upstream.name,
        request.seconds_left,
        request.resume_after,
        request.http_request.customer,
    )
    return make_request(
        request.http_request.method,
        request.http_request.target,
        ingress.list_onward_headers(request.http_request.headers, send),
        request.body,
    )


def _record_load(upstream: UpstreamState, exchange: Exchange) -> None:
    """Record the load that a response reports, unless a load feed is open."""
    if upstream.load_fresh_until > time.monotonic():
        return
    load = register.parse_load(ingress.get_load(exchange))
    if load is not None:
        upstream.reported = load.running + load.waiting
        upstream.reported_at = time.monotonic()
