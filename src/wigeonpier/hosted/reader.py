"""Has the results of jobs read by a process with a disk."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from result import Err

from wigeonpier.hosted.readings import name_target
from wigeonpier.models import ResultPage
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from wigeonpier.hosted.holder import JobHolder
    from wigeonpier.models import DiskMember
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.pool import ConnectionPool

# Beyond the wait that the caller allows, who waits 1.5 s longer than that:
# half a second is left to look at the store from here.
SLACK_SECONDS = 0.5
# One that did not answer is not asked again for so long; a process that was
# killed is back within about a second.
DISTRUST_SECONDS = 2.0


class JobReader:
    """Asks the one process with a disk that follows a job."""

    def __init__(
        self,
        holder: JobHolder,
        pool: ConnectionPool,
        metrics: Metrics,
    ) -> None:
        """Ask those whom the holder's board shows."""
        self._holder = holder
        self._pool = pool
        self._metrics = metrics
        self._distrusted: dict[str, float] = {}

    def read(self, job: str, after: int, wait: float) -> ResultPage | None:
        """Read results.

        :param job: id of the job.
        :param after: position of the first one wanted.
        :param wait: longest wait for it, seconds.
        :returns: the results, ``None`` where the store has to be asked.
        """
        disk = self._choose(job)
        if disk is None:
            return None
        raw = make_request(
            'GET',
            name_target(job, after, wait),
            [('Host', disk.address)],
        )
        called = self._pool.call(disk.address, raw, wait + SLACK_SECONDS)
        if isinstance(called, Err):
            self._distrusted[disk.name] = time.monotonic() + DISTRUST_SECONDS
            self._count('unanswered')
            return None
        reply = called.ok_value
        self._count('read' if reply.is_good else 'refused')
        return reply.decode(ResultPage) if reply.is_good else None

    def _choose(self, job: str) -> DiskMember | None:
        """Choose the same one for all readers of a job."""
        now = time.monotonic()
        trusted = [
            name
            for name in self._holder.board.disks
            if self._distrusted.get(name, 0) <= now
        ]
        ranked = rank_by_key(trusted, job)
        return self._holder.board.disks[ranked[0]] if ranked else None

    def _count(self, outcome: str) -> None:
        self._metrics.count('readings_total', outcome=outcome)
