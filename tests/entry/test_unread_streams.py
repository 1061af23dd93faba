"""Callers of the own interface that never read their streams."""

from __future__ import annotations

import gevent
from gevent import socket

from tests.entry.chain import PATH, start_chain
from tests.web.endlesspeer import STREAM, EndlessPeer
from wigeonpier.web import server as server_module

DEADLINE_SECONDS = 1.0
UNREAD_SECONDS = 1.0
GIVE_UP_SECONDS = 10.0
# Of the buffers of three connections.
MAX_SENT_BYTES = 40_000_000
# Long ones fill the buffers soon.
EVENT = b'data: {"id":"c","choices":[{"text":"%b"}]}\n\n' % (b'word' * 10_000)


def test_a_stream_that_is_never_read_is_ended(monkeypatch) -> None:
    """It kept its slot at the engine until the caller closed."""
    monkeypatch.setattr(server_module, 'MAX_UNREAD_SECONDS', UNREAD_SECONDS)
    peer = EndlessPeer((STREAM, EVENT))
    with start_chain(peer.address, DEADLINE_SECONDS) as own:
        host, _, port = own.address.rpartition(':')
        sock = socket.create_connection((host, int(port)))
        sock.sendall(f'POST {PATH} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
        with gevent.Timeout(GIVE_UP_SECONDS):
            while not peer.ended_at:
                gevent.sleep(0.01)
            while own.state.in_flight or own.local.gate.online:
                gevent.sleep(0.01)
        sock.close()
    peer.stop()
    assert peer.sent_bytes < MAX_SENT_BYTES
