"""Callers that leave a stream while it is placed, and resume it elsewhere."""

from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import gevent

from tests.hosted.builders import HOST
from tests.hosted.streams import StreamCaller
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.hosted.builders import HostedSite

PLACING_SECONDS = 0.3
LEAVES_AFTER_SECONDS = 0.1
# A run may go on for so long where its stream has gone on elsewhere.
OVERLAP_SECONDS = 0.4


def delay_placing(site: HostedSite) -> None:
    """Let the first entry wait for each slot."""
    binder = site.entries[0]._online_handler._sender.binder
    reserve: Callable[..., Any] = binder.reserver.reserve

    def reserve_late(*given: Any, **named: Any) -> Any:
        gevent.sleep(PLACING_SECONDS)
        return reserve(*given, **named)

    binder.reserver = SimpleNamespace(reserve=reserve_late)


def leave(site: HostedSite, identity: str) -> None:
    """Send a request to the first entry and leave before it is placed."""
    headers = [('Host', HOST), ('X-Attempt-Id', identity)]
    host, _colon, port = site.addresses[0].rpartition(':')
    caller = socket.create_connection((host, int(port)))
    caller.sendall(make_request('POST', '/ask/1', headers, b'{}'))
    gevent.sleep(LEAVES_AFTER_SECONDS)
    caller.close()


def test_a_stream_left_before_it_is_placed_runs_at_one_replica(
    site: HostedSite,
) -> None:
    """The entry began the run after its caller had gone to another entry."""
    site.start(replicas=2, entries=2)
    delay_placing(site)
    leave(site, 'q1')
    texts = StreamCaller(site).read('q2', entry=1)
    assert len(texts) == site.replicas[0].events
    gevent.sleep(PLACING_SECONDS + OVERLAP_SECONDS)
    assert sum(replica.runs['q1'] for replica in site.replicas) == 0
