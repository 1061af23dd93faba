"""Accepts jobs in the store, or on disks while the store is unreachable."""

from __future__ import annotations

import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import gevent
from result import Err, Ok

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.acceptattempt import (
    RETRY_AFTER_SECONDS,
    AcceptAttempt,
    make_unsure_refusal,
)
from wigeonpier.models import OpenJob
from wigeonpier.platform.port import Failure
from wigeonpier.policy.matching import choose_service
from wigeonpier.policy.placement import UNASSIGNED
from wigeonpier.policy.quota import may_accept_unchecked
from wigeonpier.web.exchange import watch_close
from wigeonpier.web.messages import make_identity

if TYPE_CHECKING:
    import random

    from result import Result

    from wigeonpier.hosted.backlogs import WorkerBacklogs
    from wigeonpier.hosted.board import Board
    from wigeonpier.hosted.holder import DiskCopies, DiskJobWriter
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.reach import IsolationDetector
    from wigeonpier.hosted.views import JobViews
    from wigeonpier.models import JobItem
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
# Pauses between fences grow to this: a store that rejects calls with 429
# charges for each of them.
MAX_FENCE_PAUSE_SECONDS = 0.6
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

    def accept(
        self, job: SubmittedJob, connection: Any = None
    ) -> AcceptOutcome:
        """Store a job.

        :param job: the job.
        :param connection: the caller's connection; the attempt ends with it.
        :returns: where it is kept.
        :raises Refusal: if the job is not known to be kept; the kind says
            whether it may be.
        """
        attempt = AcceptAttempt(job, make_identity(), time.monotonic())
        with ExitStack() as stack:
            if connection is not None:
                watcher = watch_close(connection, attempt.abandon)
                stack.callback(watcher.kill, block=False)
            return self._accept_or_refuse(attempt)

    def _accept_or_refuse(self, attempt: AcceptAttempt) -> AcceptOutcome:
        try:
            return self._accept(attempt)
        except Refusal as refusal:
            is_open = attempt.may_be_kept or attempt.has_board
            if is_open and not attempt.is_abandoned:
                return self._settle(attempt, refusal)
            final = refusal
            # A caller that has ended its side of the connection still reads.
            copies = self._disk_job_writer.find_copies(attempt.job.name)
            if attempt.is_abandoned or _may_be_accepted(copies, refusal):
                final = make_unsure_refusal()
            attempt.log_refusal(final)
            raise final from None

    def _accept(self, attempt: AcceptAttempt) -> AcceptOutcome:
        store_timeout = STORE_TIMEOUT_SECONDS
        while True:
            attempted_at = time.monotonic()
            outcome = self._try_store(attempt, store_timeout)
            if not isinstance(outcome, Failure):
                return outcome
            if self._disk_job_writer.was_accepted(attempt.job.name):
                return AcceptOutcome.stood
            attempt.may_be_kept |= outcome is Failure.unknown
            # Copies name no fence, so none are sent once it has changed.
            if outcome is not Failure.conflict and self._try_disks(attempt):
                return AcceptOutcome.disks
            timeout = self._choose_timeout(may_be_kept=attempt.may_be_kept)
            if time.monotonic() - attempt.started_at > timeout:
                raise _make_unkept_refusal()
            store_timeout = SLOW_STORE_TIMEOUT_SECONDS
            attempt_seconds = time.monotonic() - attempted_at
            gevent.sleep(max(0, RETRY_PAUSE_SECONDS - attempt_seconds))

    def _settle(
        self, attempt: AcceptAttempt, refusal: Refusal
    ) -> AcceptOutcome:
        """Make a refusal true although the job may still be kept.

        Another entry may have lost a write of the job, so the fence is written
        also if this one has sent none.

        :returns: ``stood`` if the job turns out to be kept.
        :raises Refusal: the given one once no write of the attempt can take
            effect any more, else one that promises nothing.
        """
        deadline = attempt.started_at + self._choose_timeout(
            may_be_kept=attempt.may_be_kept
        )
        timeout = STORE_TIMEOUT_SECONDS
        pause = RETRY_PAUSE_SECONDS
        # Before the fence: a disk that has handed the job over by now makes it
        # conflict.
        copies = self._disk_job_writer.find_copies(attempt.job.name)
        while True:
            tried_at = time.monotonic()
            accepted = self._fence(attempt, timeout)
            if accepted == Ok(True):
                return AcceptOutcome.stood
            is_over = attempt.is_abandoned or time.monotonic() > deadline
            if isinstance(accepted, Ok) or is_over:
                break
            timeout = SLOW_STORE_TIMEOUT_SECONDS
            next_at = min(tried_at + pause, deadline)
            gevent.sleep(max(0, next_at - time.monotonic()))
            pause = _choose_fence_pause(pause, accepted.err_value)
        is_fenced = isinstance(accepted, Ok) and copies.attempts <= {
            attempt.name,
            *attempt.fence.attempts,
        }
        if not is_fenced or _may_be_silent(copies, refusal):
            refusal = make_unsure_refusal()
        attempt.log_refusal(refusal, is_fenced=is_fenced)
        raise refusal

    def _fence(
        self, attempt: AcceptAttempt, timeout: float
    ) -> Result[bool, Failure]:
        """Fence off the writes of an attempt, unless the job was accepted.

        :returns: whether it was accepted; a failure if neither is known.
        """
        fences = self._ledger.fences
        name = attempt.job.name
        stored_as = attempt.name if attempt.may_be_kept else ''
        written = fences.write(name, attempt.fence, stored_as, timeout)
        if isinstance(written, Ok):
            return Ok(False)
        if written.err_value is not Failure.conflict:
            return written
        accepted = fences.is_accepted(name)
        if accepted != Ok(False):
            return accepted
        # The fence is another one than the writes have named: that of another
        # attempt, or of this one if the answer to its write was lost.
        read = fences.read(name)
        attempt.fence = read.unwrap_or(attempt.fence)
        is_fenced = attempt.name in attempt.fence.attempts
        return Ok(False) if is_fenced else Err(Failure.conflict)

    def _choose_timeout(self, *, may_be_kept: bool) -> float:
        if may_be_kept:
            return UNCERTAIN_TIMEOUT_SECONDS
        return (
            0
            if self._isolation_detector.is_isolated
            else ACCEPT_TIMEOUT_SECONDS
        )

    def _try_store(
        self, attempt: AcceptAttempt, timeout: float
    ) -> AcceptOutcome | Failure:
        job = attempt.job
        read = self._ledger.read_board(timeout)
        if isinstance(read, Err):
            return read.err_value
        board = read.ok_value
        self._disk_job_writer.record_board(board)
        self._disk_tokens.clear()
        if job.name in board.jobs:
            return AcceptOutcome.stood
        attempt.record_fence(board.get_fence(job.name))
        if not self._has_room(board, job):
            # The fence shows whether the job was accepted before.
            raise _make_full_refusal()
        open_job = self._make_open_job(job)
        owners = self._backlogs.choose_owners(board, open_job)
        open_job = replace(open_job, owners=owners)
        attempt.check_caller()
        created = self._ledger.create(
            open_job, job.items, timeout, attempt.fence
        )
        if created == Err(Failure.conflict):
            return self._find_existing(job)
        if created == Err(Failure.rejected):
            raise make_too_large_refusal('it exceeds a limit of the store')
        return (
            created.err_value
            if isinstance(created, Err)
            else AcceptOutcome.store
        )

    def _find_existing(self, job: SubmittedJob) -> AcceptOutcome | Failure:
        """Check whether a job that cannot be written was accepted before.

        :returns: ``conflict`` if it was not: the fence of the job has changed.
        """
        accepted = self._ledger.fences.is_accepted(job.name)
        if isinstance(accepted, Err):
            return accepted.err_value
        return AcceptOutcome.stood if accepted.ok_value else Failure.conflict

    def _try_disks(self, attempt: AcceptAttempt) -> bool:
        """Store a job on the disks since the store does not accept it now."""
        job = attempt.job
        waiting = _sum_tokens(self._disk_job_writer.board, job)
        if not may_accept_unchecked(
            waiting,
            self._disk_tokens[job.account],
            job.tokens,
            job.route.most_tokens,
        ):
            return False
        attempt.check_caller()
        disk_write = self._disk_job_writer.store_on_disks(
            self._make_open_job(job), job.items, attempt.name
        )
        attempt.may_be_kept |= disk_write.may_be_kept
        is_kept = disk_write.copies >= self._disk_job_writer.copies_needed
        if is_kept:
            self._disk_tokens[job.account] += job.tokens
        return is_kept

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


