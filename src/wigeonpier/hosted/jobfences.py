"""Fences of jobs that are refused while a write may still take effect.

A write to the store whose answer is lost may be executed seconds later, and a
disk that did not answer may hold a copy.  Once the fence is written, neither
can put the job on the board any more, and the refusal is true.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Result

from wigeonpier.models import JobFence
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Commit, Failure

if TYPE_CHECKING:
    from wigeonpier.platform.port import Entry
    from wigeonpier.platform.store import KeyValueStore

# Longer than a write to the store is delayed, or a process with a disk is down.
FENCE_SECONDS = 600.0
# Attempts of one job with an unknown outcome within that time.
MAX_ATTEMPTS = 64
NO_FENCE = JobFence()


class JobFences:
    """Reads and writes the fences of jobs."""

    def __init__(self, store: KeyValueStore) -> None:
        """Read and write fences in the given store."""
        self._store = store

    def read(self, job: str) -> Result[JobFence, Failure]:
        """Read the fence of a job.

        :param job: id of the job.
        :returns: the fence, of revision 0 if there is none.
        """
        return self._store.get(_make_key(job)).map(_decode_found)

    def write(
        self, job: str, known: JobFence, attempt: str, timeout: float
    ) -> Result[int, Failure]:
        """Refuse an attempt for good, unless the job was accepted.

        :param job: id of the job.
        :param known: the fence that its writes have named.
        :param attempt: id of the attempt.
        :param timeout: longest wait for an answer of the store, seconds.
        :returns: the revision; ``conflict`` if the job was accepted or another
            attempt has changed the fence.
        """
        granted = self._store.grant_lease(FENCE_SECONDS, timeout)
        if isinstance(granted, Err):
            return granted
        key = _make_key(job)
        attempts = (*known.attempts, attempt)[-MAX_ATTEMPTS:]
        return self._store.commit(
            Commit(
                {storekeys.name_head(job): 0, key: known.revision},
                {key: msgspec.json.encode(attempts)},
                lease=granted.ok_value,
            ),
            timeout,
        )

    def is_accepted(self, job: str) -> Result[bool, Failure]:
        """Check whether a job was accepted.

        :param job: id of the job.
        :returns: whether the store has the job.
        """
        return self._store.read_revision(storekeys.name_head(job)).map(bool)


def guard_create(job: str, fence: JobFence) -> dict[str, int]:
    """List the conditions of a write that creates a job.

    :param job: id of the job.
    :param fence: the fence as last read.
    :returns: revision that each key must have.
    """
    return {storekeys.name_head(job): 0, _make_key(job): fence.revision}


def decode_fence(entry: Entry) -> JobFence:
    """Decode a fence.

    :param entry: its key in the store.
    :returns: the fence.
    """
    attempts = msgspec.json.decode(entry.value, type=tuple[str, ...])
    return JobFence(entry.revision, attempts)


def _decode_found(entry: Entry | None) -> JobFence:
    return NO_FENCE if entry is None else decode_fence(entry)


def _make_key(job: str) -> str:
    return storekeys.name_key(storekeys.FENCES, job)
