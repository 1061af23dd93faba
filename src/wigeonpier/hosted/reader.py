"""Reads the results of jobs through a process with a disk."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from result import Err

from wigeonpier.hosted.readings import make_target
from wigeonpier.models import ResultPage
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from wigeonpier.hosted.holder import DiskJobWriter
    from wigeonpier.models import DiskMember
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.pool import ConnectionPool

# Added to the wait that the caller allows.  The caller itself waits 1.5 s
# longer than that; half a second is left to read the store directly.
REPLY_SLACK_SECONDS = 0.5
# A process that did not answer is not called for this long; a killed process
# is back within about a second.
AVOID_SECONDS = 2.0


class JobReader:
    """Reads results from the one process with a disk that follows the job."""

    def __init__(
        self,
        disk_job_writer: DiskJobWriter,
        pool: ConnectionPool,
        metrics: Metrics,
    ) -> None:
        """Read from the processes on the disk job writer's board."""
        self._disk_job_writer = disk_job_writer
        self._pool = pool
        self._metrics = metrics
        self._avoid_until: dict[str, float] = {}

    def read(self, job: str, after: int, wait: float) -> ResultPage | None:
        """Read the results of a job from a position on.

        :param job: id of the job.
        :param after: position of the first result wanted.
        :param wait: longest wait for that result, seconds.
        :returns: the results, ``None`` if the store has to be read instead.
        """
        disk = self._choose(job)
        if disk is None:
            return None
        raw = make_request(
            'GET',
            make_target(job, after, wait),
            [('Host', disk.address)],
        )
        replied = self._pool.call(disk.address, raw, wait + REPLY_SLACK_SECONDS)
        if isinstance(replied, Err):
            self._avoid_until[disk.name] = time.monotonic() + AVOID_SECONDS
            self._count('unanswered')
            return None
        reply = replied.ok_value
        self._count('read' if reply.is_good else 'refused')
        return reply.decode(ResultPage) if reply.is_good else None

    def _choose(self, job: str) -> DiskMember | None:
        """Choose a disk, the same one for all readers of a job."""
        now = time.monotonic()
        available = [
            name
            for name in self._disk_job_writer.board.disks
            if self._avoid_until.get(name, 0) <= now
        ]
        ranked = rank_by_key(available, job)
        return self._disk_job_writer.board.disks[ranked[0]] if ranked else None

    def _count(self, outcome: str) -> None:
        self._metrics.count('readings_total', outcome=outcome)
