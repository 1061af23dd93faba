"""Replica crashes and restarts in the fault soak.

A replica crashes under a request or on its own, or restarts in a release.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.replica import DEADLY_MARK, DEADLY_PART_PREFIX

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from wigeonpier.bench.replica import CrashingRun, StandInReplica
    from wigeonpier.bench.soakcallers import SoakCallers
    from wigeonpier.bench.soaksite import SoakSite

GAP_SECONDS = (0.4, 1.5)
RESTART_SECONDS = (0.5, 2.0)
DRAIN_SECONDS = 0.6
MAX_CRASHING = 2
CRASHING_PATHS = ('/ask/deadly', '/ask/deadly', '/once/deadly')
RETRY_SECONDS = 0.2
PAUSE_SECONDS = (0.3, 1.5)
# A caller does not retry at once after these.
FINAL_STATUSES = frozenset((200, 400))
# Stated bound: time after the third crash under a request, or the fifth under a
# part of prompts, until all processes know of it, and number of runs after
# that.
CONFIRMING_CRASHES = 3
CONFIRMING_PART_CRASHES = 5
PROPAGATION_SECONDS = 3.0
MAX_LATE_RUNS = 3


@dataclass
class SoakCrashes:
    """Crashes replicas, and sends requests that crash them repeatedly.

    :param site: site under test.
    :param callers: callers that send the crashing requests.
    :param rng: chooses faults and times.
    :param crashing_count: number of different crashing requests.
    :param counts: number of injected faults by name.
    """

    site: SoakSite
    callers: SoakCallers
    rng: random.Random
    crashing_count: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    _callers: list[gevent.Greenlet[..., None]] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Inject faults.

        :param seconds: duration.
        """
        deadline = time.monotonic() + seconds
        faults: tuple[tuple[str, Callable[[], object]], ...] = (
            ('deadly request', partial(self._start_crashing, deadline)),
            ('replica ended', self._crash_replica),
            ('replica released', self._release_replica),
        )
        # Starts at once, so that each run has a crashing request.
        self._start_crashing(deadline)
        while time.monotonic() < deadline:
            gevent.sleep(self.rng.uniform(*GAP_SECONDS))
            name, inject = self.rng.choice(faults)
            self.counts[name] += 1
            inject()
        gevent.joinall(self._callers)

    def _start_crashing(self, deadline: float) -> None:
        if self.crashing_count >= MAX_CRASHING:
            return
        self.crashing_count += 1
        body = b'%s %d' % (DEADLY_MARK, self.crashing_count)
        path = self.rng.choice(CRASHING_PATHS)
        self._callers.append(
            gevent.spawn(self._repeat_request, path, body, deadline),
        )

    def _repeat_request(self, path: str, body: bytes, deadline: float) -> None:
        """Send the request, retry it once, pause, and start over."""
        while time.monotonic() < deadline:
            status = self.callers.send_crashing(path, body)
            if status not in FINAL_STATUSES:
                gevent.sleep(RETRY_SECONDS)
                self.callers.send_crashing(path, body)
            gevent.sleep(self.rng.uniform(*PAUSE_SECONDS))

    def _crash_replica(self) -> None:
        replica = self.rng.choice(self.site.replicas)
        replica.restart_seconds = self.rng.uniform(*RESTART_SECONDS)
        replica.end()

    def _release_replica(self) -> None:
        replica = self.rng.choice(self.site.replicas)
        gevent.spawn(_release_gracefully, replica)


def _release_gracefully(replica: StandInReplica) -> None:
    """Drain and restart a replica, as a rolling restart does."""
    if not replica.is_up or replica.is_leaving:
        return
    name = replica.name
    replica.announce(is_leaving=True)
    gevent.sleep(DRAIN_SECONDS)
    # It may have crashed in the meantime.
    if replica.name == name:
        replica.end()
    replica.is_leaving = False


def check_crashing_runs(runs: Iterable[CrashingRun]) -> list[str]:
    """Check how often crashing requests ran after they were identified.

    :param runs: their runs on all replicas.
    :returns: description of each violated invariant.
    """
    violations = []
    for fingerprint, request_runs in _group_runs(runs).items():
        crash_times = sorted(
            run.crashed_at for run in request_runs if run.crashed_at
        )
        is_part = fingerprint.startswith(DEADLY_PART_PREFIX)
        confirming = CONFIRMING_PART_CRASHES if is_part else CONFIRMING_CRASHES
        if len(crash_times) < confirming:
            continue
        known_at = crash_times[confirming - 1] + PROPAGATION_SECONDS
        late = [run for run in request_runs if run.started_at > known_at]
        if len(late) > MAX_LATE_RUNS:
            violations.append(
                f'{fingerprint}: {len(late)} runs after {len(crash_times)} crashes',
            )
    return violations


def count_crashes(runs: Iterable[CrashingRun]) -> list[int]:
    """Count the replica crashes under each crashing request.

    :param runs: their runs on all replicas.
    :returns: number of crashes of each request, largest first.
    """
    return sorted(
        (
            sum(bool(run.crashed_at) for run in request_runs)
            for request_runs in _group_runs(runs).values()
        ),
        reverse=True,
    )


def _group_runs(runs: Iterable[CrashingRun]) -> dict[str, list[CrashingRun]]:
    grouped: dict[str, list[CrashingRun]] = {}
    for run in runs:
        grouped.setdefault(run.fingerprint, []).append(run)
    return grouped
