"""Follows the items assigned to this process and reads what they need."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from wigeonpier.hosted.items import ItemWork, drop_work
from wigeonpier.hosted.ledger import decode_assignment
from wigeonpier.models import Assignment, ItemProgress
from wigeonpier.platform import storekeys
from wigeonpier.platform.decoding import OddValueError
from wigeonpier.policy.jobage import JobClock
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.itemclaims import ClaimTable
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.runner import ItemRunner
    from wigeonpier.models import JobItem, OpenJob
    from wigeonpier.platform.port import Change, Failure
    from wigeonpier.platform.view import WatcherFactory

READ_RETRY_SECONDS = 0.3
# Wall clocks differ between VMs; an item must not be abandoned too early.
RETENTION_SLACK_SECONDS = 6.0
# Each process attempts an item at least this long, even if the job seems older
# than its retention.
MIN_ATTEMPT_SECONDS = 9.0
NO_PROGRESS = ItemProgress((), '', 0)

PriorState = tuple[frozenset[int], dict[int, ItemProgress]]


class AssignmentFollower:
    """Passes the items that are assigned to this process to the runner."""

    def __init__(
        self,
        vm: str,
        ledger: JobLedger,
        runner: ItemRunner,
        make_watcher: WatcherFactory,
        refresh_quarantine: Callable[[], object],
        wait: Callable[[float], object] = gevent.sleep,
    ) -> None:
        """Follow the assignments of a VM once started.

        :param vm: name of this process's VM.
        :param ledger: jobs in the store.
        :param runner: runs the items.
        :param make_watcher: makes the view of the assignments.
        :param refresh_quarantine: rereads the refused requests from the store.
        :param wait: waits the given seconds before a failed read is repeated;
            while the store is unreachable, until it answers again.
        """
        self._wait = wait
        self._vm = vm
        self._clock = JobClock(time.time(), time.monotonic())
        self._refresh_quarantine = refresh_quarantine
        self._ledger = ledger
        self._runner = runner
        # Items that other processes are handing over to this one.
        self.claims: ClaimTable | None = None
        self._assigned: dict[str, Assignment] = {}
        # Positions of the items that were passed to the runner.
        self._adopted: defaultdict[str, set[int]] = defaultdict(set)
        # The open jobs with items here, and the revisions of their keys on the
        # board.  Each write of such a key writes the assignments that it
        # changes in the same transaction, so an assignment shows both.
        self._boards: dict[str, tuple[OpenJob, int]] = {}
        # Revisions at which this process itself handed items over.
        self._moved_at: dict[str, int] = {}
        self.view = make_watcher(
            storekeys.name_prefix(storekeys.ASSIGNMENTS, vm),
            self._apply,
        )

    def start(self) -> None:
        """Start following the assignments."""
        self.view.start()

    @property
    def has_work(self) -> bool:
        """Check whether items are assigned to this process."""
        return bool(self._assigned)

    def find_board(self, job: str) -> tuple[OpenJob, int] | None:
        """Look up what is known of the key of a job on the board.

        :param job: id of the job.
        :returns: its value and revision, ``None`` if no item of it is here.
        """
        return self._boards.get(job)

    def refresh_board(self, job: str) -> bool:
        """Read the key of a job on the board; costs a stale read.

        :param job: id of the job.
        :returns: whether it is newer than what was known.
        """
        read = self._ledger.find_open_job(job)
        known = self._boards.get(job)
        if isinstance(read, Err) or read.ok_value is None or known is None:
            return False
        if read.ok_value[1] <= known[1]:
            return False
        self._boards[job] = read.ok_value
        return True

    def record_move(self, job: OpenJob, revision: int) -> None:
        """Record that items were handed over, and drop them.

        The answer of the store may arrive after the watch has shown this write
        or a later one, which may have given items back, or the end of the job.
        Then there is nothing to record.

        :param job: the job with its new owners, as written to the board.
        :param revision: revision of that write.
        """
        known = self._boards.get(job.name)
        if known is None or known[1] >= revision:
            return
        indexes = tuple(
            index for index, owner in enumerate(job.owners) if owner == self._vm
        )
        self._drop_moved(job.name, indexes)
        self._boards[job.name] = (job, revision)
        self._moved_at[job.name] = revision
        self._assigned[job.name] = Assignment(job, indexes, (), is_moved=True)

    def _drop_moved(self, job: str, indexes: tuple[int, ...]) -> None:
        """Drop the items that are no longer assigned to this process."""
        moved = self._adopted[job].difference(indexes)
        if moved:
            self._adopted[job] -= moved
            for index in moved:
                drop_work(self._runner.work, (job, index))

    def _apply(self, change: Change) -> None:
        _vm, name = storekeys.parse_assignment(change.key)
        if change.value is None:
            self._forget(name)
            return
        # A handover may be written before the watch shows an earlier change;
        # the change of the handover itself also has what that one assigned.
        if change.revision < self._moved_at.get(name, 0):
            return
        try:
            assignment = decode_assignment(change.value)
        except OddValueError as error:
            log_event(Event.assignment_unreadable, job=name, why=str(error))
            return
        self._drop_moved(name, assignment.indexes)
        self._assigned[name] = assignment
        known = self._boards.get(name)
        if known is None or known[1] < change.revision:
            self._boards[name] = (assignment.job, change.revision)
        if self.claims is not None:
            self._adopt_claimed(assignment, self.claims)
            # Each owner is written when items of a lost one are reassigned.
            if self._adopted[name].issuperset(assignment.indexes):
                return
        self._adopt(assignment)

    def _adopt_claimed(
        self, assignment: Assignment, claims: ClaimTable
    ) -> None:
        """Adopt items that arrived with an offer, without reading the store."""
        job = assignment.job
        age = self._clock.measure_age(job.sent_at, time.monotonic())
        offered = claims.take(job.name, assignment.indexes)
        for found in offered:
            saved = ItemProgress(
                found.texts, found.last_event, found.failures, found.version
            )
            work = _make_work(job, found.index, found.item, saved, age)
            work.saved_events = found.saved_events
            # The offer does not say how many of them are saved.
            work.saved_failures = 0
            work.moves = found.moves + 1
            self._adopted[job.name].add(found.index)
            self._runner.add(work)
        if offered:
            log_event(
                Event.items_received,
                job=job.name,
                items=[taken.item.name for taken in offered],
                events=sum(len(taken.texts) for taken in offered),
            )

    def _forget(self, job: str) -> None:
        self._assigned.pop(job, None)
        self._adopted.pop(job, None)
        self._boards.pop(job, None)
        self._moved_at.pop(job, None)
        self._runner.drop_job(job)

    def _adopt(self, assignment: Assignment) -> None:
        # Only items that are assigned for the first time, while this process
        # watches, are known not to have run before.
        is_new = self.view.is_complete and not assignment.is_moved
        if is_new:
            sent_at = assignment.job.sent_at
            self._clock.record_arrival(sent_at, time.monotonic())
        if is_new and assignment.items:
            self._adopt_items(
                assignment, list(assignment.items), (frozenset(), {})
            )
        else:
            gevent.spawn(self._read_and_adopt, assignment, is_new=is_new)

    def _read_and_adopt(self, assignment: Assignment, *, is_new: bool) -> None:
        name = assignment.job.name
        while self._assigned.get(name) is assignment:
            items = self._read_assigned_items(assignment)
            prior = self._read_prior_state(name, is_new=is_new)
            if isinstance(items, Ok) and isinstance(prior, Ok):
                # The job may have ended during the read.
                if self._assigned.get(name) is assignment:
                    self._adopt_items(
                        assignment, items.ok_value, prior.ok_value
                    )
                return
            self._wait(READ_RETRY_SECONDS)

    def _read_assigned_items(
        self,
        assignment: Assignment,
    ) -> Result[list[JobItem], Failure]:
        if assignment.items:
            return Ok(list(assignment.items))
        return self._ledger.read_items(assignment.job).map(
            lambda items: [items[index] for index in assignment.indexes],
        )

    def _read_prior_state(
        self, job: str, *, is_new: bool
    ) -> Result[PriorState, Failure]:
        """Read which items are done and the progress of the others."""
        if is_new:
            return Ok((frozenset(), {}))
        # An item may have been refused because of its runs elsewhere.
        self._refresh_quarantine()
        read = self._ledger.read_job(job)
        if isinstance(read, Err):
            return read
        results = read.ok_value.results if read.ok_value else []
        done = frozenset(placed.index for placed in results)
        return self._ledger.read_progress(job).map(
            lambda progress: (done, progress),
        )

    def _adopt_items(
        self,
        assignment: Assignment,
        items: list[JobItem],
        prior: PriorState,
    ) -> None:
        done, progress = prior
        job = assignment.job
        age = self._clock.measure_age(job.sent_at, time.monotonic())
        adopted = []
        self._adopted[job.name].update(assignment.indexes)
        for index, item in zip(assignment.indexes, items, strict=True):
            if index in done:
                continue
            saved = progress.get(index, NO_PROGRESS)
            if self._runner.add(_make_work(job, index, item, saved, age)):
                adopted.append(item.name)
        log_event(
            Event.item_adopted,
            job=job.name,
            items=adopted,
            done=len(done),
            resumed=len(progress),
            moved=assignment.is_moved,
            age=round(age, 3),
        )


def _make_work(
    job: OpenJob,
    index: int,
    item: JobItem,
    saved: ItemProgress,
    age: float,
) -> ItemWork:
    now = time.monotonic()
    remaining = job.retention - age + RETENTION_SLACK_SECONDS
    return ItemWork(
        job,
        index,
        item,
        due_at=now + job.run_objective - age,
        attempt_until=now + max(remaining, MIN_ATTEMPT_SECONDS),
        texts=list(saved.texts),
        last_event=saved.last_event,
        failures=saved.failures,
        saved_events=len(saved.texts),
        saved_failures=saved.failures,
        inherited_events=len(saved.texts),
        version=saved.version,
    )
