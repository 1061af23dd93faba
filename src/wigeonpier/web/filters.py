"""Request filters of both daemons."""

from __future__ import annotations

import hmac
import time
import traceback
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.invariants import InvariantError
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.telemetry.trace import HEADER, make_record, start_span
from wigeonpier.web import headers
from wigeonpier.web.messages import answer_refusal, make_identity

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.telemetry.trace import Span, SpanRecord
    from wigeonpier.web.messages import Request, Response
    from wigeonpier.web.server import Filter, Handler

CONTROL_PATHS = ('/peer/', '/disk/')
UNLOGGED_PATHS = frozenset(('/healthz', '/readyz', '/metrics'))


def trace_requests(
    process: str,
    export: Callable[[SpanRecord], None],
    metrics: Metrics,
) -> Filter:
    """Create the filter that gives each request an id and a span.

    Control messages between processes are not traced.

    :param process: name of the hop.
    :param export: receives the finished span.
    :param metrics: counts responses by status.
    :returns: the filter.
    """

    def trace(request: Request, next_handler: Handler) -> Response:
        if request.path.startswith(CONTROL_PATHS):
            return next_handler(request)
        span = start_span(process, request.headers.get(HEADER))
        request.span = span
        request.identity = (
            request.headers.get(headers.REQUEST_ID) or make_identity()
        )
        response = next_handler(request)
        response.headers[headers.REQUEST_ID] = request.identity
        metrics.count('answers_total', status=str(response.status))
        span.fields.update(
            method=request.method,
            path=request.path,
            status=str(response.status),
            request=request.identity,
        )
        response.on_close.append(lambda: _finish_request(span, request, export))
        return response

    return trace


def answer_errors(request: Request, next_handler: Handler) -> Response:
    """Convert refusals and unexpected exceptions into responses.

    :param request: the request.
    :param next_handler: the next handler.
    :returns: the response.
    :raises InvariantError: if an invariant does not hold.
    """
    try:
        return next_handler(request)
    except Refusal as refusal:
        return answer_refusal(refusal)
    except InvariantError:
        raise
    except Exception:
        log_event(
            Event.request_failed,
            request=request.identity,
            path=request.path,
            trace=traceback.format_exc(),
        )
        return answer_refusal(
            Refusal(ErrorKind.internal, f'request {request.identity} failed'),
        )


def limit_bodies(limit: int) -> Filter:
    """Create the filter that limits the size of request bodies.

    :param limit: maximum size, bytes; a handler may raise it.
    :returns: the filter.
    """

    def set_limit(request: Request, next_handler: Handler) -> Response:
        request.body_limit = limit
        return next_handler(request)

    return set_limit


def require_peer_key(
    keys: tuple[str, ...], prefixes: tuple[str, ...]
) -> Filter:
    """Create the filter that admits only processes of the system.

    :param keys: shared keys in force; any of them is accepted, so that they
        can be rotated.
    :param prefixes: path prefixes that are reserved for peers.
    :returns: the filter.
    """

    def check(request: Request, next_handler: Handler) -> Response:
        if request.path.startswith(prefixes):
            received_key = request.headers.get(headers.PEER_KEY, '')
            if not any(hmac.compare_digest(received_key, key) for key in keys):
                raise Refusal(
                    ErrorKind.unauthenticated,
                    f'{headers.PEER_KEY} does not hold a peer key in force',
                )
        return next_handler(request)

    return check


def _finish_request(
    span: Span,
    request: Request,
    export: Callable[[SpanRecord], None],
) -> None:
    export(make_record(span))
    if request.path not in UNLOGGED_PATHS:
        log_event(
            Event.request_done,
            request=request.identity,
            customer=request.customer,
            path=request.path,
            status=span.fields['status'],
            seconds=round(time.time() - span.started, 4),
        )
