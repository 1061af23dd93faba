"""Keeps the runs that were lost in crashes that nothing explains yet."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import TYPE_CHECKING

from wigeonpier.membership.updates import LostRunReport
from wigeonpier.policy.promptparts import LostRun
from wigeonpier.policy.suspicion import MEMORY_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Set

# Some 300 bytes each.  An upstream runs eight requests, and most lost runs are
# dropped within a second, when their parts are proven sound.
MAX_RUNS = 512
# Runs that are recognised when they are received again.
MAX_SEEN = 4096
AGE_DIGITS = 3


class LostRuns:
    """Lost runs, in the order of their reports."""

    def __init__(self) -> None:
        """Start without runs."""
        self.runs: list[LostRun] = []
        # Runs that were received, and whether they were alone.
        self._seen: OrderedDict[tuple[str, str], bool] = OrderedDict()

    def recognise(self, run: LostRun) -> bool:
        """Check whether a run was received before, and remember it.

        :param run: the run.
        :returns: true if it adds no information.
        """
        key = (run.upstream, run.request)
        was_alone = self._seen.get(key)
        if was_alone is not None and (was_alone or not run.was_alone):
            return True
        self._seen[key] = run.was_alone
        while len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        return False

    def add(self, run: LostRun) -> None:
        """Add a run.

        :param run: the run; it replaces an earlier report of it.
        """
        key = (run.upstream, run.request)
        self.keep(lambda known: (known.upstream, known.request) != key)
        self.runs.append(run)

    def keep(self, is_kept: Callable[[LostRun], bool]) -> None:
        """Drop runs.

        :param is_kept: selects the runs to keep.
        """
        self.runs = [run for run in self.runs if is_kept(run)]

    def drop_explained(self, upstreams: Set[str]) -> None:
        """Drop the runs that were lost in some crashes.

        :param upstreams: starts of the upstreams that crashed.
        """
        self.keep(lambda run: run.upstream not in upstreams)

    def drop_old(self, now: float) -> None:
        """Drop runs that are too old or too many.

        :param now: seconds of the monotonic clock.
        """
        oldest = now - MEMORY_SECONDS
        self.keep(lambda run: run.at > oldest)
        self.runs = self.runs[-MAX_RUNS:]


def read_run(report: LostRunReport, now: float) -> LostRun:
    """Read the message about a lost run.

    :param report: the message.
    :param now: seconds of the monotonic clock.
    :returns: the run.
    """
    return LostRun(
        report.request,
        report.parts,
        report.upstream,
        report.version,
        now - report.age,
        report.was_alone,
        report.had_output,
    )


def report_runs(runs: Iterable[LostRun]) -> tuple[LostRunReport, ...]:
    """Make messages about lost runs.

    :param runs: the runs.
    :returns: the messages.
    """
    now = time.monotonic()
    return tuple(
        LostRunReport(
            run.request,
            run.parts,
            run.upstream,
            run.version,
            round(now - run.at, AGE_DIGITS),
            run.was_alone,
            run.had_output,
        )
        for run in runs
    )
