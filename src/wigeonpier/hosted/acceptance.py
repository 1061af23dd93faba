"""Accepts jobs in the store, or on disks while the store is unreachable."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.hosted.holder import DiskWrite
from wigeonpier.models import OpenJob
from wigeonpier.platform.port import Failure
from wigeonpier.policy.matching import choose_service
from wigeonpier.policy.placement import UNASSIGNED
from wigeonpier.policy.quota import may_accept_unchecked
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.backlogs import WorkerBacklogs
    from wigeonpier.hosted.board import Board
    from wigeonpier.hosted.holder import DiskJobWriter
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.reach import IsolationDetector
    from wigeonpier.hosted.views import JobViews
    from wigeonpier.models import (
        JobItem,
    )
    from wigeonpier.served import (
        ServedRoute,
    )

# A caller waits 4 s for an answer and retries once; half of that leaves time
# for that attempt.
ACCEPT_TIMEOUT_SECONDS = 2.0
# A write with an unknown outcome is retried for longer, since an early
# failure answer could be wrong.
UNCERTAIN_TIMEOUT_SECONDS = 3.4
RETRY_PAUSE_SECONDS = 0.15
RETRY_AFTER_SECONDS = 1.0
# The store usually answers in 4 ms.  After this time-out the disks are tried,
# so that the caller gets its answer within 0.4 s.
STORE_TIMEOUT_SECONDS = 0.12
# Where too few disks confirm a job, only the store can keep it.  A slow store
# answers within 0.3 s; with the short time-out, jobs were accepted 1.1 to 2.9 s
# after their submission while each call took 0.15 s.
SLOW_STORE_TIMEOUT_SECONDS = 0.5


class AcceptOutcome(StrEnum):
    """Where an accepted job is kept; ``stood`` if it was accepted before."""

    store = 'store'
    stood = 'stood'
    disks = 'disks'


@dataclass(frozen=True, slots=True)
class SubmittedJob:
    """A job as submitted by a caller.

    :param name: id of the job.
    :param host: host of the caller's request.
    :param route: route of the job.
    :param items: items of the job.
    :param customer: owner of the job, empty where no key is required.
    :param priority: rank of its items, 0 is the highest.
    """

    name: str
    host: str
    route: ServedRoute
    items: list[JobItem]
    customer: str = ''
    priority: int = 0

    @property
    def tokens(self) -> int:
        """Sum the tokens of all items."""
        return sum(item.tokens for item in self.items)

    @property
    def account(self) -> tuple[str, str]:
        """Return the route and customer whose token limit applies."""
        return (self.route.name, self.customer)


class JobAcceptor:
    """Accepts each job once, even if it is submitted repeatedly."""

    def __init__(
        self,
        ledger: JobLedger,
        views: JobViews,
        disk_job_writer: DiskJobWriter,
        isolation_detector: IsolationDetector,
        rng: random.Random,
        backlogs: WorkerBacklogs,
    ) -> None:
        """Accept jobs into the ledger, or onto disks."""
        self._backlogs = backlogs
        self._isolation_detector = isolation_detector
        self._ledger = ledger
        self._views = views
        self._disk_job_writer = disk_job_writer
        self._rng = rng
        # Tokens of jobs stored on disks since the board was last read.
        self._disk_tokens: Counter[tuple[str, str]] = Counter()

    def accept(self, job: SubmittedJob) -> AcceptOutcome:
        """Store a job.

        :param job: the job.
        :returns: where it is kept.
        :raises Refusal: if the job is not known to be kept; the kind says
            whether it may be.
        """
        started_at = time.monotonic()
        may_be_kept = False
        store_timeout = STORE_TIMEOUT_SECONDS
        while True:
            attempted_at = time.monotonic()
            outcome = self._try_store(job, store_timeout)
            if not isinstance(outcome, Failure):
                return outcome
            disk_write = self._try_disks(job)
            if disk_write.copies >= self._disk_job_writer.copies_needed:
                return AcceptOutcome.disks
            may_be_kept |= disk_write.may_be_kept or outcome is Failure.unknown
            timeout = self._choose_timeout(may_be_kept=may_be_kept)
            if time.monotonic() - started_at > timeout:
                raise _make_uncertain_refusal(job, may_be_kept=may_be_kept)
            store_timeout = SLOW_STORE_TIMEOUT_SECONDS
            attempt_seconds = time.monotonic() - attempted_at
            gevent.sleep(max(0, RETRY_PAUSE_SECONDS - attempt_seconds))

    def _choose_timeout(self, *, may_be_kept: bool) -> float:
        if may_be_kept:
            return UNCERTAIN_TIMEOUT_SECONDS
        return (
            0
            if self._isolation_detector.is_isolated
            else ACCEPT_TIMEOUT_SECONDS
        )

    def _try_store(
        self, job: SubmittedJob, timeout: float
    ) -> AcceptOutcome | Failure:
        read = self._ledger.read_board(timeout)
        if isinstance(read, Err):
            return read.err_value
        board = read.ok_value
        self._disk_job_writer.record_board(board)
        self._disk_tokens.clear()
        if job.name in board.jobs:
            return AcceptOutcome.stood
        if not self._has_room(board, job):
            return self._find_existing(job)
        open_job = self._make_open_job(job)
        owners = self._backlogs.choose_owners(board, open_job)
        open_job = replace(open_job, owners=owners)
        created = self._ledger.create(open_job, job.items, timeout)
        if created == Err(Failure.conflict):
            return AcceptOutcome.stood
        return (
            created.err_value
            if isinstance(created, Err)
            else AcceptOutcome.store
        )

    def _find_existing(self, job: SubmittedJob) -> AcceptOutcome | Failure:
        """Distinguish a resubmitted job from one over the token limit."""
        found = self._ledger.read_head(job.name)
        if isinstance(found, Err):
            return found.err_value
        if found.ok_value is None:
            raise _make_full_refusal(job)
        return AcceptOutcome.stood

    def _try_disks(self, job: SubmittedJob) -> DiskWrite:
        """Store a job on the disks since the store does not accept it now."""
        waiting = _sum_tokens(self._disk_job_writer.board, job)
        if not may_accept_unchecked(
            waiting,
            self._disk_tokens[job.account],
            job.tokens,
            job.route.most_tokens,
        ):
            return DiskWrite()
        disk_write = self._disk_job_writer.store_on_disks(
            self._make_open_job(job), job.items
        )
        if disk_write.copies >= self._disk_job_writer.copies_needed:
            self._disk_tokens[job.account] += job.tokens
        return disk_write

    def _make_open_job(self, job: SubmittedJob) -> OpenJob:
        return OpenJob(
            name=job.name,
            route=job.route.name,
            host=job.host,
            service=choose_service(job.route, self._rng),
            sent_at=time.time(),
            run_objective=job.route.run_objective,
            retention=job.route.retention,
            tries=job.route.tries,
            tokens=job.tokens,
            owners=(UNASSIGNED,) * len(job.items),
            customer=job.customer,
            priority=job.priority,
        )

    def _has_room(self, board: Board, job: SubmittedJob) -> bool:
        limit = job.route.most_tokens
        if not limit:
            return True
        # The board counts completed items until their whole job is done.  The
        # results of single jobs are read only if the new job would not fit.
        waiting = _sum_tokens(board, job) + job.tokens
        for other in board.jobs.values():
            if waiting <= limit:
                break
            if (other.route, other.customer) == job.account:
                waiting -= self._count_done_tokens(other)
        return waiting <= limit

    def _count_done_tokens(self, job: OpenJob) -> int:
        view = self._views.find(job.name)
        self._views.refresh(view, len(view.results), 0)
        items = self._views.find_items(view)
        return sum(items[placed.index].tokens for placed in view.results)


def _sum_tokens(board: Board, job: SubmittedJob) -> int:
    """Sum the tokens of the customer's open jobs on the route."""
    return sum(
        other.tokens
        for other in board.jobs.values()
        if (other.route, other.customer) == job.account
    )


def _make_uncertain_refusal(job: SubmittedJob, *, may_be_kept: bool) -> Refusal:
    log_event(Event.job_refused, job=job.name, may_stand=may_be_kept)
    if may_be_kept:
        return Refusal(
            ErrorKind.upstream_lost,
            'it is not known whether the job is kept',
            ran=Ran.unknown,
        )
    return Refusal(
        ErrorKind.platform_down,
        'the job cannot be kept now',
        retry_seconds=RETRY_AFTER_SECONDS,
    )


def _make_full_refusal(job: SubmittedJob) -> Refusal:
    log_event(
        Event.job_refused,
        job=job.name,
        tokens=job.tokens,
        most_tokens=job.route.most_tokens,
    )
    return Refusal(
        ErrorKind.limit_reached,
        'too many tokens wait on the route',
        retry_seconds=RETRY_AFTER_SECONDS,
    )
