"""Leases of fences: how long they last, and what they cost."""

from __future__ import annotations

import pytest
from result import Err, Ok, Result

from wigeonpier.hosted import jobfences
from wigeonpier.hosted.jobfences import (
    FENCE_SECONDS,
    NO_FENCE,
    SHORT_FENCE_SECONDS,
    JobFences,
)
from wigeonpier.models import JobFence
from wigeonpier.platform.port import Commit, Failure

TIMEOUT_SECONDS = 1.0


class LeaseStore:
    """Grants leases and records which one each write names."""

    def __init__(self) -> None:
        """Accept all writes."""
        self.granted: list[float] = []
        self.named: list[int] = []
        self.outcome: Result[int, Failure] = Ok(1)

    def grant_lease(
        self, seconds: float, _timeout: float
    ) -> Result[int, Failure]:
        self.granted.append(seconds)
        return Ok(len(self.granted))

    def commit(self, change: Commit, _timeout: float) -> Result[int, Failure]:
        self.named.append(change.lease)
        return self.outcome


@pytest.fixture
def store() -> LeaseStore:
    """Make a store."""
    return LeaseStore()


@pytest.fixture
def fences(store: LeaseStore) -> JobFences:
    """Make the fences in it."""
    return JobFences(store)  # type: ignore[arg-type]


def test_plain_refusals_share_a_lease(
    fences: JobFences, store: LeaseStore
) -> None:
    """Each refusal would cost two calls to the store."""
    for job in ('a', 'b', 'c'):
        fences.write(job, NO_FENCE, '', TIMEOUT_SECONDS)
    assert store.granted == [SHORT_FENCE_SECONDS]
    assert store.named == [1, 1, 1]


def test_a_lease_takes_no_fences_late_in_its_life(
    fences: JobFences, store: LeaseStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A fence would end before a late write is executed."""
    monkeypatch.setattr(jobfences, 'LEASE_REUSE_SECONDS', 0)
    for job in ('a', 'b'):
        fences.write(job, NO_FENCE, '', TIMEOUT_SECONDS)
    assert store.named == [1, 2]


def test_a_lease_that_has_ended_is_replaced(
    fences: JobFences, store: LeaseStore
) -> None:
    """No fence could be written until it would have taken no more."""
    store.outcome = Err(Failure.lapsed)
    fences.write('a', NO_FENCE, '', TIMEOUT_SECONDS)
    store.outcome = Ok(1)
    assert fences.write('a', NO_FENCE, '', TIMEOUT_SECONDS) == Ok(1)
    assert store.named == [1, 2]


@pytest.mark.parametrize(
    ('known', 'attempt'),
    [(NO_FENCE, 'own'), (JobFence(7, ('earlier',)), '')],
)
def test_a_fence_of_copies_on_disks_lasts(
    fences: JobFences, store: LeaseStore, known: JobFence, attempt: str
) -> None:
    """A disk may be down for longer than a write of the store is late."""
    fences.write('a', known, attempt, TIMEOUT_SECONDS)
    assert store.granted == [FENCE_SECONDS]
