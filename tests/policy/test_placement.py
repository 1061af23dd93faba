"""Which process runs an item of a batch job."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tests.hosted.builders import SERVICE, make_open_job
from wigeonpier.models import Member
from wigeonpier.policy.placement import (
    ITEMS_PER_ASSIGNMENT,
    UNASSIGNED,
    assign_items,
    reassign_items,
)

NAMES = st.sets(st.sampled_from([f'vm-{n}' for n in range(9)]), min_size=1)


def build_members(names: set[str] | list[str]) -> list[Member]:
    """Make members of one service."""
    return [Member(name, SERVICE, 'a') for name in sorted(names)]


def test_items_have_no_owner_without_members() -> None:
    assert assign_items('j', 2, [], [], 0) == (UNASSIGNED, UNASSIGNED)


def test_burst_of_jobs_is_spread_evenly() -> None:
    """Ten jobs within a second, each assigned by the load at that time."""
    members = build_members([f'vm-{number}' for number in range(6)])
    jobs = []
    for number in range(10):
        owners = assign_items(f'j{number}', 9, members, jobs, 0.1 * number)
        jobs.append(
            make_open_job(f'j{number}', owners=owners, sent_at=0.1 * number)
        )
    assigned = Counter(owner for job in jobs for owner in job.owners)
    assert (
        max(assigned.values()) - min(assigned.values())
        <= 2 * ITEMS_PER_ASSIGNMENT
    )


def test_old_jobs_count_less() -> None:
    members = build_members(['vm-0', 'vm-1'])
    old = make_open_job('old', owners=('vm-0',) * 9, sent_at=0.0)
    new = make_open_job('new', owners=('vm-1',) * 3, sent_at=99.0)
    assert assign_items('j', 1, members, [old, new], 100) == ('vm-0',)


@given(NAMES, st.integers(1, 30), st.text('abc', min_size=1))
def test_job_is_assigned_to_few_processes(names, count, job) -> None:
    owners = assign_items(job, count, build_members(names), [], 0)
    assert len(owners) == count
    assert set(owners) <= names
    assert len(set(owners)) <= -(-count // ITEMS_PER_ASSIGNMENT)


@given(NAMES, st.integers(1, 30))
def test_only_items_of_the_lost_process_move(names, count) -> None:
    members = build_members(names)
    job = make_open_job(owners=assign_items('j', count, members, [], 0))
    lost = job.owners[0]
    moved = reassign_items(job, lost, members, [job], 0)
    for before, after in zip(job.owners, moved, strict=True):
        assert after != lost
        if before != lost:
            assert after == before
