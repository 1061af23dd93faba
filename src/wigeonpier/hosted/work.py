"""Runs the batch items that belong to this process beside its upstream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.hosted.items import ItemWork, RunEnd, run_item
from wigeonpier.hosted.ledger import Board
from wigeonpier.hosted.results import ResultWriter
from wigeonpier.loops import spawn_loop
from wigeonpier.models import ItemResult, ItemState
from wigeonpier.platform import keys
from wigeonpier.platform.view import PrefixView
from wigeonpier.policy import pacing
from wigeonpier.policy.placement import find_owner
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.upstream import OwnUpstream
    from wigeonpier.models import HostSettings, OpenJob
    from wigeonpier.platform.port import Change
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.exchange import ConnectionPool

    Key = tuple[str, int]

TICK_SECONDS = 0.06
IDLE_TICK_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 0.7
# A member whose lease lapsed while the store was away joins again within
# this time; its items stay with it until then.
RETURN_SECONDS = 1.5
READ_PAUSE_SECONDS = 0.3
RETRY_SECONDS = 0.25
FAILED_RETRY_SECONDS = 0.5
# The day's clock may differ between VMs, and jump by a few seconds.
RETENTION_SLACK_SECONDS = 6.0
# Events of an item, for the share that is done.
USUAL_EVENTS = 190.0


class BatchWorker:
    """Follows the board, adopts items, runs them and has them kept."""

    def __init__(
        self,
        settings: HostSettings,
        ledger: JobLedger,
        upstream: OwnUpstream,
        pool: ConnectionPool,
        metrics: Metrics,
        draw: random.Random,
    ) -> None:
        """Run items of the service of the upstream."""
        self.work: dict[Key, ItemWork] = {}
        self._settings = settings
        self._ledger = ledger
        self._upstream = upstream
        self._pool = pool
        self._metrics = metrics
        self._board = Board()
        self._gone_at: dict[str, float] = {}
        self._known: set[Key] = set()
        self._loading: set[str] = set()
        self._run_seconds = pacing.FIRST_RUN_SECONDS
        self._is_leaving = False
        self._started_at = time.monotonic()
        self.writer = ResultWriter(ledger)
        self.view = PrefixView(
            ledger.store,
            keys.BOARD,
            self._apply,
            draw,
            longest_pause=LONGEST_PAUSE_SECONDS,
        )

    def start(self) -> None:
        """Begin to follow the board and to run items."""
        self.view.start()
        self.writer.start()
        spawn_loop('pace', self._tick)

    def leave(self) -> None:
        """Start no item any more, and stop those that run."""
        self._is_leaving = True
        for work in self.work.values():
            work.stop()

    def _apply(self, change: Change) -> None:
        if change.value is None:
            name = change.key.removeprefix(keys.MEMBERS)
            if name in self._board.members:
                self._gone_at[name] = time.monotonic()
                gevent.spawn_later(RETURN_SECONDS, self._drop_member, name)
                return
            self._board.remove(change.key)
            self._drop_job(change.key.removeprefix(keys.OPEN_JOBS))
            return
        self._board.put(change.key, change.value)
        self._gone_at.pop(change.key.removeprefix(keys.MEMBERS), None)
        self._adopt_all()

    def _drop_member(self, name: str) -> None:
        gone_at = self._gone_at.get(name)
        if gone_at is None or time.monotonic() - gone_at < RETURN_SECONDS / 2:
            return
        del self._gone_at[name]  # noqa: WPS420
        self._board.members.pop(name, None)
        self._adopt_all()

    def _drop_job(self, job: str) -> None:
        for key in [key for key in self.work if key[0] == job]:
            work = self.work.pop(key)
            work.is_dropped = True
            work.stop()
        self._known = {key for key in self._known if key[0] != job}

    def _adopt_all(self) -> None:
        if not self.view.is_complete and not self._board.members:
            return
        for job in list(self._board.jobs.values()):
            if job.service == self._settings.service:
                self._adopt(job)

    def _adopt(self, job: OpenJob) -> None:
        members = [
            member.name for member in self._board.list_members(job.service)
        ]
        mine = [
            index
            for index in range(len(job.owners))
            if find_owner(job, index, members) == self._settings.name
            and (job.name, index) not in self._known
        ]
        if mine and job.name not in self._loading:
            self._loading.add(job.name)
            gevent.spawn(self._load, job)

    def _load(self, job: OpenJob) -> None:
        """Read the items of a job that are this process's now."""
        try:
            while job.name in self._board.jobs and not self._try_load(job):
                gevent.sleep(READ_PAUSE_SECONDS)
        finally:
            self._loading.discard(job.name)

    def _try_load(self, job: OpenJob) -> bool:
        head = self._ledger.read_head(job.name)
        if isinstance(head, Err):
            return False
        if head.ok_value is None:
            return True
        items = self._ledger.read_items(head.ok_value)
        listed = self._ledger.read_results(job.name)
        if isinstance(items, Err) or isinstance(listed, Err):
            return False
        done = {placed.index for placed in listed.ok_value[0]}
        members = [
            member.name for member in self._board.list_members(job.service)
        ]
        now = time.monotonic()
        age = max(0.0, time.time() - job.sent_at)
        for index, item in enumerate(items.ok_value):
            key = (job.name, index)
            is_mine = find_owner(job, index, members) == self._settings.name
            if not is_mine or key in self._known:
                continue
            self._known.add(key)
            if index in done:
                continue
            self.work[key] = ItemWork(
                job,
                index,
                item,
                now + job.run_objective - age,
                now + job.retention - age + RETENTION_SLACK_SECONDS,
            )
        self._log_adopted(job, age)
        if len(done) >= len(items.ok_value):
            self._ledger.close(job.name)
        return True

    def _log_adopted(self, job: OpenJob, age: float) -> None:
        log_event(
            Event.item_adopted,
            job=job.name,
            items=[key[1] for key in self.work if key[0] == job.name],
            age=round(age, 3),
        )

    def _tick(self) -> None:
        if not self.work:
            gevent.sleep(IDLE_TICK_SECONDS)
            if not self._upstream.is_usable or not self._upstream.report:
                self._upstream.look()
            return
        self._upstream.look()
        self._expire()
        if self._upstream.is_usable and not self._is_leaving:
            self._set_pace()
        gevent.sleep(TICK_SECONDS)

    def _set_pace(self) -> None:
        report = self._upstream.report
        replica = self._upstream.replica
        if report is None or replica is None:
            return
        now = time.monotonic()
        running = [work for work in self.work.values() if work.is_running]
        waiting = [
            work
            for work in self.work.values()
            if not work.is_running and work.retry_at <= now
        ]
        view = pacing.UpstreamView(
            replica.slots,
            report.running,
            report.waiting,
            self._run_seconds,
        )
        pace = pacing.set_pace(
            view,
            [_view_item(work, now) for work in running],
            [_view_item(work, now) for work in waiting],
        )
        for key in pace.pause:
            work = self.work[key]
            self._log_item(Event.item_paused, work)
            work.stop()
        for key in pace.start:
            self._start(self.work[key])

    def _start(self, work: ItemWork) -> None:
        work.is_running = True
        work.is_paused = False
        self._log_item(Event.item_started, work)
        gevent.spawn(self._run, work)

    def _run(self, work: ItemWork) -> None:
        replica = self._upstream.replica
        try:
            if replica is None:
                end = RunEnd.not_run
            else:
                end = run_item(work, replica, self._pool)
        finally:
            work.is_running = False
        if work.is_dropped:
            return
        self._metrics.count('item_runs_total', end=end.value)
        if end is RunEnd.whole:
            self._run_seconds = pacing.learn_run(
                self._run_seconds,
                work.run_seconds,
            )
            self._finish(work, ItemState.completed)
        elif end is RunEnd.impossible:
            self._finish(work, ItemState.abandoned)
        elif end is not RunEnd.paused:
            self._note_bad_run(work, end)

    def _note_bad_run(self, work: ItemWork, end: RunEnd) -> None:
        pause = RETRY_SECONDS
        if end is RunEnd.failed:
            work.failures += 1
            pause = FAILED_RETRY_SECONDS
        self._log_item(Event.item_broken, work, end=end.value)
        if work.failures >= work.job.tries:
            self._finish(work, ItemState.abandoned)
        work.retry_at = time.monotonic() + pause

    def _finish(self, work: ItemWork, state: ItemState) -> None:
        self.work.pop(work.key, None)
        output = '\n'.join(work.texts) if state is ItemState.completed else ''
        self.writer.add(work.key, ItemResult(work.item.name, state, output))
        self._log_item(Event.item_done, work, state=state.value)
        self._metrics.count('items_total', state=state.value)

    def _expire(self) -> None:
        now = time.monotonic()
        for work in list(self.work.values()):
            if now > work.keep_until and not work.is_running:
                self._finish(work, ItemState.abandoned)

    def _log_item(self, event: Event, work: ItemWork, **fields: str) -> None:
        report = self._upstream.report
        log_event(
            event,
            job=work.job.name,
            item=work.item.name,
            events=len(work.texts),
            failures=work.failures,
            due_in=round(work.due_at - time.monotonic(), 3),
            running=report.running if report else -1,
            waiting=report.waiting if report else -1,
            **fields,
        )


def _view_item(work: ItemWork, now: float) -> pacing.ItemView:
    return pacing.ItemView(
        work.key,
        work.due_at - now,
        min(1.0, len(work.texts) / USUAL_EVENTS),
    )
