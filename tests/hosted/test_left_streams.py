"""Callers that leave a stream while it is placed, and resume it elsewhere."""

from __future__ import annotations

import re
import socket
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import gevent
from gevent.server import StreamServer

from tests.hosted.builders import DATA_CENTRE, HOST, SERVICE, wait_for
from tests.hosted.streams import StreamCaller
from wigeonpier.models import Replica
from wigeonpier.platform.register import encode_replica, name_replica
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.hosted.builders import HostedSite

PLACING_SECONDS = 0.3
LEAVES_AFTER_SECONDS = 0.1
# A run may go on for so long where its stream has gone on elsewhere.
OVERLAP_SECONDS = 0.4
READ_BYTES = 65_536
SLOTS = 8
# One of two replicas stalls.
MAX_REQUESTS = 40
IDENTITY = re.compile(rb'X-Attempt-Id: (\S+)')
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Attempt-Id: %b\r\nX-Response-Signature: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n'
)


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


class StallingReplica:
    """Sends the first event of a stream, and works until its channel ends."""

    def __init__(self, site: HostedSite, name: str) -> None:
        """Listen on a free port and register."""
        self.identity = ''
        self.ended_at = 0.0
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'
        entry = Replica(
            name,
            self.address,
            SERVICE,
            DATA_CENTRE,
            SLOTS,
            is_leaving=False,
            version='v1',
        )
        site.store.put(name_replica(name), encode_replica(entry))

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _serve(self, sock: Any, _address: object) -> None:
        while request := sock.recv(READ_BYTES):
            found = IDENTITY.search(request)
            if found is None:
                # A poll of its load or its health.
                return
            self.identity = found.group(1).decode()
            event = f'id: 1\ndata: {self.identity}-1@v1\n\n'.encode()
            sock.sendall(HEAD % (self.identity.encode(), len(event), event))
            try:
                sock.recv(READ_BYTES)
            except OSError:
                # A reset ends a run like a close does.
                self.ended_at = time.monotonic()
                return
            self.ended_at = time.monotonic()


def add_stalling(site: HostedSite) -> StallingReplica:
    """Add a replica that stalls, and wait until the entry knows it."""
    stalling = StallingReplica(site, 'stalling')
    wait_for(
        lambda: 'stalling' in site.entries[0]._replicas.upstreams,
        'the stalling replica is known',
    )
    return stalling


def test_a_run_ends_before_its_stream_goes_on_elsewhere(
    site: HostedSite,
) -> None:
    """Two replicas worked on one request."""
    site.start(replicas=1)
    stalling = add_stalling(site)
    caller = StreamCaller(site)
    for number in range(MAX_REQUESTS):
        texts = caller.read(f'q{number}')
        assert len(texts) == site.replicas[0].events
        if stalling.identity:
            break
    stalling.stop()
    went_on_at = site.replicas[0].received[-1].at
    assert site.replicas[0].received[-1].identity == stalling.identity
    assert 0 < stalling.ended_at < went_on_at + OVERLAP_SECONDS


def test_a_run_ends_soon_after_its_caller_has_left(site: HostedSite) -> None:
    """It went on while the caller resumed the stream at another entry."""
    site.start(replicas=1)
    stalling = add_stalling(site)
    caller = StreamCaller(site)
    for number in range(MAX_REQUESTS):
        caller.read(f'q{number}', most=1)
        left_at = time.monotonic()
        if stalling.identity:
            break
    gevent.sleep(OVERLAP_SECONDS)
    stalling.stop()
    assert 0 < stalling.ended_at < left_at + OVERLAP_SECONDS


def test_a_run_ends_although_its_caller_had_sent_more(site: HostedSite) -> None:
    """Bytes behind its request hid the close, and its run went on."""
    site.start(replicas=1)
    stalling = add_stalling(site)
    host, _colon, port = site.addresses[0].rpartition(':')
    left_at = 0.0
    for number in range(MAX_REQUESTS):
        headers = [('Host', HOST), ('X-Attempt-Id', f'q{number}')]
        raw = make_request('POST', '/ask/1', headers, b'{}')
        caller = socket.create_connection((host, int(port)))
        caller.sendall(raw)
        gevent.sleep(LEAVES_AFTER_SECONDS)
        caller.sendall(b'\r\n')
        gevent.sleep(LEAVES_AFTER_SECONDS)
        caller.close()
        left_at = time.monotonic()
        if stalling.identity:
            break
    gevent.sleep(OVERLAP_SECONDS)
    stalling.stop()
    assert 0 < stalling.ended_at < left_at + OVERLAP_SECONDS
