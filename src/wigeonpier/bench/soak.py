"""Randomised soak test of the real components, within one process."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

import gevent
import msgspec

from wigeonpier.bench.answers import make_answer
from wigeonpier.bench.arrivals import LoadPlan, draw_arrivals
from wigeonpier.bench.load import FINAL, Answer, Client, make_lines
from wigeonpier.bench.shapes import SOAK
from wigeonpier.bench.site import KORO, StandInSite
from wigeonpier.bench.trouble import FAULTS, FaultInjector
from wigeonpier.invariants import violations

if TYPE_CHECKING:
    from pathlib import Path

ENTRIES = 4
COPIES = 3
MIN_COPIES = 2
REQUEST_RATE = 6.0
ITEM_TOKENS = 12
JOB_GAP_SECONDS = 2.0
MIN_ITEMS = 20
MAX_ITEMS = 120
FAULT_GAP_SECONDS = (0.3, 1.5)
FAULT_SECONDS = (0.5, 4.5)
SETTLE_SECONDS = 90.0
CANCEL_SHARE = 0.2
RUN_ONCE_SHARE = 0.5
POLL_SECONDS = 0.2


class SoakReport(msgspec.Struct):
    """Outcome of a soak run.

    :param seed: seed of load and faults.
    :param seconds: duration of the fault phase.
    :param jobs: number of accepted jobs.
    :param accepted: number of items of accepted jobs.
    :param results: number of results that were read.
    :param lost: number of accepted items without a result.
    :param doubled: number of items with more than one result.
    :param wrong: number of incorrect answers.
    :param one_run_doubled: number of run-once items that started twice.
    :param unfinished: number of jobs that did not end in time.
    :param by_status: number of results by status.
    :param questions: number of online requests, and of those with a complete
        and correct answer.
    :param false_refusals: number of online requests that ran although the
        refusal stated that they had not.
    :param faults: number of injected faults by kind.
    :param violations: number of violations by invariant.
    """

    seed: int
    seconds: float
    jobs: int = 0
    accepted: int = 0
    results: int = 0
    lost: int = 0
    doubled: int = 0
    wrong: int = 0
    one_run_doubled: int = 0
    unfinished: int = 0
    by_status: dict[str, int] = {}
    questions: tuple[int, int] = (0, 0)
    false_refusals: int = 0
    faults: dict[str, int] = {}
    violations: dict[str, int] = {}

    @property
    def is_good(self) -> bool:
        """Return whether no check failed."""
        bad = (
            self.lost,
            self.doubled,
            self.wrong,
            self.one_run_doubled,
            self.unfinished,
            self.false_refusals,
        )
        return not any(bad) and not self.violations


@dataclass(slots=True)
class Sweep:
    """One job that a soak run submits.

    :param number: position in the run.
    :param items: number of items.
    :param is_run_once: whether its items run at most once.
    :param job: id of the job, empty until it is accepted.
    :param is_cancelled: whether it was cancelled.
    :param batch: batch as last read.
    """

    number: int
    items: int
    is_run_once: bool
    job: str = ''
    is_cancelled: bool = False
    batch: dict[str, Any] = field(default_factory=dict)

    def make_prompts(self) -> list[str]:
        """List the prompts, which are unique to the job.

        :returns: one prompt per item.
        """
        return [
            f'sweep {self.number} corner {corner}'
            for corner in range(self.items)
        ]


@dataclass(slots=True)
class SoakRun:
    """One run.

    :param site: the site under test.
    :param rng: seeded source of randomness.
    :param report: outcome of the run.
    :param sweeps: all jobs.
    """

    site: StandInSite
    rng: random.Random
    report: SoakReport
    sweeps: list[Sweep] = field(default_factory=list)

    def run(self) -> None:
        """Send load under faults, wait for all jobs, and check the results."""
        deadline = time.monotonic() + self.report.seconds
        injecting = gevent.spawn(self._inject_faults, deadline)
        sending = gevent.spawn(self._send_requests)
        self._submit_until(deadline)
        injecting.get()
        answers = sending.get()
        self._await_all()
        self._check_sweeps()
        self._check_answers(answers)
        self.report.violations = {
            invariant.value: count for invariant, count in violations.items()
        }

    def make_client(self) -> Client:
        """Make a client of the live entries.

        :returns: the client.
        """
        plan = self.site.plan
        return Client(self.site.list_addresses(), plan.key, plan.service)

    def _send_requests(self) -> list[Answer]:
        load = LoadPlan(self.report.seconds, REQUEST_RATE, length=ITEM_TOKENS)
        arrivals = draw_arrivals(load, self.rng)
        started = time.monotonic()
        pending = []
        for arrival in arrivals:
            gevent.sleep(max(0, started + arrival.at - time.monotonic()))
            client = self.make_client()
            pending.append(gevent.spawn(client.ask, arrival, started))
        return [greenlet.get() for greenlet in pending]

    def _inject_faults(self, deadline: float) -> None:
        injector = FaultInjector(self.site, self.rng, self.site.plan.replicas)
        counts: Counter[str] = Counter()
        active = []
        while time.monotonic() < deadline:
            kind = self.rng.choice(sorted(FAULTS))
            # In half of the cases the next fault starts before this one ends,
            # so that pairs and repeats of all kinds occur.
            counts[kind] += 1
            active.append(gevent.spawn(self._apply_fault, injector, kind))
            gevent.sleep(self.rng.uniform(*FAULT_GAP_SECONDS))
            if len([end for end in active if not end.ready()]) > 1:
                gevent.joinall(active)
        gevent.joinall(active, raise_error=True)
        self.report.faults = dict(counts)

    def _apply_fault(self, injector: FaultInjector, kind: str) -> None:
        undo = FAULTS[kind](injector)
        gevent.sleep(self.rng.uniform(*FAULT_SECONDS))
        undo()

    def _submit_until(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            sweep = Sweep(
                number=len(self.sweeps),
                items=self.rng.randint(MIN_ITEMS, MAX_ITEMS),
                is_run_once=self.rng.random() < RUN_ONCE_SHARE,
            )
            self.sweeps.append(sweep)
            gevent.spawn(self._submit, sweep, self.rng.random())
            gevent.sleep(JOB_GAP_SECONDS)

    def _submit(self, sweep: Sweep, cancel_draw: float) -> None:
        """Retry until the job is accepted, as callers do."""
        lines = make_lines(
            self.site.plan.service,
            sweep.make_prompts(),
            ITEM_TOKENS,
            idempotent=not sweep.is_run_once,
        )
        while not sweep.job:
            try:
                client = self.make_client()
                batch = client.create_batch(
                    client.upload(lines),
                    idempotency_key=f'sweep-{sweep.number}',
                )
            except (ConnectionError, RuntimeError):
                gevent.sleep(POLL_SECONDS)
            else:
                sweep.job = batch['id']
        if cancel_draw < CANCEL_SHARE:
            sweep.is_cancelled = True
            gevent.spawn(self._cancel, sweep)

    def _cancel(self, sweep: Sweep) -> None:
        while True:
            try:
                self.make_client().cancel_batch(sweep.job)
            except (ConnectionError, RuntimeError):
                gevent.sleep(POLL_SECONDS)
            else:
                return

    def _await_all(self) -> None:
        deadline = time.monotonic() + SETTLE_SECONDS
        for sweep in self.sweeps:
            while not sweep.job and time.monotonic() < deadline:
                gevent.sleep(POLL_SECONDS)
            left = max(POLL_SECONDS, deadline - time.monotonic())
            sweep.batch = self.make_client().await_batch(sweep.job, left)

    def _check_sweeps(self) -> None:
        report = self.report
        statuses: Counter[str] = Counter()
        for sweep in self.sweeps:
            report.jobs += 1
            report.accepted += sweep.items
            if sweep.batch['status'] not in FINAL:
                report.unfinished += 1
                continue
            lines = self.make_client().read_results(sweep.batch)
            counts = Counter(line['custom_id'] for line in lines)
            report.results += len(lines)
            report.lost += sweep.items - len(counts)
            report.doubled += sum(count > 1 for count in counts.values())
            report.wrong += sum(not self._is_right(sweep, one) for one in lines)
            report.one_run_doubled += self._count_doubled(sweep)
            statuses.update(map(_name_status, lines))
        report.by_status = dict(statuses)

    def _is_right(self, sweep: Sweep, line: dict[str, Any]) -> bool:
        if line['response'] is None:
            return True
        position = int(line['custom_id'].removeprefix('item-'))
        prompt = sweep.make_prompts()[position]
        expected = make_answer(self.site.plan.service, prompt, ITEM_TOKENS)
        choice = line['response']['body']['choices'][0]
        return bool(choice['message']['content'] == expected)

    def _count_doubled(self, sweep: Sweep) -> int:
        if not sweep.is_run_once:
            return 0
        starts = self.site.count_starts()
        return sum(starts[prompt] > 1 for prompt in sweep.make_prompts())

    def _check_answers(self, answers: list[Answer]) -> None:
        right = sum(answer.is_right for answer in answers)
        self.report.questions = (len(answers), right)
        starts = self.site.count_starts()
        self.report.false_refusals = sum(
            answer.ran == 'no' and starts[answer.arrival.prompt] > 0
            for answer in answers
        )


def run_soak(seed: int, seconds: float, folder: Path) -> SoakReport:
    """Run load under random faults and check all invariants.

    :param seed: seed of load and faults.
    :param seconds: duration of the fault phase.
    :param folder: parent of the data folders.
    :returns: the report.
    """
    violations.clear()
    plan = replace(KORO, entries=ENTRIES, disks=ENTRIES)
    batch = {'copies': COPIES, 'least_copies': MIN_COPIES}
    site = StandInSite(plan, folder, seed, SOAK, batch)
    site.start()
    run = SoakRun(site, random.Random(seed), SoakReport(seed, seconds))
    run.run()
    site.stop()
    return run.report


def _name_status(line: dict[str, Any]) -> str:
    if line['response'] is not None:
        return 'answered'
    return str(line['error']['code'])
