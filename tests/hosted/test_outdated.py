"""Online requests while the register lacks the live replicas."""

from __future__ import annotations

import time

import gevent

from tests.builders import build_upstream
from tests.hosted.builders import SERVICE, HostedSite, wait_for

# More than the sends of one request.
STARTS = 6


def _add_earlier_starts(site: HostedSite) -> None:
    """Add earlier starts at the address of the replica to the entry's view."""
    register = site.entries[0]._replicas
    wait_for(lambda: register.upstreams, 'the replica is known')
    for number in range(STARTS):
        register.upstreams[f'earlier-{number}'] = build_upstream(
            f'earlier-{number}',
            service=SERVICE,
            address=site.replicas[0].address,
        )
    register._routed = None


def test_request_survives_many_outdated_entries(
    site: HostedSite,
) -> None:
    """None of them ran it, and all are detected within milliseconds."""
    site.start(replicas=1)
    _add_earlier_starts(site)
    for number in range(STARTS):
        assert site.call('POST', '/once/1', f'q{number}').status == 200


def test_request_waits_for_updated_register(
    site: HostedSite,
) -> None:
    site.start(replicas=1)
    _add_earlier_starts(site)
    register = site.entries[0]._replicas
    known = register.upstreams.pop('i-0')
    register.view.entries.pop('servers/i-0')
    call = gevent.spawn(site.call, 'POST', '/once/1', 'q')
    gevent.sleep(0.5)
    assert not call.ready()
    register.upstreams['i-0'] = known
    register._routed = None
    assert call.get().status == 200


def test_request_is_refused_at_once_without_replicas(site: HostedSite) -> None:
    site.start(replicas=1)
    register = site.entries[0]._replicas
    wait_for(lambda: register.upstreams, 'the replica is known')
    register.upstreams.clear()
    register._routed = None
    started_at = time.monotonic()
    assert site.call('POST', '/once/1', 'q').status == 503
    assert time.monotonic() - started_at < 0.3
