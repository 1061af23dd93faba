"""Replicas that end in the fault soak: under a request, alone, in a release."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.replica import DEADLY_MARK

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
# A caller does not come back at once after these.
FINAL_STATUSES = frozenset((200, 400))
# The stated bound: how long after the third end the news may take, and how
# often the request may reach a replica after that.
CONFIRMING_CRASHES = 3
PROPAGATION_SECONDS = 3.0
MAX_LATE_RUNS = 3


@dataclass
class SoakCrashes:
    """Ends replicas, and comes back with requests that do.

    :param site: what is harmed.
    :param callers: ask for something else meanwhile.
    :param rng: chooses what and when.
    :param crashing_count: requests that end replicas so far.
    """

    site: SoakSite
    callers: SoakCallers
    rng: random.Random
    crashing_count: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    _callers: list[gevent.Greenlet[..., None]] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Do harm until the time is up.

        :param seconds: how long.
        """
        deadline = time.monotonic() + seconds
        faults: tuple[tuple[str, Callable[[], object]], ...] = (
            ('deadly request', partial(self._start_crashing, deadline)),
            ('replica ended', self._crash_replica),
            ('replica released', self._release_replica),
        )
        # One comes at once, so that no run is without any.
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
        """Come twice, pause, and come again, at any entry."""
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
    """Replace a replica by one of the same version, as in a rolling restart."""
    if not replica.is_up or replica.is_leaving:
        return
    name = replica.name
    replica.announce(is_leaving=True)
    gevent.sleep(DRAIN_SECONDS)
    # It may have ended by itself meanwhile.
    if replica.name == name:
        replica.end()
    replica.is_leaving = False


def check_crashing_runs(runs: Iterable[CrashingRun]) -> list[str]:
    """Check how often requests that end replicas reached them.

    :param runs: their runs at all replicas.
    :returns: each broken promise in words.
    """
    violations = []
    for fingerprint, request_runs in _group_runs(runs).items():
        crash_times = sorted(
            run.crashed_at for run in request_runs if run.crashed_at
        )
        if len(crash_times) < CONFIRMING_CRASHES:
            continue
        known_at = crash_times[CONFIRMING_CRASHES - 1] + PROPAGATION_SECONDS
        late = [run for run in request_runs if run.started_at > known_at]
        if len(late) > MAX_LATE_RUNS:
            violations.append(
                f'{fingerprint}: {len(late)} runs after {len(crash_times)} ends',
            )
    return violations


def count_crashes(runs: Iterable[CrashingRun]) -> list[int]:
    """Count the replicas that ended under each deadly request.

    :param runs: their runs at all replicas.
    :returns: a count for each request, largest first.
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
