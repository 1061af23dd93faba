"""Decides which route and service a request belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from wigeonpier.served import (
        ServedConfiguration,
        ServedRoute,
    )


def match_route(
    configuration: ServedConfiguration,
    host: str,
    path: str,
) -> ServedRoute | None:
    """Find the route of a request by its host and the longest matching prefix.

    :param configuration: configuration in force.
    :param host: host that the caller named.
    :param path: path without query.
    :returns: the route, ``None`` where there is none.
    """
    matching = [
        route
        for route in configuration.routes
        if route.host == host and path.startswith(route.prefix)
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


def choose_service(route: ServedRoute, rng: random.Random) -> str:
    """Choose the service of a request at random by the route's weights.

    :param route: the route.
    :param rng: source of randomness.
    :returns: name of the service.
    """
    names = [name for name, _weight in route.services]
    weights = [weight for _name, weight in route.services]
    if len(names) == 1 or not any(weights):
        return names[0]
    return rng.choices(names, weights)[0]
