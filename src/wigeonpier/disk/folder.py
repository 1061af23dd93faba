"""A data folder: pages of files, and journals with fences."""

from __future__ import annotations

import os
import secrets
import shutil
import time
from collections import defaultdict
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore

from wigeonpier.batch.records import measure_sound_part
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

INCARNATION_FILE = 'incarnation'
FENCE_FILE = 'fence'
PAGES = 'pages'
SEGMENTS = 'segments'

Chunk = tuple[str, int]
SegmentName = tuple[str, int, int]


class StaleFenceError(Exception):
    """An append with an older fencing number than the highest seen."""


class WrongOffsetError(Exception):
    """An append that does not continue the segment.

    :param size: bytes that the segment has.
    """

    def __init__(self, size: int) -> None:
        """Keep the size."""
        super().__init__(f'the segment has {size} bytes')
        self.size = size


class DataFolder:
    """Bulk data of one VM.

    The incarnation tells this folder from an emptied, restored or replaced
    one; every append names it.
    """

    def __init__(self, path: str, clock: Callable[[], float]) -> None:
        """Open the folder; a new one gets an incarnation."""
        self._root = Path(path)
        self._clock = clock
        self._locks: defaultdict[Chunk, BoundedSemaphore] = defaultdict(
            BoundedSemaphore,
        )
        self._sizes: dict[SegmentName, int] = {}
        self._fences: dict[Chunk, int] = {}
        self._touched: dict[SegmentName, float] = {}
        self._opened = clock()
        (self._root / PAGES).mkdir(parents=True, exist_ok=True)
        (self._root / SEGMENTS).mkdir(exist_ok=True)
        self.incarnation = self._read_incarnation()
        log_event(Event.disk_opened, incarnation=self.incarnation)

    def write_page(self, file_id: str, index: int, content: bytes) -> None:
        """Keep one page of an uploaded file; the bytes are on disk after.

        :param file_id: id of the file.
        :param index: position of the page.
        :param content: its bytes.
        """
        folder = self._root / PAGES / file_id
        _in_thread(_write_whole, folder / str(index), content)

    def read_page(self, file_id: str, index: int) -> bytes | None:
        """Read one page.

        :param file_id: id of the file.
        :param index: position of the page.
        :returns: its bytes, ``None`` where this folder lacks it.
        """
        return _read_if_there(self._root / PAGES / file_id / str(index))

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
        for cache in (self._sizes, self._touched, self._fences, self._locks):
            for key in [key for key in cache if key[0] == job]:  # type: ignore[attr-defined]
                cache.pop(key, None)  # type: ignore[attr-defined]

    def append(self, name: SegmentName, offset: int, lines: bytes) -> int:
        """Add lines to a segment and force them to disk.

        The same append may come twice, when its answer was lost; the bytes
        are then there already and are not added again.

        :param name: job, chunk and fencing number.
        :param offset: size of the segment before the append.
        :param lines: whole journal lines, none to show only that the owner
            lives.
        :returns: size of the segment afterwards.
        :raises StaleFenceError: when a newer owner has fenced the chunk.
        :raises WrongOffsetError: when bytes in between are missing.
        """
        job, chunk, fence = name
        with self._locks[job, chunk]:
            if fence < self._get_fence((job, chunk)):
                raise StaleFenceError
            size = self._get_size(name)
            end = offset + len(lines)
            if offset > size or (offset < size < end):
                raise WrongOffsetError(size)
            if end > size:
                _in_thread(_append_lines, self._find_segment(name), lines)
                self._sizes[name] = end
            self._touched[name] = self._clock()
            return self._sizes.get(name, size)

    def fence(self, chunk: Chunk, fence: int) -> list[int]:
        """Refuse older owners of a chunk from now on, also after a restart.

        :param chunk: job and index.
        :param fence: fencing number of the new owner.
        :returns: fencing numbers of the segments that are here.
        """
        job, index = chunk
        folder = self._root / SEGMENTS / job / str(index)
        with self._locks[chunk]:
            if fence > self._get_fence(chunk):
                _in_thread(
                    _write_whole,
                    folder / FENCE_FILE,
                    str(fence).encode(),
                )
                self._fences[chunk] = fence
        return sorted(
            int(path.name) for path in folder.iterdir() if path.name.isdigit()
        )

    def read_segment(self, name: SegmentName) -> bytes | None:
        """Read the sound part of a segment.

        :param name: job, chunk and fencing number.
        :returns: whole lines, ``None`` where this folder lacks it.
        """
        content = _read_if_there(self._find_segment(name))
        if content is None:
            return None
        return content[: measure_sound_part(content)]

    def list_ages(self) -> dict[SegmentName, float]:
        """Tell how long ago each segment was last appended to.

        :returns: seconds by segment, only for segments that were appended
            to since the process started.
        """
        now = self._clock()
        return {name: now - seen for name, seen in self._touched.items()}

    def get_age(self, name: SegmentName) -> float:
        """Tell how long a segment has been silent, as far as is known.

        :param name: job, chunk and fencing number.
        :returns: seconds; since the process started where nothing came.
        """
        return self._clock() - self._touched.get(name, self._opened)

    def forget_segment(self, name: SegmentName) -> None:
        """Stop reporting the age of a segment whose chunk is done.

        :param name: job, chunk and fencing number.
        """
        self._touched.pop(name, None)

    def _find_segment(self, name: SegmentName) -> Path:
        job, chunk, fence = name
        return self._root / SEGMENTS / job / str(chunk) / str(fence)

    def _get_fence(self, chunk: Chunk) -> int:
        if chunk not in self._fences:
            job, index = chunk
            path = self._root / SEGMENTS / job / str(index) / FENCE_FILE
            self._fences[chunk] = int(_read_if_there(path) or b'0')
        return self._fences[chunk]

    def _get_size(self, name: SegmentName) -> int:
        if name not in self._sizes:
            self._sizes[name] = _repair_tail(self._find_segment(name))
        return self._sizes[name]

    def _read_incarnation(self) -> str:
        path = self._root / INCARNATION_FILE
        kept = _read_if_there(path)
        if kept is None:
            kept = secrets.token_hex(8).encode()
            _write_whole(path, kept)
        return kept.decode()


