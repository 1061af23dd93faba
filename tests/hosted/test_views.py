"""Shared reads of one job, and results that a reader must not miss."""

from __future__ import annotations

import gevent
import pytest
from result import Err, Ok

from tests.hosted.builders import make_open_job, wait_for
from wigeonpier.errors import Refusal
from wigeonpier.hosted.ledger import JobHead, StoredJob
from wigeonpier.hosted.resultrecords import PlacedResult
from wigeonpier.hosted.views import JobViews
from wigeonpier.models import ItemResult, ItemState
from wigeonpier.platform.port import Failure

HEAD = JobHead(make_open_job(), ['a', 'b', 'c'])


def build_result(index: int) -> PlacedResult:
    """Make a result."""
    found = ItemResult(HEAD.names[index], ItemState.completed, 'text')
    return PlacedResult(index + 1, index, found)


class StandInLedger:
    """Stores results, and answers after a set delay."""

    def __init__(self) -> None:
        """Start without results."""
        self.results: list[PlacedResult] = []
        self.delay = 0.0
        self.looks = 0
        self.is_away = False
        self.closes = 0
        self.can_close = True

    def read_job(self, name: str) -> Ok | Err:
        self.looks += 1
        gevent.sleep(self.delay)
        if self.is_away:
            return Err(Failure.unavailable)
        if name != 'j':
            return Ok(None)
        return Ok(StoredJob(HEAD, list(self.results), len(self.results) + 1))

    def await_results(self, _job, revision: int, wait: float) -> Ok | Err:
        self.looks += 1
        gevent.sleep(self.delay)
        if self.is_away:
            return Err(Failure.unavailable)
        fresh = self.results[revision - 1 :]
        if not fresh:
            gevent.sleep(wait)
            fresh = self.results[revision - 1 :]
        return Ok((list(fresh), len(self.results) + 1))

    def close(self, _job) -> Ok | Err:
        self.closes += 1
        return Ok(1) if self.can_close else Err(Failure.unavailable)


@pytest.fixture
def ledger() -> StandInLedger:
    """Make a ledger."""
    return StandInLedger()


@pytest.fixture
def views(ledger: StandInLedger) -> JobViews:
    """Make views of it."""
    return JobViews(ledger, lambda name: name == 'held')


def test_reader_during_read_gets_no_outdated_results(views, ledger) -> None:
    """A reader beside a running read got the cached results only.

    Another reader already had more results.
    """
    view = views.find('j')
    views.refresh(view, 0, 0)
    view.refreshed_at -= 9
    ledger.results = [build_result(0), build_result(1)]
    ledger.delay = 0.1
    first = gevent.spawn(views.refresh, view, 0, 1.0)
    gevent.sleep(0.02)
    views.refresh(view, 0, 0)
    assert len(view.results) == 2
    first.get()


def test_reader_without_wait_is_not_blocked_by_waiting_one(
    views, ledger
) -> None:
    view = views.find('j')
    views.refresh(view, 0, 0)
    waiting = gevent.spawn(views.refresh, view, 0, 5.0)
    gevent.sleep(0.02)
    with gevent.Timeout(1):
        views.refresh(view, 0, 0)
    waiting.kill()


def test_readers_share_one_read(views, ledger) -> None:
    view = views.find('j')
    for _reader in range(5):
        views.refresh(view, 0, 0)
    assert ledger.looks == 1


def test_reader_from_start_gets_later_results(views, ledger) -> None:
    ledger.results = [build_result(0)]
    view = views.find('j')
    views.refresh(view, 0, 0)
    ledger.results.append(build_result(1))
    view.refreshed_at -= 9
    views.refresh(view, 0, 0)
    assert len(view.results) == 2


def test_results_stay_readable_while_store_is_down(views, ledger) -> None:
    ledger.results = [build_result(0)]
    view = views.find('j')
    views.refresh(view, 0, 0)
    ledger.is_away = True
    view.refreshed_at -= 9
    views.refresh(view, 0, 0)
    assert len(view.results) == 1
    view.refreshed_at -= 9
    with pytest.raises(Refusal) as refused:
        views.refresh(view, 1, 0)
    assert refused.value.status == 503


def test_job_that_may_be_on_disk_is_not_reported_missing(views) -> None:
    for name, status in (('held', 503), ('none', 404)):
        with pytest.raises(Refusal) as refused:
            views.find(name)
        assert refused.value.status == status


def test_new_reader_gets_all_results_by_one_call(views, ledger) -> None:
    """Readers use many entries; each needed two calls to read a job."""
    ledger.results = [build_result(0)]
    view = views.find('j')
    views.refresh(view, 0, 1.0)
    assert len(view.results) == 1
    assert ledger.looks == 1


def test_a_job_leaves_the_board_at_a_later_read_if_the_store_was_down(
    views, ledger
) -> None:
    """Its removal was tried only once, when the last result was read."""
    view = views.find('j')
    ledger.results = [build_result(index) for index in range(3)]
    ledger.can_close = False
    views.read_new_results(view, 0)
    gevent.sleep(0.01)
    ledger.can_close = True
    wait_for(lambda: views.find('j').is_closed, 'the job left the board')
    assert ledger.closes == 2


def test_reads_of_a_finished_job_do_not_press_a_store_that_is_down(
    views, ledger
) -> None:
    ledger.results = [build_result(index) for index in range(3)]
    ledger.can_close = False
    for _reader in range(20):
        views.find('j')
        gevent.sleep(0.001)
    assert ledger.closes == 1
