"""The store, its watch, workers and disks that send bytes without end."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import msgspec
import pytest

from tests.hosted.builders import HostedSite
from wigeonpier.bench.endless import Endless, EndlessBytes
from wigeonpier.platform import wire

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.web.messages import Request, Response
    from wigeonpier.web.server import Server

FAULT_SECONDS = 3.0
CALLERS = 4
# Deadline of the requests, and within which they have final answers after it.
DEADLINE_SECONDS = 5.0
SLACK_SECONDS = 0.5
OK = 200
JOB = msgspec.json.encode(
    {'items': [{'id': 'j1-0', 'path': '/jobs/x', 'body': 'e30=', 'tokens': 10}]}
)


@pytest.fixture
def site() -> Iterator[HostedSite]:
    """Start a site with two replicas, each with a worker."""
    site = HostedSite()
    site.start(replicas=2)
    yield site
    site.stop()


def list_servers(site: HostedSite, name: str) -> list[Server]:
    """List the servers that send bytes without end."""
    return {
        'store': [site.store._server],
        'watch': [site.store._server],
        'worker': [site.workers[0]._server],
        'disks': [disk._server for disk in site.disks],
    }[name]


def let_send(server: Server, name: str, endless: EndlessBytes) -> None:
    """Let a server send bytes without end instead of answers."""
    answer = server.handler

    def handle(request: Request) -> Response:
        if name != 'watch' or request.path == wire.WATCH_PATH:
            endless.send(request.connection)
        return answer(request)

    server.handler = handle


@pytest.mark.parametrize('is_trickle', [False, True])
@pytest.mark.parametrize('kind', [Endless.head, Endless.chunked_body])
@pytest.mark.parametrize('name', ['store', 'watch', 'worker', 'disks'])
def test_callers_are_served_in_time(
    site: HostedSite, name: str, kind: Endless, *, is_trickle: bool
) -> None:
    endless = EndlessBytes(kind, is_trickle)
    for server in list_servers(site, name):
        let_send(server, name, endless)
    # A watch begins again with its next event.
    site.store.put('op/config', site.configuration)
    statuses: list[int] = []
    seconds: list[float] = []

    def call(caller: int) -> None:
        end = time.monotonic() + FAULT_SECONDS
        while (began := time.monotonic()) < end:
            reply = site.try_call('POST', '/ask/q', f'q{caller}-{began}')
            seconds.append(time.monotonic() - began)
            statuses.append(reply.unwrap().status)
            gevent.sleep(0.05)

    def run_job() -> None:
        # Its outcome may be unknown to the caller, but not late.
        calls = (
            ('POST', '/jobs/x', 'j1', JOB),
            ('GET', f'{wire.JOB_PATH}j1?after=0'),
        )
        for sent in calls:
            began = time.monotonic()
            site.try_call(*sent)
            seconds.append(time.monotonic() - began)

    callers = [gevent.spawn(call, number) for number in range(CALLERS)]
    callers.append(gevent.spawn(run_job))
    gevent.joinall(callers, raise_error=True)
    assert endless.count
    assert max(seconds) < DEADLINE_SECONDS + SLACK_SECONDS
    assert statuses.count(OK) > len(statuses) * 0.8
    endless.kind = None
    reply = site.call('POST', '/ask/q', 'after')
    assert reply.status == OK