def measure_time() -> float:
    """Give the monotonic clock, seconds."""
    return time.monotonic()


def _in_thread(function: Callable[..., None], *details: object) -> None:
    # A forced write can take long; the loop serves others meanwhile.
    gevent.get_hub().threadpool.apply(function, details)


def _read_if_there(path: Path) -> bytes | None:
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return None


def _repair_tail(path: Path) -> int:
    content = _read_if_there(path)
    if content is None:
        return 0
    sound = measure_sound_part(content)
    if sound < len(content):
        os.truncate(path, sound)
        log_event(
            Event.journal_repaired,
            path=path.name,
            removed=len(content) - sound,
        )
    return sound


def _append_lines(path: Path, lines: bytes) -> None:
    is_new = not path.exists()
    path.parent.mkdir(parents=True, exist_ok=True)
    descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    size = os.fstat(descriptor).st_size
    try:
        _write_all(descriptor, lines)
        os.fsync(descriptor)
    except OSError:
        # A full disk may have taken a part; it must not stay in between.
        with suppress(OSError):
            os.ftruncate(descriptor, size)
        raise
    finally:
        os.close(descriptor)
    if is_new:
        _sync_folder(path.parent)


def _write_all(descriptor: int, content: bytes) -> None:
    rest = memoryview(content)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


def _write_whole(path: Path, content: bytes) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    fresh = path.with_name(f'{path.name}.{secrets.token_hex(4)}.new')
    descriptor = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
    try:
        _write_all(descriptor, content)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    fresh.replace(path)
    _sync_folder(path.parent)


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
