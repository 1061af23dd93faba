"""Batch jobs in the store: handed in once, results at fixed positions.

A job is a record that never changes, a key on the board while items are
left, and one key a result.  A result is created if absent, so that it is
written once however often its item ran; its position follows from the
revision of its creation, which every reader sees alike.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from wigeonpier.models import ItemResult, JobItem, Member, OpenJob
from wigeonpier.platform import keys
from wigeonpier.platform.port import Change, Commit, Entry, Failure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.models import JobRecord
    from wigeonpier.platform.store import KeyValueStore

# Items are kept as base64 in a value; a part stays well below the limit.
PART_BYTES = 500_000


class RecordHead(msgspec.Struct):
    """What the first key of a record holds.

    :param job: what the board shows of the job.
    :param names: ids of the items by position.
    :param parts: how many keys hold the items.
    """

    job: OpenJob
    names: list[str]
    parts: int


@dataclass(slots=True)
class Board:
    """Jobs with items left, and who runs items.

    :param jobs: by id.
    :param members: by name of their VM.
    """

    jobs: dict[str, OpenJob] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)

    def put(self, key: str, value: bytes) -> None:
        """Take in a key of the board.

        :param key: its name.
        :param value: its bytes.
        """
        if key.startswith(keys.OPEN_JOBS):
            job = msgspec.json.decode(value, type=OpenJob)
            self.jobs[job.name] = job
        elif key.startswith(keys.MEMBERS):
            member = msgspec.json.decode(value, type=Member)
            self.members[member.name] = member

    def remove(self, key: str) -> None:
        """Take a key off the board.

        :param key: its name.
        """
        self.jobs.pop(key.removeprefix(keys.OPEN_JOBS), None)
        self.members.pop(key.removeprefix(keys.MEMBERS), None)

    def list_members(self, service: str) -> list[Member]:
        """List who runs items of a service.

        :param service: name of the service.
        :returns: the members.
        """
        return [
            member
            for member in self.members.values()
            if member.service == service
        ]


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


class JobLedger:
    """Reads and writes jobs."""

    def __init__(self, store: KeyValueStore) -> None:
        """Keep jobs in the store."""
        self.store = store

    def read_board(self) -> Result[Board, Failure]:
        """Read the whole board.

        :returns: jobs with items left and who runs items.
        """
        listed = self.store.list_prefix(keys.BOARD)
        if isinstance(listed, Err):
            return listed
        board = Board()
        for entry in listed.ok_value.entries:
            board.put(entry.key, entry.value)
        return Ok(board)

    def create(self, job: OpenJob, record: JobRecord) -> Result[int, Failure]:
        """Write a new job, whole or not at all.

        :param job: what the board shows.
        :param record: all items.
        :returns: the revision; ``conflict`` where the job stands already.
        """
        parts = list(_split_items(record.items))
        names = [item.name for item in record.items]
        head = RecordHead(job, names, len(parts))
        first = keys.name_record(job.name)
        writes = {
            first: msgspec.json.encode(head),
            keys.name_open_job(job.name): msgspec.json.encode(job),
        }
        for number, part in enumerate(parts):
            key = keys.name_record_part(job.name, number)
            writes[key] = msgspec.json.encode(part)
        return self.store.commit(Commit({first: 0}, writes))

    def read_head(self, job: str) -> Result[RecordHead | None, Failure]:
        """Read the head of a job's record.

        :param job: id of the job.
        :returns: the head, ``None`` where there is no such job.
        """
        return self.store.get(keys.name_record(job)).map(_decode_head)

    def read_items(self, head: RecordHead) -> Result[list[JobItem], Failure]:
        """Read all items of a job.

        :param head: head of its record.
        :returns: the items by position.
        """
        items: list[JobItem] = []
        for number in range(head.parts):
            key = keys.name_record_part(head.job.name, number)
            read = self.store.get(key)
            if isinstance(read, Err):
                return read
            if read.ok_value is None:
                return Err(Failure.unavailable)
            items += msgspec.json.decode(
                read.ok_value.value,
                type=list[JobItem],
            )
        return Ok(items)

    def close(self, job: str) -> Result[int, Failure]:
        """Take a job off the board.

        :param job: id of the job.
        :returns: the revision.
        """
        return self.store.commit(Commit(deletes=(keys.name_open_job(job),)))

    def write_results(
        self,
        results: dict[tuple[str, int], ItemResult],
    ) -> Result[int, Failure]:
        """Write results if none of them stands.

        :param results: by job and position of the item.
        :returns: the revision; ``conflict`` where one of them stands.
        """
        writes = {
            keys.name_item_result(*key): msgspec.json.encode(found)
            for key, found in results.items()
        }
        guards = dict.fromkeys(writes, 0)
        return self.store.commit(Commit(guards, writes))

    def read_results(
        self,
        job: str,
    ) -> Result[tuple[list[PlacedResult], int], Failure]:
        """Read all results of a job.

        :param job: id of the job.
        :returns: results in order of their positions, and the revision from
            which to go on.
        """
        listed = self.store.list_prefix(keys.name_item_results(job))
        if isinstance(listed, Err):
            return listed
        snapshot = listed.ok_value
        # Later pages may hold results newer than the first page; taking
        # them would show a position before an older result has taken it.
        entries = [
            entry
            for entry in snapshot.entries
            if entry.created <= snapshot.revision
        ]
        return Ok((_place(entries), snapshot.revision))

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
            keys.name_item_results(job),
            revision,
            seconds,
        )
        if isinstance(heard, Err):
            return heard
        changes, following = heard.ok_value
        return Ok((_place(changes), following))


def _decode_head(entry: Entry | None) -> RecordHead | None:
    if entry is None:
        return None
    return msgspec.json.decode(entry.value, type=RecordHead)


def _place(entries: Iterable[Entry | Change]) -> list[PlacedResult]:
    placed = [
        PlacedResult(
            entry.created,
            keys.parse_item_result(entry.key),
            msgspec.json.decode(entry.value, type=ItemResult),
        )
        for entry in entries
        if entry.value is not None
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
