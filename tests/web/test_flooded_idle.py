"""Idle connections on which a peer sends bytes without end."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent.server import StreamServer

from wigeonpier.web.client import HttpClient
from wigeonpier.web.exchange import make_request
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
FLOOD = b'x' * 65_536
REQUEST = make_request('GET', '/', [('Host', 'h')])
# Of the buffers of a connection.
MAX_SENT_BYTES = 16_000_000
GIVE_UP_SECONDS = 5.0
FLOOD_SECONDS = 0.3


class FloodingPeer:
    """Answers one request on each connection, and floods it afterwards."""

    def __init__(self) -> None:
        """Listen."""
        self.connections = 0
        self.ended = 0
        self.sent_bytes = 0
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, sock, _address) -> None:
        received = sock.recv(65_536)
        # A client of an earlier test may know the same port.
        self.connections += received.startswith(b'GET / ')
        sock.sendall(ANSWER)
        # The client has read the answer.
        gevent.sleep(0.1)
        try:
            while True:
                self.sent_bytes += sock.send(FLOOD)
                gevent.sleep(0)
        except OSError:
            self.ended += 1


@pytest.fixture
def peer() -> Iterator[FloodingPeer]:
    """Start a peer."""
    peer = FloodingPeer()
    yield peer
    peer.stop()


def call_pool(pool: ConnectionPool, address: str) -> bytes:
    """Call with the client of the hosted interface."""
    return pool.call(address, REQUEST, 1).unwrap().body


def call_client(client: HttpClient, address: str) -> bytes:
    """Call with the client of the own interface."""
    return client.call(address, 'GET', '/', timeout=1).unwrap().body


@pytest.mark.parametrize(
    ('call', 'make_client'),
    [(call_pool, ConnectionPool), (call_client, HttpClient)],
)
def test_a_flooded_idle_connection_is_closed_before_its_reuse(
    peer: FloodingPeer, call, make_client
) -> None:
    client = make_client()
    for number in range(1, 4):
        began = time.monotonic()
        assert call(client, peer.address) == b'ok'
        assert time.monotonic() - began < 1
        assert peer.connections == number
        gevent.sleep(FLOOD_SECONDS)
    with gevent.Timeout(GIVE_UP_SECONDS):
        while peer.ended < 2:
            gevent.sleep(0.01)
    assert peer.sent_bytes < 3 * MAX_SENT_BYTES
