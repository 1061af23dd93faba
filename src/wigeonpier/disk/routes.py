"""Serves a data folder to peers."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.disk.folder import StaleFenceError, WrongOffsetError
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import Response, answer_json
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.disk.folder import DataFolder
    from wigeonpier.web.messages import Request

INCARNATION = 'wigeonpier-incarnation'
OFFSET = 'wigeonpier-offset'
RAW_TYPE = 'application/octet-stream'
FENCED_STATUS = 412
OFFSET_STATUS = 416
OTHER_FOLDER_STATUS = 410
MAX_BODY_BYTES = 64_000_000
_ID = r'([0-9A-Za-z_\-]+)'
_CHUNK = rf'{_ID}/(\d+)'
_SEGMENT = rf'{_CHUNK}/(\d+)'


class Appended(msgspec.Struct):
    """Answer to an append.

    :param size: size of the segment, bytes.
    """

    size: int


class Fenced(msgspec.Struct):
    """Answer to a fence.

    :param segments: fencing numbers of the segments in the folder.
    """

    segments: list[int]


class SegmentAge(msgspec.Struct, array_like=True):
    """Time since the last append to a segment.

    :param job: id of the job.
    :param chunk: index of the chunk.
    :param fence: fencing number.
    :param age: seconds.
    """

    job: str
    chunk: int
    fence: int
    age: float


def make_disk_routes(folder: DataFolder) -> list[Route]:
    """Make the routes of a data folder.

    :param folder: the folder.
    :returns: routes, all below ``/disk/``.
    """
    paths = (
        ('PUT', f'/disk/v1/pages/{_CHUNK}', _write_page),
        ('GET', f'/disk/v1/pages/{_CHUNK}', _read_page),
        ('DELETE', f'/disk/v1/files/{_ID}', _remove_file),
        ('DELETE', f'/disk/v1/jobs/{_ID}', _remove_job),
        ('POST', f'/disk/v1/segments/{_SEGMENT}', _append),
        ('GET', f'/disk/v1/segments/{_SEGMENT}', _read_segment),
        ('POST', f'/disk/v1/fences/{_SEGMENT}', _fence),
        ('GET', '/disk/v1/ages', _list_ages),
    )
    return [
        make_route(method, pattern, partial(handler, folder))
        for method, pattern, handler in paths
    ]


def _write_page(
    folder: DataFolder,
    request: Request,
    file_id: str,
    index: str,
) -> Response:
    if not _is_addressed(folder, request):
        return _answer_other_folder(folder)
    content = _read_large_body(request)
    try:
        folder.write_page(file_id, int(index), content)
    except OSError as error:
        raise _make_write_refusal(error) from error
    return answer_json(Appended(len(content)))


def _read_page(
    folder: DataFolder,
    _request: Request,
    file_id: str,
    index: str,
) -> Response:
    content = folder.read_page(file_id, int(index))
    return _answer_bytes(content, f'page {file_id}/{index}')


def _remove_file(
    folder: DataFolder,
    _request: Request,
    file_id: str,
) -> Response:
    folder.remove_file(file_id)
    return answer_json(Appended(0))


def _remove_job(folder: DataFolder, _request: Request, job: str) -> Response:
    folder.remove_job(job)
    return answer_json(Appended(0))


def _append(
    folder: DataFolder,
    request: Request,
    job: str,
    chunk: str,
    fence: str,
) -> Response:
    if not _is_addressed(folder, request):
        return _answer_other_folder(folder)
    offset = int(request.headers.get(OFFSET, '0'))
    lines = _read_large_body(request)
    name = (job, int(chunk), int(fence))
    try:
        return answer_json(Appended(folder.append(name, offset, lines)))
    except StaleFenceError:
        log_event(Event.disk_refused, job=job, chunk=chunk, fence=fence)
        return answer_json(Appended(0), FENCED_STATUS)
    except WrongOffsetError as error:
        return answer_json(Appended(error.size), OFFSET_STATUS)
    except OSError as error:
        raise _make_write_refusal(error) from error


def _read_segment(
    folder: DataFolder,
    _request: Request,
    job: str,
    chunk: str,
    fence: str,
) -> Response:
    content = folder.read_segment((job, int(chunk), int(fence)))
    return _answer_bytes(content, f'segment {job}/{chunk}/{fence}')


def _fence(
    folder: DataFolder,
    request: Request,
    job: str,
    chunk: str,
    fence: str,
) -> Response:
    if not _is_addressed(folder, request):
        return _answer_other_folder(folder)
    try:
        segments = folder.fence((job, int(chunk)), int(fence))
    except OSError as error:
        raise _make_write_refusal(error) from error
    return answer_json(Fenced(segments))


def _list_ages(folder: DataFolder, _request: Request) -> Response:
    return answer_json(
        [SegmentAge(*name, age) for name, age in folder.list_ages().items()]
    )


def _is_addressed(folder: DataFolder, request: Request) -> bool:
    return request.headers.get(INCARNATION) == folder.incarnation


def _answer_other_folder(folder: DataFolder) -> Response:
    log_event(Event.disk_refused, incarnation=folder.incarnation)
    return answer_json(Appended(0), OTHER_FOLDER_STATUS)


def _answer_bytes(content: bytes | None, missing: str) -> Response:
    if content is None:
        raise Refusal(ErrorKind.not_found, f'this folder has no {missing}')
    return Response(HTTPStatus.OK, content, RAW_TYPE)


def _read_large_body(request: Request) -> bytes:
    request.body_limit = MAX_BODY_BYTES
    return request.read_body()


def _make_write_refusal(error: OSError) -> Refusal:
    return Refusal(ErrorKind.storage_down, f'cannot write: {error.strerror}')
