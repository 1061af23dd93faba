"""Randomised soak test of the hosted daemons as separate processes.

Faults are injected from outside the processes, and the checks use only what
callers and upstreams observe.  The module `soak` tests the product's own
interface in the same way, inside one process.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec

from wigeonpier.bench.soakcallers import SoakCallers
from wigeonpier.bench.soakcrashes import (
    SoakCrashes,
    check_crashing_runs,
    count_crashes,
)
from wigeonpier.bench.soakendless import SoakEndless
from wigeonpier.bench.soakfaults import SoakFaults
from wigeonpier.bench.soakkeys import SoakKeys
from wigeonpier.bench.soaklate import SoakLateEffects
from wigeonpier.bench.soaklimits import SoakLimits
from wigeonpier.bench.soakprompts import SoakPrompts
from wigeonpier.bench.soaksite import DISKS, EVENTS, SoakSite, SoakSize
from wigeonpier.bench.soakstreams import SoakStreams

if TYPE_CHECKING:
    from pathlib import Path

# Starting a process takes about 0.4 s of CPU time.
READY_SECONDS = 90.0
HEAL_SECONDS = 20.0
# Time for jobs to finish after the last fault has been removed.
FINISH_SECONDS = 40.0
GAP_SECONDS = (0.3, 1.2)
STEP_SECONDS = 0.05
# Offsets to the seed; the other parts of a run use offsets 0 to 2.
KEYS_SEED = 3
STREAMS_SEED = 4
PROMPTS_SEED = 5
LATE_SEED = 6
ENDLESS_SEED = 7
LIMITS_SEED = 8
# Of two jobs, so that some are refused while late writes of them are pending.
MOST_TOKENS = 100
# Share of entries among the processes that are not storage.
ENTRY_SHARE = 0.4


class FaultSoakReport(msgspec.Struct):
    """Outcome of a run.

    :param seed: seed of faults and load.
    :param processes: number of daemons.
    :param faults: number of injected faults by name.
    :param questions: answers to online requests by status, 0 for no answer.
    :param jobs: number of accepted and of other jobs.
    :param streams: attempts of callers that leave and resume streams, by kind
        and status.
    :param ends: number of replica crashes under each crashing request.
    :param broken: description of each violated invariant.
    """

    seed: int
    processes: int
    faults: dict[str, int]
    questions: dict[str, int]
    jobs: dict[str, int]
    streams: dict[str, int]
    ends: list[int]
    broken: list[str]

    @property
    def is_good(self) -> bool:
        """Return whether no invariant was violated."""
        return not self.broken


@dataclass(frozen=True, slots=True)
class SoakParts:
    """Parts of a run that are not always played.

    :param has_crashes: whether replicas crash as well, some of them under
        requests that crash every replica that runs them.
    :param has_keys: whether customers with keys and limits exist.
    :param has_versions: whether replicas of two software versions serve, and
        callers leave and resume streams.
    :param has_parts: whether a part of prompts crashes every replica.
    :param has_late_effects: whether replicas repeat answers late, the store
        executes writes late, and few tokens of jobs may wait.
    :param has_limits: whether jobs with large items, lost watches and odd
        entries of the register come.
    """

    has_crashes: bool = False
    has_keys: bool = False
    has_versions: bool = False
    has_parts: bool = False
    has_late_effects: bool = False
    has_limits: bool = False


NO_PARTS = SoakParts()


@dataclass
class FaultSoak:
    """One run.

    :param seed: seed of faults and load.
    :param seconds: duration of the fault phase.
    :param site: site under test.
    :param parts: what is played.
    :param late: injects late effects, if these are played.
    :param endless: lets replicas send bytes without end.
    :param limits: plays loads and faults at the limits of the store.
    """

    seed: int
    seconds: float
    site: SoakSite
    parts: SoakParts
    late: SoakLateEffects = field(init=False)
    endless: SoakEndless = field(init=False)
    limits: SoakLimits = field(init=False)

    def __post_init__(self) -> None:
        """Prepare the parts that inject faults."""
        self.endless = SoakEndless(self.site, self._make_rng(ENDLESS_SEED))
        self.late = SoakLateEffects(self.site, self._make_rng(LATE_SEED))
        self.limits = SoakLimits(self.site, self._make_rng(LIMITS_SEED))

    def run(self) -> FaultSoakReport:
        """Run the soak and check the invariants.

        :returns: the report.
        """
        self.site.start()
        callers = SoakCallers(self.site.entries, self._make_rng(1))
        crashes = SoakCrashes(self.site, callers, self._make_rng(2))
        keys = SoakKeys(self.site, callers, self._make_rng(KEYS_SEED))
        streams = SoakStreams(
            self.site.entries, self._make_rng(STREAMS_SEED), EVENTS, callers
        )
        prompts = SoakPrompts(self.site, callers, self._make_rng(PROMPTS_SEED))
        with ExitStack() as stack:
            stack.callback(self.site.stop)
            if self.parts.has_keys:
                keys.prepare()
            _await_ready(callers)
            callers.start()
            loops = [
                gevent.spawn(part.run, self.seconds)
                for part, is_played in (
                    (crashes, self.parts.has_crashes),
                    (keys, self.parts.has_keys),
                    (streams, self.parts.has_versions),
                    (prompts, self.parts.has_parts),
                    (self.late, self.parts.has_late_effects),
                    (self.endless, True),
                    (self.limits, self.parts.has_limits),
                )
                if is_played
            ]
            faults = self._inject_faults(self._make_rng(0))
            gevent.joinall(loops, raise_error=True)
            callers.finish(FINISH_SECONDS)
            self.limits.finish(FINISH_SECONDS)
            broken = callers.find_violations(self.site.replicas)
            broken += streams.find_violations()
            broken += self.endless.find_violations()
            broken += self.limits.find_violations()
            if self.parts.has_keys:
                broken += keys.find_violations(self.site.list_received())
        return self._make_report(
            faults
            | crashes.counts
            | keys.counts
            | self.late.counts
            | self.endless.counts
            | self.limits.counts,
            callers,
            dict(streams.counts),
            broken,
        )

    def _make_report(
        self,
        faults: dict[str, int],
        callers: SoakCallers,
        streams: dict[str, int],
        broken: list[str],
    ) -> FaultSoakReport:
        runs = self.site.list_crashing_runs()
        return FaultSoakReport(
            self.seed,
            len(self.site.processes),
            faults,
            callers.count_outcomes(),
            callers.count_jobs(),
            streams,
            count_crashes(runs),
            broken + check_crashing_runs(runs),
        )

    def _make_rng(self, offset: int) -> random.Random:
        """Make the source of randomness of one part."""
        return random.Random(self.seed + offset)

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
    parts: SoakParts = NO_PARTS,
) -> FaultSoakReport:
    """Run one soak.

    :param seed: seed of faults and load.
    :param seconds: duration of the fault phase.
    :param folder: folder for settings, logs and disks.
    :param processes: approximate number of daemons, 0 for a small site.
    :param parts: what is played.
    :returns: the report.
    """
    folder.mkdir(parents=True, exist_ok=True)
    site = SoakSite(
        folder,
        _choose_size(processes),
        has_versions=parts.has_versions,
        most_tokens=MOST_TOKENS if parts.has_late_effects else 0,
    )
    return FaultSoak(seed, seconds, site, parts).run()


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
            raise TimeoutError('the daemons are not ready')
        gevent.sleep(STEP_SECONDS)
