"""Messages between processes about suspected requests."""

from __future__ import annotations

import msgspec


class CrashReport(msgspec.Struct, frozen=True):
    """Reports an upstream that crashed while a request ran there.

    :param fingerprint: the request.
    :param upstream: start of the upstream.
    :param version: version of its software.
    :param age: how long ago it crashed, seconds.
    :param was_alone: whether no other suspected request ran there.
    :param had_output: whether its run there had produced events.
    """

    fingerprint: str
    upstream: str
    version: str
    age: float
    was_alone: bool
    had_output: bool = False


class SuspicionUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes of the suspected requests.

    :param ends: crashes of upstreams.
    :param cleared: requests that are no longer suspected.
    :param kept: refused requests that were sent again just now.
    :param condemned: requests confirmed to crash upstreams.
    """

    ends: tuple[CrashReport, ...] = ()
    cleared: tuple[str, ...] = ()
    kept: tuple[str, ...] = ()
    condemned: tuple[str, ...] = ()
