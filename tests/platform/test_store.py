"""Client of the key-value service against a stand-in."""

from __future__ import annotations

import random

import gevent
import pytest
from result import Err, Ok

from wigeonpier.bench.store import StandInStore
from wigeonpier.platform.port import Commit, Failure
from wigeonpier.platform.store import GATHER_SECONDS, KeyValueStore
from wigeonpier.platform.view import PrefixWatcher
from wigeonpier.policy.watchplan import plan_watches
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.pool import ConnectionPool

TIMEOUT_SECONDS = 5.0


@pytest.fixture
def stand_in() -> StandInStore:
    """Make a stand-in of the service."""
    return StandInStore()


@pytest.fixture
def store(stand_in: StandInStore) -> KeyValueStore:
    """Make a client of the stand-in."""
    address = stand_in.start()
    return KeyValueStore(
        ConnectionPool(), address, Metrics(), plan_watches(3, 20)
    )


def test_written_keys_are_read_back(store: KeyValueStore) -> None:
    revision = store.commit(Commit({'a/1': 0}, {'a/1': b'\x00x'})).unwrap()
    entry = store.get('a/1').unwrap()
    assert entry is not None
    assert (entry.value, entry.revision) == (b'\x00x', revision)
    assert entry.created == revision
    assert store.get('a/2') == Ok(None)
    assert [one.key for one in store.list_prefix('a/').unwrap().entries] == [
        'a/1'
    ]


def test_failed_guard_changes_nothing(
    store: KeyValueStore,
) -> None:
    store.commit(Commit({'a': 0}, {'a': b'1'}))
    outcome = store.commit(Commit({'a': 0}, {'a': b'2', 'b': b'2'}))
    assert outcome == Err(Failure.conflict)
    assert store.get('b') == Ok(None)


def test_write_with_lost_answer_is_unknown_and_may_take_effect(
    store: KeyValueStore, stand_in: StandInStore
) -> None:
    stand_in.faults.lost_writes = 1
    outcome = store.commit(Commit({'a': 0}, {'a': b'1'}))
    assert outcome == Err(Failure.unknown)
    assert store.get('a').unwrap() is not None


def test_refused_write_has_no_effect(
    store: KeyValueStore, stand_in: StandInStore
) -> None:
    stand_in.faults.is_down = True
    assert store.commit(Commit({}, {'a': b'1'})) == Err(Failure.unavailable)
    assert store.get('a') == Err(Failure.unavailable)
    stand_in.faults.is_down = False
    assert store.get('a') == Ok(None)


def test_all_pages_are_read(
    store: KeyValueStore, stand_in: StandInStore
) -> None:
    for number in range(600):
        stand_in.put(f'k/{number}', number)
    snapshot = store.list_prefix('k/').unwrap()
    assert len(snapshot.entries) == 600


def test_watch_receives_each_change_in_order(store: KeyValueStore) -> None:
    seen = []
    start = store.list_prefix('w/').unwrap().revision

    def follow() -> None:
        for change in store.watch('w/', start):
            seen.append((change.key, change.value))

    greenlet = gevent.spawn(follow)
    for number in range(5):
        store.commit(Commit(writes={f'w/{number}': b'x'}))
    store.commit(Commit(deletes=('w/0',)))
    # A watch pauses after the first changes and receives the later ones in its
    # next call.  All changes are compared, and no more may follow.
    with gevent.Timeout(TIMEOUT_SECONDS, False):
        while ('w/0', None) not in seen:
            gevent.sleep(0.01)
    gevent.sleep(0.2)
    greenlet.kill()
    assert seen == [(f'w/{n}', b'x') for n in range(5)] + [('w/0', None)]


def test_watch_after_compacted_history_fails(
    store: KeyValueStore, stand_in: StandInStore
) -> None:
    stand_in.put('w/1', 1)
    stand_in.compact()
    assert store.await_changes('w/', 1, 0) == Err(Failure.unavailable)


def test_keys_are_removed_with_their_lease(store: KeyValueStore) -> None:
    lease = store.grant_lease(1).unwrap()
    store.commit(Commit(writes={'m': b'1'}, lease=lease))
    assert store.renew_lease(lease) == Ok(True)
    store.revoke_lease(lease)
    assert store.get('m') == Ok(None)
    assert store.renew_lease(lease) == Ok(False)
    late = store.commit(Commit(writes={'m': b'1'}, lease=lease))
    assert late == Err(Failure.lapsed)


def test_lease_id_is_never_reused(store: KeyValueStore) -> None:
    first, second = (store.grant_lease(9).unwrap() for _ in range(2))
    store.revoke_lease(first)
    assert store.grant_lease(9).unwrap() not in {first, second}


def test_changes_in_quick_succession_cost_few_calls(
    store: KeyValueStore, stand_in: StandInStore
) -> None:
    """Guards against one call per change when many replicas start at once."""
    seen: list[str] = []

    def follow() -> None:
        for change in store.watch('w/', 1):
            seen.append(change.key)

    follower = gevent.spawn(follow)
    for number in range(28):
        stand_in.put(f'w/{number}', number)
        gevent.sleep(0.02)
    gevent.sleep(0.4)
    follower.kill()
    assert len(seen) == 28
    assert stand_in.calls['/-/kv-watch'] <= 6


def test_watch_in_a_hurry_skips_two_pauses(
    store: KeyValueStore, stand_in: StandInStore
) -> None:
    """Guards against changes that wait although they are needed at once.

    Skipping one pause is too little: its call returns earlier changes.
    """
    seen: list[str] = []
    watcher = PrefixWatcher(
        store, 'w/', lambda change: seen.append(change.key), random.Random(1)
    )
    watcher.start()
    gevent.sleep(0.1)
    for number in range(2):
        stand_in.put(f'w/{number}', number)
        gevent.sleep(GATHER_SECONDS / 8)
    assert seen == ['w/0']
    watcher.hurry()
    gevent.sleep(GATHER_SECONDS / 8)
    assert seen == ['w/0', 'w/1']
    for number in range(2, 4):
        stand_in.put(f'w/{number}', number)
        gevent.sleep(GATHER_SECONDS / 8)
    assert seen == ['w/0', 'w/1', 'w/2']
