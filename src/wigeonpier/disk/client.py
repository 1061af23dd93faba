"""Client for the data folders of other processes."""

from __future__ import annotations

import time
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from wigeonpier.disk import routes

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.web.client import HttpClient, Reply

APPEND_TIMEOUT_SECONDS = 1.5
READ_TIMEOUT_SECONDS = 10.0
AVOID_SECONDS = 30.0

Name = tuple[str, int, int]


class DiskFailure(StrEnum):
    """Why a call to a data folder failed."""

    fenced = 'fenced'
    absent = 'absent'
    other_folder = 'other_folder'
    broken = 'broken'
    unreachable = 'unreachable'


_FOLDER_FAILURES = frozenset(
    (
        DiskFailure.broken,
        DiskFailure.other_folder,
        DiskFailure.unreachable,
    )
)


class DiskClient:
    """Calls data folders by their incarnation."""

    def __init__(
        self,
        client: HttpClient,
        find_address: Callable[[str], str | None],
    ) -> None:
        """Look up addresses at each call, since VMs move."""
        self._client = client
        self._find_address = find_address
        self._failed_at: dict[str, float] = {}

    def list_failed_folders(self) -> frozenset[str]:
        """List folders that recently failed a call.

        :returns: incarnations, to be avoided where there are others.
        """
        now = time.monotonic()
        return frozenset(
            incarnation
            for incarnation, failed_at in self._failed_at.items()
            if now - failed_at < AVOID_SECONDS
        )

    def append(
        self,
        incarnation: str,
        name: Name,
        offset: int,
        lines: bytes,
    ) -> Result[int, DiskFailure]:
        """Append lines to one copy of a segment; safe to repeat.

        :param incarnation: the folder.
        :param name: job, chunk and fencing number.
        :param offset: size of the segment before the append.
        :param lines: complete lines.
        :returns: size of the segment afterwards.
        """
        job, chunk, fence = name
        called = self._call(
            incarnation,
            'POST',
            f'/disk/v1/segments/{job}/{chunk}/{fence}',
            lines,
            {routes.OFFSET: str(offset)},
            APPEND_TIMEOUT_SECONDS,
        )
        return called.map(lambda reply: reply.decode(routes.Appended).size)

    def fence(
        self,
        incarnation: str,
        job: str,
        chunk: int,
        fence: int,
    ) -> Result[list[int], DiskFailure]:
        """Make a folder refuse earlier owners of a chunk.

        :param incarnation: the folder.
        :param job: id of the job.
        :param chunk: index of the chunk.
        :param fence: fencing number of the new owner.
        :returns: fencing numbers of the segments in the folder.
        """
        called = self._call(
            incarnation,
            'POST',
            f'/disk/v1/fences/{job}/{chunk}/{fence}',
            b'',
            {},
            APPEND_TIMEOUT_SECONDS,
        )
        return called.map(lambda reply: reply.decode(routes.Fenced).segments)

    def read_segment(
        self,
        incarnation: str,
        name: Name,
    ) -> Result[bytes, DiskFailure]:
        """Read the valid part of one copy of a segment.

        :param incarnation: the folder.
        :param name: job, chunk and fencing number.
        :returns: complete lines.
        """
        job, chunk, fence = name
        path = f'/disk/v1/segments/{job}/{chunk}/{fence}'
        return self._read(incarnation, path)

    def write_page(
        self,
        incarnation: str,
        file_id: str,
        index: int,
        content: bytes,
    ) -> Result[int, DiskFailure]:
        """Write one page of a file; safe to repeat.

        :param incarnation: the folder.
        :param file_id: id of the file.
        :param index: position of the page.
        :param content: its bytes.
        :returns: its size.
        """
        called = self._call(
            incarnation,
            'PUT',
            f'/disk/v1/pages/{file_id}/{index}',
            content,
            {},
            READ_TIMEOUT_SECONDS,
        )
        return called.map(lambda reply: reply.decode(routes.Appended).size)

    def read_page(
        self,
        incarnation: str,
        file_id: str,
        index: int,
    ) -> Result[bytes, DiskFailure]:
        """Read one page of a file.

        :param incarnation: the folder.
        :param file_id: id of the file.
        :param index: position of the page.
        :returns: its bytes.
        """
        return self._read(incarnation, f'/disk/v1/pages/{file_id}/{index}')

    def list_ages(self, address: str) -> list[routes.SegmentAge] | None:
        """Read how long ago each segment was last appended to.

        :param address: ``host:port`` of the folder's process.
        :returns: ages, ``None`` without an answer.
        """
        called = self._client.call(
            address,
            'GET',
            '/disk/v1/ages',
            timeout=1,
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            return None
        return called.ok_value.decode(list[routes.SegmentAge])

    def remove(self, incarnation: str, path: str) -> None:
        """Delete a file's pages or a job's journals; ignore failures.

        :param incarnation: the folder.
        :param path: path below ``/disk/v1/``.
        """
        self._call(
            incarnation,
            'DELETE',
            f'/disk/v1/{path}',
            b'',
            {},
            READ_TIMEOUT_SECONDS,
        )

    def _read(
        self,
        incarnation: str,
        path: str,
    ) -> Result[bytes, DiskFailure]:
        called = self._call(
            incarnation, 'GET', path, b'', {}, READ_TIMEOUT_SECONDS
        )
        return called.map(lambda reply: reply.body)

    def _call(
        self,
        incarnation: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout: float,
    ) -> Result[Reply, DiskFailure]:
        address = self._find_address(incarnation)
        if address is None:
            return Err(DiskFailure.unreachable)
        called = self._client.call(
            address,
            method,
            path,
            body,
            headers=headers | {routes.INCARNATION: incarnation},
            timeout=timeout,
        )
        failure: DiskFailure | None = DiskFailure.unreachable
        if isinstance(called, Ok):
            failure = _classify(called.ok_value)
            if failure is None:
                return Ok(called.ok_value)
        if failure in _FOLDER_FAILURES:
            self._failed_at[incarnation] = time.monotonic()
        return Err(failure or DiskFailure.unreachable)


def read_first(
    copies: tuple[str, ...],
    read: Callable[[str], Result[bytes, DiskFailure]],
) -> bytes | None:
    """Read from the first copy that answers.

    :param copies: incarnations, in the order in which they are tried.
    :param read: reads from one copy.
    :returns: the bytes, ``None`` where no copy answers.
    """
    for incarnation in copies:
        content = read(incarnation)
        if isinstance(content, Ok):
            return content.ok_value
    return None


def write_all_copies(
    copies: list[str],
    write: Callable[[str], Result[int, DiskFailure]],
) -> list[str]:
    """Write to all copies concurrently.

    :param copies: incarnations.
    :param write: writes to one copy.
    :returns: incarnations of the copies that were written.
    """
    workers = [gevent.spawn(write, incarnation) for incarnation in copies]
    gevent.joinall(workers)
    return [
        incarnation
        for incarnation, worker in zip(copies, workers, strict=True)
        if isinstance(worker.value, Ok)
    ]


def _classify(reply: Reply) -> DiskFailure | None:
    if reply.is_good:
        return None
    match reply.status:
        case routes.FENCED_STATUS:
            return DiskFailure.fenced
        case routes.OTHER_FOLDER_STATUS:
            return DiskFailure.other_folder
        case HTTPStatus.NOT_FOUND:
            return DiskFailure.absent
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return DiskFailure.broken
        case _:
            return DiskFailure.unreachable
