"""Forwards online requests through the gate to the upstream."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING

from geventhttpclient.response import HTTPParseError
from result import Err

from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.web import headers
from wigeonpier.web.client import CallFailure
from wigeonpier.web.longbodies import make_response
from wigeonpier.web.messages import EVENT_STREAM_TYPE
from wigeonpier.web.sse import is_text_line

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.local.gate import Gate
    from wigeonpier.local.suspects import LocalSuspects, SuspectRun
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.client import HttpClient, StreamReply
    from wigeonpier.web.messages import Request, Response

DEFAULT_DEADLINE_MS = 120_000
MILLISECONDS = 1000
MIN_ANSWER_SECONDS = 0.01
SERVER_ERROR = 500
FORWARDED_HEADERS = ('content-type', 'accept', 'traceparent')


@dataclass(frozen=True, slots=True)
class OnlinePath:
    """Components of the online path of a local process.

    :param gate: decides when a request starts.
    :param client: connections to the upstream.
    :param upstream: ``host:port`` of the upstream.
    :param metrics: metrics of this process.
    :param service: service that the upstream is a replica of.
    :param suspects: tracks requests that may crash the upstream.
    """

    gate: Gate
    client: HttpClient
    upstream: str
    metrics: Metrics
    service: str
    suspects: LocalSuspects


def answer_online(path: OnlinePath, request: Request, target: str) -> Response:
    """Forward one request to the upstream.

    :param path: components of the online path.
    :param request: request from an entry process.
    :param target: path at the upstream.
    :returns: the upstream's answer.
    :raises Refusal: when it did not run, or it is not known whether it did.
    """
    if not path.gate.is_open:
        raise Refusal(ErrorKind.leaving, 'this upstream is leaving')
    body = request.read_body()
    received_at = time.monotonic()
    timeout_ms = request.headers.get(headers.DEADLINE_MS, DEFAULT_DEADLINE_MS)
    deadline = received_at + int(timeout_ms) / MILLISECONDS
    with ExitStack() as resources:
        resources.enter_context(path.gate.hold_online(deadline))
        path.metrics.observe(
            'queueing',
            time.monotonic() - received_at,
            service=path.service,
            work='online',
        )
        run = path.suspects.start_run(request, body)
        resources.callback(run.close)
        reply = _open_upstream(path, run, target, deadline)
        resources.callback(reply.close)
        if _is_stream(reply):
            response = make_response(reply, _relay(path, reply, run, deadline))
        else:
            response = make_response(reply, _read_body(reply, run, deadline))
        if not isinstance(response.body, bytes):
            # The slot is held until the body is sent or aborted.
            response.on_close.append(resources.pop_all().close)
        return response


def _open_upstream(
    path: OnlinePath,
    run: SuspectRun,
    target: str,
    deadline: float,
) -> StreamReply:
    request = run.request
    forwarded = {
        name: request.headers[name]
        for name in FORWARDED_HEADERS
        if name in request.headers
    }
    forwarded[headers.REQUEST_ID] = request.identity
    if request.span:
        forwarded['traceparent'] = request.span.traceparent
    opened = path.client.open(
        path.upstream,
        request.method,
        target,
        run.body,
        headers=forwarded,
        timeout=_get_seconds_left(deadline),
    )
    if isinstance(opened, Err):
        if opened.err_value is CallFailure.not_sent:
            raise Refusal(ErrorKind.no_upstream, 'the upstream is down')
        run.record_loss()
        raise Refusal(ErrorKind.upstream_lost, 'the upstream was lost')
    return opened.ok_value


def _is_stream(reply: StreamReply) -> bool:
    return reply.get_header('content-type').startswith(EVENT_STREAM_TYPE)


def _read_body(
    reply: StreamReply,
    run: SuspectRun,
    deadline: float,
) -> bytes | Iterator[bytes]:
    try:
        start = reply.read_start(_get_seconds_left(deadline))
    except (OSError, HTTPParseError) as error:
        run.record_loss()
        raise Refusal(ErrorKind.upstream_lost, 'the answer broke off') from (
            error
        )
    if reply.is_whole:
        run.record_completion()
    if reply.status >= SERVER_ERROR:
        raise Refusal(
            ErrorKind.upstream_failed,
            f'the upstream answered {reply.status}',
            ran=Ran.unknown,
        )
    return start if reply.is_whole else _pass_on(reply, run, [start])


def _pass_on(
    reply: StreamReply, run: SuspectRun, held: list[bytes]
) -> Iterator[bytes]:
    """Pass on a long body.

    :param held: its start, which is dropped once the caller has it.
    :raises OSError: if it breaks off, so that it does not look complete.
    """
    yield held.pop()
    try:
        yield from reply.iterate_parts()
    except (OSError, HTTPParseError):
        run.record_loss()
        raise
    run.record_completion()


def _get_seconds_left(deadline: float) -> float:
    return max(MIN_ANSWER_SECONDS, deadline - time.monotonic())


def _relay(
    path: OnlinePath,
    reply: StreamReply,
    run: SuspectRun,
    deadline: float,
) -> Iterator[bytes]:
    with path.gate.watch_tokens() as watch:
        lines = reply.iterate_lines(first_seconds=_get_seconds_left(deadline))
        while True:
            try:
                line = next(lines, b'')
            except (OSError, HTTPParseError):
                run.record_loss()
                raise
            if not line:
                run.record_completion()
                return
            if is_text_line(line):
                watch.record_token()
            yield line
