"""Health, readiness and metrics routes of a daemon."""

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
    """Health report of a daemon.

    :param name: name of its VM.
    :param version: version of the configuration in force.
    :param broken_promises: number of invariant violations.
    :param platform_seconds: how long the key-value service has been
        unreachable, 0 while it is reachable.
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
    """Create the routes that every daemon has.

    :param describe: returns the health report.
    :param is_ready: returns whether the daemon accepts work.
    :param metrics: metrics of the daemon.
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
