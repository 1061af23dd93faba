"""Forwards online requests to upstreams, with retries and resumed streams."""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import chain
from typing import TYPE_CHECKING

from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from wigeonpier.entry.bodies import read_response
from wigeonpier.entry.failedattempts import (
    RefusedAttempt,
    classify_failure,
    classify_refusal,
    correct_ran,
    make_version_failure,
    render_error,
)
from wigeonpier.entry.senttext import SentText
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.invariants import Invariant, check_invariant
from wigeonpier.policy.retry import (
    ExecutionState,
    FailedAttempt,
    RetryBudget,
    may_retry,
)
from wigeonpier.policy.route import (
    RoutingCriteria,
    choose_upstream,
    record_outcome,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web import headers
from wigeonpier.web.client import CallFailure
from wigeonpier.web.messages import EVENT_STREAM_TYPE, Response
from wigeonpier.web.sse import (
    continue_body,
    is_text_line,
    join_chunks,
    read_version,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from wigeonpier.entry.pending import PendingRequest
    from wigeonpier.entry.suspects import SuspectFilter
    from wigeonpier.membership.directory import Directory
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.client import HttpClient, StreamReply

MILLISECONDS = 1000
OVERLOAD_STATUS = 429
SERVER_ERROR = 500
FORWARDED_HEADERS = ('content-type', 'accept')
# The local process observes the same deadline, and its answer takes a moment.
ANSWER_GRACE_SECONDS = 1.0


@dataclass(slots=True)
class _StreamConnection:
    """The upstream slot and connection that a stream occupies.

    It is also released when the response is closed, since a body may never
    be iterated.
    """

    state: UpstreamState
    reply: StreamReply
    lines: Iterator[bytes]
    is_open: bool = True
    is_version_known: bool = False

    def attach(
        self,
        state: UpstreamState,
        reply: StreamReply,
        lines: Iterator[bytes],
    ) -> None:
        self.state = state
        self.reply = reply
        self.lines = lines
        self.is_open = True
        self.is_version_known = False

    def record_version(self, line: bytes) -> None:
        """Record which engine writes, from its first chunk."""
        if not self.is_version_known:
            self.is_version_known = True
            self.state.version = read_version(line)

    def release(self) -> None:
        if self.is_open:
            self.is_open = False
            self.state.in_flight -= 1
            self.reply.close()


@dataclass(slots=True)
class Forwarder:
    """Chooses upstreams and relays their answers.

    :param directory: upstreams that the entry knows.
    :param client: connections to local processes.
    :param metrics: metrics of this process.
    :param rng: source of randomness.
    :param suspect_filter: refuses requests that crash upstreams.
    :param budget: limits the share of retries.
    """

    directory: Directory
    client: HttpClient
    metrics: Metrics
    rng: random.Random
    suspect_filter: SuspectFilter
    budget: RetryBudget = field(default_factory=RetryBudget)

    def send(self, pending: PendingRequest) -> Response:
        """Forward a request until an upstream answers it.

        :param pending: the request.
        :returns: the upstream's answer.
        :raises Refusal: when no further attempt is allowed.
        """
        self.budget.record_request()
        try:
            return self._attempt_until_answered(pending)
        except Refusal as refusal:
            raise correct_ran(pending, refusal) from refusal

    def _attempt_until_answered(self, pending: PendingRequest) -> Response:
        while True:
            state = self._choose(pending)
            self.suspect_filter.check(pending, state)
            outcome = self._attempt_once(pending, state)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            self._plan_retry(pending, state, outcome.err_value)

    def _choose(self, pending: PendingRequest) -> UpstreamState:
        if pending.seconds_left <= 0:
            raise Refusal(ErrorKind.deadline_passed, 'the deadline passed')
        now = self.directory.clock()
        state = choose_upstream(
            self.directory.list_upstreams(),
            pending.criteria,
            now,
            self.rng,
        )
        if state is None:
            raise Refusal(
                ErrorKind.no_upstream,
                'no upstream of the service takes work now',
            )
        check_invariant(
            state.name not in self.directory.leaving_vms,
            Invariant.leaving_gets_no_work,
            state.name,
        )
        return state

    def _attempt_once(
        self,
        pending: PendingRequest,
        state: UpstreamState,
    ) -> Result[Response, RefusedAttempt]:
        pending.attempts += 1
        self._record_added_latency(pending)
        check_invariant(
            pending.is_idempotent or not pending.may_have_run,
            Invariant.runs_at_most_once,
            pending.request.identity,
        )
        state.in_flight += 1
        opened = self._open(pending, state)
        if isinstance(opened, Err):
            state.in_flight -= 1
            return opened
        reply = opened.ok_value
        if reply.get_header('content-type').startswith(EVENT_STREAM_TYPE):
            return Ok(self._start_stream(pending, state, reply))
        return self._read_response(pending, state, reply)

    def _record_added_latency(self, pending: PendingRequest) -> None:
        if pending.attempts == 1:
            self.metrics.observe(
                'added_latency',
                time.monotonic() - pending.arrived,
                service=pending.criteria.service,
                work='online',
            )

    def _open(
        self,
        pending: PendingRequest,
        state: UpstreamState,
    ) -> Result[StreamReply, RefusedAttempt]:
        opened = self.client.open(
            state.address,
            pending.request.method,
            pending.path,
            pending.body,
            headers=_make_headers(pending),
            timeout=_get_answer_seconds(pending),
        )
        now = self.directory.clock()
        if isinstance(opened, Err):
            record_outcome(state, went_well=False, now=now)
            return Err(classify_failure(opened.err_value))
        reply = opened.ok_value
        identity = pending.request.identity
        echoed = reply.get_header(headers.REQUEST_ID)
        check_invariant(
            echoed == identity,
            Invariant.whole_answer_to_its_caller,
            f'{identity} got the answer to {echoed}',
        )
        if echoed != identity:
            reply.close()
            return Err(classify_failure(CallFailure.lost))
        if reply.status >= SERVER_ERROR or reply.status == OVERLOAD_STATUS:
            failure = classify_refusal(reply, _get_answer_seconds(pending))
            record_outcome(
                state, failure.execution_state is ExecutionState.not_run, now
            )
            return Err(failure)
        record_outcome(state, went_well=True, now=now)
        return Ok(reply)

    def _read_response(
        self,
        pending: PendingRequest,
        state: UpstreamState,
        reply: StreamReply,
    ) -> Result[Response, RefusedAttempt]:
        connection = _StreamConnection(state, reply, iter(()))

        def record_break() -> None:
            record_outcome(state, went_well=False, now=self.directory.clock())

        try:
            response = read_response(
                pending, reply, _get_answer_seconds(pending), record_break
            )
        except (OSError, HTTPParseError):
            connection.release()
            record_break()
            return Err(classify_failure(CallFailure.lost))
        if isinstance(response.body, bytes):
            connection.release()
        else:
            response.on_close.append(connection.release)
        return Ok(response)

    def _start_stream(
        self,
        pending: PendingRequest,
        state: UpstreamState,
        reply: StreamReply,
    ) -> Response:
        lines = reply.iterate_lines(first_seconds=_get_answer_seconds(pending))
        connection = _StreamConnection(state, reply, lines)
        return Response(
            reply.status,
            self._relay(pending, connection),
            EVENT_STREAM_TYPE,
            on_close=[connection.release],
        )

    def _relay(
        self, pending: PendingRequest, connection: _StreamConnection
    ) -> Iterator[bytes]:
        sent = SentText()
        try:
            while True:
                yield from self._relay_part(pending, connection, sent)
                if sent.has_ended:
                    return
                connection.release()
                connection.attach(
                    *self._resume(pending, connection.state, sent)
                )
        except Refusal as refusal:
            yield render_error(correct_ran(pending, refusal))

    def _relay_part(
        self,
        pending: PendingRequest,
        connection: _StreamConnection,
        sent: SentText,
    ) -> Iterator[bytes]:
        last: float = 0
        with suppress(OSError, HTTPParseError):
            for line in connection.lines:
                if is_text_line(line):
                    connection.record_version(line)
                    now = time.monotonic()
                    self._record_token(
                        pending, now - (last or pending.arrived), last
                    )
                    last = now
                    pending.tokens += 1
                sent.record(line)
                yield line

    def _record_token(
        self, pending: PendingRequest, seconds: float, last: float
    ) -> None:
        name = 'between_tokens' if last else 'first_token'
        self.metrics.observe(
            name,
            seconds,
            service=pending.criteria.service,
            work='online',
        )

    def _resume(
        self,
        pending: PendingRequest,
        state: UpstreamState,
        sent: SentText,
    ) -> tuple[UpstreamState, StreamReply, Iterator[bytes]]:
        """Continue a stream at an engine with the fingerprint of the first one.

        :returns: the upstream, its answer, and the lines of the answer.
        :raises Refusal: when no further attempt is allowed.
        """
        record_outcome(state, went_well=False, now=self.directory.clock())
        failure = classify_failure(CallFailure.lost)
        if not sent.is_whole:
            pending.may_have_run = True
            raise failure.refusal
        pending.compute_fingerprint()
        delivered = join_chunks(sent.lines)
        body = continue_body(
            pending.body,
            delivered.text,
            len(delivered.parts),
        )
        # Part of the request has run, so a later refusal can't say that it
        # did not run.
        pending.may_have_run = True
        continuation = replace(pending, body=body)
        while True:
            self._plan_retry(continuation, state, failure)
            continuation.criteria = self._exclude_other_versions(
                continuation.criteria, delivered.version
            )
            state = self._choose(continuation)
            self.suspect_filter.check(continuation, state)
            log_event(
                Event.stream_resumed,
                request=pending.request.identity,
                upstream=state.name,
                tokens=len(delivered.parts),
            )
            continuation.attempts += 1
            state.in_flight += 1
            opened = self._open(continuation, state)
            failure = classify_failure(CallFailure.lost)
            if isinstance(opened, Ok):
                reply = opened.ok_value
                lines = _continue_lines(pending, reply, delivered.version)
                if lines is not None:
                    return state, reply, lines
                reply.close()
                failure = make_version_failure()
            state.in_flight -= 1

    def _exclude_other_versions(
        self, criteria: RoutingCriteria, version: str
    ) -> RoutingCriteria:
        """Exclude upstreams whose last stream had another fingerprint.

        Those without a stream yet are tried only if no other one is left.
        """
        known = {
            state.name: state.version
            for state in self.directory.list_upstreams()
            if state.service == criteria.service
            and state.name not in criteria.excluded
        }
        same = {name for name, shown in known.items() if shown == version}
        unknown = {name for name, shown in known.items() if not shown}
        others = set(known) - (same or unknown)
        return replace(criteria, excluded=criteria.excluded | others)

    def _plan_retry(
        self,
        pending: PendingRequest,
        state: UpstreamState,
        failure: RefusedAttempt,
    ) -> None:
        last = FailedAttempt(
            pending.attempts,
            failure.execution_state,
            pending.is_idempotent,
            pending.seconds_left,
        )
        pending.may_have_run = (
            pending.may_have_run
            or failure.execution_state is ExecutionState.may_have_run
        )
        if failure.refusal.kind is ErrorKind.upstream_lost:
            # If this request crashed the upstream, it would crash the next
            # one too.
            self.suspect_filter.refresh(pending, state)
        if not may_retry(last, self.budget):
            raise failure.refusal
        self.budget.record_retry()
        self.metrics.count('retries_total', service=pending.criteria.service)
        log_event(
            Event.request_retried,
            request=pending.request.identity,
            upstream=state.name,
            kind=failure.refusal.kind.value,
        )
        pending.criteria = replace(
            pending.criteria,
            excluded=pending.criteria.excluded | {state.name},
        )


def _continue_lines(
    pending: PendingRequest, reply: StreamReply, version: str
) -> Iterator[bytes] | None:
    """Read on until the first chunk shows which engine continues.

    :returns: all lines, ``None`` if it is another one than began the stream.
    """
    lines = reply.iterate_lines(first_seconds=_get_answer_seconds(pending))
    first: list[bytes] = []
    with suppress(OSError, HTTPParseError):
        for line in lines:
            first.append(line)
            if is_text_line(line):
                break
    if first and is_text_line(first[-1]) and read_version(first[-1]) != version:
        return None
    return chain(first, lines)


def _get_answer_seconds(pending: PendingRequest) -> float:
    return max(0, pending.seconds_left) + ANSWER_GRACE_SECONDS


def _make_headers(pending: PendingRequest) -> dict[str, str]:
    forwarded = {
        name: pending.request.headers[name]
        for name in FORWARDED_HEADERS
        if name in pending.request.headers
    }
    forwarded[headers.REQUEST_ID] = pending.request.identity
    forwarded[headers.CUSTOMER] = pending.request.customer
    milliseconds = max(1, int(pending.seconds_left * MILLISECONDS))
    forwarded[headers.DEADLINE_MS] = str(milliseconds)
    if pending.fingerprint:
        forwarded[headers.FINGERPRINT] = pending.fingerprint
    if pending.request.span:
        forwarded['traceparent'] = pending.request.span.traceparent
    return forwarded
