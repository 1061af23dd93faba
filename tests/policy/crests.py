"""A model of entries and upstreams under load peaks.

An upstream runs a fixed number of requests at once and queues the rest in
order of arrival, as the engines do.  An entry knows what it sent, the load
that arrived with its own answers, and the load feeds of the local processes.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from tests.builders import build_upstream
from wigeonpier.models import OnlineLoad
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
    record_load,
)
from wigeonpier.policy.waiting import (
    CHECK_INTERVAL_SECONDS,
    MIN_QUEUE_SHARE,
    QueueDecision,
    QueueTime,
    decide_queued,
    limit_back_off,
    may_resend,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.policy.route import UpstreamState

CRITERIA = RoutingCriteria('s', 'm', '', 'a', 'r')
ENTRIES = 25
UPSTREAMS = 28
SLOTS = 7
# Load troughs and peaks: seconds, and factor of the mean load.  An answer has
# 18 events of 12 tokens.
TROUGH = (3.4, 0.383)
PEAK = (2.4, 1.87)
ANSWER_SECONDS = 0.7
SPREAD = 0.25
# A request is late after 0.3 s, of which some 0.03 s are its own work.
LATE_SECONDS = 0.27
REPORT_SECONDS = 0.1
OBJECTIVE_SECONDS = 0.3
DEADLINE_SECONDS = 5.0
QUEUE_TIMEOUT_SECONDS = OBJECTIVE_SECONDS * MIN_QUEUE_SHARE


@dataclass(eq=False)
class ModelRequest:
    """One online request in the model."""

    entry: int
    arrived_at: float
    started_at: float | None = None


@dataclass
class PeakModel:
    """One run of the model."""

    rate: float
    has_feed: bool
    can_move: bool = False
    can_back_off: bool = False
    can_reserve: bool = False
    upstreams: int = UPSTREAMS
    entries: int = ENTRIES
    seconds: float = 30.0
    seed: int = 1
    now: float = 0.0
    running: list[int] = field(default_factory=lambda: [0] * UPSTREAMS)
    queues: list[deque[ModelRequest]] = field(
        default_factory=lambda: [deque() for _ in range(UPSTREAMS)],
    )
    waits: list[float] = field(default_factory=list)
    moves: int = 0
    reservation_attempts: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.states = [
            [
                build_upstream(f'vm-{number}', slots=SLOTS)
                for number in range(self.upstreams)
            ]
            for _ in range(self.entries)
        ]
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._count = 0

    def run(self) -> float:
        """Run the model; return the share of late requests."""
        self._schedule(0, self._arrive)
        if self.has_feed:
            self._schedule(0, self._send_feed)
        while self.now < self.seconds:
            self.now, _count, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        late = sum(wait > LATE_SECONDS for wait in self.waits)
        return late / len(self.waits)

    def _schedule(
        self, when: float, callback: Callable[..., None], *arguments: Any
    ) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, callback, arguments))

    def _arrive(self) -> None:
        phase = self.now % (TROUGH[0] + PEAK[0])
        factor = TROUGH[1] if phase < TROUGH[0] else PEAK[1]
        pause = self.rng.expovariate(self.rate * factor)
        self._schedule(self.now + pause, self._arrive)
        entry = self.rng.randrange(self.entries)
        states = self.states[entry]
        chosen = choose_upstream(states, CRITERIA, self.now, self.rng)
        assert chosen is not None
        request = ModelRequest(entry, self.now)
        if self.can_reserve:
            self._reserve(request)
        else:
            self._send(request, chosen)

    def _reserve(self, request: ModelRequest) -> None:
        """Send a request to an upstream that reserves a slot, or hold it."""
        states = self.states[request.entry]
        waited = (self.now - request.arrived_at) / OBJECTIVE_SECONDS
        refused: set[str] = set()
        while len(refused) < min(MAX_RESERVATION_ATTEMPTS, len(states)):
            ask = replace(CRITERIA, excluded=frozenset(refused))
            drawn = choose_upstream(states, ask, self.now, self.rng)
            assert drawn is not None
            if self._is_granted(states.index(drawn), drawn, waited):
                self._send(request, drawn)
                return
            refused.add(drawn.name)
        limit = limit_hold(DEADLINE_SECONDS, has_begun=False)
        if self.now - request.arrived_at >= limit:
            self._send(request, drawn)
            return
        pause = compute_round_pause(waited) * self.rng.uniform(0.5, 1.5)
        self._schedule(self.now + pause, self._reserve, request)

    def _is_granted(
        self, number: int, state: UpstreamState, waited: float
    ) -> bool:
        self.reservation_attempts += 1
        questions = self._count_at(number)
        record_load(state, OnlineLoad(questions, takes_work=True), self.now)
        use = SlotUse(SLOTS, questions, reserved=0)
        return may_reserve(use, is_late=is_late(waited))

    def _send(self, request: ModelRequest, chosen: UpstreamState) -> None:
        chosen.in_flight += 1
        chosen.sent_since_report += 1
        number = self.states[request.entry].index(chosen)
        self.queues[number].append(request)
        self._fill(number)
        if self.can_move and request.started_at is None:
            self._schedule(
                self.now + QUEUE_TIMEOUT_SECONDS,
                self._check_queue,
                request,
                chosen,
            )

    def _check_queue(
        self, request: ModelRequest, current: UpstreamState
    ) -> None:
        """Let a request that may run twice leave its queue, once."""
        states = self.states[request.entry]
        queue = self.queues[states.index(current)]
        if request not in queue:
            return
        ask = replace(CRITERIA, excluded=frozenset((current.name,)))
        other = choose_upstream(states, ask, self.now, self.rng)
        assert other is not None
        waited = (self.now - request.arrived_at) / OBJECTIVE_SECONDS
        decided = decide_queued(
            current, other, QueueTime(waited, waited), self.now
        )
        if decided is QueueDecision.move:
            self._leave_queue(request, current)
            self._send_again(request, other)
        elif decided is QueueDecision.back_off and self.can_back_off:
            self._leave_queue(request, current)
            deadline = self.now + limit_back_off(DEADLINE_SECONDS)
            self._try_resend(request, deadline)
        else:
            self._schedule(
                self.now + CHECK_INTERVAL_SECONDS,
                self._check_queue,
                request,
                current,
            )

    def _try_resend(self, request: ModelRequest, deadline: float) -> None:
        states = self.states[request.entry]
        other = choose_upstream(states, CRITERIA, self.now, self.rng)
        assert other is not None
        if may_resend(other, self.now) or self.now > deadline:
            self._send_again(request, other)
        else:
            pause = CHECK_INTERVAL_SECONDS * self.rng.uniform(1, 2)
            self._schedule(
                self.now + pause, self._try_resend, request, deadline
            )

    def _leave_queue(
        self, request: ModelRequest, current: UpstreamState
    ) -> None:
        number = self.states[request.entry].index(current)
        self.queues[number].remove(request)
        current.in_flight -= 1
        self.moves += 1

    def _send_again(self, request: ModelRequest, other: UpstreamState) -> None:
        number = self.states[request.entry].index(other)
        self.queues[number].append(request)
        other.in_flight += 1
        other.sent_since_report += 1
        self._fill(number)

    def _fill(self, number: int) -> None:
        while self.queues[number] and self.running[number] < SLOTS:
            request = self.queues[number].popleft()
            request.started_at = self.now
            self.waits.append(self.now - request.arrived_at)
            self.running[number] += 1
            spread = self.rng.uniform(1 - SPREAD, 1 + SPREAD)
            end = self.now + ANSWER_SECONDS * spread
            self._schedule(end, self._finish, number, request)

    def _finish(self, number: int, request: ModelRequest) -> None:
        self.running[number] -= 1
        self._fill(number)
        state = self.states[request.entry][number]
        state.in_flight -= 1
        if not self.has_feed:
            state.reported = self._count_at(number)
            state.reported_at = self.now

    def _send_feed(self) -> None:
        for number in range(self.upstreams):
            for states in self.states:
                load = OnlineLoad(self._count_at(number), takes_work=True)
                record_load(states[number], load, self.now)
        self._schedule(self.now + REPORT_SECONDS, self._send_feed)

    def _count_at(self, number: int) -> int:
        return self.running[number] + len(self.queues[number])
