"""Parses an incoming request, finds its route and authenticates its caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.failures import RETRY_ELSEWHERE_SECONDS
from wigeonpier.platform import ingress
from wigeonpier.policy.fairqueue import weigh_customer
from wigeonpier.policy.identity import Verdict, identify
from wigeonpier.policy.matching import match_route
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.policy.identity import Freshness, Identity
    from wigeonpier.served import (
        ServedConfiguration,
        ServedCustomer,
        ServedRoute,
    )
    from wigeonpier.web.messages import Request


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route and customer.

    :param request: the HTTP request, without the key and with the limit of
        its body set.
    :param head: its parsed headers.
    :param route: its route.
    :param customer: the authenticated customer, ``None`` if no key is needed.
    """

    request: Request
    head: ingress.RequestHead
    route: ServedRoute
    customer: ServedCustomer | None = None

    @property
    def priority(self) -> int:
        """Give the customer's priority or, by default, the route's."""
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority

    @property
    def weight(self) -> float:
        """Compute the customer's weight, 0 without a customer."""
        if self.customer is None:
            return 0
        return weigh_customer(self.customer.rate, self.priority)


def route_request(
    request: Request,
    configuration: ServedConfiguration | None,
    freshness: Freshness,
) -> RoutedRequest:
    """Parse the headers of a request, find its route and authenticate it.

    :param request: the request; its key is removed and its customer set.
    :param configuration: current configuration, ``None`` if none was read yet.
    :param freshness: how recently it was confirmed to be the newest.
    :returns: the request with its route and customer.
    :raises Refusal: when there is no route, the key is invalid, or the
        configuration is missing or too old to authenticate the caller.
    """
    key = ingress.pop_key(request)
    if configuration is None:
        raise make_not_ready_refusal()
    head = ingress.read_request_head(request)
    route = match_route(configuration, head.host, request.path)
    if route is None:
        raise Refusal(ErrorKind.not_found, f'no route for {request.path}')
    request.body_limit = configuration.body_limit
    customer = require_customer(
        request,
        identify(configuration, key, freshness, is_open=route.is_open),
        freshness,
    )
    request.customer = customer.name if customer else ''
    return RoutedRequest(request, head, route, customer)


def authenticate_job_call(
    request: Request,
    configuration: ServedConfiguration | None,
    freshness: Freshness,
) -> None:
    """Authenticate the caller of a request on an existing job.

    :param request: the request; its key is removed and its customer set.
    :param configuration: current configuration, ``None`` if none was read yet.
    :param freshness: how recently it was confirmed to be the newest.
    :raises Refusal: when the key is invalid, or the configuration is missing
        or too old to authenticate the caller.
    """
    key = ingress.pop_key(request)
    if configuration is None:
        raise make_not_ready_refusal()
    host = ingress.read_request_head(request).host
    # A job that was submitted without a key is read without one.
    is_open = not key and any(
        route.is_open for route in configuration.routes if route.host == host
    )
    customer = require_customer(
        request,
        identify(configuration, key, freshness, is_open=is_open),
        freshness,
    )
    request.customer = customer.name if customer else ''


def require_customer(
    request: Request,
    identity: Identity,
    freshness: Freshness,
) -> ServedCustomer | None:
    """Return the customer of a request, or refuse the request.

    :param request: the request, for the log.
    :param identity: result of checking its key.
    :param freshness: how recently the configuration was confirmed to be the
        newest.
    :returns: the customer, ``None`` if no key is needed.
    :raises Refusal: when the key is invalid or cannot be checked now.
    """
    if identity.verdict is Verdict.admitted:
        return identity.customer
    log_event(
        Event.caller_turned_away,
        request=ingress.read_request_head(request).identity,
        caller=request.caller,
        why=identity.verdict.value,
        age=round(freshness.age, 3),
    )
    if identity.verdict is Verdict.unknown_key:
        raise Refusal(ErrorKind.unauthenticated, 'no customer has this key')
    raise Refusal(
        ErrorKind.not_ready,
        f'what is known of keys is {freshness.age:.1f} s old',
        retry_seconds=RETRY_ELSEWHERE_SECONDS,
    )


def make_not_ready_refusal() -> Refusal:
    """Make the error response of a process without a configuration.

    :returns: the refusal.
    """
    return Refusal(ErrorKind.not_ready, 'no configuration is known yet')
