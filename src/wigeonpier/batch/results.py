"""Reads the results of a finished job as lines, chunk by chunk."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from wigeonpier.batch.models import DoneChunk, FinishedJob, Line
from wigeonpier.batch.records import decode_records
from wigeonpier.disk.client import DiskClient, read_first
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.invariants import Invariant, check_invariant
from wigeonpier.records import Outcome, Status

if TYPE_CHECKING:
    from collections.abc import Iterator


class ResponsePart(msgspec.Struct):
    """The response of an upstream to one item."""

    status_code: int
    request_id: str
    body: msgspec.Raw


class ResultLine(msgspec.Struct):
    """One line of an output or error file."""

    id: str
    custom_id: str
    response: ResponsePart | None = None
    error: Any = None


def iterate_results(
    finished: FinishedJob,
    disks: DiskClient,
    *,
    succeeded: bool,
) -> Iterator[bytes]:
    """Read the lines of an output or error file.

    :param finished: the job.
    :param disks: client of the data folders.
    :param succeeded: whether to read the items that succeeded, otherwise all
        others.
    :yields: the lines of one chunk at a time.
    :raises Refusal: when no copy of a chunk can be reached.
    """
    done = {chunk.index: chunk for chunk in finished.chunks}
    for index, items in enumerate(finished.job.pages):
        chunk = done.get(index)
        if chunk is None:
            lines = _read_cancelled(finished, disks, index)
        else:
            lines = _read_chunk(finished, disks, chunk, items)
        wanted = [
            line
            for line, status in lines
            if (status is Status.succeeded) == succeeded
        ]
        if wanted:
            yield _render_lines(wanted)


def iterate_pages(
    copies: tuple[str, ...],
    disks: DiskClient,
    file_id: str,
    count: int,
) -> Iterator[bytes]:
    """Read the pages of an uploaded file.

    :param copies: incarnations of the folders that store it.
    :param disks: client of the data folders.
    :param file_id: id of the file.
    :param count: number of its pages.
    :yields: one page at a time.
    :raises Refusal: when no copy of a page can be reached.
    """
    for index in range(count):
        yield read_page(copies, disks, file_id, index)


def name_stored_results(job: str) -> str:
    """Name the file that stores the record of a finished job on disks.

    :param job: id of the job.
    :returns: id of the file, which has one page.
    """
    return f'results-{job}'


def read_page(
    copies: tuple[str, ...],
    disks: DiskClient,
    file_id: str,
    index: int,
) -> bytes:
    """Read one page of an uploaded file from any copy.

    :param copies: incarnations of the folders that store it.
    :param disks: client of the data folders.
    :param file_id: id of the file.
    :param index: position of the page.
    :returns: its bytes.
    :raises Refusal: when no copy can be reached.
    """
    page = read_first(
        copies,
        lambda copy: disks.read_page(copy, file_id, index),
    )
    if page is None:
        raise Refusal(
            ErrorKind.storage_down,
            f'no copy of page {index} of {file_id} can be reached',
        )
    return page


def read_outcomes(
    segment_lines: bytes,
    items: int,
    name: str,
) -> list[Outcome]:
    """Read the outcomes of a done chunk.

    :param segment_lines: valid lines of its last segment.
    :param items: number of items of the chunk.
    :param name: name of the chunk for messages.
    :returns: one outcome per item, in the order of the items.
    """
    outcomes: dict[int, Outcome] = {}
    for record in decode_records(segment_lines):
        if isinstance(record, Outcome):
            check_invariant(
                record.item not in outcomes,
                Invariant.exactly_one_result,
                f'{name} item {record.item} has two results',
            )
            outcomes.setdefault(record.item, record)
    check_invariant(
        len(outcomes) == items,
        Invariant.exactly_one_result,
        f'{name} has {len(outcomes)} results for {items} items',
    )
    return [outcomes[index] for index in sorted(outcomes)]


def _render_lines(lines: list[ResultLine]) -> bytes:
    encoded = [msgspec.json.encode(line) for line in lines]
    return b'\n'.join((*encoded, b''))


def _read_chunk(
    finished: FinishedJob,
    disks: DiskClient,
    chunk: DoneChunk,
    items: int,
) -> list[tuple[ResultLine, Status]]:
    job = finished.job
    name = (job.id, chunk.index, chunk.segment.fence)
    content = read_first(
        chunk.segment.copies,
        lambda copy: disks.read_segment(copy, name),
    )
    if content is None:
        raise Refusal(
            ErrorKind.storage_down,
            f'no copy of chunk {chunk.index} of {job.id} can be reached',
        )
    outcomes = read_outcomes(content, items, f'{job.id}/{chunk.index}')
    return [
        (_make_line(job.id, chunk.index, outcome), outcome.status)
        for outcome in outcomes
    ]


def _read_cancelled(
    finished: FinishedJob,
    disks: DiskClient,
    index: int,
) -> list[tuple[ResultLine, Status]]:
    job = finished.job
    page = read_page(job.copies, disks, job.file, index)
    error = {'code': Status.cancelled.value, 'message': 'it was not started'}
    return [
        (
            ResultLine(
                f'{job.id}-{index}-{position}',
                msgspec.json.decode(line, type=Line).custom_id,
                error=error,
            ),
            Status.cancelled,
        )
        for position, line in enumerate(page.splitlines())
    ]


def _make_line(job: str, chunk: int, outcome: Outcome) -> ResultLine:
    identity = f'{job}-{chunk}-{outcome.item}'
    if not outcome.code:
        return ResultLine(identity, outcome.custom_id, error=outcome.body)
    response = ResponsePart(outcome.code, identity, outcome.body)
    return ResultLine(identity, outcome.custom_id, response)
