"""Files, jobs and lines as they are stored and as callers see them."""

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
    """Status of a job, as in the published interface."""

    in_progress = 'in_progress'
    cancelling = 'cancelling'
    completed = 'completed'
    cancelled = 'cancelled'


class LineHead(msgspec.Struct):
    """The part of a line's body that is decoded at upload.

    :param model: model to run.
    """

    model: str = ''


class Line(msgspec.Struct):
    """One line of a batch input file.

    :param custom_id: the caller's id of the item, unique in the file.
    :param method: HTTP method.
    :param url: path, the same for all lines of the file.
    :param body: the request, passed on unchanged.
    :param idempotent: whether it may run more than once, the service's
        default if absent.
    """

    custom_id: CustomId
    url: str
    body: msgspec.Raw
    method: str = 'POST'
    idempotent: bool | None = None


class FileRecord(msgspec.Struct, kw_only=True):
    """An uploaded file.

    :param id: its id.
    :param customer: customer that owns it.
    :param filename: name given by the caller.
    :param purpose: its purpose in the published interface.
    :param bytes: its size in bytes.
    :param pages: number of lines of each page.
    :param copies: incarnations of the data folders that store all pages.
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
    :param customer: customer that owns it.
    :param file: the input file.
    :param pages: number of lines of each chunk.
    :param copies: incarnations of the data folders that store the input.
    :param url: path that its lines call.
    :param model: model that its lines run.
    :param service: service that runs them.
    :param idempotent: default for lines that do not specify it.
    :param window: completion window as given by the caller.
    :param created: seconds since the epoch.
    :param deadline: seconds since the epoch.
    :param status: its status.
    :param cancelling_at: when it was cancelled, seconds since the epoch, 0 if
        it was not.
    :param metadata: metadata given by the caller.
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
        """Return the number of items."""
        return sum(self.pages)


FINISHED_STATUSES = frozenset((JobStatus.completed, JobStatus.cancelled))


def make_finished_marker(job: Job) -> Job:
    """Build the small record that replaces a job once its results are stored.

    :param job: the job.
    :returns: the record, without pages, copies and metadata.
    """
    return msgspec.structs.replace(
        job,
        status=JobStatus.completed,
        pages=(),
        copies=(),
        metadata={},
    )


class DoneChunk(msgspec.Struct, array_like=True):
    """Location of the results of a chunk.

    :param index: position in the job.
    :param segment: the segment that has all of them.
    """

    index: int
    segment: Segment


class FinishedJob(msgspec.Struct, kw_only=True):
    """A job whose items all have a result; it does not change any more.

    :param job: the job as it was when it finished.
    :param chunks: chunks that ran; items of all others are cancelled.
    :param tally: totals of the results.
    :param finished: seconds since the epoch.
    """

    job: Job
    chunks: tuple[DoneChunk, ...]
    tally: Tally
    finished: int


class Resend(msgspec.Struct):
    """Record that maps resends of one request to the same job.

    :param job: id of the job.
    :param digest: digest of the complete request.
    :param created: seconds since the epoch.
    """

    job: str
    digest: str
    created: int


class BatchRequest(msgspec.Struct):
    """Body of a request for a new batch.

    :param input_file_id: id of the input file.
    :param endpoint: path that its lines call.
    :param completion_window: for example ``24h``.
    :param metadata: metadata given by the caller.
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
