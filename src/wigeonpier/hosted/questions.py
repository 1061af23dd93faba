"""Answers online requests, and resumes interrupted streams elsewhere."""

from __future__ import annotations

import time
from dataclasses import asdict
from typing import TYPE_CHECKING

import xxhash
from result import Err, Ok

from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.hosted.bodies import BodyForwarder, is_stream, make_response
from wigeonpier.hosted.events import EventReader
from wigeonpier.hosted.failures import (
    RETRY_ELSEWHERE_SECONDS,
    STREAM_REFUSALS,
    BrokenStreamError,
    SendFailure,
    classify_disconnect,
)
from wigeonpier.hosted.question import OnlineRequest
from wigeonpier.platform import ingress
from wigeonpier.policy.claimwait import compute_retry
from wigeonpier.policy.matching import choose_service
from wigeonpier.policy.route import record_outcome
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import watch_close

if TYPE_CHECKING:
    import random
    from collections.abc import Generator, Iterator

    from wigeonpier.hosted.arrival import RoutedRequest
    from wigeonpier.hosted.configuration import ConfigurationWatch
    from wigeonpier.hosted.customeruse import CustomerLimiter
    from wigeonpier.hosted.origins import StreamOrigins
    from wigeonpier.hosted.sender import (
        RequestSender,
    )
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.messages import Response

# Time after which one of the running requests has freed its slot.
RETRY_AFTER_SECONDS = 0.3
# For callers that state no deadline.
DEFAULT_TIMEOUT_SECONDS = 60.0
# The end of a stream that upstreams end at the deadline takes a moment.
STREAM_GRACE_SECONDS = 0.25
# One in so many ordinary requests is logged; failures, late responses and
# retries always are.
LOG_ONE_IN = 16


