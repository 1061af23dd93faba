"""Saves the text of unfinished items, so that it survives a lost process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.loops import spawn_loop
from wigeonpier.models import ItemProgress
from wigeonpier.policy.progress import should_save_progress
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wigeonpier.hosted.items import ItemWork
    from wigeonpier.hosted.ledger import JobLedger

# An item alone runs for about 5 s; a lost process then costs half of that.
SAVE_INTERVAL_SECONDS = 2.5
# Batches progress updates to limit store writes.
MIN_NEW_EVENTS = 40
# Kept below the limits of one call to the store.
MAX_ITEMS_PER_SAVE = 24
MAX_CHARACTERS_PER_SAVE = 400_000


class ProgressSaver:
    """Writes the progress of items periodically and at shutdown."""

    def __init__(
        self,
        ledger: JobLedger,
        work: dict[tuple[str, int], ItemWork],
        estimate_run_seconds: Callable[[], float],
    ) -> None:
        """Save the progress of the runner's items once started.

        :param ledger: jobs in the store.
        :param work: items of this process.
        :param estimate_run_seconds: estimates how long a complete item takes.
        """
        self._ledger = ledger
        self._work = work
        self._estimate_run_seconds = estimate_run_seconds

    def start(self) -> None:
        """Start saving periodically."""
        spawn_loop('progress', self._step)

    def save_all(self) -> None:
        """Save what is new of all items before the process shuts down."""
        self._save(
            work
            for work in self._work.values()
            if len(work.texts) > work.saved_events or _has_new_failures(work)
        )

    def save_due(self) -> None:
        """Save the items that would be late if they were lost now.

        The same write saves the failures of other items, so that a job's tries
        are not exceeded after a reassignment.  They cause no write of their
        own: where some requests always fail, that would be one per interval.
        """
        now = time.monotonic()
        run_seconds = self._estimate_run_seconds()
        due = [
            work
            for work in self._work.values()
            if len(work.texts) - work.saved_events >= MIN_NEW_EVENTS
            and should_save_progress(
                work.due_at - now, run_seconds, SAVE_INTERVAL_SECONDS
            )
        ]
        if due:
            due_keys = {work.key for work in due}
            failed = [
                work
                for work in self._work.values()
                if _has_new_failures(work) and work.key not in due_keys
            ]
            self._save([*due, *failed])

    def _save(self, candidates: Iterable[ItemWork]) -> None:
        batch = list(_limit_batch(candidates))
        if not batch:
            return
        progress = {
            work.key: ItemProgress(
                tuple(work.texts),
                work.last_event,
                work.failures,
                work.version,
            )
            for work in batch
        }
        written = self._ledger.write_progress(progress)
        if isinstance(written, Err):
            log_event(
                Event.progress_unsaved,
                items=len(batch),
                why=written.err_value.value,
            )
            return
        for work in batch:
            work.saved_events = len(progress[work.key].texts)
            work.saved_failures = progress[work.key].failures

    def _step(self) -> None:
        gevent.sleep(SAVE_INTERVAL_SECONDS)
        self.save_due()


def _has_new_failures(work: ItemWork) -> bool:
    return work.failures > work.saved_failures


def _limit_batch(candidates: Iterable[ItemWork]) -> Iterable[ItemWork]:
    size = 0
    for number, work in enumerate(candidates):
        size += sum(len(text) for text in work.texts)
        if number and (
            number >= MAX_ITEMS_PER_SAVE or size > MAX_CHARACTERS_PER_SAVE
        ):
            return
        yield work
