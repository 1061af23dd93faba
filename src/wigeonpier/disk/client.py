"""Calls to data folders of other processes."""

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

    from wigeonpier.web.client import HttpCaller, Reply

APPEND_SECONDS = 1.5
READ_SECONDS = 10.0
FAILING_SECONDS = 30.0

Name = tuple[str, int, int]


class DiskFailure(StrEnum):
    """Why a data folder did not do what it was asked for."""

    fenced = 'fenced'
    absent = 'absent'
    other_folder = 'other_folder'
    broken = 'broken'
    unreachable = 'unreachable'


_FAILINGS = frozenset(
    (
        DiskFailure.broken,
        DiskFailure.other_folder,
        DiskFailure.unreachable,
    )
)


class DiskClient:
    """Reaches data folders by their incarnation."""

    def __init__(
        self,
        caller: HttpCaller,
        find_address: Callable[[str], str | None],
    ) -> None:
        """Look addresses up anew at each call; VMs move."""
        self._caller = caller
        self._find_address = find_address
        self._failed: dict[str, float] = {}

    def list_failing(self) -> frozenset[str]:
        """List folders that failed a call of late.

        :returns: incarnations, to be passed over where there are others.
        """
        now = time.monotonic()
        return frozenset(
            incarnation
            for incarnation, failed in self._failed.items()
            if now - failed < FAILING_SECONDS
        )

    def append(
        self,
        incarnation: str,
        name: Name,
        offset: int,
        lines: bytes,
    ) -> Result[int, DiskFailure]:
        """Add lines to one copy of a segment; safe to repeat.

        :param incarnation: the folder.
        :param name: job, chunk and fencing number.
        :param offset: size of the segment before the append.
        :param lines: whole lines.
        :returns: size afterwards.
        """
        job, chunk, fence = name
        called = self._call(
            incarnation,
            'POST',
            f'/disk/v1/segments/{job}/{chunk}/{fence}',
            lines,
            {routes.OFFSET: str(offset)},
            APPEND_SECONDS,
        )
        return called.map(lambda reply: reply.decode(routes.Appended).size)

    def fence(
        self,
        incarnation: str,
        job: str,
        chunk: int,
        fence: int,
    ) -> Result[list[int], DiskFailure]:
        """Make a folder refuse older owners of a chunk.

        :param incarnation: the folder.
        :param job: id of the job.
        :param chunk: index of the chunk.
        :param fence: fencing number of the new owner.
        :returns: fencing numbers of the segments that are there.
        """
        called = self._call(
            incarnation,
            'POST',
            f'/disk/v1/fences/{job}/{chunk}/{fence}',
            b'',
            {},
            APPEND_SECONDS,
        )
        return called.map(lambda reply: reply.decode(routes.Fenced).segments)

    def read_segment(
        self,
        incarnation: str,
        name: Name,
    ) -> Result[bytes, DiskFailure]:
        """Read the sound part of one copy of a segment.

        :param incarnation: the folder.
        :param name: job, chunk and fencing number.
        :returns: whole lines.
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
        """Keep one page of a file; safe to repeat.

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
            READ_SECONDS,
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
        """Ask how long segments have been silent.

        :param address: ``host:port`` of the folder's process.
        :returns: ages, ``None`` where it does not answer.
        """
        called = self._caller.call(
            address,
            'GET',
            '/disk/v1/ages',
            patience=1,
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            return None
        return called.ok_value.decode(list[routes.SegmentAge])

    def remove(self, incarnation: str, path: str) -> None:
        """Delete a file's pages or a job's journals; failures are left.

        :param incarnation: the folder.
        :param path: path below ``/disk/v1/``.
        """
        self._call(
            incarnation,
            'DELETE',
            f'/disk/v1/{path}',
            b'',
            {},
            READ_SECONDS,
        )

    def _read(
        self,
        incarnation: str,
        path: str,
    ) -> Result[bytes, DiskFailure]:
        called = self._call(incarnation, 'GET', path, b'', {}, READ_SECONDS)
        return called.map(lambda reply: reply.body)

    def _call(
        self,
        incarnation: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        patience: float,
    ) -> Result[Reply, DiskFailure]:
        address = self._find_address(incarnation)
        if address is None:
            return Err(DiskFailure.unreachable)
        called = self._caller.call(
            address,
            method,
            path,
            body,
            headers=headers | {routes.INCARNATION: incarnation},
            patience=patience,
        )
        failure: DiskFailure | None = DiskFailure.unreachable
        if isinstance(called, Ok):
            failure = _judge(called.ok_value)
            if failure is None:
                return Ok(called.ok_value)
        if failure in _FAILINGS:
            self._failed[incarnation] = time.monotonic()
        return Err(failure or DiskFailure.unreachable)


def read_first(
    copies: tuple[str, ...],
    read: Callable[[str], Result[bytes, DiskFailure]],
) -> bytes | None:
    """Read from the first copy that answers.

    :param copies: incarnations, any of which will do.
    :param read: reads from one.
    :returns: the bytes, ``None`` where no copy answers.
    """
    for incarnation in copies:
        content = read(incarnation)
        if isinstance(content, Ok):
            return content.ok_value
    return None


def write_everywhere(
    copies: list[str],
    write: Callable[[str], Result[int, DiskFailure]],
) -> list[str]:
    """Write to all copies at once.

    :param copies: incarnations.
    :param write: writes to one.
    :returns: those that have it.
    """
    workers = [gevent.spawn(write, incarnation) for incarnation in copies]
    gevent.joinall(workers)
    return [
        incarnation
        for incarnation, worker in zip(copies, workers, strict=True)
        if isinstance(worker.value, Ok)
    ]


def _judge(reply: Reply) -> DiskFailure | None:
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
