"""Reads and writes batch jobs in the key-value store.

A job consists of a head and items, which never change, a key on the board
while items are left, and one key per result.  A result is created only if
absent, so it is written once even if its item ran repeatedly.  Its position
follows from the revision of its creation, which is the same for all readers.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from wigeonpier.hosted.board import Board
from wigeonpier.hosted.jobfences import NO_FENCE, JobFences, guard_create
from wigeonpier.hosted.jobparts import (
    PartsIncompleteError,
    join_items,
    split_items,
)
from wigeonpier.hosted.resultrecords import (
    PlacedResult,
    ResultRecords,
    read_immutable,
)
from wigeonpier.models import (
    Assignment,
    ItemProgress,
    ItemResult,
    JobItem,
    OpenJob,
)
from wigeonpier.platform import storekeys
from wigeonpier.platform.decoding import decode_value
from wigeonpier.platform.port import Commit, Failure
from wigeonpier.platform.store import CALL_TIMEOUT_SECONDS
from wigeonpier.platform.storelimits import MAX_ENTRIES
from wigeonpier.policy.placement import MAX_OPEN_OWNERS
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.models import JobFence
    from wigeonpier.platform.port import Entry, Snapshot
    from wigeonpier.platform.store import KeyValueStore

# Items of larger assignments are read from the job by the process that runs
# them.
MAX_ASSIGNMENT_BYTES = 100_000
# All keys of a job but those on the board, and the time of its acceptance.
JOB_SPACES = (
    storekeys.ITEMS,
    storekeys.RESULTS,
    storekeys.PROGRESS,
    storekeys.OUTPUTS,
)


class JobHead(msgspec.Struct):
    """Description of a job, stored as long as the job is readable.

    :param job: the job as it was accepted.
    :param names: ids of the items by position.
    """

    job: OpenJob
    names: list[str]


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job as read from the store.

    :param head: its head.
    :param results: results in order of their positions.
    :param revision: revision after which newer results can be read.
    """

    head: JobHead
    results: list[PlacedResult]
    revision: int


