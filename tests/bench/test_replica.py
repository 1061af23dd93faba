"""Tests of the stand-in replica."""

from __future__ import annotations

from contextlib import ExitStack

import gevent

from tests.hosted.builders import wait_for
from wigeonpier.bench.replica import DEADLY_MARK, StandInReplica
from wigeonpier.bench.store import StandInStore
from wigeonpier.web.exchange import make_request
from wigeonpier.web.pool import ConnectionPool, Listening


def test_crashing_request_crashes_a_replica_that_restarts() -> None:
    """Other requests fail with it, and its address refuses connections."""
    replica = StandInReplica('i', 's', StandInStore(), event_seconds=0.05)
    replica.restart_seconds = 0.3
    address = replica.start('a')
    pool = ConnectionPool()
    headers = [('Host', 'h'), ('X-Attempt-Id', 'q')]
    other = gevent.spawn(
        pool.call,
        address,
        make_request('POST', '/a', headers, b'other'),
        5,
    )
    gevent.sleep(0.1)
    crashing = make_request('POST', '/b', headers, DEADLY_MARK)
    assert pool.call(address, crashing, 5).is_err()
    assert other.get().is_err()
    assert pool.find_listener(address, 1) is Listening.refused
    wait_for(lambda: replica.is_up, 'the replica has restarted')
    assert replica.name == 'i.1'
    assert len(replica.ended_by) == 1
    again = make_request('POST', '/a', headers, b'other')
    assert pool.call(address, again, 5).unwrap().is_good
    replica.stop()


def test_deadly_part_crashes_a_replica_unless_it_is_the_last() -> None:
    replica = StandInReplica('i', 's', StandInStore(), event_seconds=0)
    replica.faults.deadly_parts = {'bad'}
    address = replica.start('a')
    pool = ConnectionPool()

    def call(prompt: str) -> bool:
        headers = [('X-Attempt-Id', 'q'), ('X-Prompt-Prefix', prompt)]
        raw = make_request('POST', '/a', [('Host', 'h'), *headers])
        return pool.call(address, raw, 5).is_ok()

    assert call('a:1,bad:1')
    assert not call('a:1,bad:1,b:1')
    assert replica.ended_by == ['part bad']
    replica.stop()


def test_unframed_stream_ends_with_its_connection() -> None:
    replica = StandInReplica('i', 's', StandInStore(), event_seconds=0)
    replica.faults.is_unframed = True
    address = replica.start('a')
    pool = ConnectionPool()
    headers = [('Host', 'h'), ('X-Attempt-Id', 'q')]
    with ExitStack() as stack:
        exchange = pool.begin(address, 1).unwrap()
        stack.callback(exchange.close)
        exchange.send(make_request('POST', '/a', headers), 1)
        body = exchange.read(1)
        assert exchange.is_unframed
        assert not exchange.get_header('Transfer-Encoding')
    assert body.count(b'data: ') == replica.events
    replica.stop()
