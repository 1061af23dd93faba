"""Jobs of many items with more workers than fit in one write of the store."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
import pytest
from result import Ok

from tests.hosted.builders import HostedSite, make_open_job, wait_for
from wigeonpier.hosted.ledger import JobLedger
from wigeonpier.models import JobItem, Member
from wigeonpier.platform import storekeys
from wigeonpier.policy.placement import (
    MAX_OPEN_OWNERS,
    MAX_OWNERS,
    assign_items,
    may_own,
    reassign_items,
)

if TYPE_CHECKING:
    from wigeonpier.models import OpenJob

ITEMS = 200
WORKERS = 60
LARGE_BYTES = 40_000


def make_members(count: int) -> list[Member]:
    """Make workers of one service."""
    return [Member(f'vm-{number:02}', 's', 'a') for number in range(count)]


def make_items(count: int, body: bytes = b'{}') -> list[JobItem]:
    """Make items."""
    return [
        JobItem(f'j{number}', '/jobs/j', {}, body, 30)
        for number in range(count)
    ]


def make_job(count: int, workers: int) -> OpenJob:
    """Make a job whose items have owners."""
    owners = assign_items('j', count, make_members(workers), [], 0)
    return make_open_job('j', owners=owners)


@pytest.fixture
def ledger(site: HostedSite) -> JobLedger:
    """Make a ledger of a site with a store that keeps its limits."""
    site.start(replicas=1)
    return JobLedger(site.contexts[0].store)


@pytest.mark.parametrize('workers', [1, 23, 30, WORKERS])
@pytest.mark.parametrize('body', [b'{}', b'x' * LARGE_BYTES])
def test_a_job_of_200_items_is_written_with_any_number_of_workers(
    ledger: JobLedger, workers: int, body: bytes
) -> None:
    """With 30 workers it was answered 202 and never kept."""
    job = make_job(ITEMS, workers)
    assert len(set(job.owners)) == min(workers, MAX_OWNERS)
    assert ledger.create(job, make_items(ITEMS, body), 4.0).is_ok()
    read = ledger.find_open_job('j').unwrap()
    assert read is not None
    assert ledger.read_items(read[0]) == Ok(make_items(ITEMS, body))


def test_lost_workers_are_replaced_one_after_the_other(
    ledger: JobLedger,
) -> None:
    """Each change of owners fits in one write, and so does the end."""
    members = make_members(WORKERS)
    job = make_job(ITEMS, WORKERS)
    revision = ledger.create(job, make_items(ITEMS)).unwrap()
    for member in list(members):
        members.remove(member)
        if member.name not in job.owners or not members:
            continue
        owners = reassign_items(job, member.name, members, [job], 0)
        assert len(set(owners)) <= MAX_OPEN_OWNERS
        revision = ledger.reassign(job, revision, member.name, owners).unwrap()
        job = replace(job, owners=owners)
    assert ledger.close('j').is_ok()


def test_items_move_to_no_more_workers_than_can_be_written(
    ledger: JobLedger,
) -> None:
    job = make_job(ITEMS, WORKERS)
    revision = ledger.create(job, make_items(ITEMS)).unwrap()
    for number in range(WORKERS):
        target = f'new-{number}'
        if not may_own(job, target):
            break
        source = job.owners[number]
        owners = (*job.owners[:number], target, *job.owners[number + 1 :])
        job = replace(job, owners=owners)
        revision = ledger.move(job, revision, source, target).unwrap()
    assert len(set(job.owners)) == MAX_OPEN_OWNERS
    lost = job.owners[0]
    owners = reassign_items(job, lost, make_members(WORKERS), [job], 0)
    assert ledger.reassign(job, revision, lost, owners).is_ok()
    assert ledger.close('j').is_ok()


def test_a_job_with_too_many_owners_of_an_earlier_build_is_ended(
    ledger: JobLedger, site: HostedSite
) -> None:
    """Its moves had no limit, and its end was rejected for good."""
    job = make_job(ITEMS, 1)
    revision = ledger.create(job, make_items(ITEMS)).unwrap()
    for number in range(WORKERS):
        target = f'new-{number}'
        source = job.owners[number]
        owners = (*job.owners[:number], target, *job.owners[number + 1 :])
        job = replace(job, owners=owners)
        revision = ledger.move(job, revision, source, target).unwrap()
    owners = reassign_items(job, 'new-0', make_members(3), [job], 0)
    assert ledger.reassign(job, revision, 'new-0', owners).is_ok()
    assert ledger.close('j').is_ok()
    assert not site.store.list_keys(storekeys.ASSIGNMENTS)
    assert not site.store.list_keys(storekeys.OPEN_JOBS)


def test_a_job_of_200_items_runs_with_many_members(site: HostedSite) -> None:
    """Also one that was accepted while the store was down."""
    site.start(replicas=2)
    # Members without a worker; their items are reassigned once they are gone.
    for member in make_members(WORKERS):
        key = storekeys.name_key(storekeys.MEMBERS, member.name)
        site.store.put(
            key,
            {
                'name': member.name,
                'service': 'assistant',
                'data_centre': 'suva-a',
            },
        )
    assert site.submit_job('a', ITEMS).status == 202
    site.store.faults.is_down = True
    assert site.submit_job('b', ITEMS).status == 202
    site.store.faults.is_down = False
    for job in ('a', 'b'):
        wait_for(
            lambda job=job: (
                site.call('GET', f'/-/lots/{job}?after=0').status == 200
            ),
            f'{job} is in the store',
        )
    for member in make_members(WORKERS):
        site.store.remove(storekeys.name_key(storekeys.MEMBERS, member.name))
    for _wait in range(3):
        gevent.sleep(1)
    for job in ('a', 'b'):
        assert len(site.wait_for_results(job, ITEMS)) == ITEMS
