"""Converts jobs and files to objects of the published interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpier.batch.claims import Tally, add_tallies
from wigeonpier.batch.models import (
    BatchPage,
    FilePage,
    FileRecord,
    FinishedJob,
    Job,
    RequestCounts,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.batch.claims import Claim

OUTPUT = 'file-output-'
ERRORS = 'file-errors-'


def show_job(job: Job, claims: Iterable[Claim]) -> BatchPage:
    """Convert a job that is not finished.

    :param job: the job.
    :param claims: claims of its chunks.
    :returns: the page; its counts cover the chunks that are done.
    """
    done = [claim.tally for claim in claims if claim.is_done]
    page = _make_page(job, add_tallies(done))
    page.cancelling_at = job.cancelling_at or None
    return page


def show_finished(finished: FinishedJob) -> BatchPage:
    """Convert a finished job.

    :param finished: the job with its results.
    :returns: the page.
    """
    job, tally = finished.job, finished.tally
    page = _make_page(job, tally)
    if job.cancelling_at:
        page.cancelling_at = job.cancelling_at
        page.cancelled_at = finished.finished
    else:
        page.completed_at = finished.finished
    if tally.succeeded:
        page.output_file_id = f'{OUTPUT}{job.id}'
    if job.items > tally.succeeded:
        page.error_file_id = f'{ERRORS}{job.id}'
    return page


def show_file(record: FileRecord) -> FilePage:
    """Convert an uploaded file.

    :param record: the file.
    :returns: the page.
    """
    return FilePage(
        id=record.id,
        bytes=record.bytes,
        created_at=record.created,
        filename=record.filename,
        purpose=record.purpose,
    )


def _make_page(job: Job, tally: Tally) -> BatchPage:
    return BatchPage(
        id=job.id,
        endpoint=job.url,
        input_file_id=job.file,
        completion_window=job.window,
        status=job.status,
        created_at=job.created,
        in_progress_at=job.created,
        expires_at=job.deadline,
        request_counts=RequestCounts(
            total=job.items,
            completed=tally.succeeded,
            failed=tally.items - tally.succeeded,
        ),
        metadata=job.metadata or None,
    )
