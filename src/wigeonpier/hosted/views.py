"""Caches the parts of jobs that an entry has read; they are immutable."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore
from result import Err, Ok, Result

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.models import ResultPage
from wigeonpier.platform.port import Failure
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.ledger import (
        JobHead,
        JobLedger,
        StoredJob,
    )
    from wigeonpier.hosted.resultrecords import PlacedResult
    from wigeonpier.models import ItemResult, JobItem

READ_TIMEOUT_SECONDS = 1.2
PAUSE_SECONDS = 0.15
RETRY_AFTER_SECONDS = 1.0
# Readers of one job within this time share one read of the store.  A result
# that any entry has returned must be readable at every entry a second later.
FRESH_SECONDS = 0.7
# A slow store answers within 0.3 s; a read that takes longer waits for results
# that do not exist yet.
SHARED_READ_SECONDS = 0.6
MAX_JOBS = 64
# A job whose removal from the board failed is removed at a later read.
CLOSE_PAUSE_SECONDS = 1.0
# One page of results holds at most 1 MB.
MAX_PAGE_BYTES = 900_000


@dataclass(slots=True)
class JobView:
    """The part of one job that has been read.

    :param head: its head.
    :param results: results by position.
    :param revision: revision up to which results were read.
    :param refreshed_at: when they were read, seconds of the monotonic clock.
    :param items: its items, read when a body is requested.
    :param is_closed: whether it is known to be removed from the board.
    :param close_not_before: when its removal may be tried again, seconds of the
        monotonic clock.
    :param lock: held while new results are read.
    """

    head: JobHead
    results: list[PlacedResult]
    revision: int
    refreshed_at: float
    items: list[JobItem] | None = None
    is_closed: bool = False
    close_not_before: float = 0
    lock: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    @property
    def name(self) -> str:
        """Id of the job."""
        return self.head.job.name

    def make_page(self, after: int) -> ResultPage:
        """Make a page of results.

        :param after: position of the first one.
        :returns: as many results as fit in one answer, at least one if there
            is any.
        """
        page: list[ItemResult] = []
        size = 0
        for placed in self.results[after:]:
            size += len(placed.result.output)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(placed.result)
        return ResultPage(len(self.head.names), tuple(page))

    @property
    def is_finished(self) -> bool:
        """Check whether each item has its result."""
        return len(self.results) >= len(self.head.names)


class JobViews:
    """Reads jobs and caches them."""

    def __init__(
        self,
        ledger: JobLedger,
        may_be_on_disk: Callable[[str], bool] | None,
    ) -> None:
        """Read from the ledger.

        :param ledger: jobs in the store.
        :param may_be_on_disk: checks whether disks may hold a job that the store
            lacks; ``None`` where the caller checks it.
        """
        self._ledger = ledger
        self._may_be_on_disk = may_be_on_disk
        self._views: dict[str, JobView] = {}

    def find(self, name: str) -> JobView:
        """Find a job.

        :param name: id of the job.
        :returns: its view.
        :raises Refusal: if there is none, or if the store cannot be read.
        """
        view = self._views.get(name)
        if view is None:
            view = self._load(name)
        self.close_finished(view)
        return view

    def has_results(self, name: str, known: int) -> bool:
        """Check whether more results are cached than a reader has.

        :param name: id of the job.
        :param known: number of results that the reader has.
        :returns: true if the reader can be answered from the cache.
        """
        view = self._views.get(name)
        return view is not None and len(view.results) > known

    def find_body(self, name: str, item: str) -> bytes | None:
        """Find the body of an item, by a read at a tenth of a call's price.

        :param name: id of the job.
        :param item: id of the item.
        :returns: its bytes, ``None`` where the job has no such item.
        :raises Refusal: if there is no such job, or if the store cannot be
            read.
        """
        listed = self._ledger.list_items(name)
        found = _pick_body(listed.unwrap_or([]), item)
        if found is not None:
            return found
        # A stale read may miss a recent write.
        return _pick_body(self.find_items(self.find(name)), item)

    def find_items(self, view: JobView) -> list[JobItem]:
        """Find the items of a job.

        :param view: the job.
        :returns: the items by position.
        """
        if view.items is None:
            read = self._ledger.read_items(view.head.job)
            if isinstance(read, Err):
                raise make_unreadable_refusal()
            view.items = read.ok_value
        return view.items

    def refresh(self, view: JobView, known: int, wait: float) -> None:
        """Read new results, by one call for all concurrent readers.

        :param view: the job.
        :param known: number of results that the reader has.
        :param wait: longest wait for more, seconds.
        :raises Refusal: if no new results are known and the store cannot be
            read.
        """
        has_new_results = len(view.results) > known
        # A concurrent reader adds results as they arrive.  Until its call has
        # been at the store for a while, the cached results may be outdated.
        timeout = 0 if has_new_results else max(wait, SHARED_READ_SECONDS)
        if not view.lock.acquire(timeout=timeout):
            return
        with ExitStack() as stack:
            stack.callback(view.lock.release)
            self._refresh_locked(view, known, wait)

    def close_finished(self, view: JobView) -> None:
        """Remove a job from the board once its last result was read.

        Readers do not wait for it.

        :param view: the job.
        """
        now = time.monotonic()
        is_due = view.is_finished and not view.is_closed
        if is_due and now >= view.close_not_before:
            view.close_not_before = now + CLOSE_PAUSE_SECONDS
            gevent.spawn(self._close, view)

    def read_new_results(self, view: JobView, wait: float) -> bool:
        """Read new results of a job.

        :param view: the job.
        :param wait: longest wait for one, seconds.
        :returns: false if the store could not be read.
        """
        read = self._read_results(view, wait)
        view.refreshed_at = time.monotonic()
        if isinstance(read, Err):
            return False
        view.results += read.ok_value[0]
        view.revision = read.ok_value[1]
        self.close_finished(view)
        return True

    def _load(self, name: str) -> JobView:
        read = self._read_job(name)
        if read is None and self._may_be_on_disk is not None:
            if self._may_be_on_disk(name):
                raise UnsureJobRefusal()
            # A disk may have handed it over before it was asked.
            read = self._read_job(name)
        if read is None:
            raise Refusal(ErrorKind.not_found, f'there is no job {name}')
        while len(self._views) >= MAX_JOBS:
            self._views.pop(next(iter(self._views)))
        view = JobView(
            read.head,
            read.results,
            read.revision,
            refreshed_at=time.monotonic(),
        )
        return self._views.setdefault(name, view)

    def _close(self, view: JobView) -> None:
        closed = self._ledger.close(view.name)
        if isinstance(closed, Err):
            return
        view.is_closed = True
        # Another process may have removed it.
        if closed.ok_value:
            log_event(Event.job_finished, job=view.name)

    def _refresh_locked(self, view: JobView, known: int, wait: float) -> None:
        has_new_results = len(view.results) > known
        age = time.monotonic() - view.refreshed_at
        is_enough = has_new_results or not wait
        if view.is_finished or (age < FRESH_SECONDS and is_enough):
            return
        is_certain = self.read_new_results(view, 0 if has_new_results else wait)
        # Cached results never change, and are returned without the store too.
        if not is_certain and not has_new_results:
            raise make_unreadable_refusal()

    def _read_results(
        self,
        view: JobView,
        wait: float,
    ) -> Result[tuple[list[PlacedResult], int], Failure]:
        answered = self._ledger.await_results(view.name, view.revision, wait)
        if isinstance(answered, Ok):
            return answered
        # The history since that revision may be compacted.
        read = self._ledger.read_job(view.name)
        if isinstance(read, Err):
            return read
        if read.ok_value is None:
            return Err(Failure.unavailable)
        view.results.clear()
        return Ok((read.ok_value.results, read.ok_value.revision))

    def _read_job(self, name: str) -> StoredJob | None:
        deadline = time.monotonic() + READ_TIMEOUT_SECONDS
        while True:
            read = self._ledger.read_job(name)
            if isinstance(read, Ok):
                return read.ok_value
            if time.monotonic() > deadline:
                raise make_unreadable_refusal()
            gevent.sleep(PAUSE_SECONDS)


def _pick_body(items: list[JobItem], wanted: str) -> bytes | None:
    bodies = (item.body for item in items if item.name == wanted)
    return next(bodies, None)


class UnsureJobRefusal(Refusal):
    """The store lacks a job, but a disk may have it."""

    def __init__(self) -> None:
        """Refuse the call until the disks have answered."""
        super().__init__(
            ErrorKind.platform_down,
            'a disk that does not answer may have the job',
            retry_seconds=RETRY_AFTER_SECONDS,
        )


def make_unreadable_refusal() -> Refusal:
    """Make the refusal for reads while the store is unreachable.

    :returns: the refusal.
    """
    return Refusal(
        ErrorKind.platform_down,
        'the job cannot be read now',
        retry_seconds=RETRY_AFTER_SECONDS,
    )
