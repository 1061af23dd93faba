"""One attempt of a caller to have a job accepted."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.hosted.jobfences import NO_FENCE
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.hosted.acceptance import SubmittedJob
    from wigeonpier.models import JobFence

RETRY_AFTER_SECONDS = 1.0
# Only an attempt whose process was paused lasts longer.  Its caller has gone to
# another entry, whose fence may have expired before a later write.
MAX_ATTEMPT_SECONDS = 6.0


@dataclass(slots=True)
class AcceptAttempt:
    """One attempt to accept a job.

    :param job: the job.
    :param name: id of the attempt, which disks store with the job.
    :param started_at: when it began, seconds of the monotonic clock.
    :param fence: fence that its last write has named.
    :param may_be_kept: whether a write without an answer, or a copy on a disk,
        may still put the job on the board.
    :param has_board: whether the store has answered; then the attempt can be
        fenced, also against writes that another entry has lost.
    :param is_abandoned: whether the caller has disconnected; it may be at
        another entry by now.
    """

    job: SubmittedJob
    name: str
    started_at: float
    fence: JobFence = NO_FENCE
    may_be_kept: bool = False
    has_board: bool = False
    is_abandoned: bool = False

    def abandon(self) -> None:
        """Send no more writes; the caller has disconnected."""
        self.is_abandoned = True

    def check_caller(self) -> None:
        """Check that the caller may still wait before a write is sent.

        :raises Refusal: if it has disconnected, or the attempt is too old.
        """
        age = time.monotonic() - self.started_at
        if age > MAX_ATTEMPT_SECONDS:
            self.abandon()
        if self.is_abandoned:
            raise make_unsure_refusal()

    def record_fence(self, fence: JobFence) -> None:
        """Record the fence that the next write has to name.

        :param fence: the fence as read just now.
        :raises Refusal: if the job was refused or ended since the attempt began:
            the caller was elsewhere, and its answer there must stay true.
        """
        is_newer = self.has_board and fence.revision > self.fence.revision
        self.has_board = True
        self.fence = fence
        if is_newer:
            raise make_superseded_refusal()

    def log_refusal(self, refusal: Refusal, *, is_fenced: bool = False) -> None:
        """Log that the attempt ends without an accepted job.

        :param refusal: the answer.
        :param is_fenced: whether no write of the job can take effect any more.
        """
        log_event(
            Event.job_refused,
            job=self.job.name,
            attempt=self.name,
            kind=refusal.kind.value,
            may_stand=refusal.ran is Ran.unknown,
            is_fenced=is_fenced,
            tokens=self.job.tokens,
            most_tokens=self.job.route.most_tokens,
        )


def make_unsure_refusal() -> Refusal:
    """Make the answer of an attempt whose outcome is not known.

    :returns: the refusal, which promises nothing.
    """
    return Refusal(
        ErrorKind.upstream_lost,
        'it is not known whether the job is kept',
        ran=Ran.unknown,
    )


def make_superseded_refusal() -> Refusal:
    """Make the answer of an attempt after another answer about the job.

    :returns: the refusal.
    """
    return Refusal(
        ErrorKind.overloaded,
        'the job was refused or ended meanwhile',
        retry_seconds=RETRY_AFTER_SECONDS,
    )
