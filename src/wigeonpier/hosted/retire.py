"""Orders of the operator to empty a VM with a disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.platform.operator import (
    RETIRE_ORDERS,
    encode_retired,
    name_retire_state,
)
from wigeonpier.platform.port import Commit, Failure
from wigeonpier.platform.view import PrefixView
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random

    from wigeonpier.platform.port import Change
    from wigeonpier.platform.store import KeyValueStore

PAUSE_SECONDS = 0.5


class RetireDesk:
    """Confirms orders: batch jobs live in the store, no disk holds any."""

    def __init__(self, store: KeyValueStore, draw: random.Random) -> None:
        """Follow the orders once started."""
        self._store = store
        self._view = PrefixView(store, RETIRE_ORDERS, self._apply, draw)

    def start(self) -> None:
        """Begin to follow."""
        self._view.start()

    def _apply(self, change: Change) -> None:
        if change.value is not None:
            gevent.spawn(self._confirm, change.key)

    def _confirm(self, order: str) -> None:
        """Confirm once; every process with a disk tries, one succeeds."""
        state = name_retire_state(order)
        change = Commit({state: 0}, {state: encode_retired()})
        while True:
            written = self._store.commit(change)
            if not isinstance(written, Err):
                log_event(Event.retired, order=order)
                return
            if written.err_value is Failure.conflict:
                return
            gevent.sleep(PAUSE_SECONDS)
