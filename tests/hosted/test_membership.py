"""Joining the members while the store refuses leases."""

from __future__ import annotations

import gevent
import pytest
from result import Err, Ok

from wigeonpier.bench.store import StandInStore
from wigeonpier.hosted.membership import LEASE_SECONDS, Membership
from wigeonpier.models import DiskMember
from wigeonpier.platform.port import Failure
from wigeonpier.platform.store import KeyValueStore
from wigeonpier.policy.watchplan import plan_watches
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.pool import ConnectionPool

KEY = 'board/members/d'
# After the call is given up and the key is written once more.
LATE_SECONDS = 2.0
SECONDS = 4.0
# A process that retried every 0.2 s made 20 writes in this time; the budget of
# the store is some hundred writes a second for all processes.
MAX_WRITES = 7


class RefusingStore:
    """Refuses leases until it is up."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls = 0
        self.is_up = False

    def grant_lease(self, _seconds: float) -> Ok | Err:
        self.calls += 1
        return Ok(1) if self.is_up else Err(Failure.unavailable)

    def read_revision(self, _key: str) -> Ok:
        return Ok(0)

    def commit(self, _change: object) -> Ok:
        return Ok(1)

    def renew_lease(self, _lease: int) -> Ok:
        return Ok(True)


def test_refused_writes_back_off() -> None:
    store = RefusingStore()
    membership = Membership(store, 'k', DiskMember('d', '127.0.0.1:1'))
    membership.is_wanted = True
    loop = gevent.spawn(lambda: [membership._step() for _ in range(100)])
    gevent.sleep(SECONDS)
    loop.kill()
    assert store.calls <= MAX_WRITES


def test_process_joins_at_once_when_store_is_back() -> None:
    """The wait ends with the store's first answer."""
    store = RefusingStore()
    waits = []

    def wait(seconds: float) -> None:
        waits.append(seconds)
        store.is_up = len(waits) > 3

    membership = Membership(store, 'k', DiskMember('d', '127.0.0.1:1'), wait)
    membership.is_wanted = True
    for _ in range(5):
        membership._step()
    assert store.calls == 5
    assert waits[0] < 0.3


@pytest.mark.parametrize('has_key', [False, True])
def test_a_late_announcement_takes_no_member_off_the_board(
    has_key: bool,
) -> None:
    """It put the key under an older lease, and the key ended with that one."""
    store = StandInStore()
    address = store.start()
    if has_key:
        # That of an earlier start, whose lease has not ended yet.
        store.put(KEY, b'earlier')
    client = KeyValueStore(
        ConnectionPool(), address, Metrics(), plan_watches(3, 20)
    )
    membership = Membership(client, KEY, DiskMember('d', '127.0.0.1:1'))
    store.faults.late_writes = 1
    store.faults.late_seconds = LATE_SECONDS
    membership.is_wanted = True
    loop = gevent.spawn(lambda: [membership._step() for _ in range(100)])
    gevent.sleep(LATE_SECONDS + 2 * LEASE_SECONDS)
    keys = store.list_keys(KEY)
    loop.kill()
    store.stop()
    assert keys == [KEY]
