"""One request and its answer on a connection of our own."""

from __future__ import annotations

import resource
from contextlib import ExitStack

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from result import Err

from wigeonpier.hosted.events import EventReader
from wigeonpier.web.client import CallFailure
from wigeonpier.web.exchange import make_request, watch_close
from wigeonpier.web.pool import ConnectionPool

REQUEST = make_request('GET', '/', [('Host', 'h')])
# More than the peer's window takes, less than our side holds.
HELD_UP_BYTES = 200_000
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Peer:
    """Sends given bytes to whoever asks, then waits or closes."""

    def __init__(self, *answers: bytes, closes: bool = False) -> None:
        """Answer each request of a connection with the next bytes."""
        self.connections = 0
        self._answers = answers
        self._closes = closes
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def _serve(self, sock, _address) -> None:
        self.connections += 1
        for answer in self._answers:
            if not sock.recv(65536):
                return
            sock.sendall(answer)
        if not self._closes:
            sock.recv(65536)


def test_a_clean_connection_is_used_again() -> None:
    peer = Peer(WHOLE, WHOLE)
    pool = ConnectionPool()
    for _call in range(2):
        assert pool.call(peer.address, REQUEST, 1).unwrap().body == b'ok'
    assert peer.connections == 1


@pytest.mark.parametrize('extra', [WHOLE, b'garbage'])
def test_bytes_after_an_answer_reach_nobody(extra: bytes) -> None:
    """A second answer right behind the first belongs to no request."""
    peer = Peer(WHOLE + extra)
    pool = ConnectionPool()
    for _call in range(2):
        assert pool.call(peer.address, REQUEST, 1).unwrap().body == b'ok'
    assert peer.connections == 2


def test_bytes_that_come_late_reach_nobody() -> None:
    peer = Peer(WHOLE)
    pool = ConnectionPool()
    opened = pool.exchange(peer.address, REQUEST, 1).unwrap()
    opened.read(1)
    opened.close()
    pool.call(peer.address, REQUEST, 1)
    gevent.sleep(0.05)
    assert pool.call(peer.address, REQUEST, 1).unwrap().body == b'ok'


def test_an_answer_that_ends_early_is_lost() -> None:
    peer = Peer(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok', closes=True)
    called = ConnectionPool().call(peer.address, REQUEST, 1)
    assert called == Err(CallFailure.lost)


def test_an_answer_without_length_ends_with_its_connection() -> None:
    peer = Peer(b'HTTP/1.1 200 OK\r\n\r\nok', closes=True)
    opened = ConnectionPool().exchange(peer.address, REQUEST, 1).unwrap()
    assert opened.read(1) == b'ok'
    assert opened.is_unframed


def test_a_silent_peer_is_given_up_in_time() -> None:
    peer = Peer(b'')
    called = ConnectionPool().call(peer.address, REQUEST, 0.1)
    assert called == Err(CallFailure.lost)


def test_nobody_listening_is_not_sent() -> None:
    called = ConnectionPool().call('127.0.0.1:1', REQUEST, 0.5)
    assert called == Err(CallFailure.not_sent)


def test_events_are_taken_whole_or_not_at_all() -> None:
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n'
    peer = Peer(head + b'id: 1\ndata: a\n\nid: 2\ndata', closes=True)
    opened = ConnectionPool().exchange(peer.address, REQUEST, 1).unwrap()
    reader = EventReader(opened)
    event = reader.read(1)
    assert event is not None
    assert (event.identity, event.text) == ('1', 'a')
    with pytest.raises(OSError):
        reader.read(1)


def test_a_caller_that_leaves_is_seen() -> None:
    gone = []
    server = StreamServer(
        ('127.0.0.1', 0),
        lambda sock, _address: watch_close(sock, lambda: gone.append(1)).join(),
    )
    server.start()
    caller = gevent.socket.create_connection(('127.0.0.1', server.server_port))
    gevent.sleep(0.05)
    assert not gone
    caller.close()
    gevent.sleep(0.05)
    assert gone


def test_descriptors_above_1023_are_used_again() -> None:
    """An entry holds thousands of connections; select() takes none of them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
    with ExitStack() as stack:
        stack.callback(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        for _number in range(1050):
            stack.enter_context(open('/dev/null', 'rb'))
        peer = Peer(WHOLE, WHOLE)
        pool = ConnectionPool()
        for _call in range(2):
            assert pool.call(peer.address, REQUEST, 1).unwrap().body == b'ok'
        assert peer.connections == 1


def test_an_idle_connection_that_was_dropped_teaches_the_pool() -> None:
    """The other end had forgotten it; others there are not trusted either."""
    peer = Peer(WHOLE, closes=False)
    pool = ConnectionPool()
    for _call in range(2):
        assert pool.call(peer.address, REQUEST, 1).is_ok()
        gevent.sleep(0.05)
        first = pool.begin(peer.address, 1).unwrap()
        with pytest.raises(OSError, match='early'):
            first.send(REQUEST, 1)
        first.close()
        assert pool.call(peer.address, REQUEST, 1).is_ok()
        gevent.sleep(0.2)
        opened = pool.opened
        pool.begin(peer.address, 1).unwrap().abort()
        assert pool.opened == opened + 1
        pool.forget(peer.address)
        pool._drops.clear()


def test_what_cannot_be_sent_again_takes_no_rested_connection() -> None:
    peer = Peer(WHOLE, WHOLE)
    pool = ConnectionPool()
    assert pool.call(peer.address, REQUEST, 1).is_ok()
    gevent.sleep(0.1)
    begun = pool.begin(peer.address, 1, longest_rest=0.05).unwrap()
    begun.abort()
    assert pool.opened == 2


def test_what_was_given_up_is_not_delivered_later() -> None:
    """Bytes held up on the way had run at an upstream seconds later."""
    accepted = []

    def hold(sock, _address) -> None:
        accepted.append(sock)
        gevent.sleep(2)

    server = StreamServer(('127.0.0.1', 0), hold)
    server.init_socket()
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    server.start()
    address = f'127.0.0.1:{server.server_port}'
    given_up = ConnectionPool().begin(address, 1).unwrap()
    given_up.write(bytes(HELD_UP_BYTES), 1)
    gevent.sleep(0.05)
    given_up.abort()
    given_up.close()
    with pytest.raises(ConnectionResetError):
        read_all(accepted[0])


def read_all(sock) -> None:
    """Read until the other side ends."""
    while sock.recv(65536):
        gevent.sleep(0)
