"""Batch jobs in the store: handed in once, results at fixed positions.

A job is a head and items that never change, a key on the board while items
are left, and one key a result.  A result is created if absent, so that it is
written once however often its item ran; its position follows from the
revision of its creation, which every reader sees alike.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from wigeonpier.hosted.board import Board
from wigeonpier.models import (
    Assignment,
    ItemProgress,
    ItemResult,
    JobItem,
    OpenJob,
)
from wigeonpier.platform import places
from wigeonpier.platform.port import Change, Commit, Entry, Failure
from wigeonpier.platform.store import CALL_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.platform.port import Snapshot
    from wigeonpier.platform.store import KeyValueStore

# Items are kept as base64 in a value; a part stays well below the limit.
PART_BYTES = 500_000
# Larger items are read from the record by whoever runs them.
LARGEST_ASSIGNMENT = 100_000
# Entries that one transaction takes.
MOST_KEYS = 32


class JobHead(msgspec.Struct):
    """What is known of a job as long as it is readable.

    :param job: the job as it was accepted.
    :param names: ids of the items by position.
    """

    job: OpenJob
    names: list[str]


@dataclass(frozen=True, slots=True)
class PlacedResult:
    """A result and what its position follows from.

    :param created: revision of its creation.
    :param index: position of its item in the job.
    :param found: the result.
    """

    created: int
    index: int
    found: ItemResult


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job as it was read.

    :param head: its head.
    :param results: results in order of their positions.
    :param revision: revision from which to go on.
    """

    head: JobHead
    results: list[PlacedResult]
    revision: int


