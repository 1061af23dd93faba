"""Key-value service that may execute writes of jobs late, unanswered."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok

from wigeonpier.platform import keys
from wigeonpier.platform.port import Entry, Failure


@dataclass
class LatePlatform:
    """Holds keys, and the writes of jobs that were not answered.

    :param loses_jobs: whether writes of jobs are executed late.
    :param is_down: whether no call for a job is executed.
    """

    loses_jobs: bool = False
    is_down: bool = False
    entries: dict[str, Entry] = field(default_factory=dict)
    late: list[tuple[str, bytes]] = field(default_factory=list)
    revision: int = 0

    def get(self, key: str):
        if self.is_down and not key.startswith((keys.FILES, keys.RESENDS)):
            return Err(Failure.unavailable)
        return Ok(self.entries.get(key))

    def swap(self, key: str, value: bytes, revision: int, _lease: int = 0):
        is_job = key.startswith(keys.JOBS)
        if is_job and self.is_down:
            return Err(Failure.unavailable)
        if is_job and self.loses_jobs:
            self.late.append((key, value))
            return Err(Failure.unknown)
        found = self.entries.get(key)
        if (found.revision if found else 0) != revision:
            return Err(Failure.conflict)
        return Ok(self._write(key, value))

    def execute_late(self) -> None:
        """Execute the late writes whose condition still holds."""
        for key, value in self.late:
            if key not in self.entries:
                self._write(key, value)

    def _write(self, key: str, value: bytes) -> int:
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        return self.revision
