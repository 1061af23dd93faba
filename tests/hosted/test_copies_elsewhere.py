"""Jobs that only disks have yet, as entries see them that sent no copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from result import Err

from tests.hosted.builders import make_configuration, make_route_entry, wait_for
from tests.hosted.test_refused_jobs import FIRST_TOKENS, start, submit
from wigeonpier.hosted import acceptance
from wigeonpier.platform.port import Failure

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

JOB = 'kept'
MOST_TOKENS = 100
# Half of the limit, up to which disks accept jobs.
ITEMS = 1
UNSURE, UNAVAILABLE, NOT_FOUND = 502, 503, 404


@pytest.fixture
def kept(site: HostedSite, monkeypatch: pytest.MonkeyPatch) -> HostedSite:
    """Start a site whose disks have a job that they can't hand over."""
    route = make_route_entry(
        'batch_run', '/jobs/', maxAttempts=3, maxCount=MOST_TOKENS
    )
    site.configuration = make_configuration(routes=[route])
    site.start(replicas=1, entries=2, event_seconds=0.3)
    for disk in site.disks:
        monkeypatch.setattr(
            disk._intake._ledger,
            'read_board',
            lambda: Err(Failure.unavailable),
        )
    site.store.faults.is_down = True
    assert site.submit_job(JOB, ITEMS).status == 202
    site.store.faults.is_down = False
    wait_for(
        lambda: (
            site.call('GET', '/-/lots/none?after=0', entry=1).status
            == NOT_FOUND
        ),
        'the store answers again',
    )
    return site


def test_a_repeat_at_a_full_route_is_not_refused(kept: HostedSite) -> None:
    """It was answered 429, and the job ran once a disk handed it over."""
    assert kept.submit_job('other', 3, entry=1).status == 202
    assert kept.submit_job('more', 3, entry=1).status == 429
    assert kept.submit_job(JOB, ITEMS, entry=1).status == UNSURE


def test_a_repeat_without_the_store_is_not_refused(
    kept: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was answered 503, which promises that no part of the job runs."""
    monkeypatch.setattr(acceptance, 'may_accept_unchecked', lambda *_given: 0)
    kept.store.faults.is_down = True
    assert kept.submit_job('new', ITEMS, entry=1).status == UNAVAILABLE
    assert kept.submit_job(JOB, ITEMS, entry=1).status == UNSURE


def test_a_job_that_disks_have_is_not_reported_missing(
    kept: HostedSite,
) -> None:
    """Its caller read 404 at each entry but the one that had accepted it."""
    target = f'/-/lots/{JOB}'
    read = kept.call('GET', f'{target}?after=0', entry=1)
    body = kept.call('GET', f'/-/items/{JOB}?id={JOB}0', entry=1)
    ended = kept.call('DELETE', target, entry=1)
    assert {read.status, body.status, ended.status} == {UNAVAILABLE}


def test_disks_that_hand_a_job_over_have_it_no_more(
    kept: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Else refusals would promise nothing for longer than they need to."""
    monkeypatch.undo()
    wait_for(
        lambda: all(disk._intake.is_empty for disk in kept.disks),
        'the disks have handed it over',
    )
    kept.wait_for_results(JOB, ITEMS)
    held = kept.entries[1]._disk_job_writer.find_copies(JOB).attempts
    assert not held


def test_a_repeat_stands_while_the_store_is_down(site: HostedSite) -> None:
    """It was answered 503, which promises that the running job does not run."""
    start(site)
    assert submit(site, 'other') == 202
    site.store.faults.is_down = True
    assert submit(site, 'first', FIRST_TOKENS) == 202


def test_a_repeat_of_a_job_on_disks_stands_while_the_store_is_down(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disks would not store it again, so that it was answered 503."""
    start(site, FIRST_TOKENS // 2)
    site.store.faults.is_down = True
    assert submit(site, 'late', FIRST_TOKENS // 4) == 202
    monkeypatch.setattr(acceptance, 'may_accept_unchecked', lambda *_given: 0)
    assert submit(site, 'late', FIRST_TOKENS // 4) == 202
    assert submit(site, 'new', FIRST_TOKENS // 4) == UNAVAILABLE
