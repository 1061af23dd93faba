"""Runs batch items at the upstream on this VM, beside online requests."""

from __future__ import annotations

import time
import traceback
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from wigeonpier.hosted.items import (
    NOT_RUN,
    ItemWork,
    RunOutcome,
    drop_work,
    run_item,
)
from wigeonpier.loops import spawn_loop
from wigeonpier.models import ItemResult, ItemState
from wigeonpier.platform import ingress
from wigeonpier.policy import pacing
from wigeonpier.policy.breaker import CircuitBreaker
from wigeonpier.policy.runlengths import RunLengths
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.hosted.itemtrials import ItemTrials
    from wigeonpier.hosted.reservations import SlotTable
    from wigeonpier.hosted.results import ResultWriter
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.models import Replica
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.pool import ConnectionPool

    Key = tuple[str, int]

# An online request that waits for a slot waits at most until the next step.
STEP_SECONDS = 0.05
IDLE_STEP_SECONDS = 0.25
RETRY_SECONDS = 0.25
FAILED_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ObservedItems:
    """Items of one worker at one moment.

    :param upstream: load of the upstream.
    :param items: all items, running or waiting.
    :param running: how many of them run.
    :param lengths: how long items run.
    :param version: software version of the upstream.
    """

    upstream: pacing.UpstreamView
    items: list[pacing.ItemView]
    running: int
    lengths: RunLengths
    version: str


