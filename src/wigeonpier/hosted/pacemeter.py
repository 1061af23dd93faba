"""Measures how fast the upstream on this VM works, from its load reports."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wigeonpier.policy.pace import PaceEstimator
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.models import UpstreamReport
    from wigeonpier.reports import UpstreamPace
    from wigeonpier.telemetry.metrics import Metrics

# Usual slow periods last some 0.6 s.
LOGGED_SLOW_SECONDS = 2.0
LOG_INTERVAL_SECONDS = 30.0


class PaceMeter:
    """Keeps the pace of one start of the upstream."""

    def __init__(self, upstream: str, metrics: Metrics) -> None:
        """Create a meter without measurements.

        :param upstream: ``host:port`` of the upstream, for the log.
        :param metrics: metrics of this process.
        """
        self._upstream = upstream
        self._metrics = metrics
        self._incarnation = 0
        self._estimator = PaceEstimator()
        # Begin of the current slow period, 0 outside of one.
        self._slow_since: float = 0
        self._logged_at = -LOG_INTERVAL_SECONDS
        metrics.add_gauge('upstream_token_seconds', self._get_baseline)
        metrics.add_gauge('upstream_slowdown', self._get_slowdown)

    def record(
        self,
        report: UpstreamReport | None,
        requested_at: float,
        round_trip: float = 0,
    ) -> None:
        """Update the pace with a load report.

        :param report: the report, ``None`` if the upstream no longer answers;
            it may be another start the next time.
        :param requested_at: when it was requested, seconds of the monotonic
            clock.
        :param round_trip: seconds until it arrived.
        """
        if report is None or report.incarnation != self._incarnation:
            self._estimator = PaceEstimator()
            self._slow_since = 0
        if report is None:
            return
        self._incarnation = report.incarnation
        is_known = bool(self._estimator.baseline)
        self._estimator.record(report.tokens, requested_at, round_trip)
        if self._estimator.baseline and not is_known:
            log_event(
                Event.upstream_pace_known,
                upstream=self._upstream,
                incarnation=report.incarnation,
                token_ms=round(self._estimator.baseline * 1000, 3),
            )
        self._record_slow_period(requested_at)

    def read(self) -> UpstreamPace | None:
        """Read the pace as it is reported to entries.

        :returns: the pace, ``None`` while it is not known.
        """
        return self._estimator.read(time.monotonic())

    def _record_slow_period(self, now: float) -> None:
        slowdown = self._estimator.read_slowdown(now)
        if slowdown <= 1:
            self._slow_since = 0
            return
        if not self._slow_since:
            self._slow_since = now
            self._metrics.count('upstream_slow_periods_total')
        slow_seconds = now - self._slow_since
        is_due = now - self._logged_at >= LOG_INTERVAL_SECONDS
        if slow_seconds >= LOGGED_SLOW_SECONDS and is_due:
            self._logged_at = now
            log_event(
                Event.upstream_slow,
                upstream=self._upstream,
                slowdown=round(slowdown, 2),
                seconds=round(slow_seconds, 3),
            )

    def _get_baseline(self) -> float:
        return self._estimator.baseline

    def _get_slowdown(self) -> float:
        return self._estimator.read_slowdown(time.monotonic())
