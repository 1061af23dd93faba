"""Finds out when items are tried again after upstreams crashed under them."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.policy.itemretry import (
    OWN_CONTENT_PACE,
    SHARED_PART_PACE,
    Surroundings,
    compute_next_try,
    compute_start,
    find_last_acquittal,
)
from wigeonpier.policy.suspicion import find_pauses_start, needs_pauses
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from wigeonpier.hosted.items import ItemWork
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.policy.itemretry import RetryPace
    from wigeonpier.telemetry.metrics import Metrics

# An item whose retention ends is tried once more before it is abandoned.
LAST_TRY_SECONDS = 20.0
# All items that wait are checked in each step of the runner.
DROP_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Hold:
    """Why an item waits.

    :param next_try: earliest time of the next try, seconds of the monotonic
        clock.
    :param why: what the crashes count against.
    :param crashes: how many count.
    """

    next_try: float
    why: str
    crashes: int


@dataclass(slots=True)
class ItemSpacing:
    """Times of the next tries of the items of one upstream.

    :param upstream: where the items run.
    :param suspicions: crashes attributed to suspected requests.
    :param metrics: metrics of this process.
    :param held: until when items wait, by fingerprint, seconds of the
        monotonic clock.
    """

    upstream: LocalUpstream
    suspicions: Suspicions
    metrics: Metrics
    held: dict[str, float] = field(default_factory=dict)
    _next_drop_at: float = 0

    def __post_init__(self) -> None:
        """Report how many items wait."""
        self.metrics.add_gauge('items_held', self.count_held)

    def count_held(self) -> int:
        """Count the items that wait until they are tried again.

        :returns: their number.
        """
        now = time.monotonic()
        return sum(until > now for until in self.held.values())

    def find_hold(self, work: ItemWork) -> Hold | None:
        """Find out whether an item is tried only after pauses.

        :param work: the item.
        :returns: its longest pause, ``None`` if it needs none.
        """
        if self.suspicions.is_empty:
            return None
        holds = [*self._list_own_holds(work), *self._list_part_holds(work)]
        return max(holds, key=lambda hold: hold.next_try, default=None)

    def may_start(self, work: ItemWork) -> bool:
        """Check whether the pause of an item is over.

        :param work: the item.
        :returns: true also for an item that needs none.
        """
        hold = self.find_hold(work)
        if hold is None:
            self.held.pop(work.fingerprint, None)
            return True
        now = time.monotonic()
        start = compute_start(hold.next_try, self._observe(), now)
        if start <= now:
            self.held.pop(work.fingerprint, None)
            return True
        self._record_hold(work, hold, start, now)
        return False

    def _drop_ended(self, now: float) -> None:
        """Drop items of jobs that have ended, which wait no longer."""
        if now < self._next_drop_at:
            return
        self._next_drop_at = now + DROP_INTERVAL_SECONDS
        self.held = {
            fingerprint: until
            for fingerprint, until in self.held.items()
            if until > now
        }

    def _list_own_holds(self, work: ItemWork) -> Iterator[Hold]:
        suspect = self.suspicions.suspects.get(work.fingerprint)
        if suspect is None or not needs_pauses(suspect):
            return
        tried = {crash.version for crash in suspect.crashes}
        if self.upstream.version not in tried:
            return
        times = [crash.at for crash in suspect.crashes]
        since = find_last_acquittal(suspect.crashes)
        next_try = _compute_try_in_time(work, times, OWN_CONTENT_PACE, since)
        yield Hold(next_try, 'item', len(times))

    def _list_part_holds(self, work: ItemWork) -> Iterator[Hold]:
        for culprit in self.suspicions.parts.culprits.find(work.part_keys):
            if self.upstream.version not in culprit.versions:
                continue
            # A culprit from another process may come without its runs.
            runs = culprit.runs.values()
            times = [run.at for run in runs] or [culprit.last_seen_at]
            since = find_pauses_start(runs)
            if math.isinf(since):
                since = -math.inf
            next_try = _compute_try_in_time(
                work, times, SHARED_PART_PACE, since
            )
            yield Hold(next_try, f'part {culprit.name}', len(times))

    def _observe(self) -> Surroundings:
        report, replica = self.upstream.report, self.upstream.replica
        taken = report.running + report.waiting if report else 0
        slots = replica.slots if replica else 0
        return Surroundings(
            self.suspicions.crashed_at, taken / slots if slots else 0
        )

    def _record_hold(
        self, work: ItemWork, hold: Hold, start: float, now: float
    ) -> None:
        is_known = self.held.get(work.fingerprint, 0) >= hold.next_try
        self._drop_ended(now)
        self.held[work.fingerprint] = max(start, hold.next_try)
        if is_known:
            return
        self.metrics.count('items_held_total')
        log_event(
            Event.item_held,
            job=work.job.name,
            item=work.item.name,
            fingerprint=work.fingerprint,
            why=hold.why,
            ends=hold.crashes,
            held_seconds=round(start - now, 3),
        )


def _compute_try_in_time(
    work: ItemWork, times: Sequence[float], pace: RetryPace, since: float
) -> float:
    """Compute the next try; no item is abandoned in a long pause."""
    last_try = max(
        max(times) + pace.first_seconds,
        work.attempt_until - LAST_TRY_SECONDS,
    )
    return min(compute_next_try(times, pace, since), last_try)
