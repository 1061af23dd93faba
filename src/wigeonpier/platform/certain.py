"""Compare-and-swap whose outcome is found out when the answer is lost."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from wigeonpier.platform.port import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.platform.port import Entry, Platform

FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 2.0


def swap_certainly(
    platform: Platform,
    key: str,
    value: bytes,
    revision: int,
    is_mine: Callable[[Entry], bool],
    patience: float,
) -> Result[int, Failure]:
    """Write a key and find out whether it took effect.

    The same write is repeated: it can take effect once only, since it names
    the revision that it replaces.  A conflict after a lost answer may be
    one's own write, which is looked for.

    :param platform: the port.
    :param key: what to write.
    :param value: its bytes.
    :param revision: revision that it replaces, 0 to create.
    :param is_mine: knows one's own write again.
    :param patience: longest time, seconds.
    :returns: the new revision; ``conflict`` when another write won,
        ``unavailable`` when it certainly did not take effect, ``unknown``
        when that could not be found out in time.
    """
    give_up = time.monotonic() + patience
    pause = FIRST_PAUSE_SECONDS
    may_stand = False
    while time.monotonic() + pause < give_up:
        wrote = platform.swap(key, value, revision)
        if isinstance(wrote, Ok):
            return wrote
        may_stand = may_stand or wrote.err_value is Failure.unknown
        if wrote.err_value is Failure.conflict:
            found = _find_mine(platform, key, is_mine) if may_stand else wrote
            if found is not None:
                return found
        gevent.sleep(pause)
        pause = min(LONGEST_PAUSE_SECONDS, pause * 2)
    return Err(Failure.unknown if may_stand else Failure.unavailable)


def _find_mine(
    platform: Platform,
    key: str,
    is_mine: Callable[[Entry], bool],
) -> Result[int, Failure] | None:
    read = platform.get(key)
    if isinstance(read, Err):
        return None
    entry = read.ok_value
    if entry is not None and is_mine(entry):
        return Ok(entry.revision)
    return Err(Failure.conflict)
