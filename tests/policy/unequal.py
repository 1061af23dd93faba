"""A model of entries and upstreams of unequal speed under load peaks.

Workers estimate the pace of their upstreams from output tokens, as in the
product; entries choose at the same moment by reports that are up to 0.1 s old.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.builders import build_upstream
from wigeonpier.models import OnlineLoad
from wigeonpier.policy.pace import PaceEstimator
from wigeonpier.policy.reservation import (
    MAX_RESERVATION_ATTEMPTS,
    SlotUse,
    compute_round_pause,
    is_late,
    limit_hold,
    may_reserve,
)
from wigeonpier.policy.route import (
    RoutingCriteria,
    choose_upstream,
    find_usual_pace,
    record_load,
)

if TYPE_CHECKING:
    from wigeonpier.policy.route import UpstreamState

ENTRIES = 20
UPSTREAMS = 22
SLOTS = 8
UNEQUAL = (0.55, 1.2, 1.2, 1.2)
EQUAL = (1.0,)
SLOW_FACTOR = 2.5
SLOW_SECONDS = 0.6
SLOW_SHARE = 0.15
TROUGH = (3.4, 0.38)
PEAK = (2.4, 1.87)
TOKEN_SECONDS = 0.0041
ANSWER_TOKENS = 0.6 / TOKEN_SECONDS
SPREAD = 0.25
OBJECTIVE_SECONDS = 0.3
LATE_SECONDS = 0.27
# Callers disconnect at their deadline.
DEADLINE_SECONDS = 5.1
STEP_SECONDS = 0.01
STEPS_PER_POLL = 5
STEPS_PER_LINE = 10


@dataclass(eq=False)
class Run:
    """One request; its length is known when it completes."""

    name: str
    arrived_at: float
    length: float
    tokens: float = 0


@dataclass
class UnequalUpstream:
    """One upstream with its worker."""

    pace: float
    slow_share: float
    rng: random.Random
    running: list[Run] = field(default_factory=list)
    queue: deque[Run] = field(default_factory=deque)
    estimator: PaceEstimator = field(default_factory=PaceEstimator)
    is_slow: bool = False
    period_end: float = 0

    def step(self, now: float) -> list[Run]:
        """Work for one step; return the completed requests."""
        if now >= self.period_end:
            self.is_slow = self.rng.random() < self.slow_share
            first = self.rng.uniform(0, SLOW_SECONDS)
            self.period_end = now + (SLOW_SECONDS if now else first)
        factor = self.pace * (SLOW_FACTOR if self.is_slow else 1)
        for run in self.running:
            run.tokens += STEP_SECONDS / (TOKEN_SECONDS * factor)
        done = [run for run in self.running if run.tokens >= run.length]
        self.running = [run for run in self.running if run not in done]
        return done

    def count(self) -> int:
        """Count the requests."""
        return len(self.running) + len(self.queue)


@dataclass
class UnequalModel:
    """One run of the model."""

    rate: float
    seed: int
    paces: tuple[float, ...] = UNEQUAL
    slow_share: float = SLOW_SHARE
    has_pace: bool = True
    can_reserve: bool = False
    seconds: float = 30.0
    now: float = 0.0
    waits: list[float] = field(default_factory=list)
    totals: list[float] = field(default_factory=list)
    attempts: int = 0
    held: list[tuple[float, str, int, Run]] = field(default_factory=list)

    def __post_init__(self) -> None:
        # Separate sources, so that arrivals, lengths and slow periods are the
        # same in runs that are compared.
        self.rng = random.Random(f'choices {self.seed}')
        self.arrivals = random.Random(f'arrivals {self.seed}')
        self.upstreams = [
            UnequalUpstream(
                self.paces[number % len(self.paces)],
                self.slow_share,
                random.Random(f'upstream {number} {self.seed}'),
            )
            for number in range(UPSTREAMS)
        ]
        self.states = [
            [
                build_upstream(f'vm-{number}', slots=SLOTS)
                for number in range(UPSTREAMS)
            ]
            for _ in range(ENTRIES)
        ]
        self.usual_paces = [0.0] * ENTRIES

    def run(self) -> float:
        """Run the model; return the share of late requests."""
        arrival = 0.0
        for step in range(int(self.seconds / STEP_SECONDS)):
            self.now = step * STEP_SECONDS
            for upstream in self.upstreams:
                for run in upstream.step(self.now):
                    self.totals.append(self.now - run.arrived_at)
                self._fill(upstream)
            self._report(step)
            while self.held and self.held[0][0] <= self.now:
                _until, _name, entry, run = heapq.heappop(self.held)
                self._reserve(entry, run)
            while arrival <= self.now:
                self._arrive(arrival)
                is_trough = arrival % (TROUGH[0] + PEAK[0]) < TROUGH[0]
                factor = TROUGH[1] if is_trough else PEAK[1]
                arrival += self.arrivals.expovariate(self.rate * factor)
        return sum(wait > LATE_SECONDS for wait in self.waits) / len(self.waits)

    def _report(self, step: int) -> None:
        if step % STEPS_PER_POLL == 0:
            for upstream in self.upstreams:
                tokens = {run.name: int(run.tokens) for run in upstream.running}
                upstream.estimator.record(tokens, self.now)
        if step % STEPS_PER_LINE == 0:
            for number, upstream in enumerate(self.upstreams):
                load = OnlineLoad(upstream.count(), takes_work=True)
                pace = upstream.estimator.read(self.now)
                for states in self.states:
                    record_load(states[number], load, self.now)
                    states[number].pace = pace if self.has_pace else None
            criteria = RoutingCriteria('s', 'm', '', 'a', 'r')
            self.usual_paces = [
                find_usual_pace(states, criteria, self.now)
                for states in self.states
            ]

    def _arrive(self, arrived_at: float) -> None:
        spread = self.arrivals.uniform(1 - SPREAD, 1 + SPREAD)
        run = Run(f'{arrived_at:.9f}', arrived_at, ANSWER_TOKENS * spread)
        entry = self.arrivals.randrange(ENTRIES)
        if self.can_reserve:
            self._reserve(entry, run)
        else:
            self._send(self._choose(entry, frozenset()), run)

    def _choose(self, entry: int, tried: frozenset[str]) -> UpstreamState:
        criteria = RoutingCriteria('s', 'm', '', 'a', 'r', tried)
        chosen = choose_upstream(
            self.states[entry],
            criteria,
            self.now,
            self.rng,
            self.usual_paces[entry],
        )
        assert chosen is not None
        return chosen

    def _send(self, state: UpstreamState, run: Run) -> None:
        state.sent_since_report += 1
        upstream = self.upstreams[int(state.name.removeprefix('vm-'))]
        upstream.queue.append(run)
        self._fill(upstream)

    def _fill(self, upstream: UnequalUpstream) -> None:
        while upstream.queue and len(upstream.running) < SLOTS:
            run = upstream.queue.popleft()
            waited = self.now - run.arrived_at
            self.waits.append(waited)
            if waited < DEADLINE_SECONDS:
                upstream.running.append(run)

    def _reserve(self, entry: int, run: Run) -> None:
        """Send a request to an upstream that reserves a slot, or hold it."""
        waited = (self.now - run.arrived_at) / OBJECTIVE_SECONDS
        tried: frozenset[str] = frozenset()
        while len(tried) < MAX_RESERVATION_ATTEMPTS:
            state = self._choose(entry, tried)
            self.attempts += 1
            upstream = self.upstreams[int(state.name.removeprefix('vm-'))]
            load = OnlineLoad(upstream.count(), takes_work=True)
            record_load(state, load, self.now)
            use = SlotUse(SLOTS, load.questions, reserved=0)
            if may_reserve(use, is_late=is_late(waited)):
                self._send(state, run)
                return
            tried |= {state.name}
        limit = limit_hold(DEADLINE_SECONDS, has_begun=False)
        if self.now - run.arrived_at >= limit:
            self._send(state, run)
            return
        pause = compute_round_pause(waited) * self.rng.uniform(0.5, 1.5)
        heapq.heappush(self.held, (self.now + pause, run.name, entry, run))
