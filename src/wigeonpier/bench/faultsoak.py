"""A randomised soak of the hosted daemons as processes, harmed from outside.

What it checks is seen by callers and upstreams only.  The in-process `soak`
does the same for the product's own interface, inside one process.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
import msgspec

from wigeonpier.bench.soakcallers import SoakCallers
from wigeonpier.bench.soakcrashes import (
    SoakCrashes,
    check_crashing_runs,
    count_crashes,
)
from wigeonpier.bench.soakfaults import SoakFaults
from wigeonpier.bench.soakkeys import SoakKeys
from wigeonpier.bench.soaksite import DISKS, SoakSite, SoakSize

if TYPE_CHECKING:
    from pathlib import Path

# A process starts in about 0.4 s of a core.
READY_SECONDS = 90.0
HEAL_SECONDS = 20.0
# Jobs have this long to end once nothing is harmed any more.
FINISH_SECONDS = 40.0
GAP_SECONDS = (0.3, 1.2)
STEP_SECONDS = 0.05
# Other parts of a run draw with the seed and those next to it.
KEYS_SEED = 3
# Of the processes that are neither storage nor needed beside a replica.
ENTRY_SHARE = 0.4


class FaultSoakReport(msgspec.Struct):
    """What a run came to.

    :param seed: draws faults and load.
    :param processes: daemons that ran.
    :param faults: how often each one was done.
    :param questions: answers by status, 0 for none.
    :param jobs: by whether they were accepted.
    :param ends: replicas that ended under each deadly request.
    :param broken: each broken promise in words.
    """

    seed: int
    processes: int
    faults: dict[str, int]
    questions: dict[str, int]
    jobs: dict[str, int]
    ends: list[int]
    broken: list[str]

    @property
    def is_good(self) -> bool:
        """Tell whether no promise was broken."""
        return not self.broken


@dataclass
class FaultSoak:
    """One run.

    :param seed: draws faults and load.
    :param seconds: how long faults go on.
    :param site: what is harmed.
    :param has_crashes: whether replicas end as well, some of them under
        requests that end whatever runs them.
    :param has_keys: whether there are customers with keys and limits.
    """

    seed: int
    seconds: float
    site: SoakSite
    has_crashes: bool = False
    has_keys: bool = False

    def run(self) -> FaultSoakReport:
        """Run and check.

        :returns: what was done, and each broken promise in words.
        """
        self.site.start()
        callers = SoakCallers(self.site.entries, random.Random(self.seed + 1))
        with ExitStack() as stack:
            stack.callback(self.site.stop)
            keys = SoakKeys(
                self.site,
                callers,
                random.Random(self.seed + KEYS_SEED),
            )
            if self.has_keys:
                keys.prepare()
            _await_ready(callers)
            callers.start()
            crashes = SoakCrashes(
                self.site,
                callers,
                random.Random(self.seed + 2),
            )
            crash_loop = gevent.spawn(self._run_crashes, crashes)
            key_loop = gevent.spawn(self._rotate_keys, keys)
            faults = self._inject_faults(random.Random(self.seed))
            crash_loop.get()
            key_loop.get()
            callers.finish(FINISH_SECONDS)
            runs = self.site.list_crashing_runs()
            broken = callers.find_violations(self.site.replicas)
            if self.has_keys:
                broken += keys.find_violations(self.site.list_received())
        return FaultSoakReport(
            self.seed,
            len(self.site.processes),
            faults | crashes.counts | keys.counts,
            callers.count_outcomes(),
            callers.count_jobs(),
            count_crashes(runs),
            broken + check_crashing_runs(runs),
        )

    def _run_crashes(self, crashes: SoakCrashes) -> None:
        if self.has_crashes:
            crashes.run(self.seconds)

    def _rotate_keys(self, keys: SoakKeys) -> None:
        if self.has_keys:
            keys.run(self.seconds)

    def _inject_faults(self, rng: random.Random) -> dict[str, int]:
        kinds = SoakFaults(self.site, rng).list_faults()
        injections: list[gevent.Greenlet[..., None]] = []
        counts: Counter[str] = Counter()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            name, inject = rng.choice(kinds)
            counts[name] += 1
            injections.append(gevent.spawn(inject))
            gevent.sleep(rng.uniform(*GAP_SECONDS))
        self.site.heal()
        gevent.joinall(injections, timeout=HEAL_SECONDS)
        gevent.killall(injections)
        self.site.heal()
        self.site.start_missing()
        return dict(counts)


def run_fault_soak(
    seed: int,
    seconds: float,
    folder: Path,
    processes: int = 0,
    *,
    has_crashes: bool = False,
    has_keys: bool = False,
) -> FaultSoakReport:
    """Run one soak.

    :param seed: draws faults and load.
    :param seconds: how long faults go on.
    :param folder: for settings, logs and disks.
    :param processes: about how many daemons to start, 0 for a small site.
    :param has_crashes: whether replicas end as well.
    :param has_keys: whether there are customers with keys and limits.
    :returns: the report.
    """
    folder.mkdir(parents=True, exist_ok=True)
    return FaultSoak(
        seed,
        seconds,
        SoakSite(folder, _choose_size(processes)),
        has_crashes,
        has_keys,
    ).run()


def _choose_size(processes: int) -> SoakSize:
    if not processes:
        return SoakSize()
    others = max(2, processes - DISKS)
    entries = max(1, int(others * ENTRY_SHARE))
    return SoakSize(entries, others - entries)


def _await_ready(callers: SoakCallers) -> None:
    deadline = time.monotonic() + READY_SECONDS
    while not callers.is_ready():
        if time.monotonic() > deadline:
            raise TimeoutError('the daemons never became ready')
        gevent.sleep(STEP_SECONDS)
