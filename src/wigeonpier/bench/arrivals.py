"""Seeded arrivals of online requests: steady, diurnal, flash bursts."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

WORDS = ('node', 'gain', 'bias', 'net', 'loop', 'rail', 'pole', 'track')
PROMPT_WORDS = 48
SHARED_WORDS = 32
TOPICS = 24
DIURNAL_DEPTH = 0.6


@dataclass(frozen=True, slots=True)
class Arrival:
    """One online request.

    :param at: seconds from the start.
    :param prompt: what is asked.
    :param length: tokens of the answer.
    """

    at: float
    prompt: str
    length: int


@dataclass(frozen=True, slots=True)
class Burst:
    """A time in which many more requests come.

    :param start: seconds from the start.
    :param end: seconds from the start.
    :param factor: times the usual rate.
    """

    start: float
    end: float
    factor: float


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """How online requests come.

    :param seconds: length of the run.
    :param rate: usual requests a second.
    :param is_diurnal: whether the rate rises and falls once over the run.
    :param bursts: flash bursts.
    :param length: mean tokens of an answer.
    """

    seconds: float
    rate: float
    is_diurnal: bool = False
    bursts: tuple[Burst, ...] = ()
    length: int = 32


def draw_arrivals(plan: LoadPlan, rng: random.Random) -> list[Arrival]:
    """Draw all requests of a run.

    :param plan: how they come.
    :param rng: seeded source of randomness.
    :returns: requests in order of time.
    """
    most = plan.rate * max(
        (burst.factor for burst in plan.bursts),
        default=1,
    )
    most *= 1 + DIURNAL_DEPTH
    arrivals: list[Arrival] = []
    at: float = 0
    while True:
        at += rng.expovariate(most)
        if at >= plan.seconds:
            return arrivals
        # Thinning: keep a candidate in proportion to the rate at its time.
        if rng.random() * most < measure_rate(plan, at):
            arrivals.append(_draw_request(plan, at, len(arrivals), rng))


def measure_rate(plan: LoadPlan, at: float) -> float:
    """Give the rate at a time.

    :param plan: how requests come.
    :param at: seconds from the start.
    :returns: requests a second.
    """
    rate = plan.rate
    if plan.is_diurnal:
        phase = 2 * math.pi * at / plan.seconds
        rate *= 1 - DIURNAL_DEPTH * math.cos(phase)
    for burst in plan.bursts:
        if burst.start <= at < burst.end:
            rate *= burst.factor
    return rate


def _draw_request(
    plan: LoadPlan,
    at: float,
    number: int,
    rng: random.Random,
) -> Arrival:
    topic = rng.randrange(TOPICS)
    shared = ' '.join(f'{word}{topic}' for word in WORDS * 4)
    own = ' '.join(
        rng.choice(WORDS) for _ in range(PROMPT_WORDS - SHARED_WORDS)
    )
    length = max(2, int(rng.gauss(plan.length, plan.length / 4)))
    return Arrival(at, f'{shared} {own} question {number}', length)
