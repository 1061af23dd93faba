"""Stores pages of files and fenced journals in a data folder."""

from __future__ import annotations

import os
import secrets
import shutil
import time
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from gevent.lock import BoundedSemaphore

from wigeonpier.disk.lines import measure_valid_prefix
from wigeonpier.disk.storage import (
    append_lines,
    call_in_thread,
    read_if_exists,
    replace_file,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

INCARNATION_FILE = 'incarnation'
FENCE_FILE = 'fence'
EVICT_SECONDS = 60.0
PAGES = 'pages'
SEGMENTS = 'segments'

Chunk = tuple[str, int]
SegmentName = tuple[str, int, int]
Key = TypeVar('Key', Chunk, SegmentName)
Cached = TypeVar('Cached')


class StaleFenceError(Exception):
    """An append whose fencing number is lower than the highest one seen."""


class WrongOffsetError(Exception):
    """An append that does not continue the segment.

    :param size: bytes that the segment has.
    """

    def __init__(self, size: int) -> None:
        """Store the size."""
        super().__init__(f'the segment has {size} bytes')
        self.size = size


class DataFolder:
    """Bulk data of one VM.

    The incarnation distinguishes this folder from an emptied, restored or
    replaced one; every append names it.
    """

    def __init__(self, path: str, clock: Callable[[], float]) -> None:
        """Open the folder, and give a new one an incarnation."""
        self._root = Path(path)
        self._clock = clock
        self._locks: defaultdict[Chunk, BoundedSemaphore] = defaultdict(
            BoundedSemaphore,
        )
        self._sizes: dict[SegmentName, int] = {}
        self._fences: dict[Chunk, int] = {}
        self._appended_at: dict[SegmentName, float] = {}
        (self._root / PAGES).mkdir(parents=True, exist_ok=True)
        (self._root / SEGMENTS).mkdir(exist_ok=True)
        self.incarnation = self._read_incarnation()
        log_event(Event.disk_opened, incarnation=self.incarnation)

    def write_page(self, file_id: str, index: int, content: bytes) -> None:
        """Write one page of an uploaded file and force it to disk.

        :param file_id: id of the file.
        :param index: position of the page.
        :param content: its bytes.
        """
        folder = self._root / PAGES / file_id
        call_in_thread(replace_file, folder / str(index), content)

    def read_page(self, file_id: str, index: int) -> bytes | None:
        """Read one page.

        :param file_id: id of the file.
        :param index: position of the page.
        :returns: its bytes, ``None`` where this folder lacks it.
        """
        return read_if_exists(self._root / PAGES / file_id / str(index))

    def remove_file(self, file_id: str) -> None:
        """Delete all pages of a file.

        :param file_id: id of the file.
        """
        shutil.rmtree(self._root / PAGES / file_id, ignore_errors=True)

    def remove_job(self, job: str) -> None:
        """Delete all journals of a job.

        :param job: id of the job.
        """
        shutil.rmtree(self._root / SEGMENTS / job, ignore_errors=True)
        self._sizes = _drop_job(self._sizes, job)
        self._appended_at = _drop_job(self._appended_at, job)
        self._fences = _drop_job(self._fences, job)

    def append(self, name: SegmentName, offset: int, lines: bytes) -> int:
        """Append lines to a segment and force them to disk.

        The same append may arrive twice, if its answer was lost; the bytes
        are then already present and are not appended again.

        :param name: job, chunk and fencing number.
        :param offset: size of the segment before the append.
        :param lines: complete journal lines, empty to show only that the
            owner is alive.
        :returns: size of the segment afterwards.
        :raises StaleFenceError: if a later owner has fenced the chunk.
        :raises WrongOffsetError: if the segment is shorter than the offset,
            or ends within the lines.
        """
        job, chunk, fence = name
        with self._locks[job, chunk]:
            if fence < self._get_fence((job, chunk)):
                raise StaleFenceError
            size = self._get_size(name)
            end = offset + len(lines)
            if offset > size or offset < size < end:
                raise WrongOffsetError(size)
            if end > size:
                call_in_thread(append_lines, self._segment_path(name), lines)
                self._sizes[name] = end
            self._appended_at[name] = self._clock()
            return max(size, end)

    def fence(self, chunk: Chunk, fence: int) -> list[int]:
        """Refuse earlier owners of a chunk, also after a restart.

        :param chunk: job and index.
        :param fence: fencing number of the new owner.
        :returns: fencing numbers of the segments in this folder.
        """
        job, index = chunk
        folder = self._root / SEGMENTS / job / str(index)
        with self._locks[chunk]:
            if fence > self._get_fence(chunk):
                call_in_thread(
                    replace_file,
                    folder / FENCE_FILE,
                    str(fence).encode(),
                )
                self._fences[chunk] = fence
        return sorted(
            int(path.name) for path in folder.iterdir() if path.name.isdigit()
        )

    def read_segment(self, name: SegmentName) -> bytes | None:
        """Read the valid part of a segment.

        :param name: job, chunk and fencing number.
        :returns: complete lines, ``None`` where this folder lacks it.
        """
        content = read_if_exists(self._segment_path(name))
        if content is None:
            return None
        return content[: measure_valid_prefix(content)]

    def list_ages(self) -> dict[SegmentName, float]:
        """List how long ago each recent segment was last appended to.

        Cached state of segments without appends for ``EVICT_SECONDS`` is
        evicted; it can be read again from disk.

        :returns: seconds, by segment.
        """
        now = self._clock()
        for idle, appended_at in list(self._appended_at.items()):
            if now - appended_at > EVICT_SECONDS:
                self._evict(idle)
        return {
            name: now - last_append
            for name, last_append in self._appended_at.items()
        }

    def _evict(self, name: SegmentName) -> None:
        job, chunk, _fence = name
        lock = self._locks[job, chunk]
        if lock.locked():
            return
        self._appended_at.pop(name, None)
        self._sizes.pop(name, None)
        self._fences.pop((job, chunk), None)
        self._locks.pop((job, chunk), None)

    def _segment_path(self, name: SegmentName) -> Path:
        job, chunk, fence = name
        return self._root / SEGMENTS / job / str(chunk) / str(fence)

    def _get_fence(self, chunk: Chunk) -> int:
        if chunk not in self._fences:
            job, index = chunk
            path = self._root / SEGMENTS / job / str(index) / FENCE_FILE
            self._fences[chunk] = int(read_if_exists(path) or b'0')
        return self._fences[chunk]

    def _get_size(self, name: SegmentName) -> int:
        if name not in self._sizes:
            self._sizes[name] = _repair_tail(self._segment_path(name))
        return self._sizes[name]

    def _read_incarnation(self) -> str:
        path = self._root / INCARNATION_FILE
        stored = read_if_exists(path)
        if stored is None:
            stored = secrets.token_hex(8).encode()
            replace_file(path, stored)
        return stored.decode()


def read_monotonic_clock() -> float:
    """Read the monotonic clock, seconds."""
    return time.monotonic()


def _drop_job(cache: dict[Key, Cached], job: str) -> dict[Key, Cached]:
    return {key: stored for key, stored in cache.items() if key[0] != job}


def _repair_tail(path: Path) -> int:
    content = read_if_exists(path)
    if content is None:
        return 0
    valid_size = measure_valid_prefix(content)
    if valid_size < len(content):
        os.truncate(path, valid_size)
        log_event(
            Event.journal_repaired,
            path=path.name,
            removed=len(content) - valid_size,
        )
    return valid_size
