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
from typing import TYPE_CHECKING, Any

import gevent

from wigeonpier.bench.soakcallers import SoakCallers
from wigeonpier.bench.soakfaults import SoakFaults
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
# Of the processes that are neither storage nor needed beside a replica.
ENTRY_SHARE = 0.4


@dataclass
class FaultSoak:
    """One run.

    :param seed: draws faults and load.
    :param seconds: how long faults go on.
    :param site: what is harmed.
    """

    seed: int
    seconds: float
    site: SoakSite

    def run(self) -> dict[str, Any]:
        """Run and check.

        :returns: what was done, and each broken promise in words.
        """
        self.site.start()
        callers = SoakCallers(self.site.entries, random.Random(self.seed + 1))
        with ExitStack() as stack:
            stack.callback(self.site.stop)
            _await_ready(callers)
            callers.start()
            faults = self._harm(random.Random(self.seed))
            callers.finish(FINISH_SECONDS)
            broken = callers.find_broken(self.site.replicas)
        return {
            'seed': self.seed,
            'processes': len(self.site.processes),
            'faults': faults,
            'questions': callers.count_outcomes(),
            'jobs': callers.count_jobs(),
            'broken': broken,
        }

    def _harm(self, draw: random.Random) -> dict[str, int]:
        kinds = SoakFaults(self.site, draw).list_faults()
        harming: list[gevent.Greenlet[..., None]] = []
        counts: Counter[str] = Counter()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            name, harm = draw.choice(kinds)
            counts[name] += 1
            harming.append(gevent.spawn(harm))
            gevent.sleep(draw.uniform(*GAP_SECONDS))
        self.site.heal()
        gevent.joinall(harming, timeout=HEAL_SECONDS)
        gevent.killall(harming)
        self.site.heal()
        self.site.start_missing()
        return dict(counts)


def run_fault_soak(
    seed: int,
    seconds: float,
    folder: Path,
    processes: int = 0,
) -> dict[str, Any]:
    """Run one soak.

    :param seed: draws faults and load.
    :param seconds: how long faults go on.
    :param folder: for settings, logs and disks.
    :param processes: about how many daemons to start, 0 for a small site.
    :returns: the report.
    """
    folder.mkdir(parents=True, exist_ok=True)
    return FaultSoak(
        seed,
        seconds,
        SoakSite(folder, _choose_size(processes)),
    ).run()


def _choose_size(processes: int) -> SoakSize:
    if not processes:
        return SoakSize()
    others = max(2, processes - DISKS)
    entries = max(1, int(others * ENTRY_SHARE))
    return SoakSize(entries, others - entries)


def _await_ready(callers: SoakCallers) -> None:
    give_up = time.monotonic() + READY_SECONDS
    while not callers.is_ready():
        if time.monotonic() > give_up:
            raise TimeoutError('the daemons never became ready')
        gevent.sleep(STEP_SECONDS)
