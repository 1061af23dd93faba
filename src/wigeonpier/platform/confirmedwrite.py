"""Compare-and-swap that determines its outcome when an answer is lost."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from wigeonpier.platform.port import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.platform.port import Entry, Platform

INITIAL_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 2.0


def swap_confirmed(
    platform: Platform,
    key: str,
    value: bytes,
    revision: int,
    is_own: Callable[[Entry], bool],
    timeout: float,
) -> Result[int, Failure]:
    """Write a key and confirm whether the write took effect.

    The same write is repeated: it can take effect only once, since it names
    the revision that it replaces.  A conflict after a lost answer may come
    from this caller's own write, so the key is read back.

    :param platform: the port.
    :param key: what to write.
    :param value: its bytes.
    :param revision: revision that it replaces, 0 to create.
    :param is_own: checks whether an entry is this caller's own write.
    :param timeout: longest time for all attempts, seconds.
    :returns: the new revision; ``conflict`` when another write won,
        ``unavailable`` when the write certainly did not take effect,
        ``unknown`` when its outcome could not be determined in time.
    """
    deadline = time.monotonic() + timeout
    pause = INITIAL_PAUSE_SECONDS
    is_uncertain = False
    while time.monotonic() + pause < deadline:
        wrote = platform.swap(key, value, revision)
        if isinstance(wrote, Ok):
            return wrote
        is_uncertain = is_uncertain or wrote.err_value is Failure.unknown
        if wrote.err_value is Failure.conflict:
            found = (
                _find_own_write(platform, key, is_own)
                if is_uncertain
                else wrote
            )
            if found is not None:
                return found
        gevent.sleep(pause)
        pause = min(MAX_PAUSE_SECONDS, pause * 2)
    return Err(Failure.unknown if is_uncertain else Failure.unavailable)


def _find_own_write(
    platform: Platform,
    key: str,
    is_own: Callable[[Entry], bool],
) -> Result[int, Failure] | None:
    read = platform.get(key)
    if isinstance(read, Err):
        return None
    entry = read.ok_value
    if entry is not None and is_own(entry):
        return Ok(entry.revision)
    return Err(Failure.conflict)
