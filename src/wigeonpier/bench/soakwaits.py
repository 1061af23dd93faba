"""Checks of the fault soak that each caller has a final answer in time."""

from __future__ import annotations

import time
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from wigeonpier.bench.processes import HostedProcess

DEADLINE_SECONDS = 5.0
# An answer at the timeout of the route may take half a second to arrive.
SLACK_SECONDS = 0.5

Pause = tuple[float, float]


@dataclass(frozen=True, slots=True)
class SoakWait:
    """How long a caller waited for the end of an answer, or its connection.

    :param name: id of the request.
    :param began: when the caller sent it, monotonic seconds.
    :param ended: when the answer or its connection ended.
    """

    name: str
    began: float
    ended: float


@dataclass(slots=True)
class SoakWaits:
    """Measures how long callers wait.

    :param violations: description of each wait that was too long.
    """

    violations: list[str] = field(default_factory=list)

    @contextmanager
    def measure(self, name: str, entry: HostedProcess) -> Iterator[None]:
        """Measure and check one wait.

        :param name: id of the request.
        :param entry: entry that it is sent to.
        :yields: while the caller waits.
        """
        began = time.monotonic()
        yield
        wait = SoakWait(name, began, time.monotonic())
        self.violations += check_wait(wait, entry.list_pauses())


def check_wait(wait: SoakWait, pauses: Sequence[Pause]) -> list[str]:
    """Check that a caller had a final answer in time.

    :param wait: its wait.
    :param pauses: when its entry was stopped by a signal; this time does not
        count.
    :returns: description of the violated invariant, if it was.
    """
    paused = sum(
        max(0, min(end, wait.ended) - max(begin, wait.began))
        for begin, end in pauses
    )
    seconds = wait.ended - wait.began - paused
    if seconds <= DEADLINE_SECONDS + SLACK_SECONDS:
        return []
    return [f'{wait.name}: no final answer within {seconds:.2f} s']
