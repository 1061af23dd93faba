"""Items that a process adopts, and jobs that end while they are read."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import msgspec
import pytest
from result import Ok

from tests.hosted.builders import make_open_job, make_settings
from wigeonpier.hosted.assignments import AssignmentFollower
from wigeonpier.hosted.common import DaemonContext
from wigeonpier.hosted.ledger import JobHead, StoredJob
from wigeonpier.models import Assignment, ItemProgress, JobItem
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Change

if TYPE_CHECKING:
    from wigeonpier.hosted.items import ItemWork

ITEMS = [JobItem(f'i{number}', '/p', {}, b'', 1) for number in range(3)]
KEY = storekeys.name_key(storekeys.ASSIGNMENTS, 'vm', 'j')


class SlowLedger:
    """Ledger whose reads are delayed, like those of a slow store."""

    store = None

    def __init__(self) -> None:
        """Start with the progress of one unfinished item."""
        self.done: list = []
        self.progress = {1: ItemProgress(('a', 'b'), '2', 1)}

    def read_items(self, _job) -> Ok:
        gevent.sleep(0.05)
        return Ok(ITEMS)

    def read_job(self, _job) -> Ok:
        gevent.sleep(0.05)
        return Ok(StoredJob(JobHead(make_open_job(), []), self.done, 1))

    def read_progress(self, _job) -> Ok:
        return Ok(self.progress)


class RecordingRunner:
    """Runner that records which items are added and dropped."""

    def __init__(self) -> None:
        """Start without items."""
        self.work: list[ItemWork] = []

    def add(self, work: ItemWork) -> bool:
        self.work.append(work)
        return True

    def drop_job(self, _job: str) -> None:
        self.work.clear()


def build_assignment_change(
    *, is_moved: bool, items=(), sent_at: float = 0, job: str = 'j'
) -> Change:
    """Build the change that assigns two of three items."""
    job = make_open_job(job, owners=('vm', 'vm', 'other'), sent_at=sent_at)
    assignment = Assignment(job, (0, 1), tuple(items), is_moved)
    return Change(KEY, msgspec.json.encode(assignment), 5, 5)


def build_follower() -> tuple[AssignmentFollower, RecordingRunner]:
    """Build a follower whose view is complete but not started."""
    runner = RecordingRunner()
    follower = AssignmentFollower(
        'vm',
        SlowLedger(),
        runner,
        DaemonContext(make_settings('side-0', '127.0.0.1:1')).view,
        lambda: None,
    )
    follower.view.is_complete = True
    return follower, runner


def test_items_of_a_job_that_ends_during_the_read_are_not_run() -> None:
    """The job ended between two reads, and its items ran for seconds."""
    follower, runner = build_follower()
    follower._apply(build_assignment_change(is_moved=True))
    gevent.sleep(0.02)
    follower._apply(Change(KEY, None, 6))
    gevent.sleep(0.2)
    assert not runner.work


def test_a_new_assignment_needs_no_store_call() -> None:
    follower, runner = build_follower()
    follower._apply(build_assignment_change(is_moved=False, items=ITEMS[:2]))
    assert [work.index for work in runner.work] == [0, 1]


def test_a_reassigned_item_resumes_after_its_saved_text() -> None:
    follower, runner = build_follower()
    follower._apply(build_assignment_change(is_moved=True))
    gevent.sleep(0.2)
    resumed = runner.work[1]
    assert (resumed.texts, resumed.last_event) == (['a', 'b'], '2')
    assert resumed.failures == 1


def test_an_undecodable_assignment_is_ignored() -> None:
    follower, runner = build_follower()
    follower._apply(Change(KEY, b'{}', 5, 5))
    assert not runner.work


@pytest.mark.parametrize('clock_offset', [600, 4000])
def test_no_item_is_abandoned_because_a_clock_is_ahead(clock_offset) -> None:
    """All items of a job were abandoned as soon as it was accepted."""
    follower, runner = build_follower()
    sent_at = time.time() - clock_offset
    follower._apply(
        build_assignment_change(
            is_moved=False, items=ITEMS[:2], sent_at=sent_at
        ),
    )
    follower._apply(
        build_assignment_change(
            is_moved=True, items=ITEMS[:2], sent_at=sent_at
        ),
    )
    gevent.sleep(0.2)
    retention = make_open_job().retention
    now = time.monotonic()
    assert len(runner.work) == 4
    assert min(work.attempt_until - now for work in runner.work) > retention - 1


def test_an_item_of_a_seemingly_old_job_is_attempted_for_a_while() -> None:
    """The clock of this VM has not been compared with others yet."""
    follower, runner = build_follower()
    sent_at = time.time() - 600
    follower._apply(build_assignment_change(is_moved=True, sent_at=sent_at))
    gevent.sleep(0.2)
    now = time.monotonic()
    assert min(work.attempt_until - now for work in runner.work) > 5
