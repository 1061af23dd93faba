"""Reassigns the items of lost processes.

One instance runs in each data centre, in the process with a disk.  They may
act at the same time: each write is conditional on the revision that it
replaces, so that only one of them succeeds.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok

from wigeonpier.loops import spawn_loop
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Failure
from wigeonpier.policy.placement import UNASSIGNED, reassign_items
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.hosted.board import Board
    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.platform.port import Change
    from wigeonpier.platform.view import WatcherFactory

# A member whose lease expired during a store outage, or that was restarted
# immediately, rejoins within this time.
REJOIN_SECONDS = 1.6
# Spreads the attempts of several instances so that one of them does the work.
MAX_JITTER_SECONDS = 0.5
# Interval for retrying items that had no new owner or were not reassigned.
SCAN_INTERVAL_SECONDS = 4.0
# Calls to the store are billed; a scan is needed only while jobs are open.
RETRY_SECONDS = 0.4


class ItemReassigner:
    """Watches the members and reassigns the items of lost ones."""

    def __init__(
        self,
        ledger: JobLedger,
        make_watcher: WatcherFactory,
        store_health: StoreHealth,
        rng: random.Random,
    ) -> None:
        """Watch the members once started."""
        self._ledger = ledger
        self._store_health = store_health
        self._rng = rng
        self._pending: set[str] = set()
        # Called with each board that a scan reads.
        self.on_board: Callable[[Board], object] = _ignore_board
        self._view = make_watcher(storekeys.MEMBERS, self._apply)

    def start(self) -> None:
        """Start watching."""
        self._view.start()
        spawn_loop('sweep', self._scan)

    def _apply(self, change: Change) -> None:
        name = change.key.removeprefix(storekeys.MEMBERS)
        if change.value is not None:
            if UNASSIGNED not in self._pending:
                self._pending.add(UNASSIGNED)
                gevent.spawn_later(
                    REJOIN_SECONDS, self._reassign_items, UNASSIGNED
                )
            return
        if name not in self._pending:
            self._pending.add(name)
            jitter = self._rng.uniform(0, MAX_JITTER_SECONDS)
            gevent.spawn_later(
                REJOIN_SECONDS + jitter, self._reassign_items, name
            )

    def _scan(self) -> None:
        """Find items of lost owners whose removal was not seen."""
        gevent.sleep(SCAN_INTERVAL_SECONDS * self._rng.uniform(1, 2))
        if not self._view.is_complete or self._store_health.is_unreachable:
            return
        # A stale read is enough here: membership is checked again before any
        # item is reassigned.
        read = self._ledger.read_board(allow_stale=True)
        if isinstance(read, Err):
            return
        self.on_board(read.ok_value)
        owners = {
            owner for job in read.ok_value.jobs.values() for owner in job.owners
        }
        for owner in owners - set(read.ok_value.members) - self._pending:
            self._pending.add(owner)
            gevent.spawn_later(REJOIN_SECONDS, self._reassign_items, owner)

    def _reassign_items(self, lost: str) -> None:
        while not self._try_reassign_items(lost):
            gevent.sleep(RETRY_SECONDS)
        self._pending.discard(lost)

    def _try_reassign_items(self, lost: str) -> bool:
        """Reassign the items of a lost process; return false to retry."""
        if storekeys.name_key(storekeys.MEMBERS, lost) in self._view.entries:
            return True
        read = self._ledger.read_board()
        if isinstance(read, Err):
            return False
        board = read.ok_value
        if lost in board.members:
            return True
        outcomes = [
            self._reassign_job(board, name, lost)
            for name, job in list(board.jobs.items())
            if lost in job.owners
        ]
        return all(outcomes)

    def _reassign_job(self, board: Board, name: str, lost: str) -> bool:
        job = board.jobs[name]
        members = board.list_members(job.service)
        if not [member for member in members if member.name != lost]:
            return True
        owners = reassign_items(
            job,
            lost,
            members,
            list(board.jobs.values()),
            time.time(),
        )
        reassigned = self._ledger.reassign(
            job, board.revisions[name], lost, owners
        )
        if isinstance(reassigned, Ok):
            log_event(
                Event.items_moved,
                job=name,
                lost=lost,
                owners=sorted(set(owners) - set(job.owners)),
            )
            return True
        # The next scan tries again what the store has rejected.
        return reassigned.err_value is Failure.rejected


def _ignore_board(_board: Board) -> None:
    """Do nothing; the default callback of a scan."""