class JobLedger:
    """Reads and writes jobs."""

    def __init__(self, store: KeyValueStore) -> None:
        """Read and write jobs in the given store."""
        self.store = store
        self.fences = JobFences(store)
        self._records = ResultRecords(store)
        # Keys of the board that cannot be decoded.
        self._odd_keys: set[str] = set()

    def read_board(
        self,
        timeout: float = CALL_TIMEOUT_SECONDS,
        *,
        allow_stale: bool = False,
    ) -> Result[Board, Failure]:
        """Read the whole board.

        :param timeout: longest wait for the store, seconds.
        :param allow_stale: whether a board that is seconds old is accepted, for
            callers that read it again before they act on it.
        :returns: open jobs, members and disks.
        """
        listed = self.store.list_prefix(
            storekeys.BOARD,
            timeout,
            allow_stale=allow_stale,
        )
        if isinstance(listed, Err):
            return listed
        board = Board()
        for entry in listed.ok_value.entries:
            board.put(entry)
        self._log_odd(board.odd_keys)
        return Ok(board)

    def create(
        self,
        job: OpenJob,
        items: list[JobItem],
        timeout: float = CALL_TIMEOUT_SECONDS,
        fence: JobFence = NO_FENCE,
    ) -> Result[int, Failure]:
        """Write a new job and assign its items, in one transaction.

        :param job: the job as shown on the board.
        :param items: all items.
        :param timeout: longest wait for the store, seconds.
        :param fence: the fence of the job as last read; a job that it shows as
            ended is stored without work.
        :returns: the revision; ``conflict`` if the job exists already, or if
            its fence was changed meanwhile; ``rejected`` if it exceeds a limit
            of the store.
        """
        parts = split_items(items, self.store.limits.value_bytes)
        job = replace(job, parts=len(parts))
        head = JobHead(job, [item.name for item in items])
        writes = {
            storekeys.name_head(job.name): msgspec.json.encode(head),
            storekeys.name_key(storekeys.AGES, job.name): msgspec.json.encode(
                job.sent_at
            ),
        }
        for number, part in enumerate(parts):
            key = storekeys.name_key(storekeys.ITEMS, job.name, number)
            writes[key] = part
        if not fence.is_ended:
            writes |= _encode_work(job, items)
        guards = guard_create(job.name, fence)
        return self.store.commit(Commit(guards, writes), timeout)

    def reassign(
        self,
        job: OpenJob,
        revision: int,
        lost: str,
        owners: tuple[str, ...],
    ) -> Result[int, Failure]:
        """Reassign the items of a lost process.

        :param job: the job as shown on the board.
        :param revision: revision of its key on the board.
        :param lost: name of the lost process's VM.
        :param owners: new owners of all items.
        :returns: the revision; ``conflict`` if the job was changed meanwhile.
        """
        reassigned = replace(job, owners=owners)
        key = storekeys.name_key(storekeys.OPEN_JOBS, job.name)
        writes = {key: msgspec.json.encode(reassigned)}
        for owner in _list_informed(job, lost, owners):
            name = storekeys.name_key(storekeys.ASSIGNMENTS, owner, job.name)
            assignment = replace(
                _make_assignment(reassigned, owner), is_moved=True
            )
            writes[name] = msgspec.json.encode(assignment)
        deletes = (storekeys.name_key(storekeys.ASSIGNMENTS, lost, job.name),)
        return self.store.commit(Commit({key: revision}, writes, deletes))

    def move(
        self,
        job: OpenJob,
        revision: int,
        source: str,
        target: str,
    ) -> Result[int, Failure]:
        """Move items from one process to another.

        The assignments of other owners stay as they are.

        :param job: the job with its new owners.
        :param revision: revision of its key on the board.
        :param source: name of the VM that had the items.
        :param target: name of the VM that gets them.
        :returns: the revision; ``conflict`` if the job was changed meanwhile.
        """
        key = storekeys.name_key(storekeys.OPEN_JOBS, job.name)
        writes = {key: msgspec.json.encode(job)}
        deletes: tuple[str, ...] = ()
        for owner in (source, target):
            name = storekeys.name_key(storekeys.ASSIGNMENTS, owner, job.name)
            assignment = replace(_make_assignment(job, owner), is_moved=True)
            if assignment.indexes:
                writes[name] = msgspec.json.encode(assignment)
            else:
                deletes = (name,)
        return self.store.commit(Commit({key: revision}, writes, deletes))

    def find_open_job(
        self, job: str
    ) -> Result[tuple[OpenJob, int] | None, Failure]:
        """Read an open job from the board, possibly from a stale replica.

        :param job: id of the job.
        :returns: the job and the revision of its key, ``None`` if it is not
            there.
        """
        key = storekeys.name_key(storekeys.OPEN_JOBS, job)
        return self.store.get(key, allow_stale=True).map(_decode_open_job)

    def read_accept_times(self) -> Result[dict[str, float], Failure]:
        """Read when each job was accepted.

        :returns: seconds of the wall clock by id of the job.
        """
        return self.store.list_prefix(storekeys.AGES).map(
            lambda snapshot: {
                entry.key.removeprefix(storekeys.AGES): msgspec.json.decode(
                    entry.value,
                    type=float,
                )
                for entry in snapshot.entries
            },
        )

    def remove(self, job: str) -> Result[int, Failure]:
        """Remove all keys of a job.

        The key with its acceptance time is removed last, so that a removal
        that failed is found and retried.

        :param job: id of the job.
        :returns: the revision.
        """
        closed = self.close(job)
        if isinstance(closed, Err):
            return closed
        keys = [storekeys.name_head(job)]
        for space in JOB_SPACES:
            listed = self.store.list_prefix(storekeys.name_prefix(space, job))
            if isinstance(listed, Err):
                return listed
            keys += [entry.key for entry in listed.ok_value.entries]
        keys.append(storekeys.name_key(storekeys.AGES, job))
        return self._delete(keys)

    def read_items(self, job: OpenJob) -> Result[list[JobItem], Failure]:
        """Read all items of a job.

        :param job: the job.
        :returns: the items by position.
        """
        parts: list[bytes] = []
        for number in range(job.parts):
            key = storekeys.name_key(storekeys.ITEMS, job.name, number)
            read = read_immutable(self.store, key)
            if isinstance(read, Err):
                return read
            if read.ok_value is None:
                return Err(Failure.unavailable)
            parts.append(read.ok_value.value)
        try:
            return Ok(join_items(parts))
        except PartsIncompleteError:
            return Err(Failure.unavailable)

    def list_items(self, job: str) -> Result[list[JobItem], Failure]:
        """Read all items of a job, possibly from a stale replica.

        The parts are written together and never change, so a stale read has
        either all items or none.

        :param job: id of the job.
        :returns: the items by position; empty if the job was written after
            the state that a stale read shows.
        """
        listed = self.store.list_prefix(
            storekeys.name_prefix(storekeys.ITEMS, job),
            allow_stale=True,
        )
        return listed.map(_join_parts)

    def close(self, job: str) -> Result[int, Failure]:
        """Remove a job from the board and delete its assignments.

        :param job: id of the job.
        :returns: the revision, 0 if it was closed before.
        """
        key = storekeys.name_key(storekeys.OPEN_JOBS, job)
        while True:
            read = self.store.get(key)
            if isinstance(read, Err):
                return read
            entry = read.ok_value
            if entry is None:
                return Ok(0)
            found = msgspec.json.decode(entry.value, type=OpenJob)
            assignments = [
                storekeys.name_key(storekeys.ASSIGNMENTS, owner, job)
                for owner in sorted(set(found.owners))
            ]
            closed = self._close_at(key, entry.revision, assignments)
            # A conflict means that items were reassigned meanwhile.
            if closed != Err(Failure.conflict):
                return closed

    def write_progress(
        self,
        progress: dict[tuple[str, int], ItemProgress],
    ) -> Result[int, Failure]:
        """Write the progress of unfinished items.

        :param progress: by job and position of the item.
        :returns: the revision; what is longer than a value is left out, as its
            item can also run from the start.
        """
        writes = {
            storekeys.name_key(storekeys.PROGRESS, *key): msgspec.json.encode(
                found
            )
            for key, found in progress.items()
        }
        too_long = [
            key
            for key, value in writes.items()
            if len(value) > self.store.limits.value_bytes
        ]
        for key in too_long:
            log_event(Event.progress_unsaved, items=1, why=f'{key} is too long')
            writes.pop(key)
        return self.store.commit(Commit(writes=writes)) if writes else Ok(0)

    def read_progress(
        self,
        job: str,
    ) -> Result[dict[int, ItemProgress], Failure]:
        """Read the progress of the unfinished items of a job.

        :param job: id of the job.
        :returns: progress by position of the item.
        """
        listed = self.store.list_prefix(
            storekeys.name_prefix(storekeys.PROGRESS, job)
        )
        return listed.map(
            lambda snapshot: {
                storekeys.parse_index(entry.key): msgspec.json.decode(
                    entry.value,
                    type=ItemProgress,
                )
                for entry in snapshot.entries
            },
        )

    def write_results(
        self,
        results: dict[tuple[str, int], ItemResult],
    ) -> Result[int, Failure]:
        """Write results if none of them exists.

        :param results: by job and position of the item.
        :returns: the revision; ``conflict`` if one of them exists.
        """
        writes: dict[str, bytes] = {}
        for key, found in results.items():
            encoded = self._records.encode(key, found)
            if isinstance(encoded, Err):
                return encoded
            name = storekeys.name_key(storekeys.RESULTS, *key)
            writes[name] = encoded.ok_value
        guards = dict.fromkeys(writes, 0)
        return self.store.commit(Commit(guards, writes))

    def read_job(self, job: str) -> Result[StoredJob | None, Failure]:
        """Read the head and all results of a job.

        :param job: id of the job.
        :returns: the job, ``None`` if there is no such job.
        """
        listed = self.store.list_prefix(
            storekeys.name_prefix(storekeys.RESULTS, job)
        )
        if isinstance(listed, Err):
            return listed
        snapshot = listed.ok_value
        heads = [
            entry for entry in snapshot.entries if storekeys.is_head(entry.key)
        ]
        if not heads:
            return Ok(None)
        # Later pages may hold results newer than the first page.  Including
        # them could list one before an older result that an earlier page
        # missed, and positions would change.
        entries = [
            entry
            for entry in snapshot.entries
            if entry.created <= snapshot.revision
        ]
        head = msgspec.json.decode(heads[0].value, type=JobHead)
        return self._records.decode(job, entries).map(
            lambda results: StoredJob(head, results, snapshot.revision)
        )

    def await_results(
        self,
        job: str,
        revision: int,
        seconds: float,
    ) -> Result[tuple[list[PlacedResult], int], Failure]:
        """Wait for results after a revision.

        :param job: id of the job.
        :param revision: revision that was seen last.
        :param seconds: longest wait.
        :returns: new results in order, and the revision for the next call.
        """
        received = self.store.await_changes(
            storekeys.name_prefix(storekeys.RESULTS, job),
            revision,
            seconds,
        )
        if isinstance(received, Err):
            return received
        changes, next_revision = received.ok_value
        return self._records.decode(job, changes).map(
            lambda results: (results, next_revision)
        )

    def _log_odd(self, odd_keys: dict[str, str]) -> None:
        """Log keys that cannot be decoded, each of them once."""
        for key in odd_keys.keys() - self._odd_keys:
            log_event(Event.key_unreadable, key=key, why=odd_keys[key])
        self._odd_keys = set(odd_keys)

    def _close_at(
        self, key: str, revision: int, assignments: list[str]
    ) -> Result[int, Failure]:
        """Delete assignments and then the key of the job, at its revision.

        An earlier build may have given a job more owners than fit in one
        commit.
        """
        guards = {key: revision}
        # Two entries are the condition and the deletion of the key itself.
        while len(assignments) > MAX_ENTRIES - 2:
            first = tuple(assignments[: MAX_ENTRIES - 2])
            assignments = assignments[MAX_ENTRIES - 2 :]
            deleted = self.store.commit(Commit(guards, deletes=first))
            if isinstance(deleted, Err):
                return deleted
        return self.store.commit(Commit(guards, deletes=(key, *assignments)))

    def _delete(self, keys: list[str]) -> Result[int, Failure]:
        outcome: Result[int, Failure] = Ok(0)
        for start in range(0, len(keys), MAX_ENTRIES):
            deletes = tuple(keys[start : start + MAX_ENTRIES])
            outcome = self.store.commit(Commit(deletes=deletes))
            if isinstance(outcome, Err):
                return outcome
        return outcome


