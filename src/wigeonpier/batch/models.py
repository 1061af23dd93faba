"""Files, jobs and lines as they are kept and as callers see them."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any

import msgspec

from wigeonpier.batch.claims import Segment, Tally

MAX_ID_LENGTH = 512
CustomId = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_LENGTH)]
CHAT_PATH = '/v1/chat/completions'
TEXT_PATH = '/v1/completions'


class JobStatus(StrEnum):
    """Where a job stands, in the words of the published interface."""

    in_progress = 'in_progress'
    cancelling = 'cancelling'
    completed = 'completed'
    cancelled = 'cancelled'


class LineHead(msgspec.Struct):
    """What is read of a line's body.

    :param model: model to run.
    """

    model: str = ''


class Line(msgspec.Struct):
    """One line of a batch input file.

    :param custom_id: the caller's id of the item, one of its kind a file.
    :param method: HTTP method.
    :param url: path, the same one in the whole file.
    :param body: the request, passed on as it is.
    :param idempotent: whether it may run more than once, the service's
        default where it is absent.
    """

    custom_id: CustomId
    url: str
    body: msgspec.Raw
    method: str = 'POST'
    idempotent: bool | None = None


class FileRecord(msgspec.Struct, kw_only=True):
    """An uploaded file.

    :param id: its id.
    :param customer: whose it is.
    :param filename: name that the caller gave.
    :param purpose: what it is for.
    :param bytes: its size.
    :param pages: lines of each page.
    :param copies: data folders that hold all pages.
    :param digest: digest of its content.
    :param url: path that its lines call.
    :param model: model that its lines run, empty for a plain service.
    :param created: seconds since the epoch.
    """

    id: str
    customer: str
    filename: str
    purpose: str
    bytes: int
    pages: tuple[int, ...]
    copies: tuple[str, ...]
    digest: str
    url: str
    model: str
    created: int


class Job(msgspec.Struct, kw_only=True):
    """An accepted batch job that is not finished.

    :param id: its id.
    :param customer: whose it is.
    :param file: the input file.
    :param pages: lines of each chunk.
    :param copies: data folders that hold the input.
    :param url: path that its lines call.
    :param model: model that its lines run.
    :param service: service that runs them.
    :param idempotent: default for lines that do not say.
    :param window: completion window as the caller gave it.
    :param created: seconds since the epoch.
    :param deadline: seconds since the epoch.
    :param status: where it stands.
    :param cancelling_at: when it was cancelled, 0 where it was not.
    :param metadata: the caller's own.
    """

    id: str
    customer: str
    file: str
    pages: tuple[int, ...]
    copies: tuple[str, ...]
    url: str
    model: str
    service: str
    idempotent: bool
    window: str
    created: int
    deadline: int
    status: JobStatus = JobStatus.in_progress
    cancelling_at: int = 0
    metadata: dict[str, str] = {}

    @property
    def items(self) -> int:
        """Count the items."""
        return sum(self.pages)


ENDED = frozenset((JobStatus.completed, JobStatus.cancelled))


def mark_ended(job: Job) -> Job:
    """Make the small mark that stays of a job whose results are kept.

    :param job: the job.
    :returns: its mark, without pages and copies.
    """
    return msgspec.structs.replace(
        job,
        status=JobStatus.completed,
        pages=(),
        copies=(),
        metadata={},
    )


class DoneChunk(msgspec.Struct, array_like=True):
    """Where the results of a chunk are.

    :param index: position in the job.
    :param segment: the one segment that has all of them.
    """

    index: int
    segment: Segment


class FinishedJob(msgspec.Struct, kw_only=True):
    """A job of which each item has its result; it does not change.

    :param job: the job as it was.
    :param chunks: chunks that ran; items of all others are cancelled.
    :param tally: what the results add up to.
    :param finished: seconds since the epoch.
    """

    job: Job
    chunks: tuple[DoneChunk, ...]
    tally: Tally
    finished: int


class Resend(msgspec.Struct):
    """What joins resends of one job.

    :param job: id of the job.
    :param digest: digest of the whole request.
    :param created: seconds since the epoch.
    """

    job: str
    digest: str
    created: int


class BatchRequest(msgspec.Struct):
    """Body of a request for a new batch.

    :param input_file_id: file of lines.
    :param endpoint: path that its lines call.
    :param completion_window: for example ``24h``.
    :param metadata: the caller's own.
    """

    input_file_id: str
    endpoint: str
    completion_window: Annotated[
        str,
        msgspec.Meta(pattern='^[1-9][0-9]{0,3}[mhd]$'),
    ] = '24h'
    metadata: dict[str, str] | None = None


class RequestCounts(msgspec.Struct):
    """Progress of a batch."""

    total: int
    completed: int
    failed: int


class BatchPage(msgspec.Struct, kw_only=True):
    """A batch as the published interface shows it."""

    id: str
    endpoint: str
    input_file_id: str
    completion_window: str
    status: JobStatus
    created_at: int
    expires_at: int
    request_counts: RequestCounts
    object: str = 'batch'
    in_progress_at: int | None = None
    completed_at: int | None = None
    cancelling_at: int | None = None
    cancelled_at: int | None = None
    output_file_id: str | None = None
    error_file_id: str | None = None
    metadata: dict[str, str] | None = None
    errors: Any = None


class FilePage(msgspec.Struct, kw_only=True):
    """A file as the published interface shows it."""

    id: str
    bytes: int
    created_at: int
    filename: str
    purpose: str
    object: str = 'file'
    status: str = 'processed'


class ListPage(msgspec.Struct):
    """A list as the published interface shows it."""

    data: list[Any]
    has_more: bool = False
    first_id: str | None = None
    last_id: str | None = None
    object: str = 'list'
