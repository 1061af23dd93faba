"""Replaces lost copies of files and results on other data folders."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.batch.chunk import make_token
from wigeonpier.batch.claims import Claim, Segment
from wigeonpier.batch.models import DoneChunk, FileRecord, FinishedJob, Job
from wigeonpier.disk.client import DiskClient, read_first
from wigeonpier.loops import spawn_loop
from wigeonpier.platform import keys
from wigeonpier.policy.copies import choose_copies
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.membership.directory import Directory
    from wigeonpier.platform.port import Entry, Platform

    Repair = Callable[[Entry, str], bytes | None]

SCAN_PERIOD_SECONDS = 2.0
RESCAN_SECONDS = 60.0

PagedRecord = FileRecord | Job


class CopyError(Exception):
    """A copy that cannot be made now; a later scan tries again."""


@dataclass(slots=True)
class CopyRepairer:
    """Repairs records that refer to a data folder that is gone.

    Rendezvous hashing chooses one entry for each gone folder.  Records are
    replaced by compare-and-swap, so that acting twice is harmless.

    :param platform: the port.
    :param disks: reaches data folders.
    :param directory: available and gone folders.
    :param address: address of this entry.
    """

    platform: Platform
    disks: DiskClient
    directory: Directory
    address: str
    _next_scan: dict[str, float] = field(default_factory=dict)

    def start(self) -> None:
        """Start the loop in the background."""
        spawn_loop('copies', self._run)

    def repair_records(self, gone: str) -> int:
        """Replace every copy that a folder had and update the records.

        :param gone: incarnation of the folder.
        :returns: number of records that could not be repaired now.
        """
        return (
            self._repair_prefix(keys.FILES, gone, self._repair_file)
            + self._repair_prefix(keys.JOBS, gone, self._repair_job)
            + self._repair_prefix(keys.CHUNKS, gone, self._repair_claim)
            + self._repair_prefix(keys.RESULTS, gone, self._repair_finished)
        )

    def _run(self) -> None:
        gevent.sleep(SCAN_PERIOD_SECONDS)
        now = self.directory.clock()
        for gone in self.directory.list_lost_folders():
            due = self._next_scan.get(gone, 0)
            if now >= due and self._is_responsible(gone):
                failed = self.repair_records(gone)
                # A record can be written after the loss by a process that
                # does not know of it, so the scan is repeated.
                pause = SCAN_PERIOD_SECONDS if failed else RESCAN_SECONDS
                self._next_scan[gone] = self.directory.clock() + pause

    def _is_responsible(self, gone: str) -> bool:
        entries = self.directory.list_entries()
        return not entries or rank_by_key(entries, gone)[0] == self.address

    def _repair_prefix(self, prefix: str, gone: str, repair: Repair) -> int:
        listed = self.platform.list_prefix(prefix)
        if isinstance(listed, Err):
            return 1
        affected = [
            entry
            for entry in listed.ok_value.entries
            if gone.encode() in entry.value
        ]
        return sum(
            not self._try_to_repair(entry, gone, repair) for entry in affected
        )

    def _try_to_repair(self, entry: Entry, gone: str, repair: Repair) -> bool:
        try:
            value = repair(entry, gone)
        except CopyError as problem:
            log_event(Event.copy_lost, key=entry.key, problem=str(problem))
            return False
        if value is None:
            return True
        written = self.platform.swap(entry.key, value, entry.revision)
        if isinstance(written, Ok):
            log_event(Event.copy_restored, key=entry.key, gone=gone)
        return isinstance(written, Ok)

    def _repair_file(self, entry: Entry, gone: str) -> bytes | None:
        record = msgspec.json.decode(entry.value, type=FileRecord)
        return self._repair_pages(record, record.id, gone)

    def _repair_job(self, entry: Entry, gone: str) -> bytes | None:
        job = msgspec.json.decode(entry.value, type=Job)
        return self._repair_pages(job, job.file, gone)

    def _repair_claim(self, entry: Entry, gone: str) -> bytes | None:
        claim = msgspec.json.decode(entry.value, type=Claim)
        if not claim.is_done:
            # The owner moves its journal to other folders by itself.
            return None
        job, index = keys.parse_chunk(entry.key)
        segment = self._repair_segment(job, index, claim.segments[-1], gone)
        repaired = msgspec.structs.replace(
            claim,
            token=make_token(),
            segments=(segment,),
        )
        return msgspec.json.encode(repaired)

    def _repair_finished(self, entry: Entry, gone: str) -> bytes | None:
        finished = msgspec.json.decode(entry.value, type=FinishedJob)
        job = finished.job.id
        chunks = tuple(
            DoneChunk(
                chunk.index,
                self._repair_segment(job, chunk.index, chunk.segment, gone),
            )
            for chunk in finished.chunks
        )
        copies = finished.job.copies
        if gone in copies:
            copies = self._copy_pages(finished.job, finished.job.file, gone)
        repaired_job = msgspec.structs.replace(finished.job, copies=copies)
        return msgspec.json.encode(
            msgspec.structs.replace(finished, job=repaired_job, chunks=chunks),
        )

    def _repair_pages(
        self,
        record: PagedRecord,
        file_id: str,
        gone: str,
    ) -> bytes | None:
        if gone not in record.copies:
            return None
        copies = self._copy_pages(record, file_id, gone)
        return msgspec.json.encode(
            msgspec.structs.replace(record, copies=copies),
        )

    def _copy_pages(
        self,
        record: PagedRecord,
        file_id: str,
        gone: str,
    ) -> tuple[str, ...]:
        remaining, target = self._choose_target(record.copies, gone, file_id)
        for index, _lines in enumerate(record.pages):
            self._copy_page(remaining, target, file_id, index)
        return (*remaining, target)

    def _copy_page(
        self,
        remaining: tuple[str, ...],
        target: str,
        file_id: str,
        index: int,
    ) -> None:
        page = read_first(
            remaining,
            lambda copy: self.disks.read_page(copy, file_id, index),
        )
        if page is None:
            raise CopyError('no copy of a page can be read')
        written = self.disks.write_page(target, file_id, index, page)
        if isinstance(written, Err):
            raise CopyError('a page was not written to the new folder')

    def _repair_segment(
        self,
        job: str,
        index: int,
        segment: Segment,
        gone: str,
    ) -> Segment:
        if gone not in segment.copies:
            return segment
        name = (job, index, segment.fence)
        remaining, target = self._choose_target(
            segment.copies,
            gone,
            f'{job}/{index}',
        )
        content = read_first(
            remaining,
            lambda copy: self.disks.read_segment(copy, name),
        )
        if content is None:
            raise CopyError('no copy of a segment can be read')
        written = self.disks.append(target, name, 0, content)
        if isinstance(written, Err):
            raise CopyError('a segment was not written to the new folder')
        return Segment(segment.fence, (*remaining, target))

    def _choose_target(
        self,
        copies: tuple[str, ...],
        gone: str,
        key: str,
    ) -> tuple[tuple[str, ...], str]:
        """Choose a folder, in an unused data centre where there is one."""
        remaining = tuple(copy for copy in copies if copy != gone)
        disks = self.directory.list_disks()
        used_centres = {
            disk.data_centre for disk in disks if disk.incarnation in remaining
        }
        free = [disk for disk in disks if disk.incarnation not in remaining]
        separate = [
            disk for disk in free if disk.data_centre not in used_centres
        ]
        chosen = choose_copies(separate or free, key, 1)
        if not chosen:
            raise CopyError('no other folder is reachable')
        return remaining, chosen[0].incarnation
