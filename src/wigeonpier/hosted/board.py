"""Snapshot of the board: open jobs, workers, disks and refused requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.hosted.news import QuarantineEntry
from wigeonpier.models import DiskMember, Member, OpenJob
from wigeonpier.platform import storekeys

if TYPE_CHECKING:
    from wigeonpier.platform.port import Entry


@dataclass(slots=True)
class Board:
    """Open jobs, and the processes that run or store them.

    :param jobs: by id.
    :param revisions: revisions of the jobs' keys, by id.
    :param members: workers that run items, by name of their VM.
    :param disks: processes that store jobs on a disk, by name of their VM.
    :param refused: refused requests, by fingerprint.
    """

    jobs: dict[str, OpenJob] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    disks: dict[str, DiskMember] = field(default_factory=dict)
    refused: dict[str, QuarantineEntry] = field(default_factory=dict)

    def put(self, entry: Entry) -> None:
        """Add a key of the board.

        :param entry: the key.
        """
        if entry.key.startswith(storekeys.OPEN_JOBS):
            job = msgspec.json.decode(entry.value, type=OpenJob)
            self.jobs[job.name] = job
            self.revisions[job.name] = entry.revision
        elif entry.key.startswith(storekeys.MEMBERS):
            member = msgspec.json.decode(entry.value, type=Member)
            self.members[member.name] = member
        elif entry.key.startswith(storekeys.DISKS):
            disk = msgspec.json.decode(entry.value, type=DiskMember)
            self.disks[disk.name] = disk
        elif entry.key.startswith(storekeys.REFUSED):
            fingerprint = entry.key.removeprefix(storekeys.REFUSED)
            refused = msgspec.json.decode(entry.value, type=QuarantineEntry)
            self.refused[fingerprint] = refused

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
