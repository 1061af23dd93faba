"""A request that arrived on a route, read and routed once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.platform import ingress
from wigeonpier.policy.matching import match_route

if TYPE_CHECKING:
    from wigeonpier.models import ServedConfiguration, ServedRoute
    from wigeonpier.web.messages import Request


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request and its route.

    :param request: as it came, with the limit of its body.
    :param head: what its headers say.
    :param route: its route.
    """

    request: Request
    head: ingress.QuestionHead
    route: ServedRoute


def receive(
    request: Request,
    configuration: ServedConfiguration | None,
) -> Arrival:
    """Read the headers of a request and find its route.

    :param request: the caller's.
    :param configuration: configuration in force, if any is known.
    :returns: the request with its route.
    :raises Refusal: where there is no route, or that cannot be known yet.
    """
    if configuration is None:
        raise Refusal(ErrorKind.not_ready, 'no configuration is known yet')
    head = ingress.read_question(request)
    route = match_route(configuration, head.host, request.path)
    if route is None:
        raise Refusal(ErrorKind.not_found, f'no route for {request.path}')
    request.body_limit = configuration.body_limit
    return Arrival(request, head, route)
