"""One worker at a time tries an item for the same cause."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING

import gevent
import pytest
from result import Ok

from tests.hosted.builders import wait_for
from wigeonpier.bench.store import StandInStore
from wigeonpier.hosted.quarantine.store import QuarantineStore
from wigeonpier.hosted.trialleases import (
    LEASE_SECONDS,
    LeaseState,
    TrialLeases,
)
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.membership.updates import CrashReport, SuspicionUpdate
from wigeonpier.platform import storekeys
from wigeonpier.platform.store import KeyValueStore
from wigeonpier.policy.suspicion import needs_pauses
from wigeonpier.policy.watchplan import plan_watches
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Iterator

WORKERS = 8
CAUSE = 'assistant/bad'
ITEM = '0' * 32
MANY_WORKERS = 100
WATCH_SECONDS = 4.0


@pytest.fixture
def store() -> Iterator[StandInStore]:
    """Start a store."""
    made = StandInStore()
    yield made
    made.stop()


def make_workers(store: StandInStore, count: int) -> list[TrialLeases]:
    """Make the leases of some workers."""
    client = KeyValueStore(
        ConnectionPool(), store.start(), Metrics(), plan_watches(3, 20)
    )
    return [
        TrialLeases(client, f'vm-{number}', lambda: True, random.Random(number))
        for number in range(count)
    ]


def raise_error() -> bool:
    """Fail like a read of an entry that cannot be decoded."""
    raise ValueError('an invalid entry')


class BusyStore:
    """A store in which another worker has each lease."""

    def __init__(self) -> None:
        self.reads: list[float] = []

    def read_revision(self, _key: str) -> Ok[int]:
        """Count the read."""
        self.reads.append(time.monotonic())
        return Ok(1)


def test_workers_that_wait_for_a_lease_read_the_store_rarely() -> None:
    """With 600 workers they made 1,200 reads a second for each cause."""
    store = BusyStore()
    workers = [
        TrialLeases(store, f'vm-{number}', lambda: True, random.Random(number))
        for number in range(MANY_WORKERS)
    ]
    began = time.monotonic()
    while time.monotonic() < began + WATCH_SECONDS:
        for worker in workers:
            worker.request(CAUSE, is_shared=True)
        gevent.sleep(0.02)
    early = [at for at in store.reads if at < began + 0.5]
    assert 0 < len(early) < MANY_WORKERS / 2
    assert MANY_WORKERS < len(store.reads) <= 4 * MANY_WORKERS


def test_a_worker_that_was_refused_a_lease_often_asks_at_least_each_7_s(
    store: StandInStore,
) -> None:
    (worker,) = make_workers(store, 1)
    waits = [worker._back_off(CAUSE) for _ in range(100)]
    assert waits[0] < 1
    assert 3 < min(waits[10:]) < max(waits) < 7


def test_a_failed_read_does_not_hold_an_item_for_ever(
    store: StandInStore,
) -> None:
    """The lease stayed pending, and was never requested again."""
    (worker,) = make_workers(store, 1)
    worker._refresh = raise_error
    assert worker.request(CAUSE) is LeaseState.pending
    wait_for(
        lambda: worker.get_state(CAUSE) is None, 'the lease is not requested'
    )
    worker._refresh = lambda: True
    wait_until_held(worker)


def test_the_next_holder_knows_what_the_last_one_has_stored(
    store: StandInStore,
) -> None:
    """It had read the store just before, and reads were out of date."""
    client = KeyValueStore(
        ConnectionPool(), store.start(), Metrics(), plan_watches(3, 20)
    )
    known, later = Suspicions(), Suspicions()
    reader = QuarantineStore(client, later, gevent.sleep)
    reader.read()
    store.keep_old()
    crash = CrashReport(ITEM, 'i-0', 'v1', 0, was_alone=True, is_item=True)
    known.merge(SuspicionUpdate(ends=(crash, *make_burst())))
    QuarantineStore(client, known, gevent.sleep).record(ITEM)
    key = storekeys.name_key(storekeys.REFUSED, ITEM)
    wait_for(lambda: store.list_keys(key), 'the store has the item')
    wait_until_held(
        TrialLeases(
            client, 'vm', partial(reader.read, is_fresh=True), random.Random(0)
        )
    )
    assert needs_pauses(later.suspects.get(ITEM))


def make_burst() -> list[CrashReport]:
    """Make the reports of more crashes under the item."""
    return [
        CrashReport(ITEM, f'i-{number}', 'v1', 0, was_alone=True, is_item=True)
        for number in range(1, 4)
    ]


@pytest.mark.parametrize('is_expired', [True, False])
def test_a_lease_that_is_not_renewed_is_not_held(
    store: StandInStore, is_expired: bool
) -> None:
    """Another worker had it while items were still tried here."""
    (worker,) = make_workers(store, 1)
    wait_until_held(worker)
    worker.use(CAUSE)
    if is_expired:
        store._leases.clear()
    else:
        store.faults.is_down = True
    deadline = time.monotonic() + LEASE_SECONDS
    while worker.get_state(CAUSE) is LeaseState.held:
        assert time.monotonic() < deadline, 'the lease still counts as held'
        gevent.sleep(0.05)


def test_no_lease_is_held_without_what_others_have_stored(
    store: StandInStore,
) -> None:
    (worker,) = make_workers(store, 1)
    worker._refresh = lambda: False
    wait_for(
        lambda: worker.request(CAUSE) is LeaseState.unavailable,
        'the store is found to be away',
    )


def wait_until_held(leases: TrialLeases) -> float:
    """Wait for a lease; return how long that took."""
    began = time.monotonic()
    wait_for(
        lambda: leases.request(CAUSE) is LeaseState.held, 'the lease is held'
    )
    return time.monotonic() - began


def test_workers_that_try_at_once_run_one_after_the_other(
    store: StandInStore,
) -> None:
    """Each worker tried an item with the part, and all upstreams crashed."""
    workers = make_workers(store, WORKERS)
    done: set[int] = set()
    most = 0
    deadline = time.monotonic() + 30
    while len(done) < WORKERS and time.monotonic() < deadline:
        held = [
            number
            for number, worker in enumerate(workers)
            if number not in done and worker.request(CAUSE) is LeaseState.held
        ]
        most = max(most, len(held))
        for number in held:
            workers[number].use(CAUSE)
            gevent.sleep(0.1)
            others = [
                other
                for other, worker in enumerate(workers)
                if other not in done
                and other != number
                and worker.request(CAUSE) is LeaseState.held
            ]
            assert not others
            workers[number].release(CAUSE)
            done.add(number)
        gevent.sleep(0.02)
    assert most == 1
    assert len(done) == WORKERS


def test_a_crash_keeps_others_from_trying_until_it_is_known(
    store: StandInStore,
) -> None:
    first, second = make_workers(store, 2)
    wait_until_held(first)
    first.use(CAUSE)
    first.release(CAUSE, has_crashed=True)
    assert wait_until_held(second) > LEASE_SECONDS / 2


def test_a_lease_without_a_run_is_given_back(store: StandInStore) -> None:
    first, second = make_workers(store, 2)
    wait_until_held(first)
    assert wait_until_held(second) < LEASE_SECONDS


def test_no_lease_is_held_while_the_store_does_not_answer(
    store: StandInStore,
) -> None:
    (worker,) = make_workers(store, 1)
    store.faults.is_down = True
    wait_for(
        lambda: worker.request(CAUSE) is LeaseState.unavailable,
        'the store is found to be away',
    )