class OnlineHandler:
    """Answers the online requests of callers."""

    def __init__(
        self,
        configuration: ConfigurationWatch,
        sender: RequestSender,
        metrics: Metrics,
        rng: random.Random,
        limiter: CustomerLimiter,
        origins: StreamOrigins,
    ) -> None:
        """Create the handler.

        :param configuration: current configuration.
        :param sender: sends requests to upstreams.
        :param metrics: metrics of this process.
        :param rng: source of randomness.
        :param limiter: admits requests within the customers' limits.
        :param origins: records and finds what began streams.
        """
        self._origins = origins
        self._limiter = limiter
        self._configuration = configuration
        self._sender = sender
        self._bodies = BodyForwarder(sender)
        self._metrics = metrics
        self._rng = rng

    def answer(self, routed: RoutedRequest) -> Response:
        """Answer one request.

        :param routed: the request with its route and customer.
        :returns: the upstream's response.
        :raises Refusal: when no upstream responds or the limit is reached.
        """
        request = self._make_request(routed)
        if routed.customer is not None:
            self._limiter.admit(
                routed.customer,
                routed.head.identity,
                is_scarce=self._sender.binder.claims.is_scarce(request.service),
            )
        request.watcher = watch_close(
            routed.request.connection,
            request.abandon,
        )
        try:
            return self._answer(request)
        except BaseException as error:
            if routed.customer is not None and not request.runs:
                self._limiter.refund(routed.customer)
            self._finish(request, type(error).__name__)
            raise

    def _make_request(self, routed: RoutedRequest) -> OnlineRequest:
        now = time.monotonic()
        route = routed.route
        timeout = routed.head.seconds or DEFAULT_TIMEOUT_SECONDS
        return OnlineRequest(
            http_request=routed.request,
            head=routed.head,
            route=route,
            service=choose_service(route, self._rng),
            body=routed.request.read_body(),
            received_at=now,
            deadline=now + min(timeout, route.timeout),
            resume_after=routed.head.resume_after,
            priority=routed.priority,
            weight=routed.weight,
        )

    def _answer(self, request: OnlineRequest) -> Response:
        if request.is_resumption:
            failure = self._origins.bind(request)
            if failure is not None:
                raise self._refuse(request, failure)
        body = self._read(request)
        _upstream, exchange = _get_current(request)
        response = make_response(exchange, body)
        response.on_close.append(lambda: self._finish(request, 'answered'))
        return response

    def _read(self, request: OnlineRequest) -> bytes | Iterator[bytes]:
        """Send a request, again after a broken body if it may be repeated.

        :returns: body of the response.
        """
        while True:
            exchange = self._send(request)
            if is_stream(exchange):
                return self._stream(request)
            if request.tracked is not None:
                request.tracked.stop_timer()
            read = self._bodies.read(request, exchange)
            if isinstance(read, Ok):
                return read.ok_value
            if not request.may_run_again:
                raise Refusal(ErrorKind.upstream_lost, read.err_value.value)

    def _send(self, request: OnlineRequest) -> Exchange:
        sent = self._sender.send(request)
        if isinstance(sent, Err):
            raise self._refuse(request, sent.err_value)
        return sent.ok_value

    def _stream(self, request: OnlineRequest) -> Iterator[bytes]:
        """Forward events, resuming at another upstream after a failure."""
        while True:
            failure = yield from self._forward_events(request)
            if failure is None:
                return
            self._resume_elsewhere(request, failure)

    def _forward_events(
        self,
        request: OnlineRequest,
    ) -> Generator[bytes, None, SendFailure | None]:
        """Forward the events of one upstream.

        :returns: why the stream broke off, ``None`` if it is complete.
        """
        upstream, exchange = _get_current(request)
        reader = EventReader(exchange)
        has_events = False
        tracked = request.tracked
        while True:
            if tracked is not None:
                tracked.waits_since = time.monotonic()
            try:
                _check_time(request)
                event = reader.read(
                    request.choose_read_timeout(has_events=has_events),
                )
            except OSError as error:
                request.last_send.problem = repr(error)
                return classify_disconnect(error)
            if event is None:
                return self._end_stream(request, upstream, reader)
            request.resume_after = event.identity or request.resume_after
            has_events = True
            self._record_event(request, upstream, is_output=event.is_output)
            request.first_event_at = request.first_event_at or time.monotonic()
            if tracked is not None:
                tracked.waits_since = 0
            began = time.monotonic()
            yield event.raw
            request.record_caller_wait(time.monotonic() - began)

    def _record_event(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        *,
        is_output: bool,
    ) -> None:
        if not request.first_event_at:
            self._origins.record(request)
        if not is_output:
            return
        request.last_send.had_output = True
        if not request.last_send.is_proven:
            self._sender.binder.suspects.record_progress(request, upstream)

    def _end_stream(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        reader: EventReader,
    ) -> SendFailure | None:
        if reader.is_cut_off:
            return SendFailure.lost
        record_outcome(upstream, went_well=True, now=time.monotonic())
        self._sender.outcomes.record_success(request)
        self._sender.binder.suspects.record_completion(request, upstream)
        return None

    def _resume_elsewhere(
        self,
        request: OnlineRequest,
        failure: SendFailure,
    ) -> None:
        upstream, _exchange = _get_current(request)
        request.release(is_broken=True)
        self._sender.record_failure(request, upstream, failure)
        self._sender.binder.chooser.allow_again(request)
        sent = self._sender.send(request)
        if isinstance(sent, Err) and not request.first_event_at:
            # No byte of the response has been sent, so an error response is
            # still possible.
            raise self._refuse(request, sent.err_value)
        if isinstance(sent, Err):
            failure = sent.err_value
        is_resumed = isinstance(sent, Ok) and ingress.is_success(sent.ok_value)
        self._metrics.count(
            'streams_resumed_total',
            by='entry',
            outcome='resumed' if is_resumed else failure.name,
        )
        if not is_resumed:
            raise BrokenStreamError(f'cannot resume stream: {failure.value}')
        resumed_at = _get_current(request)[0]
        log_event(
            Event.stream_resumed,
            request=request.head.identity,
            upstream=resumed_at.name,
            version=resumed_at.version,
            began=request.origin.version if request.origin else '',
            after=request.resume_after,
        )

    def _refuse(self, request: OnlineRequest, failure: SendFailure) -> Refusal:
        if failure is SendFailure.crashes_upstreams:
            self._sender.binder.suspects.record_refusal(request)
        if failure in STREAM_REFUSALS:
            self._origins.record_refusal(request, failure)
        if failure is SendFailure.no_slot:
            return self._refuse_unplaced(request)
        return _make_refusal(request, failure)

    def _refuse_unplaced(self, request: OnlineRequest) -> Refusal:
        """Refuse a request that cannot start in time and has not run."""
        retry = compute_retry(request.search.wait, self._rng.random())
        log_event(
            Event.request_unplaced,
            request=request.head.identity,
            customer=request.http_request.customer,
            wait=request.search.wait,
            retry=round(retry, 3),
            asks=request.reservation_attempts,
            seconds_left=round(request.seconds_left, 3),
        )
        return Refusal(
            ErrorKind.overloaded,
            SendFailure.no_slot.value,
            retry_seconds=round(retry, 3),
        )

    def _finish(self, request: OnlineRequest, outcome: str) -> None:
        if request.watcher is not None:
            request.watcher.kill(block=False)
        request.release()
        self._sender.binder.suspects.end_trial(request)
        outcome = 'caller gone' if request.is_abandoned else outcome
        route = request.route.name
        seconds = time.monotonic() - request.received_at
        self._metrics.count('questions_total', route=route, outcome=outcome)
        self._metrics.observe('question', seconds, route=route)
        if _is_logged(request, outcome):
            log_event(
                Event.request_done,
                request=request.head.identity,
                caller=request.http_request.caller,
                fingerprint=request.fingerprint,
                parts=request.head.shared_parts,
                route=route,
                version=self._configuration.get_version(),
                outcome=outcome,
                sends=[asdict(send) for send in request.sends],
                asks=request.reservation_attempts,
                slot_wait=round(request.slot_wait, 3),
                runs=request.runs,
                resumes=request.head.resumes,
                resumed_after=request.head.resume_after,
                last_event=request.resume_after,
                seconds=round(seconds, 3),
            )


