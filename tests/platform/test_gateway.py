"""The etcd gateway client against a stand-in: all outcomes of a call."""

from __future__ import annotations

import gevent
import pytest
from result import Err, Ok

from wigeonpier.bench.platform import StandInPlatform
from wigeonpier.platform.confirmedwrite import swap_confirmed
from wigeonpier.platform.gateway import GatewayPlatform
from wigeonpier.platform.port import Failure, VmState
from wigeonpier.web.client import HttpClient


@pytest.fixture
def stand_in():
    platform = StandInPlatform(seed=1)
    server = platform.serve()
    yield platform, GatewayPlatform(HttpClient(), server.address)
    server.stop()


def test_create_swap_and_delete(stand_in) -> None:
    _platform, port = stand_in
    created = port.swap('k', b'one', 0).unwrap()
    assert port.swap('k', b'two', 0) == Err(Failure.conflict)
    assert port.get('k').unwrap().value == b'one'
    changed = port.swap('k', b'two', created).unwrap()
    assert changed > created
    port.swap('k', None, changed).unwrap()
    assert port.get('k') == Ok(None)


def test_lost_answer_has_unknown_outcome(stand_in) -> None:
    platform, port = stand_in
    platform.faults.lose_answers = 1
    assert port.swap('k', b'one', 0) == Err(Failure.unknown)
    assert platform.cells['k'].value == b'one'


def test_service_that_is_down_applies_no_write(stand_in) -> None:
    platform, port = stand_in
    unreachable = GatewayPlatform(HttpClient(), '127.0.0.1:1')
    assert unreachable.swap('k', b'one', 0) == Err(Failure.unavailable)
    platform.faults.down = True
    assert port.get('k') == Err(Failure.unavailable)


def test_watch_continues_after_a_revision(stand_in) -> None:
    platform, port = stand_in
    port.swap('p/a', b'1', 0)
    listed = port.list_prefix('p/').unwrap()
    port.swap('p/b', b'2', 0)
    port.swap('q/c', b'3', 0)
    port.swap('p/b', None, platform.cells['p/b'].revision)
    changes = port.watch('p/', listed.revision)
    seen = [(next(changes).key, next(changes).value) for _ in range(1)]
    assert seen == [('p/b', None)]


def test_keys_are_removed_with_their_lease(stand_in) -> None:
    platform, port = stand_in
    lease = port.grant_lease(60).unwrap()
    port.swap('k', b'mine', 0, lease).unwrap()
    assert port.renew_lease(lease).unwrap() == 60
    platform.lapse_lease(lease)
    assert port.get('k') == Ok(None)
    assert port.renew_lease(lease).unwrap() == 0


def test_vm_list_may_be_out_of_date(stand_in) -> None:
    platform, port = stand_in
    platform.add_vm('a', '127.0.0.1:1', 'dc')
    platform.faults.frozen_vms = [dict(vm) for vm in platform.vms]
    platform.mark_leaving('a')
    assert port.list_vms().unwrap()[0].state is VmState.live
    platform.faults.frozen_vms = None
    assert port.list_vms().unwrap()[0].state is VmState.leaving


def test_each_call_is_counted(stand_in) -> None:
    platform, port = stand_in
    port.get('k')
    port.swap('k', b'1', 0)
    assert platform.calls == {'/v3/kv/range': 1, '/v3/kv/txn': 1}


@pytest.mark.parametrize('fault', ['lose_answers', 'refuse_writes'])
def test_outcome_of_a_write_is_confirmed(stand_in, fault) -> None:
    platform, port = stand_in
    setattr(platform.faults, fault, 0.6)
    for number in range(12):
        key = f'k{number}'
        wrote = swap_confirmed(
            port,
            key,
            b'mine',
            0,
            lambda entry: entry.value == b'mine',
            20,
        )
        assert wrote == Ok(platform.cells[key].revision)


def test_one_of_two_writers_wins_when_answers_are_lost(stand_in) -> None:
    platform, port = stand_in
    platform.faults.lose_answers = 0.5
    for number in range(8):
        writers = [
            gevent.spawn(
                swap_confirmed,
                port,
                f'k{number}',
                value,
                0,
                lambda entry, value=value: entry.value == value,
                20,
            )
            for value in (b'a', b'b')
        ]
        outcomes = [writer.get() for writer in writers]
        winners = [
            value
            for value, outcome in zip((b'a', b'b'), outcomes, strict=True)
            if isinstance(outcome, Ok)
        ]
        assert winners == [platform.cells[f'k{number}'].value]
        assert Err(Failure.conflict) in outcomes


def test_prefix_is_deleted_in_one_call(stand_in) -> None:
    platform, port = stand_in
    for key in ('p/a', 'p/b', 'q/a'):
        port.swap(key, b'1', 0)
    platform.calls.clear()
    port.delete_prefix('p/').unwrap()
    assert set(platform.cells) == {'q/a'}
    assert platform.calls.total() == 1
