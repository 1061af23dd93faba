"""A model of a customer's requests at many entries, to compare limiters.

Every limiter sees the same requests.  Counts that are reported arrive some 0.1 s
late; a limiter that asks one process for each request is exact, and costs a
call each.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from wigeonpier.policy.allowance import (
    DEMAND_SECONDS,
    UNSEEN_SECONDS,
    Limit,
    UsageCount,
    estimate_admission,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    Limiter = Callable[['World', float, int], bool]

SPAN_SECONDS = 5.0
# A line each 0.1 s, and up to that much again at a busy process.
LAG_SECONDS = (0.05, 0.2)
# Rates are reported with heartbeats.
RATE_LAG_SECONDS = 0.5
CYCLE_SECONDS = 6.0
CREST_FROM_SECONDS = 3.6
CREST = 1.91
TROUGH = 0.391
HOT_SECONDS = (6.0, 12.5)
RUN_SECONDS = 30.0
LIMIT_SHARE = 1.6
SLACK = 20
# Of an equal share: what each entry keeps in the model of shares.
LEAST_SHARE = 0.5
OVERAGE = 0.1


@dataclass(frozen=True, slots=True)
class Scene:
    """A customer and the entries to which its callers come.

    :param rate: its usual requests a second.
    :param callers: how many callers it has, each at one entry.
    :param entries: how many entries there are.
    :param heat: how many times its usual it sends for some seconds.
    """

    rate: float
    callers: int
    entries: int
    heat: float

    @property
    def limit(self) -> Limit:
        """Give its limit, which lies above its usual."""
        rate = LIMIT_SHARE * self.rate
        return Limit(rate, rate, SPAN_SECONDS, OVERAGE, SLACK)


@dataclass(slots=True)
class Log:
    """Moments in order, counted by span."""

    moments: list[float] = field(default_factory=list)

    def count(self, since: float, until: float) -> int:
        """Count the moments after one and up to another.

        :param since: seconds.
        :param until: seconds.
        :returns: how many.
        """
        begin = bisect_right(self.moments, since)
        return bisect_right(self.moments, until) - begin


@dataclass(slots=True)
class World:
    """What was asked and admitted so far.

    :param scene: the customer.
    :param rng: source of randomness.
    """

    scene: Scene
    rng: random.Random
    admitted: Log = field(default_factory=Log)
    by_entry: list[Log] = field(init=False)
    asked: list[Log] = field(init=False)

    def __post_init__(self) -> None:
        """Begin with nothing at each entry."""
        self.by_entry = [Log() for _ in range(self.scene.entries)]
        self.asked = [Log() for _ in range(self.scene.entries)]


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a limiter came to.

    :param worst: requests in its worst span, as a share of what is borne.
    :param served: requests that it admitted, as a share of those that an
        exact one admits.
    """

    worst: float
    served: float


def share_limit(mine: float, others: list[float], entries: int) -> float:
    """Split a limit among entries by what each was asked for.

    :param mine: rate that this entry was asked for.
    :param others: rates of the other entries.
    :param entries: how many entries there are.
    :returns: share between 0 and 1.
    """
    if entries <= 1:
        return 1
    least = LEAST_SHARE / entries
    total = mine + sum(others)
    if total <= 0:
        return 1 / entries
    return least + (1 - least * entries) * mine / total


def limit_by_shares(world: World, now: float, entry: int) -> bool:
    """Give each entry a part of the limit by what it is asked for."""
    until = now - RATE_LAG_SECONDS
    rates = [log.count(until - SPAN_SECONDS, until) for log in world.asked]
    mine = rates.pop(entry)
    share = share_limit(mine, list(map(float, rates)), world.scene.entries)
    own = world.by_entry[entry].count(now - SPAN_SECONDS, now)
    return own + 1 <= max(1, world.scene.limit.requests * share)


def limit_by_counts(world: World, now: float, entry: int) -> bool:
    """Admit while the reported counts leave room."""
    use = _look(world, now, entry)
    return use.reported + use.unseen < world.scene.limit.requests


def limit_by_rate(world: World, now: float, entry: int) -> bool:
    """Add to the counts what was admitted elsewhere of late, a second."""
    until = now - LAG_SECONDS[1]
    since = until - DEMAND_SECONDS
    elsewhere = world.admitted.count(since, until)
    elsewhere -= world.by_entry[entry].count(since, until)
    use = _look(world, now, entry)
    unseen = elsewhere / DEMAND_SECONDS * UNSEEN_SECONDS
    return use.reported + use.unseen + unseen < world.scene.limit.requests


def limit_carefully(world: World, now: float, entry: int) -> bool:
    """Admit at random near the limit, as the entries do."""
    chance = estimate_admission(world.scene.limit, _look(world, now, entry))
    return world.rng.random() < chance


