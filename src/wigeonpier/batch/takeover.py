"""Takes ownership of a chunk and restores its state from the journal."""

from __future__ import annotations

import msgspec
from result import Err, Ok

from wigeonpier.batch.chunk import (
    Chunk,
    ChunkContext,
    ChunkError,
    Item,
    choose_folders,
    make_token,
    write_claim,
    write_snapshots,
)
from wigeonpier.batch.claims import Claim, Segment
from wigeonpier.batch.journal import JournalEndedError, JournalWriter
from wigeonpier.batch.models import Job, Line
from wigeonpier.batch.records import decode_records
from wigeonpier.disk.client import DiskFailure, read_first
from wigeonpier.policy.attempts import (
    Ledger,
    SegmentState,
    record_owner_loss,
    replay_segment,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event


def claim_chunk(
    context: ChunkContext,
    job: Job,
    index: int,
    previous: Claim | None,
    revision: int,
) -> tuple[Claim, int]:
    """Write a claim that makes this process the owner of a chunk.

    :param context: services and limits that owners share.
    :param job: its job.
    :param index: position in the job.
    :param previous: the claim to replace, ``None`` if there is none.
    :param revision: its revision, 0 if there is none.
    :returns: the new claim and its revision.
    :raises ChunkError: when another owner claimed it first, or there
        are too few data folders.
    """
    fence = previous.fence + 1 if previous else 1
    copies = choose_folders(context, f'{job.id}/{index}', frozenset())
    claim = Claim(
        owner=context.owner,
        token=make_token(),
        fence=fence,
        segments=(
            *(previous.segments if previous else ()),
            Segment(fence, copies),
        ),
    )
    written = write_claim(context.platform, job.id, index, claim, revision)
    if isinstance(written, Err):
        raise ChunkError(f'the claim was not written: {written.err_value}')
    event = Event.chunk_taken_over if previous else Event.chunk_claimed
    log_event(event, job=job.id, chunk=index, fence=fence)
    return claim, written.ok_value


def open_chunk(
    context: ChunkContext,
    job: Job,
    index: int,
    claim: Claim,
    revision: int,
) -> Chunk:
    """Read the state of a claimed chunk and start a segment for it.

    :param context: services and limits that owners share.
    :param job: its job.
    :param index: position in the job.
    :param claim: this process's claim.
    :param revision: its revision.
    :returns: the chunk, ready to run.
    :raises ChunkError: when the input or an older segment cannot be
        read now.
    :raises JournalEndedError: when a newer owner has claimed it.
    """
    items = _read_items(context, job, index)
    ledgers = _read_ledgers(context, job, index, claim, items)
    segment = claim.segments[-1]
    journal = JournalWriter(
        context.disks,
        (job.id, index, segment.fence),
        segment.copies,
    )
    chunk = Chunk(
        context,
        job,
        index,
        claim,
        revision,
        journal,
        items,
        ledgers,
    )
    try:
        write_snapshots(journal, ledgers)
    except JournalEndedError as error:
        chunk.recover(journal, error)
    chunk.plan(*items)
    chunk.hold_lost()
    return chunk


def _read_items(
    context: ChunkContext,
    job: Job,
    index: int,
) -> list[Item]:
    page = read_first(
        job.copies,
        lambda copy: context.disks.read_page(copy, job.file, index),
    )
    if page is None:
        raise ChunkError('no copy of the input page can be read')
    lines = [msgspec.json.decode(line, type=Line) for line in page.splitlines()]
    return [
        Item(
            position,
            line,
            job.idempotent if line.idempotent is None else line.idempotent,
        )
        for position, line in enumerate(lines)
    ]


def _read_ledgers(
    context: ChunkContext,
    job: Job,
    index: int,
    claim: Claim,
    items: list[Item],
) -> list[Ledger]:
    ledgers = [Ledger() for _ in items]
    lost_segments = 0
    for segment in reversed(claim.segments[:-1]):
        journal = _read_segment(context, job, index, claim, segment, items)
        if journal is None:
            lost_segments += 1
        elif journal.is_ready:
            ledgers = journal.ledgers
            break
    for ledger in ledgers:
        record_owner_loss(ledger)
        if ledger.outcome is None:
            # A lost segment may have recorded a start of this item.
            ledger.losses += lost_segments
    return ledgers


def _read_segment(
    context: ChunkContext,
    job: Job,
    index: int,
    claim: Claim,
    segment: Segment,
    items: list[Item],
) -> SegmentState | None:
    """Fence a segment and read its longest copy.

    Each copy is a prefix of the same records, and a fenced copy accepts no
    more. A record counts once every copy has it, so the longest reachable
    copy has all records that count.

    :returns: the journal, ``None`` if all copies are lost for good.
    """
    contents: list[bytes] = []
    for incarnation in segment.copies:
        fenced = context.disks.fence(incarnation, job.id, index, claim.fence)
        if isinstance(fenced, Err):
            continue
        name = (job.id, index, segment.fence)
        read = context.disks.read_segment(incarnation, name)
        if isinstance(read, Ok):
            contents.append(read.ok_value)
        elif read.err_value is DiskFailure.absent:
            contents.append(b'')
    if contents:
        return replay_segment(
            decode_records(max(contents, key=len)),
            len(items),
        )
    if all(map(context.is_gone, segment.copies)):
        return None
    raise ChunkError('no copy of an older segment can be read')