def _may_be_accepted(copies: DiskCopies, refusal: Refusal) -> bool:
    """Decide whether a refused job may have been accepted onto disks."""
    return bool(copies.attempts) or _may_be_silent(copies, refusal)


def _may_be_silent(copies: DiskCopies, refusal: Refusal) -> bool:
    """Decide whether a silent disk may have a job that is over a limit.

    It may have been accepted before, and then nothing of it is over the limit.
    """
    return not copies.is_certain and refusal.kind is ErrorKind.limit_reached


def _choose_fence_pause(last: float, failure: Failure) -> float:
    """Choose the pause before the next fence, seconds."""
    if failure is Failure.conflict:
        return last
    return min(2 * last, MAX_FENCE_PAUSE_SECONDS)


def _sum_tokens(board: Board, job: SubmittedJob) -> int:
    """Sum the tokens of the customer's open jobs on the route."""
    return sum(
        other.tokens
        for other in board.jobs.values()
        if (other.route, other.customer) == job.account
    )


def _make_unkept_refusal() -> Refusal:
    return Refusal(
        ErrorKind.platform_down,
        'the job cannot be kept now',
        retry_seconds=RETRY_AFTER_SECONDS,
    )


def _make_full_refusal() -> Refusal:
    return Refusal(
        ErrorKind.limit_reached,
        'too many tokens wait on the route',
        retry_seconds=RETRY_AFTER_SECONDS,
    )


def make_too_large_refusal(excess: str) -> Refusal:
    """Make the refusal of a job that the store can never keep.

    :param excess: what exceeds which limit.
    :returns: the refusal.
    """
    return Refusal(
        ErrorKind.body_too_large, f'the job cannot be kept: {excess}'
    )