class ItemRunner:
    """Starts, pauses and finishes items as decided by the pacing policy."""

    def __init__(
        self,
        upstream: LocalUpstream,
        writer: ResultWriter,
        pool: ConnectionPool,
        metrics: Metrics,
        slots: SlotTable,
        trials: ItemTrials,
    ) -> None:
        """Run items at the upstream once started."""
        self._trials = trials
        self.work: dict[Key, ItemWork] = {}
        self._upstream = upstream
        self._writer = writer
        self._pool = pool
        self._metrics = metrics
        self._slots = slots
        self._finished: set[Key] = set()
        self._lengths = RunLengths()
        self.is_leaving = False
        self.breaker = CircuitBreaker()

    def start(self) -> None:
        """Start running items."""
        spawn_loop('pace', self._step)

    def leave(self) -> None:
        """Start no more items and stop the running ones."""
        self.is_leaving = True
        for work in self.work.values():
            work.stop()

    def add(self, work: ItemWork) -> bool:
        """Add an item unless it is already queued, running or finished.

        :param work: the item.
        :returns: whether it was added.
        """
        if work.key in self.work or work.key in self._finished:
            return False
        self.work[work.key] = work
        return True

    def count_preemptible(self) -> int:
        """Count the running items that are paused when requests need slots.

        :returns: number of items.
        """
        now = time.monotonic()
        running = [
            self._make_item_view(work, now)
            for work in self.work.values()
            if work.is_running
        ]
        upstream = self._make_upstream_view()
        if upstream is None:
            return len(running)
        return len(running) - pacing.count_held_slots(upstream, running)

    def update_pace(self) -> None:
        """Start items in free slots, and pause items for online requests.

        It is also called when a slot is reserved: if that waited for the next
        step, the request would be delayed by some 50 ms.
        """
        if self.work and self._upstream.is_usable and not self.is_leaving:
            self._apply_pace()

    def observe(self) -> ObservedItems:
        """Describe the upstream and all items for the policies.

        :returns: the upstream, without slots while it is not known; the items.
        """
        now = time.monotonic()
        return ObservedItems(
            self._make_upstream_view()
            or pacing.UpstreamView(0, 0, 0, self._lengths.seconds),
            [self._make_item_view(work, now) for work in self.work.values()],
            sum(work.is_running for work in self.work.values()),
            self._lengths,
            self._upstream.version,
        )

    def drop_job(self, job: str) -> None:
        """Stop all items of a job that ended or was assigned elsewhere.

        :param job: id of the job.
        """
        for work in list(self.work.values()):
            if work.job.name == job:
                drop_work(self.work, work.key)
        self._finished = {key for key in self._finished if key[0] != job}

    def _step(self) -> None:
        if not self.work:
            gevent.sleep(IDLE_STEP_SECONDS)
            if not self._upstream.is_usable or not self._upstream.report:
                self._upstream.poll()
            return
        self._upstream.poll()
        self._abandon_expired()
        self.update_pace()
        gevent.sleep(STEP_SECONDS)

    def _apply_pace(self) -> None:
        upstream = self._make_upstream_view()
        if upstream is None:
            return
        now = time.monotonic()
        running = [work for work in self.work.values() if work.is_running]
        is_refusing = self.breaker.is_paused(now)
        waiting = [
            work
            for work in self.work.values()
            if not is_refusing
            and not work.is_running
            and work.retry_at <= now
            and self._trials.is_runnable(work)
        ]
        pace = pacing.decide_pace(
            upstream,
            [self._make_item_view(work, now) for work in running],
            [self._make_item_view(work, now) for work in waiting],
        )
        for key in pace.pause:
            work = self.work[key]
            self._log_item(Event.item_paused, work)
            work.stop()
        self._trials.update(running)
        for key in pace.start:
            self._start(self.work[key])

    def _start(self, work: ItemWork) -> None:
        # A run that is lost in an upstream crash is no failure of the item,
        # but an item that causes the crash would crash each restart as well.
        if not self._trials.try_admit(work):
            return
        work.is_running = True
        work.is_paused = False
        self._log_item(Event.item_started, work)
        gevent.spawn(self._run, work)

    def _run(self, work: ItemWork) -> None:
        replica = self._upstream.replica
        outcome = self._run_once(work, replica)
        work.is_running = False
        self._trials.finish(work, is_broken=outcome is RunOutcome.broken)
        self._update_breaker(outcome, replica)
        if work.is_dropped:
            return
        self._metrics.count('item_runs_total', end=outcome.value)
        if outcome is RunOutcome.whole:
            # Its run time is only that of the remaining events.
            if not work.inherited_events:
                self._lengths.record(work.run_seconds, len(work.texts))
            self._trials.record_completion(work)
            self._finish(work, ItemState.completed)
        elif outcome is RunOutcome.impossible:
            self._trials.record_failed_answer(work)
            self._finish(work, ItemState.abandoned)
        elif outcome is not RunOutcome.paused:
            self._record_failed_run(work, outcome)

    def _make_upstream_view(self) -> pacing.UpstreamView | None:
        report = self._upstream.report
        replica = self._upstream.replica
        if report is None or replica is None:
            return None
        return pacing.UpstreamView(
            replica.slots,
            report.running,
            report.waiting + self._slots.count(self._upstream.polled_at),
            self._lengths.seconds,
            self._lengths.deviation,
        )

    def _update_breaker(
        self, outcome: RunOutcome, replica: Replica | None
    ) -> None:
        """Record in the breaker whether the upstream accepts items."""
        if outcome is RunOutcome.paused:
            return
        if outcome not in NOT_RUN:
            self.breaker.record_run()
            return
        upstream = self._make_upstream_view()
        self.breaker.record_refusal(
            time.monotonic(),
            has_free_slot=upstream is not None and upstream.has_free_slot,
        )
        if outcome is RunOutcome.replaced and replica is not None:
            self._upstream.record_replaced(replica)

    def _run_once(self, work: ItemWork, replica: Replica | None) -> RunOutcome:
        if replica is None:
            return RunOutcome.unreachable
        if work.bind_version(self._upstream.version):
            self._log_item(Event.item_restarted, work)
        try:
            return run_item(work, replica, self._pool)
        except Exception:
            # A bug in this process must not keep the item from being retried.
            log_event(
                Event.loop_failed,
                loop='item',
                item=work.item.name,
                trace=traceback.format_exc(),
            )
            return RunOutcome.broken

    def _record_failed_run(self, work: ItemWork, outcome: RunOutcome) -> None:
        pause = RETRY_SECONDS
        has_crashed = (
            outcome is RunOutcome.broken
            and self._trials.record_interrupted_run(work)
        )
        if work.is_faulted and not has_crashed:
            self._trials.health.record_item(work, went_well=False)
        if outcome is RunOutcome.failed:
            self._trials.record_failed_answer(work)
            work.failures += 1
            pause = FAILED_RETRY_SECONDS
        self._log_item(
            Event.item_broken,
            work,
            end=outcome.value,
            fingerprint=work.fingerprint,
            parts=' '.join(ingress.list_shared_parts(work.item)),
            has_ended=has_crashed,
        )
        if work.failures >= work.job.tries:
            self._finish(work, ItemState.abandoned)
        work.retry_at = time.monotonic() + pause

    def _finish(self, work: ItemWork, state: ItemState) -> None:
        self.work.pop(work.key, None)
        output = '\n'.join(work.texts) if state is ItemState.completed else ''
        self._finished.add(work.key)
        if state is ItemState.completed:
            self._trials.health.record_item(work, went_well=True)
        self._writer.add(work.key, ItemResult(work.item.name, state, output))
        self._log_item(Event.item_done, work, state=state.value)
        self._metrics.count('items_total', state=state.value)

    def _abandon_expired(self) -> None:
        now = time.monotonic()
        for work in list(self.work.values()):
            if now > work.attempt_until and not work.is_running:
                self._finish(work, ItemState.abandoned)

    def _log_item(
        self, event: Event, work: ItemWork, **fields: str | bool
    ) -> None:
        report = self._upstream.report
        log_event(
            event,
            job=work.job.name,
            item=work.item.name,
            version=self._upstream.version,
            events=len(work.texts),
            failures=work.failures,
            due_in=round(work.due_at - time.monotonic(), 3),
            running=report.running if report else -1,
            waiting=report.waiting if report else -1,
            **fields,
        )

    def _make_item_view(self, work: ItemWork, now: float) -> pacing.ItemView:
        return pacing.ItemView(
            work.key,
            work.due_at - now,
            work.count_events(self._upstream.version) / self._lengths.events,
            work.job.priority,
        )
