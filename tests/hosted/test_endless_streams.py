"""Streams of valid events that never end, and callers that never read them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent import socket

from tests.hosted.builders import HOST, HostedSite
from wigeonpier.bench.endless import Endless
from wigeonpier.web import server as server_module
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Iterator

DEADLINE_SECONDS = 1.5
# Within which a request has its final answer after its time.
SLACK_SECONDS = 0.5
UNREAD_SECONDS = 1.0
GIVE_UP_SECONDS = 8.0
KEPT_BYTES = 5


@pytest.fixture
def site() -> Iterator[HostedSite]:
    """Start a site whose only replica sends events without end."""
    site = HostedSite()
    site.start(replicas=1)
    site.replicas[0].faults.endless.kind = Endless.events
    yield site
    site.stop()


def send(site: HostedSite, path: str):
    """Send a request."""
    host, _colon, port = site.addresses[0].rpartition(':')
    headers = [
        ('Host', HOST),
        ('X-Attempt-Id', path),
        ('X-Deadline-Ms', str(int(DEADLINE_SECONDS * 1000))),
    ]
    sock = socket.create_connection((host, int(port)))
    sock.sendall(make_request('POST', path, headers, b'{}'))
    return sock


@pytest.mark.parametrize('path', ['/ask/q', '/once/q'])
def test_events_without_end_are_cut_in_time(
    site: HostedSite, path: str
) -> None:
    """They went on for as long as the caller read them."""
    sock = send(site, path)
    began = time.monotonic()
    received = 0
    end = b''
    with gevent.Timeout(GIVE_UP_SECONDS):
        while part := sock.recv(65_536):
            received += len(part)
            end = (end + part)[-KEPT_BYTES:]
    sock.close()
    assert received > 1000
    assert end != b'0\r\n\r\n'
    assert time.monotonic() - began < DEADLINE_SECONDS + SLACK_SECONDS


def test_a_stream_that_is_never_read_is_ended(
    site: HostedSite, monkeypatch
) -> None:
    """It kept its place at the replica until the caller closed."""
    monkeypatch.setattr(server_module, 'MAX_UNREAD_SECONDS', UNREAD_SECONDS)
    callers = site.entries[0]._callers
    replica = site.replicas[0]
    sock = send(site, '/ask/q')
    with gevent.Timeout(GIVE_UP_SECONDS):
        while not replica.faults.endless.count:
            gevent.sleep(0.01)
        while callers.in_flight or replica._server.in_flight:
            gevent.sleep(0.01)
    sock.close()