def _is_logged(request: OnlineRequest, outcome: str) -> bool:
    """Tell whether to log a finished request; ordinary ones are sampled."""
    if outcome != 'answered' or len(request.sends) > 1:
        return True
    if request.head.resumes or request.head.resume_after:
        return True
    latency = request.first_event_at - request.received_at
    if latency > request.route.objective:
        return True
    digest = xxhash.xxh3_64_intdigest(request.head.identity.encode())
    return digest % LOG_ONE_IN == 0


def _check_time(request: OnlineRequest) -> None:
    """Check that an answer goes on in the time of its request.

    Each event by itself may arrive in time, and no event be the last one.

    :raises TimeoutError: when it is over, without the time that the caller
        took to read.
    """
    if request.seconds_left + request.caller_seconds < -STREAM_GRACE_SECONDS:
        raise TimeoutError('the time of the request is over')


def _get_current(request: OnlineRequest) -> tuple[UpstreamState, Exchange]:
    if request.upstream is None or request.exchange is None:
        raise BrokenStreamError('no upstream is processing the request')
    return request.upstream, request.exchange


def _make_refusal(request: OnlineRequest, failure: SendFailure) -> Refusal:
    """Make the error response for a request that could not be answered.

    It states that the request did not run only where that is certain.
    """
    if failure is SendFailure.crashes_upstreams:
        return Refusal(
            ErrorKind.ends_upstreams,
            failure.value,
            ran=Ran.unknown if request.runs else Ran.no,
        )
    if failure in STREAM_REFUSALS and not request.runs:
        kind, retry_seconds = STREAM_REFUSALS[failure]
        return Refusal(kind, failure.value, retry_seconds=retry_seconds)
    if not request.runs:
        is_isolated = failure is SendFailure.cut_off
        return Refusal(
            ErrorKind.overloaded,
            failure.value,
            retry_seconds=RETRY_ELSEWHERE_SECONDS
            if is_isolated
            else RETRY_AFTER_SECONDS,
        )
    if request.seconds_left <= 0:
        return Refusal(
            ErrorKind.deadline_passed,
            failure.value,
            ran=Ran.unknown,
        )
    # Other upstreams are not affected, so a retry may come at once.
    return Refusal(
        ErrorKind.upstream_lost,
        failure.value,
        ran=Ran.unknown,
        retry_seconds=RETRY_ELSEWHERE_SECONDS,
    )
