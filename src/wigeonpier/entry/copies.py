"""Makes lost copies of files and results again on other data folders."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.batch.chunk import draw_token
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

    Mender = Callable[[Entry, str], bytes | None]

PERIOD_SECONDS = 2.0
AGAIN_SECONDS = 60.0

Holder = FileRecord | Job


class NotCopiedError(Exception):
    """A copy that cannot be made now; it is tried again later."""


@dataclass(slots=True)
class CopyKeeper:
    """Looks for records that name a folder that is gone.

    Each gone folder has one entry that acts, by rendezvous.  Records are
    replaced by compare-and-swap, so that acting twice is harmless.

    :param platform: the port.
    :param disks: reaches data folders.
    :param directory: which folders are there and which are gone.
    :param address: this entry.
    """

    platform: Platform
    disks: DiskClient
    directory: Directory
    address: str
    _swept: dict[str, float] = field(default_factory=dict)

    def start(self) -> None:
        """Begin to look."""
        spawn_loop('copies', self._run)

    def sweep(self, gone: str) -> int:
        """Make every copy again that a folder held.

        :param gone: incarnation of the folder.
        :returns: records that could not be mended now.
        """
        return (
            self._mend_all(keys.FILES, gone, self._mend_file)
            + self._mend_all(keys.JOBS, gone, self._mend_job)
            + self._mend_all(keys.CHUNKS, gone, self._mend_claim)
            + self._mend_all(keys.RESULTS, gone, self._mend_finished)
        )

    def _run(self) -> None:
        gevent.sleep(PERIOD_SECONDS)
        now = self.directory.clock()
        for gone in self.directory.list_gone():
            due = self._swept.get(gone, 0)
            if now >= due and self._is_my_turn(gone):
                left = self.sweep(gone)
                # A record may still come that was written before the loss
                # was known, so that a folder is swept again from time to
                # time.
                pause = PERIOD_SECONDS if left else AGAIN_SECONDS
                self._swept[gone] = self.directory.clock() + pause

    def _is_my_turn(self, gone: str) -> bool:
        entries = self.directory.list_entries()
        return not entries or rank_by_key(entries, gone)[0] == self.address

    def _mend_all(self, prefix: str, gone: str, mend: Mender) -> int:
        listed = self.platform.list_prefix(prefix)
        if isinstance(listed, Err):
            return 1
        named = [
            entry
            for entry in listed.ok_value.entries
            if gone.encode() in entry.value
        ]
        return sum(not self._try_to_mend(entry, gone, mend) for entry in named)

    def _try_to_mend(self, entry: Entry, gone: str, mend: Mender) -> bool:
        try:
            fresh = mend(entry, gone)
        except NotCopiedError as problem:
            log_event(Event.copy_lost, key=entry.key, problem=str(problem))
            return False
        if fresh is None:
            return True
        wrote = self.platform.swap(entry.key, fresh, entry.revision)
        if isinstance(wrote, Ok):
            log_event(Event.copy_restored, key=entry.key, gone=gone)
        return isinstance(wrote, Ok)

    def _mend_file(self, entry: Entry, gone: str) -> bytes | None:
        record = msgspec.json.decode(entry.value, type=FileRecord)
        return self._mend_pages(record, record.id, gone)

    def _mend_job(self, entry: Entry, gone: str) -> bytes | None:
        job = msgspec.json.decode(entry.value, type=Job)
        return self._mend_pages(job, job.file, gone)

    def _mend_claim(self, entry: Entry, gone: str) -> bytes | None:
        claim = msgspec.json.decode(entry.value, type=Claim)
        if not claim.is_done:
            # Its owner goes on in other folders by itself.
            return None
        job, index = keys.parse_chunk(entry.key)
        segment = self._mend_segment(job, index, claim.segments[-1], gone)
        mended = msgspec.structs.replace(
            claim,
            token=draw_token(),
            segments=(segment,),
        )
        return msgspec.json.encode(mended)

    def _mend_finished(self, entry: Entry, gone: str) -> bytes | None:
        finished = msgspec.json.decode(entry.value, type=FinishedJob)
        job = finished.job.id
        chunks = tuple(
            DoneChunk(
                chunk.index,
                self._mend_segment(job, chunk.index, chunk.segment, gone),
            )
            for chunk in finished.chunks
        )
        copies = finished.job.copies
        if gone in copies:
            copies = self._copy_pages(finished.job, finished.job.file, gone)
        moved = msgspec.structs.replace(finished.job, copies=copies)
        return msgspec.json.encode(
            msgspec.structs.replace(finished, job=moved, chunks=chunks),
        )

    def _mend_pages(
        self,
        holder: Holder,
        file_id: str,
        gone: str,
    ) -> bytes | None:
        if gone not in holder.copies:
            return None
        copies = self._copy_pages(holder, file_id, gone)
        return msgspec.json.encode(
            msgspec.structs.replace(holder, copies=copies),
        )

    def _copy_pages(
        self,
        holder: Holder,
        file_id: str,
        gone: str,
    ) -> tuple[str, ...]:
        rest, target = self._choose_target(holder.copies, gone, file_id)
        for index, _lines in enumerate(holder.pages):
            self._copy_page(rest, target, file_id, index)
        return (*rest, target)

    def _copy_page(
        self,
        rest: tuple[str, ...],
        target: str,
        file_id: str,
        index: int,
    ) -> None:
        page = read_first(
            rest,
            lambda copy: self.disks.read_page(copy, file_id, index),
        )
        if page is None:
            raise NotCopiedError('no copy of a page answers')
        wrote = self.disks.write_page(target, file_id, index, page)
        if isinstance(wrote, Err):
            raise NotCopiedError('the new folder took no page')

    def _mend_segment(
        self,
        job: str,
        index: int,
        segment: Segment,
        gone: str,
    ) -> Segment:
        if gone not in segment.copies:
            return segment
        name = (job, index, segment.fence)
        rest, target = self._choose_target(
            segment.copies,
            gone,
            f'{job}/{index}',
        )
        content = read_first(
            rest,
            lambda copy: self.disks.read_segment(copy, name),
        )
        if content is None:
            raise NotCopiedError('no copy of a segment answers')
        wrote = self.disks.append(target, name, 0, content)
        if isinstance(wrote, Err):
            raise NotCopiedError('the new folder took no segment')
        return Segment(segment.fence, (*rest, target))

    def _choose_target(
        self,
        copies: tuple[str, ...],
        gone: str,
        key: str,
    ) -> tuple[tuple[str, ...], str]:
        """Choose a folder, in a data centre of its own where there is one."""
        rest = tuple(copy for copy in copies if copy != gone)
        disks = self.directory.list_disks()
        near = {disk.data_centre for disk in disks if disk.incarnation in rest}
        free = [disk for disk in disks if disk.incarnation not in rest]
        apart = [disk for disk in free if disk.data_centre not in near]
        chosen = choose_copies(apart or free, key, 1)
        if not chosen:
            raise NotCopiedError('no other folder is in reach')
        return rest, chosen[0].incarnation
