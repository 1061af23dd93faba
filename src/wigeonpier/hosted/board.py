"""Snapshot of the board: open jobs, workers, disks and refused requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.hosted.jobfences import NO_FENCE, decode_fence
from wigeonpier.hosted.news import QuarantineEntry
from wigeonpier.models import DiskHome, DiskMember, JobFence, Member, OpenJob
from wigeonpier.platform import storekeys
from wigeonpier.platform.decoding import OddValueError, decode_value

if TYPE_CHECKING:
    from wigeonpier.platform.port import Entry


@dataclass(slots=True)
class Board:
    """Open jobs, and the processes that run or store them.

    :param jobs: by id.
    :param revisions: revisions of the jobs' keys, by id.
    :param members: workers that run items, by name of their VM.
    :param disks: processes that store jobs on a disk, by name of their VM.
    :param homes: disks that may hold jobs, likewise.
    :param refused: refused requests, by fingerprint.
    :param fences: fences of jobs that were refused, by id of the job.
    :param odd_keys: why a key could not be decoded, by key.
    """

    jobs: dict[str, OpenJob] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    disks: dict[str, DiskMember] = field(default_factory=dict)
    homes: dict[str, DiskHome] = field(default_factory=dict)
    refused: dict[str, QuarantineEntry] = field(default_factory=dict)
    fences: dict[str, JobFence] = field(default_factory=dict)
    odd_keys: dict[str, str] = field(default_factory=dict)

    def put(self, entry: Entry) -> None:
        """Add a key of the board.

        :param entry: the key.
        """
        for prefix, put in _PUT_BY_PREFIX:
            if not entry.key.startswith(prefix):
                continue
            try:
                put(self, entry.key.removeprefix(prefix), entry)
            except OddValueError as error:
                self.odd_keys[entry.key] = str(error)

    def get_fence(self, job: str) -> JobFence:
        """Get the fence that a write of a job has to name.

        :param job: id of the job.
        :returns: the fence, of revision 0 if there is none.
        """
        return self.fences.get(job, NO_FENCE)

    def list_members(self, service: str) -> list[Member]:
        """List the workers that run items of a service.

        :param service: name of the service.
        :returns: the members.
        """
        return [
            member
            for member in self.members.values()
            if member.service == service
        ]


def _put_job(board: Board, name: str, entry: Entry) -> None:
    board.jobs[name] = decode_value(entry.value, OpenJob)
    board.revisions[name] = entry.revision


def _put_member(board: Board, name: str, entry: Entry) -> None:
    board.members[name] = decode_value(entry.value, Member)


def _put_disk(board: Board, name: str, entry: Entry) -> None:
    board.disks[name] = decode_value(entry.value, DiskMember)


def _put_home(board: Board, name: str, entry: Entry) -> None:
    member = decode_value(entry.value, DiskMember)
    board.homes[name] = DiskHome(member, entry.revision)


def _put_refused(board: Board, fingerprint: str, entry: Entry) -> None:
    board.refused[fingerprint] = decode_value(entry.value, QuarantineEntry)


def _put_fence(board: Board, job: str, entry: Entry) -> None:
    board.fences[job] = decode_fence(entry)


_PUT_BY_PREFIX = (
    (storekeys.OPEN_JOBS, _put_job),
    (storekeys.MEMBERS, _put_member),
    (storekeys.DISKS, _put_disk),
    (storekeys.HOMES, _put_home),
    (storekeys.REFUSED, _put_refused),
    (storekeys.FENCES, _put_fence),
)
