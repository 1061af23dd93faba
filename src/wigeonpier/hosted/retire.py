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
    from wigeonpier.hosted.intake import Intake
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.membership import Membership
    from wigeonpier.platform.port import Change
    from wigeonpier.platform.view import WatcherFactory

PAUSE_SECONDS = 0.5
# Delay of other processes, so that the one with the disk confirms first.
OTHERS_DELAY_SECONDS = 2.0


class RetireHandler:
    """Confirms that the disk of a VM is empty."""

    def __init__(
        self,
        name: str,
        ledger: JobLedger,
        intake: Intake,
        disk: Membership,
        make_watcher: WatcherFactory,
    ) -> None:
        """Watch the orders once started."""
        self._name = name
        self._ledger = ledger
        self._intake = intake
        self._disk = disk
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
        self._confirm(order)

    def _confirm_other(self, order: str) -> None:
        """Confirm for a VM on which no process stores jobs."""
        vm = order.removeprefix(RETIRE_ORDERS)
        while True:
            read = self._ledger.read_board()
            if isinstance(read, Ok):
                break
            gevent.sleep(PAUSE_SECONDS)
        if vm not in read.ok_value.disks:
            self._confirm(order)

    def _confirm(self, order: str) -> None:
        state = name_retire_state(order)
        change = Commit({state: 0}, {state: encode_retired()})
        while True:
            written = self._ledger.store.commit(change)
            if isinstance(written, Ok):
                log_event(Event.retired, order=order)
                return
            if written.err_value is Failure.conflict:
                return
            gevent.sleep(PAUSE_SECONDS)
