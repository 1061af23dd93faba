"""Results that a process with a disk serves to entries."""

from __future__ import annotations

import time
from types import SimpleNamespace

import gevent
import pytest

from tests.hosted.builders import HostedSite, wait_for
from tests.hosted.test_views import StandInLedger, build_result
from wigeonpier.errors import Refusal
from wigeonpier.hosted.following import GATHER_SECONDS, FollowedJobs
from wigeonpier.hosted.readings import ReadingHandler, make_target
from wigeonpier.hosted.views import JobViews
from wigeonpier.models import ResultPage
from wigeonpier.platform import storekeys
from wigeonpier.web.messages import Request

WATCH_SECONDS = 8.0
RANGE_METRIC_PREFIX = 'store_calls_total{call="/-/kv-range"'


def _count_range_calls(site: HostedSite) -> int:
    """Count the range reads of the store that entries made."""
    return sum(
        int(float(line.rpartition(' ')[2]))
        for entry in site.entries
        for line in entry._context.metrics.render().splitlines()
        if RANGE_METRIC_PREFIX in line
    )


def test_readers_at_many_entries_share_one_store_read(site: HostedSite) -> None:
    site.start(entries=4)
    site.submit_job('j', 2)
    site.wait_for_results('j', 2)
    before = _count_range_calls(site)
    assert before
    for entry in range(4):
        assert len(site.read_results('j', entry=entry)['results']) == 2
    assert _count_range_calls(site) == before


def test_a_reader_waits_for_a_result(site: HostedSite) -> None:
    site.start(replicas=1, event_seconds=0.05)
    site.submit_job('j', 1)
    reply = site.call('GET', '/-/lots/j?after=0', X_Wait_Ms='1000')
    assert b'completed' in reply.body


def test_results_are_read_if_no_disk_process_answers(site: HostedSite) -> None:
    site.start()
    site.submit_job('j', 2)
    site.wait_for_results('j', 2)
    for disk in site.disks:
        disk._server.stop()
    began = time.monotonic()
    assert len(site.read_results('j')['results']) == 2
    assert time.monotonic() - began < 1


def test_an_unknown_job_is_not_found(site: HostedSite) -> None:
    site.start()
    assert site.call('GET', '/-/lots/none?after=0').status == 404


def test_a_body_costs_an_entry_one_stale_read(site: HostedSite) -> None:
    site.start()
    site.submit_job('j', 3)
    before = _count_range_calls(site)
    reply = site.call('GET', '/-/items/j?id=j1')
    assert (reply.status, reply.body) == (200, b'{}')
    assert _count_range_calls(site) == before + 1
    assert site.call('GET', '/-/items/j?id=j9').status == 404


@pytest.mark.parametrize('is_reachable', [False, True])
def test_no_new_results_are_reported_only_if_the_store_is_reachable(
    is_reachable: bool,
) -> None:
    """A call whose connection was lost looks like one that waits."""
    store_health = SimpleNamespace(
        is_unreachable=False,
        probe=lambda: None,
        has_answered_since=lambda _moment: is_reachable,
    )
    jobs = SimpleNamespace(
        find=lambda _name: SimpleNamespace(
            results=[],
            is_finished=False,
            make_page=lambda _after: ResultPage(1, ()),
        ),
        await_results=lambda _view, _known, _wait: None,
    )
    handler = ReadingHandler(jobs, store_health)
    query = make_target('j', 0, 0.05).partition('?')[2]
    request = Request('GET', '/results/j', query, {}, None)
    if is_reachable:
        assert b'"results":[]' in handler._answer(request, 'j').body
        return
    with pytest.raises(Refusal):
        handler._answer(request, 'j')


def build_followed_jobs(
    ledger: StandInLedger, *, was_reachable: bool = True
) -> FollowedJobs:
    """Build followed jobs; ``was_reachable`` is false after a store outage."""
    store_health = SimpleNamespace(
        has_been_reachable_since=lambda _moment: was_reachable
    )
    return FollowedJobs(
        JobViews(ledger, lambda _name: False), store_health, WATCH_SECONDS
    )


def test_a_job_that_was_not_read_for_a_while_is_refreshed() -> None:
    """Its reader was answered from an outdated view, without new results."""
    ledger = StandInLedger()
    jobs = build_followed_jobs(ledger)
    view = jobs._views.find('j')
    ledger.results = [build_result(0)]
    assert jobs.find('j') is view
    jobs.await_results(view, 0, 0)
    assert len(view.results) == 1


def test_a_call_begun_before_a_store_outage_confirms_nothing() -> None:
    """Its answer may have been lost in the outage."""
    ledger = StandInLedger()
    jobs = build_followed_jobs(ledger, was_reachable=False)
    view = jobs.find('j')
    with pytest.raises(Refusal):
        jobs.await_results(view, 0, 0.05)


def test_a_job_is_followed_in_one_call_while_it_is_read() -> None:
    """The call ends when the job is finished or no longer read."""
    ledger = StandInLedger()
    ledger.results = [build_result(0)]
    jobs = build_followed_jobs(ledger)
    view = jobs.find('j')
    for _reader in range(5):
        assert jobs.find('j') is view
        jobs.await_results(view, 1, 0.01)
    gevent.sleep(GATHER_SECONDS + 0.05)
    # One call finds the job, one reads newer results, one waits for more.
    assert ledger.looks == 3
    ledger.results += [build_result(1), build_result(2)]
    jobs._views.read_new_results(view, 0)
    jobs.await_results(view, 1, 5.0)
    assert view.is_finished


def test_new_results_are_unknown_while_a_job_cannot_be_followed() -> None:
    ledger = StandInLedger()
    jobs = build_followed_jobs(ledger)
    ledger.results = [build_result(0)]
    view = jobs.find('j')
    ledger.is_away = True
    gevent.sleep(0.01)
    with pytest.raises(Refusal):
        jobs.await_results(view, 1, 0.1)
    jobs.await_results(view, 0, 0.1)


def test_an_entry_that_has_the_result_makes_no_call(site: HostedSite) -> None:
    site.start()
    site.submit_job('j', 1)
    site.wait_for_results('j', 1)
    handler = site.entries[0]._jobs
    view = handler._views.find('j')
    handler._views.refresh(view, 0, 0)
    wait_for(lambda: view.results, 'the entry has read it itself')
    for disk in site.disks:
        disk._server.stop()
    site.store.stop()
    assert len(site.read_results('j')['results']) == 1


@pytest.mark.parametrize('has_disks', [True, False])
def test_a_job_that_is_first_read_when_finished_leaves_the_board(
    site: HostedSite, has_disks: bool
) -> None:
    """Its key and assignments stayed until the job was deleted."""
    site.start()
    site.submit_job('j', 2)
    written = [storekeys.name_key(storekeys.RESULTS, 'j', n) for n in (0, 1)]
    wait_for(lambda: all(map(site.store.list_keys, written)), 'it is finished')
    if not has_disks:
        for disk in site.disks:
            disk._server.stop()
    assert len(site.read_results('j')['results']) == 2
    for space in (storekeys.OPEN_JOBS, storekeys.ASSIGNMENTS):
        wait_for(
            lambda space=space: not site.store.list_keys(space),
            f'nothing is left of it under {space}',
        )
