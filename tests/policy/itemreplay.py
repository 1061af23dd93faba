"""A model of batch items at workers of unequal pace, under load peaks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING

from tests.hosted.builders import SERVICE, make_open_job
from wigeonpier.models import Member, OpenJob
from wigeonpier.policy import handover, placement
from wigeonpier.policy.backlog import (
    QueueOutlook,
    SlotAverage,
    predict_queue,
    report_backlog,
)
from wigeonpier.policy.pacing import ItemView, UpstreamView, decide_pace
from wigeonpier.policy.runlengths import RunLengths

if TYPE_CHECKING:
    from wigeonpier.reports import ItemBacklog

WORKERS = 22
SLOTS = 8
ITEM_SECONDS = 4.7
OBJECTIVE_SECONDS = 18.0
# An item has 128 to 155 events.
LENGTHS = (0.905, 1.095)
JOBS_PER_SECOND = 1.26
ITEMS = (8, 12)
# Seconds of a trough and a peak, and slots that online requests take at an
# upstream of pace 1; they are routed by their number, so that a slow upstream
# has more of them at once.
TROUGH = (3.4, 3.0)
PEAK = (2.4, 6.5)
STEP = 0.05
# A reported backlog is 0.1 to 0.2 s old; hints arrive with reservations.
REPORT_STEPS = 3
HINT_STEPS = 5
# Workers are restarted one after the other.  A restarted one has lost its
# averages; its items are reassigned 2 s after it has left.
RESTART_INTERVAL = 5.0
DOWN_SECONDS = 4.0
REASSIGN_SECONDS = 2.0


@dataclass(eq=False)
class ModelItem:
    """One item of a job."""

    key: tuple[str, int]
    due_at: float
    length: float
    done: float = 0
    run_seconds: float = 0
    is_running: bool = False
    is_inherited: bool = False
    moves: int = 0

    def view(self, now: float) -> ItemView:
        """Make what the policies know of the item."""
        return ItemView(self.key, self.due_at - now, self.done)


@dataclass(eq=False)
class ModelWorker:
    """One worker with its upstream."""

    name: str
    pace: float
    items: dict[tuple[str, int], ModelItem] = field(default_factory=dict)
    lengths: RunLengths = field(default_factory=RunLengths)
    average: SlotAverage = field(default_factory=SlotAverage)
    backlog: ItemBacklog | None = None
    down_until: float = 0
    online: int = 0

    def see(self) -> UpstreamView:
        """Make what the policies know of the upstream."""
        running = sum(item.is_running for item in self.items.values())
        return UpstreamView(
            SLOTS,
            self.online + running,
            0,
            self.lengths.seconds,
            self.lengths.deviation,
        )

    def predict(self, now: float) -> QueueOutlook:
        """Predict when the items here run."""
        views = [item.view(now) for item in self.items.values()]
        return predict_queue(self.see(), views, self.average.slots or SLOTS)

    def report(self, now: float) -> None:
        """Update the reported backlog."""
        self.backlog = report_backlog(
            self.name,
            self.predict(now),
            self.lengths.measured_seconds,
            self.backlog,
        )

    def run(self, now: float) -> list[ModelItem]:
        """Run the items for one step; return those that complete."""
        self.average.record(SLOTS - self.online, now)
        items = self.items.values()
        running = [item.view(now) for item in items if item.is_running]
        waiting = [item.view(now) for item in items if not item.is_running]
        pace = decide_pace(self.see(), running, waiting)
        for key in pace.pause:
            self.items[key].is_running = False
        for key in pace.start:
            self.items[key].is_running = True
        finished = []
        for item in items:
            if item.is_running:
                item.run_seconds += STEP
                item.done += STEP / (ITEM_SECONDS * self.pace)
                if item.done >= item.length:
                    finished.append(item)
        for item in finished:
            del self.items[item.key]
            # Averages as at the worker; 150 events are the initial guess.
            if item.is_inherited:
                continue
            self.lengths.record(item.run_seconds, round(150 * item.length))
        return finished


@dataclass(eq=False)
class Replay:
    """One run of the model; ``late`` and ``moves`` are its figures."""

    paces: tuple[float, ...]
    by_completion: bool = False
    with_handover: bool = False
    seed: int = 1
    seconds: float = 60.0
    late: int = 0
    done: int = 0
    moves: int = 0
    most_moves: int = 0
    jobs: dict[str, OpenJob] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    placed: list[tuple[str, ...]] = field(default_factory=list)
    comparison: placement.RunComparison = field(
        default_factory=placement.RunComparison
    )

    def __post_init__(self) -> None:
        """Create the workers."""
        self.rng = random.Random(self.seed)
        self.workers = {
            f'vm-{number}': ModelWorker(
                f'vm-{number}', self.paces[number % len(self.paces)]
            )
            for number in range(WORKERS)
        }
        self.tasks: list[tuple[float, partial[None]]] = []

    def run(self) -> Replay:
        """Run until all items are done."""
        step = 0
        next_job = 0.0
        while step * STEP < self.seconds or any(self.left.values()):
            now = step * STEP
            if now < self.seconds and now >= next_job:
                next_job = now + self.rng.expovariate(JOBS_PER_SECOND)
                self._submit(now)
            self._restart(now)
            for worker in self._list_alive(now):
                worker.online = _count_online(now, worker.pace)
                for item in worker.run(now):
                    self._finish(item, now)
                if step % REPORT_STEPS == 0:
                    worker.report(now)
            if self.with_handover and step % HINT_STEPS == 0:
                for worker in self._list_alive(now):
                    self._hint(worker, now)
            step += 1
        return self

    def _submit(self, now: float) -> None:
        name = f'j{len(self.placed)}'
        count = self.rng.randint(*ITEMS)
        owners = self._place(name, count, now)
        self.placed.append(owners)
        self.jobs[name] = make_open_job(name, owners=owners, sent_at=now)
        self.left[name] = count
        for index, owner in enumerate(owners):
            key = (name, index)
            self.workers[owner].items[key] = ModelItem(
                key, now + OBJECTIVE_SECONDS, self.rng.uniform(*LENGTHS)
            )

    def _place(self, name: str, count: int, now: float) -> tuple[str, ...]:
        members = self._list_members(now)
        jobs = list(self.jobs.values())
        selected = self._select(now)
        if self.by_completion and selected:
            return placement.assign_by_completion(
                name, count, selected, jobs, now
            )
        return placement.assign_items(name, count, members, jobs, now)

    def _select(self, now: float) -> dict[str, ItemBacklog]:
        names = [member.name for member in self._list_members(now)]
        backlogs = {
            worker.name: worker.backlog
            for worker in self._list_alive(now)
            if worker.backlog
        }
        return self.comparison.confirm(
            placement.select_backlogs(names, backlogs), now
        )

    def _hint(self, worker: ModelWorker, now: float) -> None:
        """Hand over items as with the hint of one reservation call."""
        found = placement.find_idle(worker.name, self._select(now))
        if found is None:
            return
        target = self.workers[found[0]]
        moves = {key: item.moves for key, item in worker.items.items()}
        offers = handover.choose_offers(worker.predict(now), found[1], moves)
        claims = handover.choose_claims(
            target.see(),
            [item.view(now) for item in target.items.values()],
            [offer.item for offer in offers],
            target.average.slots or SLOTS,
        )
        for claim in claims:
            self._move(worker.items[claim.key], worker, target)

    def _move(
        self, item: ModelItem, source: ModelWorker, target: ModelWorker
    ) -> None:
        target.items[item.key] = source.items.pop(item.key)
        item.is_running = False
        item.is_inherited = item.done > 0
        item.moves += 1
        self.moves += 1
        self.most_moves = max(self.most_moves, item.moves)
        name, index = item.key
        owners = list(self.jobs[name].owners)
        owners[index] = target.name
        self.jobs[name] = replace(self.jobs[name], owners=tuple(owners))

    def _restart(self, now: float) -> None:
        position = now / RESTART_INTERVAL
        if 1 <= position <= WORKERS and position % 1 < STEP / RESTART_INTERVAL:
            worker = self.workers[f'vm-{int(position) - 1}']
            worker.down_until = now + DOWN_SECONDS
            worker.lengths = RunLengths()
            worker.average = SlotAverage()
            worker.backlog = None
            self.tasks.append(
                (now + REASSIGN_SECONDS, partial(self._reassign, worker))
            )
        for task in [task for task in self.tasks if task[0] <= now]:
            self.tasks.remove(task)
            task[1](now)

    def _reassign(self, lost: ModelWorker, now: float) -> None:
        for name, job in self.jobs.items():
            if lost.name not in job.owners:
                continue
            owners = placement.reassign_items(
                job,
                lost.name,
                self._list_members(now),
                list(self.jobs.values()),
                now,
            )
            self.jobs[name] = replace(job, owners=owners)
        for key, item in lost.items.items():
            item.is_running = False
            item.is_inherited = item.done > 0
            owner = self.jobs[key[0]].owners[key[1]]
            self.workers[owner].items[key] = item
        lost.items.clear()

    def _finish(self, item: ModelItem, now: float) -> None:
        name = item.key[0]
        self.done += 1
        self.late += now > item.due_at
        self.left[name] -= 1
        if not self.left[name]:
            del self.jobs[name]

    def _list_alive(self, now: float) -> list[ModelWorker]:
        return [
            worker
            for worker in self.workers.values()
            if worker.down_until <= now
        ]

    def _list_members(self, now: float) -> list[Member]:
        return [
            Member(worker.name, SERVICE, 'a')
            for worker in self._list_alive(now)
        ]


def _count_online(now: float, pace: float) -> int:
    phase = now % (TROUGH[0] + PEAK[0])
    level = TROUGH[1] if phase < TROUGH[0] else PEAK[1]
    return min(SLOTS, round(level * pace))
