"""Positions of results: they stay while writes are late or come twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from msgspec.json import encode
from result import Err, Ok

from tests.hosted.builders import make_open_job, wait_for
from wigeonpier.hosted.ledger import JobHead, JobLedger
from wigeonpier.models import ItemResult, ItemState
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Entry, Failure, Snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from tests.hosted.builders import HostedSite

JOB = 'j'
ITEMS = 6
LATE_SECONDS = 0.6
POLL_SECONDS = 0.05

Listed = list[tuple[str, str, str]]


def read(site: HostedSite, entry: int) -> Listed:
    """Read all results of the job."""
    page = site.read_results(JOB, entry=entry)
    assert page['next'] == len(page['results'])
    assert page['total'] == ITEMS
    return [
        (found['id'], found['state'], found['output'])
        for found in page['results']
    ]


def follow(site: HostedSite, count: int) -> Listed:
    """Read at both entries until there are results; none may move."""
    known: Listed = []
    while len(known) < count:
        for entry in (0, 1):
            listed = read(site, entry)
            shared = min(len(known), len(listed))
            assert listed[:shared] == known[:shared]
            known = max(known, listed, key=len)
        gevent.sleep(POLL_SECONDS)
    return known


def make_results(
    numbers: range, state: ItemState
) -> dict[tuple[str, int], ItemResult]:
    """Make results that another process has for the same items."""
    return {
        (JOB, number): ItemResult(f'{JOB}{number}', state, 'another text')
        for number in numbers
    }


def get_ledger(site: HostedSite) -> JobLedger:
    """Get the ledger of a process that runs none of the items."""
    return site.entries[0]._jobs._ledger


def lose_writes(site: HostedSite) -> None:
    """Execute two writes of results late, and lose other answers."""
    faults = site.store.faults
    faults.late_prefix = storekeys.name_prefix(storekeys.RESULTS, JOB)
    faults.late_seconds = LATE_SECONDS
    faults.late_writes = 2


def write_beside(site: HostedSite) -> None:
    """Give up items that are at their upstreams."""
    written = get_ledger(site).write_results(
        make_results(range(2), ItemState.abandoned)
    )
    assert isinstance(written, Ok)


def write_late_beside(site: HostedSite) -> None:
    """Give up items by a write that is executed once they have completed."""
    lose_writes(site)
    site.store.faults.late_writes = 1
    written = get_ledger(site).write_results(
        make_results(range(ITEMS), ItemState.abandoned)
    )
    assert written == Err(Failure.unknown)


@pytest.mark.parametrize(
    'trouble', [lose_writes, write_beside, write_late_beside]
)
def test_no_position_changes(
    site: HostedSite, trouble: Callable[[HostedSite], None]
) -> None:
    """An item would stand twice, or its first result would be replaced."""
    site.start(replicas=2, entries=2, event_seconds=0.1)
    assert site.submit_job(JOB, ITEMS).status == 202
    trouble(site)
    listed = follow(site, ITEMS)
    assert len({name for name, *_ in listed}) == ITEMS
    gevent.sleep(LATE_SECONDS)
    late = get_ledger(site).write_results(
        make_results(range(ITEMS), ItemState.abandoned)
    )
    assert late == Err(Failure.conflict)
    site.entries[1]._jobs._views._views.clear()
    assert read(site, 0) == read(site, 1) == listed
    wait_for(
        lambda: all(worker._writer.is_idle for worker in site.workers),
        'no worker writes results any more',
    )


class PagedStore:
    """Lists a job in pages while a result is written to the second page."""

    def list_prefix(self, _prefix: str) -> Result[Snapshot, Failure]:
        head = JobHead(make_open_job(JOB), ['a', 'b', 'c'])
        entries = (
            self._make_entry('0', make_results(range(1), ItemState.completed)),
            # Created after the first page was read, which would have item 1.
            self._make_entry(
                '2', make_results(range(2, 3), ItemState.completed), 9
            ),
            Entry(storekeys.name_head(JOB), encode(head), 1, 1),
        )
        return Ok(Snapshot(entries, 5))

    def _make_entry(
        self, name: str, results: dict[tuple[str, int], ItemResult], at: int = 3
    ) -> Entry:
        (found,) = results.values()
        key = storekeys.name_key(storekeys.RESULTS, JOB, name)
        return Entry(key, encode(found), at, at)


def test_a_result_that_is_newer_than_the_first_page_waits() -> None:
    """An older result that this page lacks would have moved it."""
    stored = JobLedger(PagedStore()).read_job(JOB)  # type: ignore[arg-type]
    assert [placed.index for placed in stored.unwrap().results] == [0]
    assert stored.unwrap().revision == 5
