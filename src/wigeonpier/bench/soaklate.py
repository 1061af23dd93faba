"""Late effects in the fault soak: repeated answers and delayed writes.

Some of the repeated answers are cut, come several times or in pieces, and some
requests are refused although they were run.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.lateanswers import COMPLETE_COPY, CopyShape
from wigeonpier.platform import wire

if TYPE_CHECKING:
    import random

    from wigeonpier.bench.soaksite import SoakSite

GAP_SECONDS = (0.2, 0.6)
REPEATED_ANSWERS = 6
REFUSED_REQUESTS = 3
LATE_SECONDS = (1.0, 6.0)
PIECE_SECONDS = 0.01
# How answers are repeated, in turn.
SHAPES = (
    COMPLETE_COPY,
    CopyShape(cut_after=b'HTTP/1.1 503 '),
    CopyShape(cut_after=f'{wire.NOT_RUN}: '.encode()),
    CopyShape(piece_seconds=PIECE_SECONDS),
    CopyShape(times=6),
)


@dataclass
class SoakLateEffects:
    """Lets replicas repeat answers, and the store execute writes late.

    :param site: site under test.
    :param rng: chooses replicas, delays and times.
    :param counts: number of injected faults by name.
    """

    site: SoakSite
    rng: random.Random
    counts: Counter[str] = field(default_factory=Counter)

    def run(self, seconds: float) -> None:
        """Inject faults.

        :param seconds: duration.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            gevent.sleep(self.rng.uniform(*GAP_SECONDS))
            self._repeat_answers()
            self._delay_write()

    def _repeat_answers(self) -> None:
        """Repeat some answers of a replica, refusals among them."""
        self.counts['answers repeated'] += 1
        faults = self.rng.choice(self.site.replicas).faults
        turn = self.counts['answers repeated'] % len(SHAPES)
        faults.late.shape = SHAPES[turn]
        faults.late.remaining += REPEATED_ANSWERS
        faults.turn_away += REFUSED_REQUESTS
        if not turn:
            self.counts['refused after a run'] += 1
            faults.run_and_refuse += 1

    def _delay_write(self) -> None:
        """Execute a write of the store seconds later, without an answer."""
        self.counts['store writes late'] += 1
        faults = self.site.store.faults
        faults.late_seconds = self.rng.uniform(*LATE_SECONDS)
        faults.late_writes += 1
