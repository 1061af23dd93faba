"""A model of entries, workers and upstreams with a customer of many requests.

The entries decide by the load feeds, 0.1 s old, and by the answers of workers.
A refused caller retries once at another entry, and each disconnects at its
deadline.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from tests.builders import build_upstream
from wigeonpier.models import OnlineLoad
from wigeonpier.policy import claimwait, reservation
from wigeonpier.policy.fairqueue import (
    FairQueue,
    QueuedClaim,
    is_hopeless,
    weigh_customer,
)
from wigeonpier.policy.reservation import (
    MAX_RESERVATION_ATTEMPTS,
    SlotUse,
)
from wigeonpier.policy.route import (
    RoutingCriteria,
    choose_upstream,
    record_load,
)

if TYPE_CHECKING:
    from collections.abc import Generator

    from wigeonpier.policy.route import UpstreamState

ENTRIES = 20
UPSTREAMS = 22
SLOTS = 8
DATA_CENTRES = 3
TROUGH = (3.4, 0.38)
PEAK = (2.4, 1.87)
RUN_SECONDS = (0.55, 0.6)
LIMIT_FACTOR = 1.6
NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.0014
FEED_SECONDS = 0.1
POLL_SECONDS = 0.015
OBJECTIVE = 0.308
DEADLINE = 5.1
HOT = 'hot'
# How slots are shared: by claims that wait at workers, by shares that entries
# enforce by counts of the load feeds, or by the queue of each entry alone.
CLAIMS, ENTRY_SHARES, ENTRY_QUEUES = 'claims', 'entry shares', 'entry queues'
SCARCE_SHARE = 0.85
# Usual requests a second: one large customer, some of middle size, many small.
USUAL = {HOT: 30.0, 'm1': 10.0, 'm2': 8.0, 'm3': 6.0} | {
    f's{number}': 0.5 for number in range(72)
}


def sum_phases() -> float:
    return TROUGH[0] + PEAK[0]


@dataclass(eq=False)
class Ask:
    """One request of a caller, with its outcome."""

    customer: str
    deadline: float
    arrived_at: float
    entry: int = 0
    calls: int = 0
    wait: float | None = None
    is_started: bool = False
    is_refused: bool = False


@dataclass(eq=False)
class Waiter:
    """A call that waits at a worker."""

    claim: QueuedClaim
    process: Any = None
    is_open: bool = True


@dataclass
class Worker:
    """A worker and its upstream."""

    number: int
    fair: FairQueue = field(default_factory=FairQueue)
    waiters: list[Waiter] = field(default_factory=list)
    running: int = 0
    reserved: int = 0
    queue: deque[Ask] = field(default_factory=deque)
    is_polling: bool = False

    @property
    def use(self) -> SlotUse:
        online = self.running + len(self.queue)
        return SlotUse(SLOTS, online, self.reserved)


@dataclass
class HotModel:
    """One run of the model."""

    factor: float = 0
    method: str = CLAIMS
    seconds: float = 23.2
    seed: int = 1
    usual: dict[str, float] = field(default_factory=lambda: USUAL)
    now: float = 0
    asks: list[Ask] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._events: list[tuple[float, int, Any, Any]] = []
        self._count = 0
        # Slots by customer at all upstreams, and as the feeds last said.
        self.taken_slots: Counter[str] = Counter()
        self.reported_slots: Counter[str] = Counter()
        self.workers = [Worker(number) for number in range(UPSTREAMS)]
        self.states = [
            [
                build_upstream(
                    f'vm-{number}',
                    slots=SLOTS,
                    data_centre=str(number % DATA_CENTRES),
                )
                for number in range(UPSTREAMS)
            ]
            for _ in range(ENTRIES)
        ]

    def run(self) -> HotModel:
        for customer in self.usual:
            source = random.Random(f'{self.seed} {customer}')
            self._spawn(self._send_all(customer, source))
        self._spawn(self._feed())
        while self._events and self._events[0][0] < self.seconds:
            self.now, _count, process, given = heapq.heappop(self._events)
            self._step(process, given)
        return self

    def count_started(self) -> int:
        return sum(ask.is_started for ask in self.asks)

    def _spawn(self, process: Any, after: float = 0, given: Any = None) -> None:
        self._count += 1
        heapq.heappush(
            self._events, (self.now + after, self._count, process, given)
        )

    def _step(self, process: Any, given: Any) -> None:
        self._running = process
        try:
            after = process.send(given)
        except StopIteration:
            return
        if after is not None:
            self._spawn(process, after)

    def _send_all(
        self, customer: str, source: random.Random
    ) -> Generator[Any, Any, None]:
        times = self.factor if customer == HOT else 1
        if not times:
            return
        while True:
            phase = self.now % (TROUGH[0] + PEAK[0])
            in_trough = phase < TROUGH[0]
            load = TROUGH[1] if in_trough else PEAK[1]
            left = TROUGH[0] - phase if in_trough else sum_phases() - phase
            rate = self.usual[customer] * times * load
            pause = source.expovariate(rate)
            if pause > left:
                yield left + 1e-9
                continue
            yield pause
            ask = Ask(customer, self.now + DEADLINE, self.now)
            ask.entry = source.randrange(ENTRIES)
            self.asks.append(ask)
            self._spawn(self._serve(ask))

    def _feed(self) -> Generator[Any, Any, None]:
        while True:
            for states in self.states:
                for worker in self.workers:
                    self._report(states[worker.number], worker)
            self.reported_slots = self.taken_slots.copy()
            yield FEED_SECONDS

    def _report(self, state: UpstreamState, worker: Worker) -> None:
        load = OnlineLoad(
            worker.use.online + worker.use.reserved,
            takes_work=True,
            queued=len(worker.fair),
        )
        record_load(state, load, self.now)

    def _serve(self, ask: Ask) -> Generator[Any, Any, None]:
        """Serve a request at its entry; its caller retries once."""
        for _attempt in range(2):
            find = self._claim if self.method == CLAIMS else self._poll_workers
            retry_after = yield from find(ask)
            if not retry_after:
                return
            yield retry_after
            other = self.rng.randrange(ENTRIES - 1)
            ask.entry = (ask.entry + 1 + other) % ENTRIES
            if self.now >= ask.deadline:
                break
        ask.is_refused = True

    def _draw(self, ask: Ask, tried: set[str]) -> UpstreamState:
        criteria = RoutingCriteria(
            's',
            'm',
            '',
            str(ask.entry % DATA_CENTRES),
            'r',
            excluded=frozenset(tried),
        )
        states = self.states[ask.entry]
        drawn = choose_upstream(states, criteria, self.now, self.rng)
        assert drawn is not None
        return drawn

    def _claim(self, ask: Ask) -> Generator[Any, Any, float]:
        """Find a slot as an entry does that sends claims."""
        began = self.now
        hold = reservation.limit_hold(ask.deadline - began, has_begun=False)
        search = claimwait.SlotSearch(str(ask.entry % DATA_CENTRES))
        states = self.states[ask.entry]
        while not search.is_hopeless:
            left = began + hold - self.now
            drawn = self._draw(ask, search.list_excluded(states, self.now))
            if left <= 0:
                yield from self._transfer(ask, drawn)
                return 0
            max_wait = search.choose_max_wait(states, drawn, left, self.now)
            search.calls += 1
            ask.calls += 1
            worker = self.workers[states.index(drawn)]
            granted, wait = yield from self._call(
                ask, worker, drawn, left, max_wait
            )
            if granted:
                yield from self._transfer(ask, drawn, has_slot=True)
                return 0
            left = began + hold - self.now
            search.record_refusal(drawn, wait, left, self.now)
        return claimwait.compute_retry(search.wait, self.rng.random())

    def _call(
        self,
        ask: Ask,
        worker: Worker,
        state: UpstreamState,
        left: float,
        max_wait: float,
    ) -> Generator[Any, Any, tuple[bool, float]]:
        hop = self._measure_hop(ask, worker)
        yield hop
        is_late = self.now - ask.arrived_at >= OBJECTIVE
        rate = self.usual[ask.customer] * LIMIT_FACTOR
        claim = QueuedClaim(
            ask.customer,
            weigh_customer(rate, 0),
            self.now + left,
            is_late,
            self.now,
        )
        worker.fair.add(claim, SLOTS, self.now)
        waiter = Waiter(claim)
        worker.waiters.append(waiter)
        self._grant(worker)
        wait = worker.fair.estimate_wait(claim, worker.use, self.now)
        if waiter.is_open and max_wait and not is_hopeless(wait, left):
            self._spawn(self._expire(worker, waiter), max_wait)
            if not worker.is_polling:
                worker.is_polling = True
                self._spawn(self._poll(worker), POLL_SECONDS)
            waiter.process = self._running
            yield None
            wait = worker.fair.estimate_wait(claim, worker.use, self.now)
        is_granted = not waiter.is_open
        if waiter in worker.waiters:
            worker.waiters.remove(waiter)
            worker.fair.remove(claim)
        yield hop
        self._report(state, worker)
        return is_granted, wait

    def _expire(
        self, worker: Worker, waiter: Waiter
    ) -> Generator[Any, Any, None]:
        if waiter in worker.waiters and waiter.is_open:
            worker.waiters.remove(waiter)
            worker.fair.remove(waiter.claim)
            self._spawn(waiter.process)
        yield None

    def _poll(self, worker: Worker) -> Generator[Any, Any, None]:
        while worker.waiters:
            self._grant(worker)
            yield POLL_SECONDS
        worker.is_polling = False

    def _grant(self, worker: Worker) -> None:
        while True:
            claim = worker.fair.grant_next(worker.use, self.now)
            if claim is None:
                return
            worker.reserved += 1
            waiter = next(w for w in worker.waiters if w.claim is claim)
            worker.waiters.remove(waiter)
            waiter.is_open = False
            if waiter.process is not None:
                self._spawn(waiter.process)

    def _poll_workers(self, ask: Ask) -> Generator[Any, Any, float]:
        """Find a slot as an entry does that sends no claims."""
        began = self.now
        hold = reservation.limit_hold(ask.deadline - began, has_begun=False)
        while True:
            tried: set[str] = set()
            waited = (self.now - ask.arrived_at) / OBJECTIVE
            is_late = reservation.is_late(waited)
            is_held = self.method == ENTRY_SHARES and self._is_above_share(ask)
            drawn = self._draw(ask, tried)
            while not is_held and len(tried) < MAX_RESERVATION_ATTEMPTS:
                drawn = self._draw(ask, tried)
                worker = self.workers[self.states[ask.entry].index(drawn)]
                hop = self._measure_hop(ask, worker)
                ask.calls += 1
                yield hop
                granted = reservation.may_reserve(worker.use, is_late=is_late)
                worker.reserved += granted
                yield hop
                self._report(drawn, worker)
                if granted:
                    yield from self._transfer(ask, drawn, has_slot=True)
                    return 0
                tried.add(drawn.name)
            if self.now - began >= hold:
                yield from self._transfer(ask, drawn)
                return 0
            pause = reservation.compute_round_pause(waited)
            yield pause * self.rng.uniform(0.5, 1.5)

    def _is_above_share(self, ask: Ask) -> bool:
        """Check by counts of the feeds whether a customer has to wait."""
        taken = self.reported_slots
        all_slots = UPSTREAMS * SLOTS
        if sum(taken.values()) < SCARCE_SHARE * all_slots:
            return False
        active = sum(self.usual[name] for name in taken if taken[name])
        share = self.usual[ask.customer] / max(1, active)
        return taken[ask.customer] > share * all_slots

    def _transfer(
        self, ask: Ask, state: UpstreamState, *, has_slot: bool = False
    ) -> Generator[Any, Any, None]:
        """Send a request to an upstream, which queues it if it is full."""
        state.sent_since_report += 1
        worker = self.workers[self.states[ask.entry].index(state)]
        yield self._measure_hop(ask, worker)
        worker.reserved -= has_slot
        worker.queue.append(ask)
        self._fill(worker)

    def _fill(self, worker: Worker) -> None:
        while worker.queue and worker.running < SLOTS:
            ask = worker.queue.popleft()
            # Its caller has disconnected; the wait is at least its deadline.
            ask.wait = self.now - ask.arrived_at
            if self.now >= ask.deadline:
                continue
            ask.is_started = True
            worker.running += 1
            self.taken_slots[ask.customer] += 1
            seconds = self.rng.uniform(*RUN_SECONDS)
            self._spawn(self._finish(worker, ask), seconds)

    def _finish(self, worker: Worker, ask: Ask) -> Generator[Any, Any, None]:
        worker.running -= 1
        self.taken_slots[ask.customer] -= 1
        self._fill(worker)
        yield None

    def _measure_hop(self, ask: Ask, worker: Worker) -> float:
        is_near = ask.entry % DATA_CENTRES == worker.number % DATA_CENTRES
        return NEAR_SECONDS if is_near else FAR_SECONDS
