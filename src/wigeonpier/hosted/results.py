"""Writes results of items to the store, with retries until they are stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Signal
from result import Err

from wigeonpier.loops import spawn_loop
from wigeonpier.platform.port import Failure
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.models import ItemResult

    Key = tuple[str, int]

# Results that arrive within this time are written together.
BATCH_DELAY_SECONDS = 0.03
RETRY_PAUSE_SECONDS = 0.2
MAX_RESULTS_PER_WRITE = 16
MAX_BYTES_PER_WRITE = 500_000

# One result may be the reason, so that the others are written without it.
SINGLE_FAILURES = (Failure.conflict, Failure.rejected)


class ResultWriter:
    """Writes results, and keeps those that are not known to be stored yet."""

    def __init__(
        self,
        ledger: JobLedger,
        wait: Callable[[float], object] = gevent.sleep,
    ) -> None:
        """Write to the ledger once started.

        :param ledger: stores the results.
        :param wait: waits the given seconds before a failed write is repeated;
            while the store is unreachable, until it answers again.
        """
        self._ledger = ledger
        self._wait = wait
        self._pending: dict[Key, ItemResult] = {}
        # Results that the store never accepts.
        self.rejected: dict[Key, ItemResult] = {}
        self._has_pending = Signal()

    @property
    def is_idle(self) -> bool:
        """Check whether all results are stored."""
        return not self._pending

    def start(self) -> None:
        """Start writing."""
        spawn_loop('results', self._step)

    def add(self, key: Key, result: ItemResult) -> None:
        """Queue a result to be written to the store.

        :param key: job and position of the item.
        :param result: its result.
        """
        self._pending[key] = result
        self._has_pending.set()

    def _step(self) -> None:
        self._has_pending.wait()
        gevent.sleep(BATCH_DELAY_SECONDS)
        batch = self._make_batch()
        failure = self._write(batch)
        if failure in SINGLE_FAILURES and len(batch) > 1:
            for key, result in batch.items():
                self._write({key: result})
        elif failure is not None and failure not in SINGLE_FAILURES:
            self._wait(RETRY_PAUSE_SECONDS)
        if not self._pending:
            self._has_pending.clear()

    def _make_batch(self) -> dict[Key, ItemResult]:
        batch: dict[Key, ItemResult] = {}
        size = 0
        for key, result in self._pending.items():
            size += len(result.output)
            if batch and (
                len(batch) >= MAX_RESULTS_PER_WRITE
                or size > MAX_BYTES_PER_WRITE
            ):
                break
            batch[key] = result
        return batch

    def _write(self, batch: dict[Key, ItemResult]) -> Failure | None:
        written = self._ledger.write_results(batch)
        failure = written.err_value if isinstance(written, Err) else None
        item_names = [result.name for result in batch.values()]
        if failure is Failure.rejected and len(batch) == 1:
            # Others are written behind it.
            for key in batch:
                self.rejected[key] = self._pending.pop(key)
        if failure is not None and failure is not Failure.conflict:
            log_event(
                Event.results_waiting, items=item_names, why=failure.value
            )
            return failure
        if failure is None or len(batch) == 1:
            # A conflict over a single result means that it exists already,
            # written by another process that ran the item, or by an earlier
            # call whose answer was lost.
            log_event(
                Event.results_written,
                items=item_names,
                stood=failure is not None,
            )
            for key in batch:
                self._pending.pop(key, None)
        return failure
