"""Health, readiness and metrics of a daemon."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.invariants import violations
from wigeonpier.web.messages import Response, answer_json
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.messages import Request

METRICS_TYPE = 'text/plain; version=0.0.4'


class HealthPage(msgspec.Struct):
    """What a daemon says of itself.

    :param name: name of its VM.
    :param version: configuration in force.
    :param broken_promises: how often an invariant did not hold.
    :param platform_seconds: how long the key-value service has not
        answered, 0 while it does.
    """

    name: str
    version: int
    broken_promises: int
    platform_seconds: float = 0


def make_page_routes(
    describe: Callable[[], HealthPage],
    is_ready: Callable[[], bool],
    metrics: Metrics,
) -> list[Route]:
    """List the paths that every daemon has.

    :param describe: tells how the daemon is.
    :param is_ready: whether it can take work.
    :param metrics: its numbers.
    :returns: the routes.
    """

    def show_health(_request: Request) -> Response:
        return answer_json(describe())

    def show_ready(_request: Request) -> Response:
        if not is_ready():
            raise Refusal(ErrorKind.not_ready, 'not ready to take work')
        return answer_json(describe())

    def show_metrics(_request: Request) -> Response:
        return Response(HTTPStatus.OK, metrics.render().encode(), METRICS_TYPE)

    metrics.add_gauge('broken_promises', violations.total)
    return [
        make_route('GET', '/healthz', show_health),
        make_route('GET', '/readyz', show_ready),
        make_route('GET', '/metrics', show_metrics),
    ]
