"""Jobs on disks that do not answer are not reported missing."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent.event import Event as Signal
from result import Err, Ok

from tests.hosted.builders import (
    HostedSite,
    make_configuration,
    make_route_entry,
    wait_for,
)
from wigeonpier.errors import Refusal
from wigeonpier.hosted.board import Board
from wigeonpier.hosted.diskhomes import DiskHomes
from wigeonpier.hosted.views import JobViews
from wigeonpier.models import DiskMember
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Failure
from wigeonpier.settings.process import split_address
from wigeonpier.web.server import Server

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.hosted.storage import StorageApp

JOB = 'j'
ITEMS = 3
READ = f'/-/lots/{JOB}'
BODY = f'/-/items/{JOB}?id={JOB}0'
MISSING = '/-/lots/none?after=0'
AWAY = SimpleNamespace(read_board=lambda: Err(Failure.unavailable))
LEASE_SECONDS = 3.5


def darken(disk: StorageApp) -> None:
    """Let a process with a disk stand still, as without power."""
    disk.handler = disk._server.handler
    # It answers nothing on connections that are open already.
    disk._server.handler = lambda _request: Signal().wait()
    disk._server.stop()
    disk._intake.ledger = disk._intake._ledger
    disk._intake._ledger = AWAY
    disk._disk.is_wanted = False
    disk._disk._lease = 0


def restore(disk: StorageApp) -> None:
    """Start a process with a disk again, at its former address."""
    disk._server = Server(
        *split_address(disk._context.settings.peers), disk.handler
    )
    disk._server.start()
    disk._intake._ledger = disk._intake.ledger
    disk._disk.is_wanted = True


@pytest.fixture
def dark(site: HostedSite) -> Iterator[HostedSite]:
    """Start a site whose disks lose power with a job of an outage."""
    route = make_route_entry('batch_run', '/jobs/', maxAttempts=3, maxCount=200)
    site.configuration = make_configuration(routes=[route])
    site.start(replicas=1, entries=2)
    site.store.faults.is_down = True
    assert site.submit_job(JOB, ITEMS).status == 202
    for disk in site.disks:
        darken(disk)
    site.store.faults.is_down = False
    wait_for(
        lambda: not site.store.list_keys(storekeys.DISKS),
        'the leases of the disks have ended',
    )
    yield site


def list_statuses(site: HostedSite, entry: int) -> set[int]:
    """Read a job, the body of an item, and end the job."""
    return {
        site.call('GET', f'{READ}?after=0', entry=entry).status,
        site.call('GET', f'{READ}?after=2', entry=entry).status,
        site.call('GET', BODY, entry=entry).status,
    }


def await_certainty(site: HostedSite, entry: int) -> None:
    """Wait until an unknown id is answered 404; old connections may hang."""
    wait_for(
        lambda: site.call('GET', MISSING, entry=entry).status == 404,
        'each disk has answered',
    )


@pytest.mark.parametrize('is_new', [False, True])
def test_a_job_on_dark_disks_is_not_reported_missing(
    dark: HostedSite, *, is_new: bool
) -> None:
    """Its caller read 404 at entries that had not accepted it.

    An entry that has just started knows neither of the outage nor, by the
    members on the board, of the disks.
    """
    if is_new:
        dark.add_entry('edge-new')
        wait_for(lambda: dark.entries[-1].is_ready, 'it is ready')
    assert list_statuses(dark, len(dark.entries) - 1) == {503}
    for disk in dark.disks:
        restore(disk)
    wait_for(
        lambda: dark.call('GET', f'{READ}?after=0', entry=1).status == 200,
        'the disks have handed it over',
    )
    assert len(dark.wait_for_results(JOB, ITEMS)) == ITEMS
    await_certainty(dark, 1)


def test_one_dark_disk_of_three_is_enough_to_be_unsure(
    site: HostedSite,
) -> None:
    """The other disks may have lost their copies."""
    site.start(replicas=1)
    assert site.call('GET', MISSING).status == 404
    darken(site.disks[0])
    assert site.call('GET', MISSING).status == 503
    restore(site.disks[0])
    await_certainty(site, 0)


def test_an_ended_job_does_not_run_once_its_disks_are_back(
    dark: HostedSite,
) -> None:
    """Its end was answered 404, and it ran afterwards."""
    assert dark.call('DELETE', READ, entry=1).status == 503
    for disk in dark.disks:
        restore(disk)
    wait_for(
        lambda: dark.call('DELETE', READ, entry=1).status == 200,
        'the disks have handed it over',
    )
    gevent.sleep(0.5)
    assert not dark.replicas[0].runs
    page = dark.read_results(JOB)
    assert (page['total'], page['results']) == (ITEMS, [])


def test_a_resubmitted_job_that_was_ended_does_not_run(
    dark: HostedSite,
) -> None:
    assert dark.call('DELETE', READ, entry=1).status == 503
    assert dark.submit_job(JOB, ITEMS, entry=1).status == 202
    assert dark.call('DELETE', READ, entry=1).status == 200
    gevent.sleep(0.5)
    assert not dark.replicas[0].runs


def test_a_repeat_of_a_job_on_dark_disks_is_not_over_a_limit(
    dark: HostedSite,
) -> None:
    """It was turned away with 429, which promises that it does not run."""
    assert dark.submit_job('other', 5, entry=1).status == 202
    assert dark.submit_job(JOB, ITEMS, entry=1).status == 502


def test_a_disk_that_is_gone_is_given_up_at_last(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Else each unknown id would be answered 503 for good."""
    site.start(replicas=1, entries=1)
    darken(site.disks[0])
    bounds = site.entries[0]._disk_job_writer.settings.bounds
    assert site.call('GET', MISSING).status == 503
    object.__setattr__(bounds, 'job_readable', 0.3)
    gevent.sleep(0.4)
    assert site.call('GET', MISSING).status == 404


