"""Decides how much batch work an upstream takes beside its online work.

The time of an engine's step grows about linearly with the streams in its
batch.  The gate learns that line from the gaps that it sees between tokens,
and works out how many streams fit within the target.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

FORGETTING = 0.999
PRIOR_WEIGHT = 4.0
PRIOR_STREAMS = (1, 16)
PRIOR_STEP_SECONDS = 0.012
PRIOR_SLOPE_SECONDS = 0.001
TARGET_MARGIN = 0.97
LEAST_SLOTS = 1
MOST_SLOTS = 1024
ONE_RUN_SHARE = 0.25
LONGEST_GAP_SECONDS = 2.0
LEAST_ONLINE = 16
ONLINE_OVERLOAD = 4
LEAST_SLOPE_SECONDS = 0.0002
FURTHEST_SHARE = 1.5
FURTHEST_MORE = 4


@dataclass(slots=True)
class StepModel:
    """Weighted sums of a straight line through (streams, seconds).

    :param weight: sum of weights.
    :param streams: weighted sum of streams.
    :param squares: weighted sum of squared streams.
    :param seconds: weighted sum of gaps.
    :param products: weighted sum of streams times gaps.
    """

    weight: float = 0
    streams: float = 0
    squares: float = 0
    seconds: float = 0
    products: float = 0


def make_model() -> StepModel:
    """Begin with nothing but the cautious guess that each fit holds.

    :returns: a model without points.
    """
    return StepModel()


def note_gap(model: StepModel, streams: float, seconds: float) -> None:
    """Take in the time between two tokens of one stream.

    :param model: changed in place.
    :param streams: streams that ran at the upstream.
    :param seconds: the gap; very long ones are stalls and are ignored.
    """
    if seconds > LONGEST_GAP_SECONDS:
        return
    for name in StepModel.__slots__:
        setattr(model, name, getattr(model, name) * FORGETTING)
    _add_point(model, streams, seconds, 1)


def count_slots(model: StepModel, target_seconds: float) -> int:
    """Work out how many streams keep within the target.

    The line is followed from where the gaps were seen, and only so far
    beyond that it is soon seen again.  Its slope has a floor: when online
    work arrives, prompts are read while fewer streams run, so that long
    gaps with few streams could make further streams look free.

    :param model: what was learned.
    :param target_seconds: most time between tokens.
    :returns: streams, at least one.
    """
    known = _add_guess(model)
    mean_streams = known.streams / known.weight
    mean_seconds = known.seconds / known.weight
    slope = max(LEAST_SLOPE_SECONDS, _fit_slope(known))
    room = target_seconds * TARGET_MARGIN - mean_seconds
    furthest = mean_streams * FURTHEST_SHARE + FURTHEST_MORE
    slots = min(mean_streams + room / slope, furthest, MOST_SLOTS)
    return max(LEAST_SLOTS, math.floor(slots))


@dataclass(frozen=True, slots=True)
class Occupancy:
    """What runs and waits at one upstream.

    :param online: online streams that run.
    :param online_waiting: online requests that wait in the local process.
    :param batch: batch streams that run.
    :param one_run: those of them that may not be stopped and run again.
    """

    online: int
    online_waiting: int
    batch: int
    one_run: int


def may_admit_batch(seen: Occupancy, slots: int, *, is_one_run: bool) -> bool:
    """Decide whether one more batch stream may start.

    :param seen: what runs and waits.
    :param slots: streams that fit within the target.
    :param is_one_run: whether it may not be stopped and run again; such
        items only get a share of the slots, since they cannot give way.
    :returns: false while any online request waits.
    """
    if seen.online_waiting or seen.online + seen.batch >= slots:
        return False
    if is_one_run:
        return seen.one_run < max(1, int(slots * ONE_RUN_SHARE))
    return True


def may_admit_online(seen: Occupancy, slots: int) -> bool:
    """Decide whether one more online stream may start now.

    :param seen: what runs and waits.
    :param slots: streams that fit within the target.
    :returns: false only where the upstream is far beyond its target; until
        then a longer step harms a caller less than waiting does.
    """
    return seen.online < max(LEAST_ONLINE, slots * ONLINE_OVERLOAD)


def count_to_preempt(seen: Occupancy, slots: int) -> int:
    """Decide how many batch streams have to give way.

    :param seen: what runs and waits, the newest online request included.
    :param slots: streams that fit within the target.
    :returns: streams to stop, at most those that may be stopped.
    """
    wanted = seen.online + seen.online_waiting + seen.batch - slots
    return max(0, min(wanted, seen.batch - seen.one_run))


def _add_guess(model: StepModel) -> StepModel:
    """Add a guess of two points that is never forgotten.

    While an upstream runs one number of streams all the time, the gaps say
    nothing of the slope; without the guess it could come out as none, and
    the slots as endless.
    """
    guessed = replace(model)
    for streams in PRIOR_STREAMS:
        guess = PRIOR_STEP_SECONDS + PRIOR_SLOPE_SECONDS * (streams - 1)
        _add_point(guessed, streams, guess, PRIOR_WEIGHT)
    return guessed


def _add_point(
    model: StepModel,
    streams: float,
    seconds: float,
    weight: float,
) -> None:
    model.weight += weight
    model.streams += weight * streams
    model.squares += weight * streams * streams
    model.seconds += weight * seconds
    model.products += weight * streams * seconds


def _fit_slope(model: StepModel) -> float:
    spread = model.weight * model.squares - model.streams**2
    joint = model.weight * model.products - model.streams * model.seconds
    return joint / spread
