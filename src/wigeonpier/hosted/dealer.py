"""Hands the items of processes that are gone to others.

It runs beside the disks, one in each data centre.  All of them may act at
the same time: each move names the revision that it replaces, so that one of
them succeeds.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok

from wigeonpier.loops import spawn_loop
from wigeonpier.platform import places
from wigeonpier.policy.placement import NOBODY, move_items
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.board import Board
    from wigeonpier.hosted.contact import StoreContact
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.platform.port import Change
    from wigeonpier.platform.view import ViewFactory

# A member whose lease lapsed while the store was away joins again within
# this time; so does one that was restarted at once.
RETURN_SECONDS = 1.6
# Dealers act at different times, so that one of them does the work.
SPREAD_SECONDS = 0.5
# Items that nobody could be found for, or whose move failed, are looked for
# again this often.
SWEEP_SECONDS = 4.0
# Calls to the store are priced: a sweep is made only while jobs are open.
RETRY_SECONDS = 0.4


class Dealer:
    """Watches who runs items, and moves the items of those who are gone."""

    def __init__(
        self,
        ledger: JobLedger,
        make_view: ViewFactory,
        contact: StoreContact,
        draw: random.Random,
    ) -> None:
        """Follow the members once started."""
        self._ledger = ledger
        self._contact = contact
        self._draw = draw
        self._gone: set[str] = set()
        self._view = make_view(places.MEMBERS, self._apply)

    def start(self) -> None:
        """Begin to follow."""
        self._view.start()
        spawn_loop('sweep', self._sweep)

    def _apply(self, change: Change) -> None:
        name = change.key.removeprefix(places.MEMBERS)
        if change.value is not None:
            if NOBODY not in self._gone:
                self._gone.add(NOBODY)
                gevent.spawn_later(RETURN_SECONDS, self._move_all, NOBODY)
            return
        if name not in self._gone:
            self._gone.add(name)
            spread = self._draw.uniform(0, SPREAD_SECONDS)
            gevent.spawn_later(RETURN_SECONDS + spread, self._move_all, name)

    def _sweep(self) -> None:
        """Find items whose owner is gone though no change was seen."""
        gevent.sleep(SWEEP_SECONDS * self._draw.uniform(1, 2))
        if not self._view.is_complete or self._contact.is_lost:
            return
        # Whoever seems to be gone is looked for again before items move.
        read = self._ledger.read_board(may_be_old=True)
        if isinstance(read, Err):
            return
        owners = {
            owner for job in read.ok_value.jobs.values() for owner in job.owners
        }
        for owner in owners - set(read.ok_value.members) - self._gone:
            self._gone.add(owner)
            gevent.spawn_later(RETURN_SECONDS, self._move_all, owner)

    def _move_all(self, lost: str) -> None:
        while not self._try_move_all(lost):
            gevent.sleep(RETRY_SECONDS)
        self._gone.discard(lost)

    def _try_move_all(self, lost: str) -> bool:
        """Move what a lost process has; false where it must be tried again."""
        if places.name_key(places.MEMBERS, lost) in self._view.entries:
            return True
        read = self._ledger.read_board()
        if isinstance(read, Err):
            return False
        board = read.ok_value
        if lost in board.members:
            return True
        outcomes = [
            self._move(board, name, lost)
            for name, job in list(board.jobs.items())
            if lost in job.owners
        ]
        return all(outcomes)

    def _move(self, board: Board, name: str, lost: str) -> bool:
        job = board.jobs[name]
        members = board.list_members(job.service)
        if not [member for member in members if member.name != lost]:
            return True
        owners = move_items(
            job,
            lost,
            members,
            list(board.jobs.values()),
            time.time(),
        )
        moved = self._ledger.move(job, board.revisions[name], lost, owners)
        if isinstance(moved, Ok):
            log_event(
                Event.items_moved,
                job=name,
                lost=lost,
                owners=sorted(set(owners) - set(job.owners)),
            )
        return isinstance(moved, Ok)
