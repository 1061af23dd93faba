"""Remembers which software versions of a service have served lately."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wigeonpier.policy.streamorigin import UNKNOWN_VERSION, VersionHistory

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.policy.route import UpstreamState

# Far more versions than serve within the lifetime of a stream.
MAX_VERSIONS = 256


class ServedVersions:
    """Versions of the upstreams that were removed from the register."""

    def __init__(self) -> None:
        """Begin without any."""
        # Removal of the last upstream by service and version, oldest first.
        self._removed: dict[tuple[str, str], float] = {}

    def record_removed(self, state: UpstreamState) -> None:
        """Record that an upstream is gone.

        :param state: the upstream.
        """
        key = (state.service, state.version)
        self._removed.pop(key, None)
        self._removed[key] = time.monotonic()
        if len(self._removed) > MAX_VERSIONS:
            self._removed.pop(next(iter(self._removed)))

    def describe(
        self,
        service: str,
        serving: Iterable[UpstreamState],
        since: float,
        *,
        is_followed: bool,
    ) -> VersionHistory:
        """Describe the versions of a service.

        :param service: name of the service.
        :param serving: upstreams of all services in the register.
        :param since: how far to look back, seconds of the monotonic clock.
        :param is_followed: whether the register was followed all the time.
        :returns: the versions.
        """
        current = {
            state.version for state in serving if state.service == service
        }
        removed = {
            version
            for (name, version), removed_at in self._removed.items()
            if name == service and removed_at > since
        }
        return VersionHistory(
            frozenset((current | removed) - {UNKNOWN_VERSION}),
            is_settled=is_followed and UNKNOWN_VERSION not in current,
        )