class JobLedger:
    """Reads and writes jobs."""

    def __init__(self, store: KeyValueStore) -> None:
        """Keep jobs in the store."""
        self.store = store

    def read_board(
        self,
        patience: float = CALL_SECONDS,
        *,
        may_be_old: bool = False,
    ) -> Result[Board, Failure]:
        """Read the whole board.

        :param patience: longest silence, seconds.
        :param may_be_old: whether it may be seconds old, for who reads it
            again before acting on it.
        :returns: jobs with items left and who runs items.
        """
        listed = self.store.list_prefix(
            places.BOARD,
            patience,
            may_be_old=may_be_old,
        )
        if isinstance(listed, Err):
            return listed
        board = Board()
        for entry in listed.ok_value.entries:
            board.put(entry)
        return Ok(board)

    def create(
        self,
        job: OpenJob,
        items: list[JobItem],
        patience: float = CALL_SECONDS,
    ) -> Result[int, Failure]:
        """Write a new job, whole or not at all, and hand its items out.

        :param job: what the board shows.
        :param items: all items.
        :param patience: longest silence, seconds.
        :returns: the revision; ``conflict`` where the job stands already.
        """
        parts = list(_split_items(items))
        job = replace(job, parts=len(parts))
        head = JobHead(job, [item.name for item in items])
        first = _name_head(job.name)
        writes = {
            first: msgspec.json.encode(head),
            places.name_key(places.OPEN_JOBS, job.name): msgspec.json.encode(
                job
            ),
            places.name_key(places.AGES, job.name): msgspec.json.encode(
                job.sent_at
            ),
        }
        for number, part in enumerate(parts):
            key = places.name_key(places.ITEMS, job.name, number)
            writes[key] = msgspec.json.encode(part)
        for owner in set(job.owners):
            key = places.name_key(places.ASSIGNMENTS, owner, job.name)
            assignment = _assign(job, owner, items)
            writes[key] = msgspec.json.encode(assignment)
        return self.store.commit(Commit({first: 0}, writes), patience)

    def move(
        self,
        job: OpenJob,
        revision: int,
        lost: str,
        owners: tuple[str, ...],
    ) -> Result[int, Failure]:
        """Hand the items of a lost process to others.

        :param job: the job as the board shows it.
        :param revision: revision of its key on the board.
        :param lost: name of the lost process's VM.
        :param owners: new owners of all items.
        :returns: the revision; ``conflict`` where somebody was faster.
        """
        moved = replace(job, owners=owners)
        key = places.name_key(places.OPEN_JOBS, job.name)
        writes = {key: msgspec.json.encode(moved)}
        for owner in set(owners) - {lost}:
            name = places.name_key(places.ASSIGNMENTS, owner, job.name)
            assignment = replace(_assign(moved, owner, []), is_moved=True)
            writes[name] = msgspec.json.encode(assignment)
        deletes = (places.name_key(places.ASSIGNMENTS, lost, job.name),)
        return self.store.commit(Commit({key: revision}, writes, deletes))

    def read_ages(self) -> Result[dict[str, float], Failure]:
        """Read when each job was accepted.

        :returns: seconds of the day's clock by id of the job.
        """
        return self.store.list_prefix(places.AGES).map(
            lambda snapshot: {
                entry.key.removeprefix(places.AGES): msgspec.json.decode(
                    entry.value,
                    type=float,
                )
                for entry in snapshot.entries
            },
        )

    def remove(self, job: str) -> Result[int, Failure]:
        """Remove everything of a job, its age last.

        :param job: id of the job.
        :returns: the revision; after a failure it can be tried again.
        """
        closed = self.close(job)
        if isinstance(closed, Err):
            return closed
        gone = [_name_head(job)]
        for space in (places.ITEMS, places.RESULTS, places.PROGRESS):
            listed = self.store.list_prefix(places.name_prefix(space, job))
            if isinstance(listed, Err):
                return listed
            gone += [entry.key for entry in listed.ok_value.entries]
        gone.append(places.name_key(places.AGES, job))
        return self._delete(gone)

    def read_head(self, job: str) -> Result[JobHead | None, Failure]:
        """Read the head of a job.

        :param job: id of the job.
        :returns: the head, ``None`` where there is no such job.
        """
        return self.store.get(_name_head(job)).map(_decode_head)

    def read_items(self, job: OpenJob) -> Result[list[JobItem], Failure]:
        """Read all items of a job.

        :param job: the job.
        :returns: the items by position.
        """
        items: list[JobItem] = []
        for number in range(job.parts):
            key = places.name_key(places.ITEMS, job.name, number)
            read = self._read_lasting(key)
            if isinstance(read, Err):
                return read
            if read.ok_value is None:
                return Err(Failure.unavailable)
            items += msgspec.json.decode(
                read.ok_value.value,
                type=list[JobItem],
            )
        return Ok(items)

    def list_items(self, job: str) -> Result[list[JobItem], Failure]:
        """Read all items of a job that may have been written just now.

        Its parts were written together and never change.

        :param job: id of the job.
        :returns: the items by position, none where an old read has none.
        """
        listed = self.store.list_prefix(
            places.name_prefix(places.ITEMS, job),
            may_be_old=True,
        )
        return listed.map(_join_parts)

    def close(self, job: str) -> Result[int, Failure]:
        """Take a job off the board, and its items from who runs them.

        :param job: id of the job.
        :returns: the revision, 0 where it was closed before.
        """
        key = places.name_key(places.OPEN_JOBS, job)
        while True:
            read = self.store.get(key)
            if isinstance(read, Err):
                return read
            entry = read.ok_value
            if entry is None:
                return Ok(0)
            found = msgspec.json.decode(entry.value, type=OpenJob)
            assignments = [
                places.name_key(places.ASSIGNMENTS, owner, job)
                for owner in set(found.owners)
            ]
            closed = self.store.commit(
                Commit(
                    {key: entry.revision},
                    deletes=(key, *assignments),
                ),
            )
            # A conflict says that items moved meanwhile.
            if closed != Err(Failure.conflict):
                return closed

    def write_progress(
        self,
        progress: dict[tuple[str, int], ItemProgress],
    ) -> Result[int, Failure]:
        """Keep how far unfinished items are.

        :param progress: by job and position of the item.
        :returns: the revision.
        """
        writes = {
            places.name_key(places.PROGRESS, *key): msgspec.json.encode(found)
            for key, found in progress.items()
        }
        return self.store.commit(Commit(writes=writes))

    def read_progress(
        self,
        job: str,
    ) -> Result[dict[int, ItemProgress], Failure]:
        """Read how far the unfinished items of a job are.

        :param job: id of the job.
        :returns: progress by position of the item.
        """
        listed = self.store.list_prefix(
            places.name_prefix(places.PROGRESS, job)
        )
        return listed.map(
            lambda snapshot: {
                places.parse_index(entry.key): msgspec.json.decode(
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
        """Write results if none of them stands.

        :param results: by job and position of the item.
        :returns: the revision; ``conflict`` where one of them stands.
        """
        writes = {
            places.name_key(places.RESULTS, *key): msgspec.json.encode(found)
            for key, found in results.items()
        }
        guards = dict.fromkeys(writes, 0)
        return self.store.commit(Commit(guards, writes))

    def read_job(self, job: str) -> Result[StoredJob | None, Failure]:
        """Read the head and all results of a job.

        :param job: id of the job.
        :returns: the job, ``None`` where there is no such job.
        """
        listed = self.store.list_prefix(places.name_prefix(places.RESULTS, job))
        if isinstance(listed, Err):
            return listed
        snapshot = listed.ok_value
        heads = [
            entry for entry in snapshot.entries if places.is_head(entry.key)
        ]
        if not heads:
            return Ok(None)
        # Later pages may hold results newer than the first page; taking
        # them would show a position before an older result has taken it.
        entries = [
            entry
            for entry in snapshot.entries
            if entry.created <= snapshot.revision
        ]
        head = msgspec.json.decode(heads[0].value, type=JobHead)
        return Ok(StoredJob(head, _place(entries), snapshot.revision))

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
        :returns: new results in order, and the revision to go on from.
        """
        heard = self.store.await_changes(
            places.name_prefix(places.RESULTS, job),
            revision,
            seconds,
        )
        if isinstance(heard, Err):
            return heard
        changes, following = heard.ok_value
        return Ok((_place(changes), following))

    def _read_lasting(self, key: str) -> Result[Entry | None, Failure]:
        """Read what never changes: what is there may be told by an old read.

        Bodies that callers fetch were 37 of the 1,137 calls of a quiet day.
        """
        read = self.store.get(key, may_be_old=True)
        if isinstance(read, Ok) and read.ok_value is not None:
            return read
        return self.store.get(key)

    def _delete(self, gone: list[str]) -> Result[int, Failure]:
        outcome: Result[int, Failure] = Ok(0)
        for start in range(0, len(gone), MOST_KEYS):
            deletes = tuple(gone[start : start + MOST_KEYS])
            outcome = self.store.commit(Commit(deletes=deletes))
            if isinstance(outcome, Err):
                return outcome
        return outcome


def decode_assignment(value: bytes) -> Assignment:
    """Read an assignment.

    :param value: value of its key.
    :returns: the assignment.
    """
    return msgspec.json.decode(value, type=Assignment)


def _name_head(job: str) -> str:
    return places.name_key(places.RESULTS, job, places.HEAD)


def _assign(job: OpenJob, owner: str, items: list[JobItem]) -> Assignment:
    indexes = tuple(
        index for index, name in enumerate(job.owners) if name == owner
    )
    own = tuple(items[index] for index in indexes) if items else ()
    if sum(len(item.body) for item in own) > LARGEST_ASSIGNMENT:
        own = ()
    return Assignment(job, indexes, own)


def _decode_head(entry: Entry | None) -> JobHead | None:
    if entry is None:
        return None
    return msgspec.json.decode(entry.value, type=JobHead)


def _join_parts(snapshot: Snapshot) -> list[JobItem]:
    parts = sorted(
        snapshot.entries,
        key=lambda entry: places.parse_index(entry.key),
    )
    return [
        item
        for part in parts
        for item in msgspec.json.decode(part.value, type=list[JobItem])
    ]


def _place(entries: Iterable[Entry | Change]) -> list[PlacedResult]:
    placed = [
        PlacedResult(
            entry.created,
            places.parse_index(entry.key),
            msgspec.json.decode(entry.value, type=ItemResult),
        )
        for entry in entries
        if entry.value is not None and not places.is_head(entry.key)
    ]
    return sorted(placed, key=lambda found: (found.created, found.index))


def _split_items(items: list[JobItem]) -> Iterable[list[JobItem]]:
    part: list[JobItem] = []
    size = 0
    for item in items:
        if part and size + len(item.body) > PART_BYTES:
            yield part
            part = []
            size = 0
        part.append(item)
        size += len(item.body)
    if part:
        yield part
