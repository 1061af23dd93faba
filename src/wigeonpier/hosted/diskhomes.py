"""Records which disks may hold jobs that the store does not have yet.

A process with a disk is on the board under a lease, which ends while its machine
has no power.  Its record stays: until the disk was emptied, or until none of
the jobs that it may hold has to be readable any more.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok

from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Commit
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.hosted.board import Board
    from wigeonpier.models import DiskHome, DiskMember
    from wigeonpier.platform.store import KeyValueStore


class DiskHomes:
    """Writes the record of this disk, and removes those of lost disks."""

    def __init__(
        self, store: KeyValueStore, member: DiskMember, readable_seconds: float
    ) -> None:
        """Write no record before :meth:`register`.

        :param store: the key-value service.
        :param member: the process with this disk.
        :param readable_seconds: how long a job has to be readable after it was
            accepted.
        """
        self._store = store
        self._member = member
        self._readable_seconds = readable_seconds
        # Since when each disk has been off the board, seconds of the monotonic
        # clock.
        self._absent_since: dict[str, float] = {}

    @property
    def key(self) -> str:
        """Return the key of the record of this disk."""
        return storekeys.name_key(storekeys.HOMES, self._member.name)

    def register(self) -> bool:
        """Write the record of this disk unless it stands.

        :returns: false if the store has not confirmed it.
        """
        read = self._store.get(self.key)
        if isinstance(read, Err):
            return False
        entry = read.ok_value
        content = msgspec.json.encode(self._member)
        if entry is not None and entry.value == content:
            return True
        revision = 0 if entry is None else entry.revision
        written = self._store.commit(
            Commit({self.key: revision}, {self.key: content})
        )
        return isinstance(written, Ok)

    def remove(self) -> None:
        """Remove the record of this disk, which is empty.

        An order that was confirmed before leaves it if the process starts
        again meanwhile.
        """
        self._store.commit(Commit(deletes=(self.key,)))

    def observe(self, board: Board) -> None:
        """Remove the records of disks that have been off the board for long.

        :param board: the board, which may be seconds old.
        """
        now = time.monotonic()
        self._absent_since = {
            name: self._absent_since.get(name, now)
            for name in board.homes
            if name not in board.disks
        }
        for name, since in self._absent_since.items():
            if now - since > self._readable_seconds:
                self._give_up(board.homes[name], now - since)

    def _give_up(self, home: DiskHome, seconds: float) -> None:
        key = storekeys.name_key(storekeys.HOMES, home.member.name)
        removed = self._store.commit(
            Commit({key: home.revision}, deletes=(key,))
        )
        if isinstance(removed, Ok):
            log_event(
                Event.disk_given_up,
                vm=home.member.name,
                absent=round(seconds),
            )
