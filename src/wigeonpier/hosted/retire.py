"""Handles the operator's orders to retire a VM with a disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from result import Ok

from wigeonpier.platform.operator import (
    RETIRE_ORDERS,
    encode_retired,
    name_retire_state,
)
from wigeonpier.platform.port import Commit, Failure
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.hosted.diskhomes import DiskHomes
    from wigeonpier.hosted.intake import Intake
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.membership import Membership
    from wigeonpier.platform.port import Change
    from wigeonpier.platform.view import WatcherFactory

PAUSE_SECONDS = 0.5
# Confirmed before, or an order for a name that no key can have.
FINAL_FAILURES = (Failure.conflict, Failure.rejected)
# Delay of other processes, so that the one with the disk confirms first.
OTHERS_DELAY_SECONDS = 2.0
# Each check is a call; the disk itself confirms within a second.
OTHERS_INTERVAL_SECONDS = 5.0


class RetireHandler:
    """Confirms that the disk of a VM is empty."""

    def __init__(
        self,
        name: str,
        ledger: JobLedger,
        intake: Intake,
        disk: Membership,
        homes: DiskHomes,
        make_watcher: WatcherFactory,
    ) -> None:
        """Watch the orders once started."""
        self._name = name
        self._ledger = ledger
        self._intake = intake
        self._disk = disk
        self._homes = homes
        self._view = make_watcher(RETIRE_ORDERS, self._apply)

    def start(self) -> None:
        """Start to watch."""
        self._view.start()

    def _apply(self, change: Change) -> None:
        if change.value is None:
            return
        if change.key == RETIRE_ORDERS + self._name:
            self._intake.is_closed = True
            self._disk.is_wanted = False
            gevent.spawn(self._confirm_own, change.key)
        else:
            gevent.spawn_later(
                OTHERS_DELAY_SECONDS, self._confirm_other, change.key
            )

    def _confirm_own(self, order: str) -> None:
        while not self._intake.is_empty:
            gevent.sleep(PAUSE_SECONDS)
        # Its record goes with the confirmation, so that no other process
        # confirms for it before.
        self._confirm(order, (self._homes.key,))
        self._homes.remove()

    def _confirm_other(self, order: str) -> None:
        """Confirm for a VM once no disk of it can hold jobs.

        A VM that hands over its jobs, stands still or has lost its lease is off
        the board as well, but has its record.  That of a lost disk is removed
        once none of its jobs has to be readable.
        """
        vm = order.removeprefix(RETIRE_ORDERS)
        while order in self._view.entries:
            read = self._ledger.read_board()
            board = read.unwrap_or(None)
            if board and vm not in board.disks and vm not in board.homes:
                self._confirm(order)
                return
            gevent.sleep(OTHERS_INTERVAL_SECONDS)

    def _confirm(self, order: str, records: tuple[str, ...] = ()) -> None:
        state = name_retire_state(order)
        change = Commit({state: 0}, {state: encode_retired()}, records)
        while True:
            written = self._ledger.store.commit(change)
            if isinstance(written, Ok):
                log_event(Event.retired, order=order)
                return
            if written.err_value in FINAL_FAILURES:
                return
            gevent.sleep(PAUSE_SECONDS)
