"""Measures how fast an upstream works, and compares upstreams by it.

Addresses upstreams of one service whose speeds differ by a factor of 2.2 and
which take 2.5 times as long for periods of some 0.6 s.  The load reports that
a worker reads anyway list the output tokens of each run; their growth gives
the time of a token.  The fastest run counts: others may wait for their prompt
or for memory.  The baseline is a mean of low measurements over some seconds,
which neither slow periods nor prompts that delay single steps shift as long as
they are less than half of the time.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.reports import UpstreamPace

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# A token takes 2 to 12 ms.  In a shorter interval or with fewer tokens, the
# growth by whole tokens makes the measured time inaccurate by a fifth or more.
MIN_INTERVAL_SECONDS = 0.048
MIN_TOKENS = 8
# A slow upstream is measured after this time even with fewer tokens, since a
# slow period lasts only 0.6 s.
MAX_INTERVAL_SECONDS = 0.1
# The upstream made the report at any time of the round trip.  A report that
# took longer than this would make an interval wrong by more than a tenth.
MAX_ROUND_TRIP_SECONDS = 0.005
# Some 6 to 12 s of work.
KEPT_MEASUREMENTS = 120
# The baseline is the mean of this part of the ranked measurements.  Most of
# them are one of two values, since tokens are whole: a single quantile would
# alternate between these.
BASELINE_RANKS = (0.1, 0.4)
# Measurements from which the baseline is known, 0.7 s after the start where a
# token takes up to 6 ms.  Fewer make new baselines differ by a fifth.
MIN_MEASUREMENTS = 14
# Single factors to the baseline outside this range are errors of the
# measurement; MIN_MEASUREMENTS of them in a row replace the baseline, which
# was then measured in a period that was not typical, such as a warm-up.
MIN_FACTOR = 0.2
MAX_FACTOR = 10.0
# A slow period takes 2.5 times the usual time.  It counts from the second
# measurement in a row of at least this factor, since a prompt that delays a
# step makes a single measurement slow.
SLOW_FACTOR = 1.8
USUAL_FACTOR = 1.3
# Time after which a slowdown without a new measurement no longer holds.
SLOWDOWN_SECONDS = 0.3
# Reported values change in steps of these factors.
BASELINE_STEP = 1.03
SLOWDOWN_STEP = 1.25
# Steps by which a value must differ from the reported one.
BASELINE_HYSTERESIS = 1.5
SLOWDOWN_HYSTERESIS = 0.8
# Reported paces that differ by less than this factor are treated as equal, so
# that real ones within 15 % always are: each of two reported paces may be wrong
# by some 12 % because of whole tokens, prompts and rounding.  It is well below
# the factor of 2.2 of upstreams that differ.
EQUAL_FACTOR = 1.45


@dataclass(slots=True)
class PaceEstimator:
    """Estimates the pace of one start of an upstream.

    :param baseline: seconds of an output token outside slow periods, 0 where
        it is not known yet.
    :param slowdown: factor of the last measurements to the baseline, 1 outside
        slow periods.
    :param measured_at: time of the last measurement, seconds.
    """

    baseline: float = 0
    slowdown: float = 1
    measured_at: float = -math.inf
    _begun_at: float = -math.inf
    _tokens: Mapping[str, int] = field(default_factory=dict)
    _measured: deque[float] = field(
        default_factory=lambda: deque(maxlen=KEPT_MEASUREMENTS)
    )
    # Measurements in a row that do not fit the baseline.
    _implausible: list[float] = field(default_factory=list)
    # Factor of the last measurement to the baseline.
    _last_factor: float = 1
    _reported: UpstreamPace | None = None

    def record(
        self, tokens: Mapping[str, int], now: float, round_trip: float = 0
    ) -> None:
        """Update the estimate with a report of the upstream.

        :param tokens: output tokens so far, by run.
        :param now: when the report was requested, seconds; reports that are
            older than the last one are ignored.
        :param round_trip: time until the report arrived, seconds; reports
            that took too long are ignored.
        """
        if round_trip > MAX_ROUND_TRIP_SECONDS:
            return
        interval = now - self._begun_at
        if interval < MIN_INTERVAL_SECONDS:
            return
        growth = _find_growth(self._tokens, tokens)
        if 0 < growth < MIN_TOKENS and interval < MAX_INTERVAL_SECONDS:
            return
        self._begun_at = now
        self._tokens = tokens
        if growth > 0:
            self._add(interval / growth, now)

    def read(self, now: float) -> UpstreamPace | None:
        """Read the pace, rounded so that noise does not change it.

        :param now: seconds.
        :returns: the pace, ``None`` while the baseline is not known.
        """
        if not self.baseline:
            return None
        reported = self._reported or UpstreamPace(0)
        slowdown = self.read_slowdown(now)
        self._reported = UpstreamPace(
            _round(
                self.baseline,
                reported.event_seconds,
                BASELINE_STEP,
                BASELINE_HYSTERESIS,
            ),
            _round(
                slowdown, reported.slowdown, SLOWDOWN_STEP, SLOWDOWN_HYSTERESIS
            )
            if slowdown > 1
            else 1,
        )
        return self._reported

    def read_slowdown(self, now: float) -> float:
        """Read the slowdown without rounding.

        :param now: seconds.
        :returns: factor to the baseline, 1 without a recent measurement.
        """
        is_current = now - self.measured_at <= SLOWDOWN_SECONDS
        return self.slowdown if is_current else 1

    def _add(self, seconds: float, now: float) -> None:
        if self.baseline:
            factor = seconds / self.baseline
            if not MIN_FACTOR <= factor <= MAX_FACTOR:
                self._reject(seconds)
                return
            self._implausible.clear()
            bound = USUAL_FACTOR if self.slowdown > 1 else SLOW_FACTOR
            # The lower one, since a prompt may have delayed the other.
            lower = min(factor, self._last_factor)
            self.slowdown = lower if lower >= bound else 1
            self._last_factor = factor
            self.measured_at = now
        self._measured.append(seconds)
        self._update_baseline()

    def _reject(self, seconds: float) -> None:
        """Reject an outlier, or start anew after several in a row."""
        self._implausible.append(seconds)
        if len(self._implausible) >= MIN_MEASUREMENTS:
            self._measured.clear()
            self._measured.extend(self._implausible)
            self._implausible.clear()
            self.slowdown = 1
            self._last_factor = 1
            self._update_baseline()

    def _update_baseline(self) -> None:
        if len(self._measured) >= MIN_MEASUREMENTS:
            ranked = sorted(self._measured)
            first, end = (
                math.ceil(len(ranked) * share) for share in BASELINE_RANKS
            )
            self.baseline = math.fsum(ranked[first:end]) / (end - first)


def find_reference(paces: Sequence[UpstreamPace]) -> float:
    """Find the pace that the upstreams of a service are compared with.

    Only baselines decide: a slow period of one upstream changes its own cost,
    and not how all others are chosen.

    :param paces: paces of the upstreams that report one.
    :returns: median baseline, seconds; 0 where all baselines are nearly equal,
        so that a comparison would only add the noise of the measurements.
    """
    baselines = sorted(
        pace.event_seconds for pace in paces if pace.event_seconds > 0
    )
    if not baselines:
        return 0
    median = baselines[len(baselines) // 2]
    # An implausible baseline counts as unknown.
    plausible = [
        baseline
        for baseline in baselines
        if MIN_FACTOR <= baseline / median <= MAX_FACTOR
    ]
    return 0 if plausible[-1] <= plausible[0] * EQUAL_FACTOR else median


def compare_time(pace: UpstreamPace | None, reference: float) -> float:
    """Compare how long a request takes with the usual time of the service.

    :param pace: pace of the upstream, ``None`` where it is not known.
    :param reference: baseline of the service, 0 to compare the slowdown alone.
    :returns: factor of the usual time; 1 where the reported pace is
        implausible.
    """
    if pace is None or pace.event_seconds <= 0 or pace.slowdown < 1:
        return 1
    baseline = pace.event_seconds / reference if reference else 1
    factor = baseline * pace.slowdown
    is_plausible = MIN_FACTOR <= min(baseline, factor) and factor <= MAX_FACTOR
    return factor if is_plausible else 1


def _find_growth(before: Mapping[str, int], after: Mapping[str, int]) -> int:
    """Find the tokens of the fastest run that runs at both times.

    :param before: tokens by run.
    :param after: tokens by run, later.
    :returns: tokens, 0 without a measurement or where a count has shrunk.
    """
    growths = [
        after[run] - made
        for run, made in before.items()
        if made > 0 and run in after
    ]
    if not growths or min(growths) < 0:
        return 0
    return max(growths)


def _round(
    value: float, reported: float, step: float, hysteresis: float
) -> float:
    """Round to a power of a step, unless the reported value is near enough."""
    steps = math.log(value, step)
    if reported and abs(steps - math.log(reported, step)) < hysteresis:
        return reported
    return round(step ** round(steps), 6)
