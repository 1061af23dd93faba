"""Bytes without end in the fault soak, and the memory of the daemons."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.endless import Endless
from wigeonpier.loops import spawn_loop

if TYPE_CHECKING:
    import random

    from wigeonpier.bench.endless import EndlessBytes
    from wigeonpier.bench.soaksite import SoakSite

GAP_SECONDS = (0.5, 1.5)
FAULT_SECONDS = (0.2, 1.0)
REPORT_SHARE = 0.25
TRICKLE_SHARE = 0.5
SAMPLE_SECONDS = 0.05
# Callers cannot distinguish endless events from those that they expect.
KINDS = tuple(kind for kind in Endless if kind is not Endless.events)
# Of the smallest machines.
MAX_MEMORY_BYTES = 232_000_000


@dataclass
class SoakEndless:
    """Lets replicas send bytes without end, and watches memory.

    :param site: site under test.
    :param rng: chooses replicas, kinds and times.
    :param counts: number of injected faults by name.
    :param peaks: highest memory of each daemon, bytes.
    """

    site: SoakSite
    rng: random.Random
    counts: Counter[str] = field(default_factory=Counter)
    peaks: Counter[str] = field(default_factory=Counter)

    def run(self, seconds: float) -> None:
        """Inject faults.

        :param seconds: duration.
        """
        watcher = spawn_loop('memory', self._watch_memory)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            gevent.sleep(self.rng.uniform(*GAP_SECONDS))
            self._inject()
        watcher.kill()

    def find_violations(self) -> list[str]:
        """Check the memory of the daemons.

        :returns: description of each violated invariant.
        """
        return [
            f'{name}: {peak} bytes of memory'
            for name, peak in self.peaks.items()
            if peak > MAX_MEMORY_BYTES
        ]

    def _inject(self) -> None:
        faults = self.rng.choice(self.site.replicas).faults
        is_report = self.rng.random() < REPORT_SHARE
        sender = faults.endless_report if is_report else faults.endless
        self._send(sender, self.rng.choice(KINDS))

    def _send(self, sender: EndlessBytes, kind: Endless) -> None:
        sender.is_trickle = self.rng.random() < TRICKLE_SHARE
        sender.kind = kind
        gevent.sleep(self.rng.uniform(*FAULT_SECONDS))
        sender.kind = None
        self.counts[f'endless {kind.value}'] += 1

    def _watch_memory(self) -> None:
        for process in self.site.processes:
            used = process.measure_memory()
            self.peaks[process.name] = max(self.peaks[process.name], used)
        gevent.sleep(SAMPLE_SECONDS)
