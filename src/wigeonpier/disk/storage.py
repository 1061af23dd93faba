"""Durable writes to files: data is on disk when a call returns."""

from __future__ import annotations

import os
import re
import secrets
from contextlib import ExitStack, suppress
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

FILE_MODE = 0o644
NAME_BYTES = 4
TEMPORARY_PATTERN = re.compile(r'.+\.[0-9a-f]{8}\.new')


def call_in_thread(function: Callable[..., None], *arguments: object) -> None:
    """Run a forced write in a thread, so that it does not block the loop.

    :param function: does the write.
    :param arguments: its arguments.
    """
    gevent.get_hub().threadpool.apply(function, arguments)


def read_if_exists(path: Path) -> bytes | None:
    """Read a file.

    :param path: the file.
    :returns: its bytes, ``None`` where there is no such file.
    """
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return None


def open_folder(path: Path) -> list[str]:
    """Create a folder, and remove what interrupted writes have left there.

    :param path: the folder; its own name is forced to disk.
    :returns: names of the files in it.
    """
    if not path.is_dir():
        path.mkdir(parents=True, exist_ok=True)
        _sync_folder(path.parent)
    names = []
    for found in path.iterdir():
        if TEMPORARY_PATTERN.fullmatch(found.name):
            # Its write was never confirmed.
            found.unlink(missing_ok=True)
        else:
            names.append(found.name)
    return names


def append_lines(path: Path, lines: bytes) -> None:
    """Append bytes to a file and force them to disk.

    :param path: the file; created with its folders if it is missing.
    :param lines: bytes to append.
    :raises OSError: if the disk is full or broken; the file is then left
        unchanged.
    """
    is_new = not path.exists()
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open('ab', buffering=0) as stream:
        size = stream.tell()
        try:
            _write_and_sync(stream.fileno(), lines)
        except OSError:
            # Removes the part that was written before the disk was full.
            with suppress(OSError):
                os.ftruncate(stream.fileno(), size)
            raise
    if is_new:
        _sync_folder(path.parent)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically and force it to disk.

    :param path: the file; created with its folders if it is missing.
    :param content: its new bytes.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    suffix = secrets.token_hex(NAME_BYTES)
    temporary = path.with_name(f'{path.name}.{suffix}.new')
    with ExitStack() as stack:
        # Removes the part that was written before the disk was full.
        stack.callback(temporary.unlink, missing_ok=True)
        with temporary.open('xb', buffering=0) as stream:
            _write_and_sync(stream.fileno(), content)
        temporary.replace(path)
    _sync_folder(path.parent)


def _write_and_sync(descriptor: int, content: bytes) -> None:
    remaining = memoryview(content)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]
    os.fsync(descriptor)


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    except OSError:
        os.close(descriptor)
        raise
    os.close(descriptor)
