"""Calls of an entry to the keepers of records."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import msgspec
import pytest
from result import Err, Ok

from tests.builders import build_upstream
from tests.hosted.builders import make_settings
from wigeonpier.hosted.originkeeper import (
    ORIGINS_PATH,
    OriginAnswer,
    OriginReport,
)
from wigeonpier.hosted.originkeepers import (
    BATCH_SECONDS,
    COPIES,
    MAX_KEEPERS,
    OriginKeepers,
)
from wigeonpier.policy.streamorigin import StreamOrigin
from wigeonpier.web.client import CallFailure, Reply

ORIGIN = StreamOrigin('s', 'v1')
KEY = 'k'
PAUSES = 10
WORKERS = 8


class FakePool:
    """Connections to workers, which keep records in memory."""

    def __init__(self) -> None:
        self.records: dict[str, dict[str, StreamOrigin]] = {}
        self.down: set[str] = set()
        # Workers whose open connections are dead.
        self.stale: set[str] = set()
        # Workers of an earlier build, which keep no records.
        self.old: set[str] = set()
        self.calls: list[str] = []

    def call(self, address: str, raw: bytes, _timeout: float):
        self.calls.append(address)
        if address in self.down | self.stale:
            return Err(CallFailure.lost)
        if address in self.old:
            return Ok(Reply(404, b'{}'))
        head, _blank, body = raw.partition(b'\r\n\r\n')
        kept = self.records.setdefault(address, {})
        if head.startswith(f'POST {ORIGINS_PATH} '.encode()):
            kept.update(msgspec.json.decode(body, type=OriginReport).streams)
            return Ok(Reply(200, b'{}'))
        found = kept.get(msgspec.json.decode(body)['key'])
        return Ok(Reply(200, msgspec.json.encode(OriginAnswer(found))))

    def forget(self, address: str) -> None:
        self.stale.discard(address)

    def list_keepers(self) -> set[str]:
        """List the workers that have the record."""
        return {name for name, kept in self.records.items() if KEY in kept}


@pytest.fixture
def pool() -> FakePool:
    """Make connections to workers."""
    return FakePool()


def make_keepers(pool: FakePool, **upstreams) -> OriginKeepers:
    """Make keepers on the VMs of some upstreams."""
    states = upstreams or {
        f'i-{number}': build_upstream(
            f'i-{number}', address=f'10.0.0.{number}:1', region='viti-levu'
        )
        for number in range(WORKERS)
    }
    replicas = SimpleNamespace(upstreams=states, changes=1)
    settings = make_settings('edge-0', '127.0.0.1:1', peers='127.0.0.1:7')
    return OriginKeepers(settings, replicas, pool)


def publish(keepers: OriginKeepers) -> None:
    """Send the record, and wait until it is sent."""
    keepers.publish(KEY, ORIGIN)
    # Each pause lets all greenlets run once, also after a stalled one.
    for _ in range(PAUSES):
        gevent.sleep(BATCH_SECONDS)


def test_a_record_is_at_two_workers_and_found_there(pool) -> None:
    publish(make_keepers(pool))
    assert len(pool.list_keepers()) == COPIES
    pool.calls.clear()
    assert make_keepers(pool).search(KEY) == ORIGIN
    assert set(pool.calls) <= pool.list_keepers()


def test_the_next_keepers_get_what_the_first_ones_do_not(pool) -> None:
    keepers = make_keepers(pool)
    publish(keepers)
    pool.down = pool.list_keepers()
    pool.records.clear()
    publish(keepers)
    assert len(pool.list_keepers()) == MAX_KEEPERS - COPIES
    assert make_keepers(pool).search(KEY) == ORIGIN


def test_workers_of_an_earlier_build_are_passed_over(pool) -> None:
    keepers = make_keepers(pool)
    publish(keepers)
    pool.old = pool.list_keepers()
    pool.records.clear()
    publish(keepers)
    assert len(pool.list_keepers()) == MAX_KEEPERS - COPIES
    assert keepers.search(KEY) == ORIGIN


def test_a_dead_connection_does_not_hide_a_record(pool) -> None:
    keepers = make_keepers(pool)
    publish(keepers)
    pool.stale = pool.list_keepers()
    assert keepers.search(KEY) == ORIGIN


def test_an_unknown_stream_costs_four_calls(pool) -> None:
    assert make_keepers(pool).search(KEY) is None
    assert len(pool.calls) == MAX_KEEPERS


def test_keepers_are_not_on_vms_that_leave_or_in_another_region(pool) -> None:
    near = build_upstream('near', address='10.0.0.1:1', region='viti-levu')
    leaving = build_upstream('old', address='10.0.0.2:1', is_leaving=True)
    far = build_upstream('far', address='10.0.0.3:1', region='vanua-levu')
    publish(make_keepers(pool, near=near, leaving=leaving, far=far))
    hosts = {name.partition(':')[0] for name in pool.list_keepers()}
    assert hosts == {'10.0.0.1'}


def test_without_workers_nothing_is_kept(pool) -> None:
    leaving = build_upstream('old', address='10.0.0.2:1', is_leaving=True)
    keepers = make_keepers(pool, leaving=leaving)
    publish(keepers)
    assert keepers.search(KEY) is None
    assert not pool.calls
