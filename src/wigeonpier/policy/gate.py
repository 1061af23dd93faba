"""Decides how much batch work an upstream runs beside its online work.

The step time of an engine grows about linearly with the streams in its batch.
The gate fits that line to the gaps that it measures between tokens, and
computes how many streams fit within the latency target.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

DECAY = 0.999
PRIOR_WEIGHT = 4.0
PRIOR_STREAMS = (1, 16)
PRIOR_STEP_SECONDS = 0.012
PRIOR_SLOPE_SECONDS = 0.001
TARGET_MARGIN = 0.97
MIN_SLOTS = 1
MAX_SLOTS = 1024
RUN_ONCE_SHARE = 0.25
MAX_GAP_SECONDS = 2.0
MIN_ONLINE_STREAMS = 16
ONLINE_OVERLOAD_FACTOR = 4
MIN_SLOPE_SECONDS = 0.0002
EXTRAPOLATION_FACTOR = 1.5
EXTRAPOLATION_STREAMS = 4


@dataclass(slots=True)
class StepModel:
    """Weighted sums for a linear fit of step time (seconds) over streams.

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
    """Create a model without points.

    Each fit adds a conservative prior.

    :returns: a model without points.
    """
    return StepModel()


def record_gap(model: StepModel, streams: float, seconds: float) -> None:
    """Add the time between two tokens of one stream.

    :param model: changed in place.
    :param streams: streams that ran at the upstream.
    :param seconds: the gap; very long ones are stalls and are ignored.
    """
    if seconds > MAX_GAP_SECONDS:
        return
    for name in StepModel.__slots__:
        setattr(model, name, getattr(model, name) * DECAY)
    _add_point(model, streams, seconds, 1)


def count_slots(model: StepModel, target_seconds: float) -> int:
    """Compute how many streams fit within the target.

    The line is extrapolated only a little beyond the measured gaps, so that
    the prediction is soon checked by new ones.  Its slope has a lower bound:
    when online work arrives, prompts are read while fewer streams run, and
    long gaps with few streams could make further streams look free.

    :param model: the measured gaps.
    :param target_seconds: longest time between tokens.
    :returns: streams, at least one.
    """
    fitted = _add_prior(model)
    mean_streams = fitted.streams / fitted.weight
    mean_seconds = fitted.seconds / fitted.weight
    slope = max(MIN_SLOPE_SECONDS, _fit_slope(fitted))
    headroom = target_seconds * TARGET_MARGIN - mean_seconds
    max_slots = mean_streams * EXTRAPOLATION_FACTOR + EXTRAPOLATION_STREAMS
    slots = min(mean_streams + headroom / slope, max_slots, MAX_SLOTS)
    return max(MIN_SLOTS, math.floor(slots))


@dataclass(frozen=True, slots=True)
class Occupancy:
    """What runs and waits at one upstream.

    :param online: online streams that run.
    :param online_waiting: online requests that wait in the local process.
    :param batch: batch streams that run.
    :param run_once: those of them that may not be stopped and run again.
    """

    online: int
    online_waiting: int
    batch: int
    run_once: int


def may_admit_batch(
    occupancy: Occupancy, slots: int, *, is_run_once: bool
) -> bool:
    """Decide whether one more batch stream may start.

    :param occupancy: what runs and waits.
    :param slots: streams that fit within the target.
    :param is_run_once: whether it may not be stopped and run again; such items
        only get a share of the slots, since they cannot be preempted.
    :returns: false while any online request waits.
    """
    if occupancy.online_waiting or occupancy.online + occupancy.batch >= slots:
        return False
    if is_run_once:
        return occupancy.run_once < max(1, int(slots * RUN_ONCE_SHARE))
    return True


def may_admit_online(occupancy: Occupancy, slots: int) -> bool:
    """Decide whether one more online stream may start now.

    :param occupancy: what runs and waits.
    :param slots: streams that fit within the target.
    :returns: false only where the upstream is far beyond its target; until
        then a longer step delays a caller less than waiting does.
    """
    return occupancy.online < max(
        MIN_ONLINE_STREAMS, slots * ONLINE_OVERLOAD_FACTOR
    )


def count_to_preempt(occupancy: Occupancy, slots: int) -> int:
    """Decide how many batch streams to preempt.

    :param occupancy: what runs and waits, including the newest online request.
    :param slots: streams that fit within the target.
    :returns: streams to stop, at most those that may be stopped.
    """
    excess = (
        occupancy.online + occupancy.online_waiting + occupancy.batch - slots
    )
    return max(0, min(excess, occupancy.batch - occupancy.run_once))


def _add_prior(model: StepModel) -> StepModel:
    """Add a prior of two points that does not decay.

    While an upstream always runs the same number of streams, the gaps do not
    determine the slope; without the prior it could come out as zero, and the
    slots as infinite.
    """
    with_prior = replace(model)
    for streams in PRIOR_STREAMS:
        prior_seconds = PRIOR_STEP_SECONDS + PRIOR_SLOPE_SECONDS * (streams - 1)
        _add_point(with_prior, streams, prior_seconds, PRIOR_WEIGHT)
    return with_prior


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
    variance = model.weight * model.squares - model.streams**2
    covariance = model.weight * model.products - model.streams * model.seconds
    return covariance / variance
