"""Which route and service a request belongs to."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import msgspec

from tests.hosted.builders import HOST, make_configuration, make_route_entry
from wigeonpier.platform.operator import decode_configuration
from wigeonpier.policy.matching import choose_service, match_route


def build(*prefixes: str):
    """Make a configuration with routes of these prefixes."""
    routes = [make_route_entry('streaming', prefix) for prefix in prefixes]
    raw = msgspec.json.encode(make_configuration(routes=routes))
    return decode_configuration(raw)


def test_longest_prefix_of_the_host_wins() -> None:
    found = match_route(build('/a/', '/a/b/', '/'), HOST, '/a/b/c')
    assert found is not None
    assert found.prefix == '/a/b/'


def test_other_hosts_and_paths_have_no_route() -> None:
    configuration = build('/a/')
    assert match_route(configuration, 'other.example', '/a/b') is None
    assert match_route(configuration, HOST, '/ab') is None


def test_services_are_chosen_by_weight() -> None:
    route = replace(build('/a/').routes[0], services=(('x', 90.0), ('y', 10.0)))
    rng = random.Random(1)
    chosen = Counter(choose_service(route, rng) for _ in range(1000))
    assert 850 < chosen['x'] < 950


def test_first_service_is_chosen_if_all_weights_are_zero() -> None:
    route = replace(build('/a/').routes[0], services=(('x', 0.0), ('y', 0.0)))
    assert choose_service(route, random.Random(1)) == 'x'
