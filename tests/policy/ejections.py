"""A model of entries that report outcomes to the workers of upstreams.

Entries choose at the same time, by loads and health that are up to 0.1 s old,
reserve a slot at the worker, and send.  Each request may run only once; its
caller retries once at another entry.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from tests.builders import build_upstream
from wigeonpier.models import OnlineLoad
from wigeonpier.policy.ejection import (
    HealthRecord,
    advance,
    may_reserve,
    record_evidence,
    record_grant,
    record_successes,
)
from wigeonpier.policy.failuretest import Evidence
from wigeonpier.policy.reservation import MAX_RESERVATION_ATTEMPTS
from wigeonpier.policy.route import (
    RoutingCriteria,
    choose_upstream,
    is_ejected,
    record_health,
    record_load,
    record_outcome,
)
from wigeonpier.reports import HealthState, UpstreamHealth

if TYPE_CHECKING:
    from collections.abc import Callable

CRITERIA = RoutingCriteria('s', 'm', '', 'a', 'r', is_repeatable=False)
ENTRIES = 20
UPSTREAMS = 22
SLOTS = 8
RATE = 150.0
ANSWER_SECONDS = 0.6
FAILURE_SECONDS = 0.004
HOP_SECONDS = 0.0015
FEED_SECONDS = 0.1
DEADLINE_SECONDS = 5.1
# A silent request is reported after two latency objectives.
SILENT_SECONDS = 0.616


def count_ejections_at_target_size(seed: int) -> int:
    """Count ejections of one of 600 upstreams that fails 5 in 100 requests.

    380 entries send 4,300 requests a second to all of them, and none has sent
    any before, so that the first success of each is reported only with its
    second request.
    """
    rng = random.Random(seed)
    record = HealthRecord()
    unreported = [0] * 380
    now = 0.0
    ejections = 0
    while now < 60:
        now += rng.expovariate(4300 / 600)
        entry = rng.randrange(len(unreported))
        record_grant(record, now)
        count, unreported[entry] = unreported[entry], 0
        if count:
            seen = Evidence(now, str(entry), '', False, count=count)
            record_successes(record, seen)
        if rng.random() < 0.05:
            record_evidence(record, Evidence(now, str(entry), str(now), True))
        else:
            unreported[entry] += 1
        if record.state is not HealthState.healthy:
            ejections += 1
            record = HealthRecord()
    return ejections


@dataclass
class FaultyFleet:
    """One run of the model; counts what each upstream was sent."""

    seed: int
    seconds: float = 10.0
    fault_at: float = 2.0
    failing: dict[int, float] = field(default_factory=dict)
    hanging: set[int] = field(default_factory=set)
    bad_entries: set[int] = field(default_factory=set)
    poison_rate: float = 0.0
    now: float = 0.0
    failed: Counter[int] = field(default_factory=Counter)
    sent: Counter[int] = field(default_factory=Counter)
    last_sent: dict[int, float] = field(default_factory=dict)
    ejected_at: dict[int, float] = field(default_factory=dict)
    sent_before: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.records = [HealthRecord() for _ in range(UPSTREAMS)]
        self.running = [0] * UPSTREAMS
        self.states = [
            [build_upstream(f'vm-{n}', slots=SLOTS) for n in range(UPSTREAMS)]
            for _ in range(ENTRIES)
        ]
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._count = 0

    def run(self) -> None:
        """Run the model."""
        self._feed()
        self._arrive()
        if self.poison_rate:
            self._arrive_poison()
        while self.now < self.seconds:
            self.now, _count, callback, given = heapq.heappop(self._events)
            callback(*given)

    def _after(
        self, pause: float, callback: Callable[..., None], *given: Any
    ) -> None:
        self._count += 1
        when = self.now + pause
        heapq.heappush(self._events, (when, self._count, callback, given))

    def _arrive(self) -> None:
        self._after(self.rng.expovariate(RATE), self._arrive)
        self._begin(f'q{self._count}', self.rng.randrange(ENTRIES), 0)

    def _arrive_poison(self) -> None:
        self._after(1 / self.poison_rate, self._arrive_poison)
        self._begin('poison', self.rng.randrange(ENTRIES), 0)

    def _begin(self, name: str, entry: int, attempt: int) -> None:
        number = self._reserve(entry)
        if number is None:
            self._after(0.03, self._begin, name, entry, attempt)
            return
        self.sent[number] += 1
        self.last_sent[number] = self.now
        self.running[number] += 1
        self.states[entry][number].sent_since_report += 1
        is_hung = number in self.hanging and self.now >= self.fault_at
        if is_hung:
            self._after(SILENT_SECONDS, self._report, number, entry, name, True)
            self._after(
                DEADLINE_SECONDS, self._fail, number, entry, name, attempt
            )
        elif self._draws_failure(name, entry, number):
            self._after(
                FAILURE_SECONDS, self._fail, number, entry, name, attempt
            )
        else:
            spread = self.rng.uniform(0.8, 1.2)
            self._after(ANSWER_SECONDS * spread, self._succeed, number, entry)

    def _draws_failure(self, name: str, entry: int, number: int) -> bool:
        if name == 'poison' or entry in self.bad_entries:
            return True
        has_fault = self.now >= self.fault_at
        return has_fault and self.rng.random() < self.failing.get(number, 0)

    def _reserve(self, entry: int) -> int | None:
        """Find a slot as the binder does; the worker refuses if ejected."""
        states = self.states[entry]
        tried: set[str] = set()
        while len(tried) < MAX_RESERVATION_ATTEMPTS:
            ask = replace(CRITERIA, excluded=frozenset(tried))
            chosen = choose_upstream(states, ask, self.now, self.rng)
            if chosen is None:
                return None
            number = states.index(chosen)
            self._carry(entry, number)
            if is_ejected(chosen, self.now):
                return number
            has_room = self.running[number] < SLOTS
            if has_room and may_reserve(self.records[number], self.now):
                record_grant(self.records[number], self.now)
                return number
            tried.add(chosen.name)
        return None

    def _carry(self, entry: int, number: int) -> None:
        """Report the number of successes since the last report."""
        state = self.states[entry][number]
        count, state.unreported_successes = state.unreported_successes, 0
        if count:
            seen = Evidence(self.now, str(entry), '', False, count=count)
            record_successes(self.records[number], seen)

    def _fail(self, number: int, entry: int, name: str, attempt: int) -> None:
        self.running[number] -= 1
        self.failed[number] += 1
        record_outcome(self.states[entry][number], False, self.now)
        if self.now < self.fault_at + DEADLINE_SECONDS or not self.hanging:
            self._report(number, entry, name, False)
        if attempt == 0:
            other = (entry + self.rng.randrange(1, ENTRIES)) % ENTRIES
            self._after(0.02, self._begin, name, other, 1)

    def _succeed(self, number: int, entry: int) -> None:
        self.running[number] -= 1
        record_outcome(self.states[entry][number], True, self.now)
        self.states[entry][number].unreported_successes += 1

    def _report(
        self, number: int, entry: int, name: str, is_silent: bool
    ) -> None:
        self._after(HOP_SECONDS, self._receive, number, entry, name, is_silent)

    def _receive(
        self,
        number: int,
        entry: int,
        name: str,
        is_silent: bool,
    ) -> None:
        self._carry(entry, number)
        record = self.records[number]
        seen = Evidence(self.now, str(entry), name, True, is_silent)
        record_evidence(record, seen)
        if record.state is HealthState.ejected:
            self.ejected_at.setdefault(number, self.now)
            self.sent_before.setdefault(number, self.sent[number])

    def _feed(self) -> None:
        for number, record in enumerate(self.records):
            advance(record, self.now, has_items=False)
            load = OnlineLoad(self.running[number], takes_work=True)
            for states in self.states:
                record_load(states[number], load, self.now)
                known = states[number].health
                if known is None or known.state is not record.state:
                    health = UpstreamHealth(record.state)
                    record_health(states[number], health, self.now)
        self._after(FEED_SECONDS, self._feed)
