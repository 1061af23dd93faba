"""Limits of the platform's key-value service for one write."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.models import DEFAULT_VALUE_BYTES

if TYPE_CHECKING:
    from wigeonpier.platform.port import Commit

MAX_KEY_BYTES = 200
# Conditions, writes and deletes of one commit together.
MAX_ENTRIES = 32


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the service accepts in one commit.

    :param value_bytes: longest value.
    """

    value_bytes: int = DEFAULT_VALUE_BYTES

    def find_excess(self, change: Commit) -> str:
        """Find the limit that a commit exceeds.

        :param change: the commit.
        :returns: what exceeds which limit; empty if it can be written.
        """
        count = len(change.guards) + len(change.writes) + len(change.deletes)
        if count > MAX_ENTRIES:
            return f'{count} entries of {MAX_ENTRIES}'
        for key in (*change.guards, *change.writes, *change.deletes):
            if len(key.encode()) > MAX_KEY_BYTES:
                return f'key {key!r} of more than {MAX_KEY_BYTES} bytes'
        for key, value in change.writes.items():
            if len(value) > self.value_bytes:
                return f'{len(value)} bytes of {self.value_bytes} for {key}'
        return ''