def decode_assignment(value: bytes) -> Assignment:
    """Decode an assignment.

    :param value: value of its key.
    :returns: the assignment.
    :raises OddValueError: when it is none.
    """
    return decode_value(value, Assignment)


def _list_informed(
    job: OpenJob, lost: str, owners: tuple[str, ...]
) -> set[str]:
    """List the processes whose assignments a change of owners writes.

    All of them learn the new revision of the job; if they are too many for one
    commit, only those that get items.
    """
    informed = set(owners) - {lost}
    if len(informed) <= MAX_OPEN_OWNERS:
        return informed
    return {
        owner
        for former, owner in zip(job.owners, owners, strict=True)
        if former == lost
    }


def _make_assignment(job: OpenJob, owner: str) -> Assignment:
    indexes = tuple(
        index for index, name in enumerate(job.owners) if name == owner
    )
    return Assignment(job, indexes, ())


def _encode_work(job: OpenJob, items: list[JobItem]) -> dict[str, bytes]:
    """Encode the key of a new job on the board, and its assignments."""
    board_key = storekeys.name_key(storekeys.OPEN_JOBS, job.name)
    work = {board_key: msgspec.json.encode(job)}
    for owner in set(job.owners):
        key = storekeys.name_key(storekeys.ASSIGNMENTS, owner, job.name)
        work[key] = _encode_assignment(job, owner, items)
    return work


def _encode_assignment(job: OpenJob, owner: str, items: list[JobItem]) -> bytes:
    """Encode a new assignment, with its items if they are small."""
    assignment = _make_assignment(job, owner)
    owned = tuple(items[index] for index in assignment.indexes)
    if sum(len(item.body) for item in owned) <= MAX_ASSIGNMENT_BYTES:
        value = msgspec.json.encode(replace(assignment, items=owned))
        if len(value) <= 2 * MAX_ASSIGNMENT_BYTES:
            return value
    return msgspec.json.encode(assignment)


def _decode_open_job(entry: Entry | None) -> tuple[OpenJob, int] | None:
    if entry is None:
        return None
    return msgspec.json.decode(entry.value, type=OpenJob), entry.revision


def _join_parts(snapshot: Snapshot) -> list[JobItem]:
    parts = sorted(
        snapshot.entries,
        key=lambda entry: storekeys.parse_index(entry.key),
    )
    try:
        return join_items(part.value for part in parts)
    except PartsIncompleteError:
        # The pages of a stale read are of different states.
        return []
