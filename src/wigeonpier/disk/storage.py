"""Forced writes to files; what returned is on disk."""

from __future__ import annotations

import os
import secrets
from contextlib import ExitStack, suppress
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

FILE_MODE = 0o644
NAME_BYTES = 4


def call_in_thread(function: Callable[..., None], *details: object) -> None:
    """Do a forced write in a thread; the loop serves others meanwhile.

    :param function: does the write.
    :param details: its arguments.
    """
    gevent.get_hub().threadpool.apply(function, details)


def read_if_there(path: Path) -> bytes | None:
    """Read a file.

    :param path: the file.
    :returns: its bytes, ``None`` where there is no such file.
    """
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return None


def append_lines(path: Path, lines: bytes) -> None:
    """Add bytes to a file and force them to disk.

    :param path: the file; made with its folders where it is new.
    :param lines: what is added.
    :raises OSError: when the disk is full or broken; the file is then as
        it was.
    """
    is_new = not path.exists()
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open('ab', buffering=0) as stream:
        size = stream.tell()
        try:
            _force(stream.fileno(), lines)
        except OSError:
            # A full disk may have taken a part; it must not stay in between.
            with suppress(OSError):
                os.ftruncate(stream.fileno(), size)
            raise
    if is_new:
        _sync_folder(path.parent)


def write_whole(path: Path, content: bytes) -> None:
    """Replace a file in one step and force it to disk.

    :param path: the file; made with its folders where it is new.
    :param content: its new bytes.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    suffix = secrets.token_hex(NAME_BYTES)
    fresh = path.with_name(f'{path.name}.{suffix}.new')
    with ExitStack() as stack:
        # What a full disk took of it must not stay there.
        stack.callback(fresh.unlink, missing_ok=True)
        with fresh.open('xb', buffering=0) as stream:
            _force(stream.fileno(), content)
        fresh.replace(path)
    _sync_folder(path.parent)


def _force(descriptor: int, content: bytes) -> None:
    rest = memoryview(content)
    while rest:
        written = os.write(descriptor, rest)
        rest = rest[written:]
    os.fsync(descriptor)


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    except OSError:
        os.close(descriptor)
        raise
    os.close(descriptor)
