"""Items that are told to stop at unusual moments of their runs."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest
from gevent.server import StreamServer
from result import Ok

from tests.hosted.builders import make_open_job
from wigeonpier.hosted.items import (
    ItemWork,
    RunOutcome,
    drop_work,
    run_item,
)
from wigeonpier.models import JobItem, Replica
from wigeonpier.platform import wire
from wigeonpier.web.pool import ConnectionPool

REPLICA = Replica('r', '127.0.0.1:1', 'assistant', 'a', 1, is_leaving=False)


class ConnectingPool:
    """Pool that takes some time to connect; its exchange records the calls."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[str] = []

    def begin(self, _address: str, _timeout: float, identity: str) -> Ok:
        assert identity == 'i'
        gevent.sleep(0.01)
        return Ok(
            SimpleNamespace(
                is_whole=False,
                idle_seconds=0,
                expect=lambda *_given: None,
                send=lambda _raw, _timeout: self._send(),
                abort=lambda: self.calls.append('abort'),
                close=lambda: self.calls.append('close'),
            )
        )

    def _send(self) -> None:
        self.calls.append('send')
        raise ConnectionResetError


@pytest.mark.parametrize(
    'stop',
    [
        lambda work: work.stop(),
        lambda work: drop_work({work.key: work}, work.key),
    ],
)
def test_an_item_that_stops_while_it_connects_is_not_sent(stop) -> None:
    """It ran to its end beside the run of its new owner, or of a request."""
    work = ItemWork(make_open_job(), 0, JobItem('i', '/p', {}, b'', 1), 9, 9)
    pool = ConnectingPool()
    run = gevent.spawn(run_item, work, REPLICA, pool)
    gevent.sleep(0)
    stop(work)
    assert run.get(timeout=1) is RunOutcome.paused
    assert pool.calls == ['abort', 'close']
    assert work.response is None


def test_an_item_that_does_not_stop_is_sent() -> None:
    work = ItemWork(make_open_job(), 0, JobItem('i', '/p', {}, b'', 1), 9, 9)
    pool = ConnectingPool()
    assert run_item(work, REPLICA, pool) is RunOutcome.broken
    assert pool.calls == ['send', 'abort', 'close']


class RepeatingUpstream:
    """Fails the first run; repeats its last answer before the next one."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self.requests = 0
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        address = f'127.0.0.1:{self._server.server_port}'
        self.replica = replace(REPLICA, address=address)

    def _serve(self, sock, _address) -> None:
        earlier = b''
        while sock.recv(65536):
            self.requests += 1
            sock.sendall(earlier)
            earlier = FAILURE if self.requests == 1 else STREAM
            sock.sendall(earlier)


def encode_answer(status: str, body: bytes) -> bytes:
    """Make an answer to the item."""
    head = f'HTTP/1.1 {status}\r\n{wire.REQUEST_ID}: i\r\n'
    head += f'{wire.SIGNATURE}: s\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


FAILURE = encode_answer('500 Internal Server Error', b'{}')
STREAM = encode_answer('200 OK', b'id: 1\ndata: a\n\n')


def test_a_failure_of_an_earlier_run_is_not_counted_twice() -> None:
    """An item was abandoned after two runs where three may fail."""
    work = ItemWork(make_open_job(), 0, JobItem('i', '/p', {}, b'', 1), 9, 9)
    upstream = RepeatingUpstream()
    pool = ConnectionPool()
    assert run_item(work, upstream.replica, pool) is RunOutcome.failed
    assert run_item(work, upstream.replica, pool) is RunOutcome.whole
    assert work.texts == ['a']
