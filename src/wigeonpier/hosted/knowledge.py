"""Tracks how recently the configuration was confirmed to be the newest."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from wigeonpier.loops import spawn_loop
from wigeonpier.policy import freshness
from wigeonpier.policy.identity import Freshness
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.configuration import ConfigurationWatch

# Interval of checks until there is a configuration with customers.
IDLE_CHECK_SECONDS = 0.1
# Checks of the age within the bound.
CHECKS_PER_BOUND = 50


@dataclass(frozen=True, slots=True)
class Reading:
    """Newest revision of the configuration at a moment.

    :param revision: revision of its key.
    :param asked_at: when the reading was requested, seconds of the clock
        that :func:`read_clock` reads.
    """

    revision: int
    asked_at: float


def read_clock() -> float:
    """Read a monotonic clock that includes time in suspension.

    :returns: seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigurationFreshness:
    """Periodically confirms that the active configuration is the newest."""

    def __init__(
        self,
        configuration: ConfigurationWatch,
        bound: float,
        confirm: Callable[[], Reading | None],
    ) -> None:
        """Confirm a configuration that has customers.

        :param configuration: the active configuration.
        :param bound: seconds within which a revoked key must be rejected, 0
            for no bound.
        :param confirm: obtains a reading, ``None`` if there is no answer.
        """
        self._configuration = configuration
        self._bound = bound
        self._confirm = confirm
        self._confirmed_at = -math.inf
        self._is_outdated = False

    def start(self) -> None:
        """Start to confirm; no request is sent before there are customers."""
        if self._bound:
            spawn_loop('knowledge', self._step)

    def measure(self) -> Freshness:
        """Measure how long ago the configuration was confirmed.

        :returns: its age and the bound.
        """
        return Freshness(read_clock() - self._confirmed_at, self._bound)

    @property
    def is_ready(self) -> bool:
        """Check whether callers with keys may be routed to this entry."""
        if not self._has_customers:
            return True
        return freshness.is_ready(self.measure().age, self._bound)

    @property
    def _has_customers(self) -> bool:
        current = self._configuration.current
        return current is not None and current.customers is not None

    def _step(self) -> None:
        if not self._has_customers:
            gevent.sleep(IDLE_CHECK_SECONDS)
            return
        age = self.measure().age
        self._report_age(age)
        if freshness.is_check_due(age, self._bound):
            self._take(self._confirm())
        gevent.sleep(self._bound / CHECKS_PER_BOUND)

    def _take(self, reading: Reading | None) -> None:
        """Record a reading if its revision is not newer than the active one."""
        if reading is None:
            return
        if reading.revision <= self._configuration.revision:
            self._confirmed_at = max(self._confirmed_at, reading.asked_at)

    def _report_age(self, age: float) -> None:
        is_outdated = not freshness.may_authorize(age, self._bound)
        if is_outdated and not self._is_outdated and math.isfinite(age):
            log_event(Event.knowledge_old, age=round(age, 3))
        elif self._is_outdated and not is_outdated:
            log_event(Event.knowledge_proved, age=round(age, 3))
        self._is_outdated = is_outdated