def limit_exactly(world: World, now: float, _entry: int) -> bool:
    """Have one process that counts everything decide each request."""
    counted = world.admitted.count(now - SPAN_SECONDS, now)
    return counted < world.scene.limit.requests


LIMITERS: tuple[tuple[str, Limiter], ...] = (
    ('shares', limit_by_shares),
    ('counts', limit_by_counts),
    ('counts and rate', limit_by_rate),
    ('careful counts', limit_carefully),
    ('one process', limit_exactly),
)
LARGE = Scene(rate=11.6, callers=13, entries=27, heat=1)
SCENES = (
    LARGE,
    replace(LARGE, heat=7.5),
    replace(LARGE, heat=20),
    Scene(rate=1, callers=3, entries=27, heat=7.5),
    Scene(rate=5, callers=8, entries=4, heat=7.5),
    Scene(rate=100, callers=120, entries=380, heat=7.5),
)


def play_limiter(limiter: Limiter, scene: Scene, seed: int) -> Outcome:
    """Play a customer's requests before a limiter.

    :param limiter: decides each request.
    :param scene: the customer.
    :param seed: draws the requests.
    :returns: what it came to.
    """
    arrivals = draw_arrivals(scene, random.Random(seed))
    world = World(scene, random.Random(seed + 1))
    for now, entry in arrivals:
        world.asked[entry].moments.append(now)
        if limiter(world, now, entry):
            world.admitted.moments.append(now)
            world.by_entry[entry].moments.append(now)
    limit = scene.limit
    borne = limit.requests * (1 + OVERAGE) + limit.slack
    return Outcome(
        find_worst(world.admitted.moments) / borne,
        len(world.admitted.moments) / max(1, _count_ideal(arrivals, limit)),
    )


def draw_arrivals(scene: Scene, rng: random.Random) -> list[tuple[float, int]]:
    """Draw a customer's requests: crests, and some seconds of heat.

    :param scene: the customer.
    :param rng: source of randomness.
    :returns: moments, and the entry to which each request comes.
    """
    homes = [rng.randrange(scene.entries) for _ in range(scene.callers)]
    peak = scene.rate * CREST * scene.heat
    arrivals = []
    now = rng.expovariate(peak)
    while now < RUN_SECONDS:
        if rng.random() * peak < scene.rate * _shape_load(scene, now):
            arrivals.append((now, rng.choice(homes)))
        now += rng.expovariate(peak)
    return arrivals


def find_worst(moments: list[float]) -> int:
    """Find the span with the most requests.

    :param moments: when they were admitted, in order.
    :returns: how many it has.
    """
    span: deque[float] = deque()
    worst = 0
    for moment in moments:
        span.append(moment)
        while span[0] <= moment - SPAN_SECONDS:
            span.popleft()
        worst = max(worst, len(span))
    return worst


def list_outcomes(seeds: int) -> list[dict[str, float | str]]:
    """Play each limiter before each scene.

    :param seeds: how many runs of each.
    :returns: a row each, with the worst of the runs.
    """
    rows: list[dict[str, float | str]] = []
    for scene in SCENES:
        for name, limiter in LIMITERS:
            runs = [play_limiter(limiter, scene, seed) for seed in range(seeds)]
            rows.append(
                {
                    'entries': scene.entries,
                    'rate': scene.rate,
                    'heat': scene.heat,
                    'limiter': name,
                    'worst_span': round(max(run.worst for run in runs), 3),
                    'served': round(min(run.served for run in runs), 3),
                },
            )
    return rows


def _shape_load(scene: Scene, now: float) -> float:
    is_crest = now % CYCLE_SECONDS >= CREST_FROM_SECONDS
    is_hot = HOT_SECONDS[0] <= now < HOT_SECONDS[1]
    heat = scene.heat if is_hot else 1
    load = CREST if is_crest else TROUGH
    return load * heat


def _count_ideal(arrivals: list[tuple[float, int]], limit: Limit) -> int:
    span: deque[float] = deque()
    admitted = 0
    for moment, _entry in arrivals:
        while span and span[0] <= moment - SPAN_SECONDS:
            span.popleft()
        if len(span) < limit.requests:
            span.append(moment)
            admitted += 1
    return admitted


def _look(world: World, now: float, entry: int) -> UsageCount:
    """See what the entry sees: others late, its own requests at once."""
    told_until = now - world.rng.uniform(*LAG_SECONDS)
    own = world.by_entry[entry]
    demand = world.asked[entry].count(now - DEMAND_SECONDS, now)
    return UsageCount(
        reported=world.admitted.count(now - SPAN_SECONDS, told_until),
        unseen=own.count(now - UNSEEN_SECONDS, now),
        own=own.count(now - SPAN_SECONDS, now),
        demand=demand / DEMAND_SECONDS,
    )
