"""Which batch items run beside the online requests of an upstream."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.pacing import (
    URGENT_SLOTS,
    ItemView,
    UpstreamView,
    compute_slack,
    count_held_slots,
    decide_pace,
    is_urgent,
)

SLOTS = 8
RUN_SECONDS = 5.0
TICK_SECONDS = 0.05

ITEMS = st.lists(
    st.tuples(st.floats(-10, 60), st.floats(0, 1)),
    max_size=12,
)


def build_view(running: int = 0, waiting: int = 0) -> UpstreamView:
    """Make the load of an upstream."""
    return UpstreamView(SLOTS, running, waiting, RUN_SECONDS)


def build_items(job: str, parts: list[tuple[float, float]]) -> list[ItemView]:
    """Make items from pairs of the time left and the share done."""
    return [
        ItemView((job, number), seconds, share)
        for number, (seconds, share) in enumerate(parts)
    ]


def test_items_fill_an_idle_upstream() -> None:
    waiting = build_items('j', [(18, 0)] * 10)
    assert len(decide_pace(build_view(), [], waiting).start) == SLOTS


def test_items_are_paused_when_requests_wait() -> None:
    running = build_items('j', [(18, 0)] * 6)
    pace = decide_pace(build_view(8, 3), running, [])
    assert len(pace.pause) == 3
    assert not pace.start


def test_items_are_not_paused_for_other_items() -> None:
    running = build_items('j', [(18, 0)] * 9)
    assert not decide_pace(build_view(8, 1), running, []).pause


def test_late_items_do_not_take_slots_of_urgent_ones() -> None:
    """Late items have the least slack, but running them first gains nothing."""
    late = build_items('late', [(-5, 0)] * 4)
    urgent = build_items('urgent', [(5.5, 0)])
    assert is_urgent(build_view(), urgent[0])
    pace = decide_pace(build_view(8, 3), [], late + urgent)
    assert pace.start == (('urgent', 0),)


def test_urgent_items_take_a_few_slots_only() -> None:
    urgent = build_items('urgent', [(5.5, 0)] * 6)
    pace = decide_pace(build_view(8, 3), [], urgent)
    assert len(pace.start) == URGENT_SLOTS


def test_items_due_first_or_run_longest_keep_running() -> None:
    running = build_items('j', [(18, 0), (7, 0), (18, 0.9)])
    pace = decide_pace(build_view(8, 1), running, [])
    assert pace.pause == (('j', 0),)


@given(st.integers(0, 8), st.integers(0, 8), ITEMS, ITEMS)
def test_pace_never_both_starts_and_pauses(
    running, waiting, own, others
) -> None:
    active = build_items('own', own[:running])
    pace = decide_pace(
        build_view(running, waiting), active, build_items('other', others)
    )
    assert not (pace.start and pace.pause)
    assert len(active) + len(pace.start) <= max(len(active), SLOTS)
    assert set(pace.pause) <= {item.key for item in active}


@dataclass
class EngineModel:
    """A model of an engine that admits to its slots in order of arrival."""

    items: dict[tuple[str, int], float] = field(default_factory=dict)
    queue: list[float] = field(default_factory=list)
    running: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)

    def admit(self, now: float) -> None:
        """Start waiting requests in free slots."""
        while self.queue and len(self.running) + len(self.items) < SLOTS:
            self.waits.append(now - self.queue.pop(0))
            self.running.append(now + 0.7)


def replay_load_waves(allow_pauses: bool) -> tuple[EngineModel, int]:
    """Replay waves of online requests beside items for all slots."""
    engine = EngineModel()
    progress = {('j', number): 0.0 for number in range(40)}
    done = 0
    arrivals = 0.0
    for step in range(600):
        now = step * TICK_SECONDS
        rate = 11.0 if now % 5.8 > 3.4 else 2.3
        engine.running = [
            ends_at for ends_at in engine.running if ends_at > now
        ]
        arrivals += rate * TICK_SECONDS
        while arrivals >= 1:
            arrivals -= 1
            engine.queue.append(now)
        engine.admit(now)
        for key in list(engine.items):
            progress[key] += TICK_SECONDS / RUN_SECONDS
            if progress[key] >= 1:
                engine.items.pop(key)
                progress.pop(key)
                done += 1
        view = build_view(
            len(engine.running) + len(engine.items), len(engine.queue)
        )
        active = [ItemView(key, 18, progress[key]) for key in engine.items]
        paused = [
            ItemView(key, 18, progress[key])
            for key in progress
            if key not in engine.items
        ]
        pace = decide_pace(view, active, paused)
        for key in pace.pause if allow_pauses else ():
            engine.items.pop(key)
        for key in pace.start:
            if len(engine.running) + len(engine.items) < SLOTS:
                engine.items[key] = now
        engine.admit(now)
    return engine, done


def test_requests_hardly_wait_in_waves_and_items_complete() -> None:
    paced, done = replay_load_waves(allow_pauses=True)
    unpaced, _done = replay_load_waves(allow_pauses=False)
    assert max(paced.waits) <= 3 * TICK_SECONDS
    assert max(unpaced.waits) > 10 * TICK_SECONDS
    assert done >= 20


def test_item_longer_than_planned_becomes_urgent_early() -> None:
    """Its length is unknown; by the mean alone no time would be left."""
    view = UpstreamView(SLOTS, 8, 0, RUN_SECONDS, deviation=0.2)
    assert is_urgent(view, ItemView(('j', 0), 1.4, 1.1))
    assert not is_urgent(view, ItemView(('j', 0), 4.0, 1.1))


@given(st.floats(0, 2), st.floats(0, 1), st.floats(0, 60))
def test_less_progress_never_means_more_slack(
    done: float, more: float, seconds: float
) -> None:
    view = build_view()
    behind = compute_slack(view, ItemView(('j', 0), seconds, done))
    ahead = compute_slack(view, ItemView(('j', 0), seconds, done + more))
    assert ahead >= behind


def test_few_slots_are_held_by_items() -> None:
    urgent = build_items('urgent', [(5.5, 0)] * 6)
    assert count_held_slots(build_view(8, 3), urgent) == URGENT_SLOTS
    assert count_held_slots(build_view(8, 3), build_items('j', [(18, 0)])) == 0


# Online requests a second outside and in a peak; items arrive in threes.
RATES = (2.0, 9.7)
TRIPLES_PER_SECOND = 0.25
# Cost of a pause: the item is started again and its text so far is read.
RESTART_SECONDS = 0.1


@dataclass
class ModelItem:
    """An item of the model below: its length as a share of the mean."""

    length: float
    due_at: float
    done: float = 0.0
    is_running: bool = False
    runs_at: float = 0.0


def replay_lengths(deviation: float, seed: int, seconds: float = 600) -> float:
    """Replay items of different lengths beside waves of online requests.

    :param deviation: deviation of the lengths that pacing assumes.
    :param seed: of the arrivals and lengths.
    :param seconds: duration.
    :returns: share of the longest tenth of the items that were in time.
    """
    rng = random.Random(seed)
    items: dict[tuple[str, int], ModelItem] = {}
    completed: list[tuple[float, bool]] = []
    online_ends: list[float] = []
    for step in range(int(seconds / TICK_SECONDS)):
        now = step * TICK_SECONDS
        online_ends = [ends_at for ends_at in online_ends if ends_at > now]
        if rng.random() < TRIPLES_PER_SECOND * TICK_SECONDS:
            for number in range(3):
                length = max(0.2, rng.gauss(1, 0.25))
                items['j', step * 3 + number] = ModelItem(length, now + 18)
        for key, item in list(items.items()):
            if item.is_running and item.runs_at <= now:
                item.done += TICK_SECONDS / RUN_SECONDS
            if item.done >= item.length:
                items.pop(key)
                completed.append((item.length, now <= item.due_at))
        views = {
            key: ItemView(key, item.due_at - now, item.done)
            for key, item in items.items()
        }
        active = [views[key] for key in items if items[key].is_running]
        paused = [views[key] for key in items if not items[key].is_running]
        view = replace(build_view(), deviation=deviation)
        held = count_held_slots(view, active)
        is_arriving = rng.random() < RATES[now % 5.8 > 3.4] * TICK_SECONDS
        if is_arriving and len(online_ends) + held < SLOTS:
            online_ends.append(now + 0.72)
        load = len(online_ends) + len(active)
        view = replace(
            view,
            running=min(load, SLOTS),
            waiting=max(0, load - SLOTS),
        )
        pace = decide_pace(view, active, paused)
        for key in pace.pause:
            items[key].is_running = False
        for key in pace.start:
            items[key].is_running = True
            items[key].runs_at = now + RESTART_SECONDS
    longest = sorted(completed)[-len(completed) // 10 :]
    return sum(is_in_time for _length, is_in_time in longest) / len(longest)


def test_known_deviation_keeps_long_items_in_time() -> None:
    """The items take nearly the mean capacity of the upstream."""
    seeds = range(6)
    known = sum(replay_lengths(0.2, seed) for seed in seeds) / len(seeds)
    unknown = sum(replay_lengths(0.0, seed) for seed in seeds) / len(seeds)
    assert known > unknown + 0.02
