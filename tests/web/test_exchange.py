"""Tests of single exchanges and of the connection pool."""

from __future__ import annotations

import resource
from contextlib import ExitStack
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from result import Err

from wigeonpier.hosted.events import EventReader
from wigeonpier.web.client import CallFailure
from wigeonpier.web.exchange import (
    Exchange,
    make_request,
    watch_close,
)
from wigeonpier.web.pool import ConnectionPool
from wigeonpier.web.readlimits import BrokenAnswerError
from wigeonpier.web.responseparser import MAX_SKIPPED_RESPONSES

REQUEST = make_request('GET', '/', [('Host', 'h')])
# More than the receive window of the peer, less than the local send buffer.
BUFFERED_BYTES = 200_000
# Part of a longer body.
BODY_BYTES = 50_000
COMPLETE_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Peer:
    """Server that sends fixed responses, then waits or closes."""

    def __init__(self, *answers: bytes, closes: bool = False) -> None:
        """Answer each request of a connection with the next response."""
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


def test_a_clean_connection_is_reused() -> None:
    peer = Peer(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
    pool = ConnectionPool()
    for _call in range(2):
        assert pool.call(peer.address, REQUEST, 1).unwrap().body == b'ok'
    assert peer.connections == 1


@pytest.mark.parametrize('extra', [COMPLETE_RESPONSE, b'garbage'])
def test_bytes_after_a_response_are_discarded(extra: bytes) -> None:
    """Extra bytes after a response must not reach the next request."""
    peer = Peer(COMPLETE_RESPONSE + extra)
    pool = ConnectionPool()
    for _call in range(2):
        assert pool.call(peer.address, REQUEST, 1).unwrap().body == b'ok'
    assert peer.connections == 2


def test_bytes_that_arrive_late_are_discarded() -> None:
    peer = Peer(COMPLETE_RESPONSE)
    pool = ConnectionPool()
    opened = pool.exchange(peer.address, REQUEST, 1).unwrap()
    opened.read(1)
    opened.close()
    pool.call(peer.address, REQUEST, 1)
    gevent.sleep(0.05)
    assert pool.call(peer.address, REQUEST, 1).unwrap().body == b'ok'


def test_a_truncated_response_is_lost() -> None:
    peer = Peer(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok', closes=True)
    called = ConnectionPool().call(peer.address, REQUEST, 1)
    assert called == Err(CallFailure.lost)


def test_a_response_without_length_ends_with_the_connection() -> None:
    peer = Peer(b'HTTP/1.1 200 OK\r\n\r\nok', closes=True)
    opened = ConnectionPool().exchange(peer.address, REQUEST, 1).unwrap()
    assert opened.read(1) == b'ok'
    assert opened.is_unframed


def test_an_unresponsive_peer_times_out() -> None:
    peer = Peer(b'')
    called = ConnectionPool().call(peer.address, REQUEST, 0.1)
    assert called == Err(CallFailure.lost)


def test_a_refused_connection_is_not_sent() -> None:
    called = ConnectionPool().call('127.0.0.1:1', REQUEST, 0.5)
    assert called == Err(CallFailure.not_sent)


def test_a_truncated_event_is_not_delivered() -> None:
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n'
    peer = Peer(head + b'id: 1\ndata: a\n\nid: 2\ndata', closes=True)
    opened = ConnectionPool().exchange(peer.address, REQUEST, 1).unwrap()
    reader = EventReader(opened)
    event = reader.read(1)
    assert event is not None
    assert (event.identity, event.text) == ('1', 'a')
    with pytest.raises(OSError):
        reader.read(1)


def test_a_closed_connection_is_detected() -> None:
    close_calls = []
    server = StreamServer(
        ('127.0.0.1', 0),
        lambda sock, _address: watch_close(
            sock, lambda: close_calls.append(1)
        ).join(),
    )
    server.start()
    caller = gevent.socket.create_connection(('127.0.0.1', server.server_port))
    gevent.sleep(0.05)
    assert not close_calls
    caller.close()
    gevent.sleep(0.05)
    assert close_calls


def test_connections_with_descriptors_above_1023_are_reused() -> None:
    """An entry has thousands of connections; select() fails above 1,023."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
    with ExitStack() as stack:
        stack.callback(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        for _number in range(1050):
            stack.enter_context(open('/dev/null', 'rb'))
        peer = Peer(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        pool = ConnectionPool()
        for _call in range(2):
            assert pool.call(peer.address, REQUEST, 1).unwrap().body == b'ok'
        assert peer.connections == 1


def test_a_dropped_idle_connection_limits_the_idle_time() -> None:
    """The peer dropped one idle connection, so others to it are not reused."""
    peer = Peer(COMPLETE_RESPONSE, closes=False)
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
        pool._idle_limits.clear()


def test_a_connection_above_the_idle_limit_is_not_reused() -> None:
    peer = Peer(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
    pool = ConnectionPool()
    assert pool.call(peer.address, REQUEST, 1).is_ok()
    gevent.sleep(0.1)
    opened = pool.begin(peer.address, 1, max_idle_seconds=0.05).unwrap()
    opened.abort()
    assert pool.opened == 2


def test_an_aborted_request_is_not_delivered_later() -> None:
    """Guards against a delayed request that ran at an upstream later."""
    accepted = []

    def accept_without_reading(sock, _address) -> None:
        accepted.append(sock)
        gevent.sleep(2)

    server = StreamServer(('127.0.0.1', 0), accept_without_reading)
    server.init_socket()
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    server.start()
    address = f'127.0.0.1:{server.server_port}'
    aborted = ConnectionPool().begin(address, 1).unwrap()
    aborted.write(bytes(BUFFERED_BYTES), 1)
    gevent.sleep(0.05)
    aborted.abort()
    aborted.close()
    with pytest.raises(ConnectionResetError):
        read_all(accepted[0])


def read_all(sock) -> None:
    """Read until the peer closes the connection."""
    while sock.recv(65536):
        gevent.sleep(0)


def make_response(identity: str, *headers: str) -> bytes:
    """Make a response that bears the id of a request."""
    lines = ['HTTP/1.1 200 OK', f'Id: {identity}', 'Content-Length: 1']
    return '\r\n'.join([*lines, *headers, '', 'x']).encode()


def begin(pool: ConnectionPool, peer: Peer, identity: str) -> Exchange:
    """Begin an exchange that expects the response to one request."""
    opened = pool.begin(peer.address, 1, identity=identity).unwrap()
    opened.expect(identity, lambda head: head.get_header('id') == identity)
    return opened


@pytest.mark.parametrize('count', [1, 2, MAX_SKIPPED_RESPONSES])
def test_responses_to_other_requests_are_read_past(count: int) -> None:
    """A late copy of an earlier response was taken for the own one."""
    peer = Peer(make_response('a') * count + make_response('b'))
    pool = ConnectionPool()
    opened = begin(pool, peer, 'b')
    opened.send(REQUEST, 1)
    assert opened.get_header('id') == 'b'
    assert opened.read(1) == b'x'
    opened.close()
    begin(pool, peer, 'c').abort()
    assert pool.opened == 2


def test_a_response_that_comes_after_another_one_is_awaited() -> None:
    """Both need not arrive at once."""
    server = StreamServer(('127.0.0.1', 0), send_slowly)
    server.start()
    opened = begin(
        ConnectionPool(),
        SimpleNamespace(address=f'127.0.0.1:{server.server_port}'),
        'b',
    )
    opened.send(REQUEST, 1)
    assert opened.skipped == 1
    assert opened.read(1) == b'x'


def send_slowly(sock, _address) -> None:
    """Send a response to another request, and the own one, byte by byte."""
    sock.recv(65536)
    for byte in make_response('a') + make_response('b'):
        sock.sendall(bytes([byte]))
        gevent.sleep(0.001)
    sock.recv(65536)


@pytest.mark.parametrize(
    'foreign',
    [
        make_response('a', 'Connection: close'),
        b'HTTP/1.1 200 OK\r\nId: a\r\n\r\nx',
        make_response('a') * (MAX_SKIPPED_RESPONSES + 1),
    ],
)
def test_a_response_that_no_other_follows_is_returned(foreign: bytes) -> None:
    """It would be waited for until the deadline."""
    opened = begin(ConnectionPool(), Peer(foreign), 'b')
    opened.send(REQUEST, 1)
    assert opened.get_header('id') == 'a'


@pytest.mark.parametrize('rest', [b'', b'garbage'])
def test_a_connection_that_ends_after_another_response_is_broken(
    rest: bytes,
) -> None:
    peer = Peer(make_response('a') + rest, closes=True)
    opened = begin(ConnectionPool(), peer, 'b')
    with pytest.raises(BrokenAnswerError):
        opened.send(REQUEST, 1)


def test_only_responses_to_other_requests_time_out() -> None:
    opened = begin(ConnectionPool(), Peer(make_response('a')), 'b')
    with pytest.raises(TimeoutError):
        opened.send(REQUEST, 0.1)


def test_a_request_is_not_repeated_on_the_same_connection() -> None:
    """Its id does not tell a late response to the first send apart."""
    peer = Peer(make_response('a'), make_response('b'), make_response('a'))
    pool = ConnectionPool()
    for identity, connections in (('a', 1), ('a', 2), ('b', 2), ('a', 3)):
        opened = begin(pool, peer, identity)
        opened.send(REQUEST, 1)
        opened.read(1)
        opened.close()
        assert peer.connections == connections


def test_the_body_of_a_skipped_response_is_not_held() -> None:
    """It counted towards the memory of the process."""
    long = make_response('a').replace(b'Length: 1', b'Length: 100000')
    opened = begin(ConnectionPool(), Peer(long + bytes(BODY_BYTES)), 'b')
    with pytest.raises(TimeoutError):
        opened.send(REQUEST, 0.2)
    assert not opened._parser._body_buffer
