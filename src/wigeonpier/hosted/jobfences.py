"""Fences of jobs that are refused while a write may still take effect.

A write to the store whose answer is lost may be executed seconds later, and a
disk that did not answer may hold a copy.  Once the fence is written, neither
can put the job on the board any more, and the refusal is true.  The entry that
refuses a job need not be the one that lost the write.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from wigeonpier.models import JobFence
from wigeonpier.platform import storekeys
from wigeonpier.platform.decoding import decode_value
from wigeonpier.platform.port import Commit, Failure
from wigeonpier.platform.store import CALL_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from wigeonpier.platform.port import Entry
    from wigeonpier.platform.store import KeyValueStore

# Longer than a write to the store is delayed, or a process with a disk is down.
FENCE_SECONDS = 600.0
# Longer than a write to the store is delayed.  The board is read for each job,
# so fences that concern no disk leave it early.
SHORT_FENCE_SECONDS = 30.0
# A lease takes fences for this long, so that most refusals cost one call.
LEASE_REUSE_SECONDS = 10.0
# Attempts of one job with an unknown outcome within that time.
MAX_ATTEMPTS = 64
NO_FENCE = JobFence()
# Stands for the attempts of a job that was ended before the store had it.
ENDED = 'ended'


class JobFences:
    """Reads and writes the fences of jobs."""

    def __init__(self, store: KeyValueStore) -> None:
        """Read and write fences in the given store."""
        self._store = store
        # Lease of short fences, and until when it takes more of them, seconds
        # of the monotonic clock.
        self._lease = 0
        self._reuse_until: float = 0

    def read(self, job: str) -> Result[JobFence, Failure]:
        """Read the fence of a job.

        :param job: id of the job.
        :returns: the fence, of revision 0 if there is none.
        """
        return self._store.get(_make_key(job)).map(_decode_found)

    def write(
        self, job: str, known: JobFence, attempt: str, timeout: float
    ) -> Result[int, Failure]:
        """Refuse a job for good, unless it was accepted.

        :param job: id of the job.
        :param known: the fence that its writes have named.
        :param attempt: id of the attempt that disks may have stored, empty if
            none has been sent to them.
        :param timeout: longest wait for an answer of the store, seconds.
        :returns: the revision; ``conflict`` if the job was accepted or another
            attempt has changed the fence.
        """
        attempts = known.attempts
        if attempt:
            attempts = (*attempts, attempt)[-MAX_ATTEMPTS:]
            if known.is_ended and ENDED not in attempts:
                attempts = (ENDED, *attempts[1:])
        granted = self._find_lease(timeout, is_short=not attempts)
        if isinstance(granted, Err):
            return granted
        key = _make_key(job)
        written = self._store.commit(
            Commit(
                {storekeys.name_head(job): 0, key: known.revision},
                {key: msgspec.json.encode(attempts)},
                lease=granted.ok_value,
            ),
            timeout,
        )
        if written == Err(Failure.lapsed):
            self._reuse_until = 0
        return written

    def write_newest(
        self, job: str, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Result[int, Failure]:
        """Refuse a job for good, whatever its fence is.

        Copies on disks are not concerned.

        :param job: id of the job.
        :param timeout: longest wait for one answer of the store, seconds.
        :returns: the revision; ``conflict`` if the job was accepted or its fence
            has changed meanwhile.
        """
        written = self.write(job, NO_FENCE, '', timeout)
        if written != Err(Failure.conflict):
            return written
        return self.read(job).and_then(
            lambda known: self.write(job, known, '', timeout)
        )

    def write_end(self, job: str) -> Result[int, Failure]:
        """Record that a job is ended which only a disk may have.

        Once the disk hands it over, it is stored without running.

        :param job: id of the job.
        :returns: the revision; ``conflict`` if the store has the job by now.
        """
        read = self.read(job)
        if isinstance(read, Err):
            return read
        known = read.ok_value
        if known.is_ended:
            return Ok(known.revision)
        return self.write(job, known, ENDED, CALL_TIMEOUT_SECONDS)

    def is_accepted(self, job: str) -> Result[bool, Failure]:
        """Check whether a job was accepted.

        :param job: id of the job.
        :returns: whether the store has the job.
        """
        return self._store.read_revision(storekeys.name_head(job)).map(bool)

    def _find_lease(
        self, timeout: float, *, is_short: bool
    ) -> Result[int, Failure]:
        if not is_short:
            return self._store.grant_lease(FENCE_SECONDS, timeout)
        now = time.monotonic()
        if now < self._reuse_until:
            return Ok(self._lease)
        granted = self._store.grant_lease(SHORT_FENCE_SECONDS, timeout)
        if isinstance(granted, Ok):
            self._lease = granted.ok_value
            self._reuse_until = now + LEASE_REUSE_SECONDS
        return granted


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
    attempts = decode_value(entry.value, tuple[str, ...])
    return JobFence(entry.revision, attempts, is_ended=ENDED in attempts)


def _decode_found(entry: Entry | None) -> JobFence:
    return NO_FENCE if entry is None else decode_fence(entry)


def _make_key(job: str) -> str:
    return storekeys.name_key(storekeys.FENCES, job)