def test_the_record_of_a_lost_disk_is_removed(site: HostedSite) -> None:
    """An entry that starts later needs no witness that never answers."""
    site.start(replicas=1)
    darken(site.disks[0])
    wait_for(
        lambda: len(site.store.list_keys(storekeys.DISKS)) == 2,
        'its lease has ended',
    )
    homes = DiskHomes(
        site.contexts[0].store, DiskMember('other', '127.0.0.1:1'), 0.2
    )
    ledger = site.entries[0]._disk_job_writer.ledger
    board = ledger.read_board().unwrap()
    homes.observe(board)
    assert len(site.store.list_keys(storekeys.HOMES)) == 3
    gevent.sleep(0.3)
    homes.observe(board)
    left = site.store.list_keys(storekeys.HOMES)
    assert left == [
        storekeys.name_key(storekeys.HOMES, f'storage-{number}')
        for number in (1, 2)
    ]


def test_a_disk_has_its_record_before_it_is_a_member(
    site: HostedSite,
) -> None:
    """Entries store jobs on members only."""
    site.start(replicas=1)
    names = [f'storage-{number}' for number in range(3)]
    revisions = {
        space: [
            site.contexts[0]
            .store.get(storekeys.name_key(space, name))
            .unwrap()
            .revision
            for name in names
        ]
        for space in (storekeys.HOMES, storekeys.DISKS)
    }
    pairs = zip(
        revisions[storekeys.HOMES], revisions[storekeys.DISKS], strict=True
    )
    assert all(home < member for home, member in pairs)


def test_a_job_that_is_handed_over_meanwhile_is_found() -> None:
    """The store was read before the handover, and the disk after it."""
    reads = [Ok(None), Ok('job')]
    ledger = SimpleNamespace(read_job=lambda _name: reads.pop(0))
    views = JobViews(ledger, lambda _name: False)
    with pytest.raises(AttributeError, match='head'):
        views.find('j')
    assert not reads


def test_a_job_without_a_witness_is_refused_as_unsure() -> None:
    ledger = SimpleNamespace(read_job=lambda _name: Ok(None))
    views = JobViews(ledger, lambda _name: True)
    with pytest.raises(Refusal) as raised:
        views.find('j')
    assert raised.value.status == 503
    assert Board().homes == {}
