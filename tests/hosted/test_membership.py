"""Joining the members while the store refuses leases."""

from __future__ import annotations

import gevent
from result import Err, Ok

from wigeonpier.hosted.membership import Membership
from wigeonpier.models import DiskMember
from wigeonpier.platform.port import Failure

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
