"""Operations on a chunk that this process owns, and on its claim."""

from __future__ import annotations

import math
import secrets
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from itertools import chain
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.lock import BoundedSemaphore
from result import Err, Ok, Result

from wigeonpier.batch.claims import Claim, Segment, Tally
from wigeonpier.batch.journal import (
    JournalEnd,
    JournalEndedError,
    JournalWriter,
)
from wigeonpier.invariants import Invariant, check_invariant
from wigeonpier.platform.confirmedwrite import swap_confirmed
from wigeonpier.platform.keys import name_chunk
from wigeonpier.platform.port import Failure as PlatformFailure
from wigeonpier.policy.attempts import (
    Bounds,
    Ledger,
    Step,
    apply_record,
    compute_item_pause,
    compute_item_start,
    decide_item,
    describe_judged_loss,
    describe_lone_loss,
    record_loss,
    write_snapshot,
)
from wigeonpier.policy.copies import Disk, choose_copies
from wigeonpier.records import Begin, Outcome, Ready, Status
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.batch.models import Job, Line
    from wigeonpier.disk.client import DiskClient
    from wigeonpier.platform.port import Platform
    from wigeonpier.policy.itemloss import LoneLoss
    from wigeonpier.records import ItemRecord

TOKEN_BYTES = 8
CLAIM_TIMEOUT_SECONDS = 5.0
MOVE_RETRY_SECONDS = 0.5
LOST_EACH_TIME = 'its worker was lost each time'


class ChunkError(Exception):
    """A chunk that cannot be processed now; a later attempt may succeed."""


@dataclass(frozen=True, slots=True)
class ChunkContext:
    """Services and limits that owners of chunks share.

    :param platform: port to the key-value service.
    :param disks: client of the data folders.
    :param list_disks: returns the data folders that may be chosen.
    :param is_gone: whether a folder is known to be lost for good.
    :param owner: name of this VM.
    :param copies: wanted number of copies of a segment.
    :param least_copies: minimum number of copies of a segment.
    :param bounds: limits on attempts per item.
    """

    platform: Platform
    disks: DiskClient
    list_disks: Callable[[], list[Disk]]
    is_gone: Callable[[str], bool]
    owner: str
    copies: int
    least_copies: int
    bounds: Bounds


@dataclass(slots=True)
class Item:
    """One item of an owned chunk.

    :param index: position in the chunk.
    :param line: line of the input file.
    :param is_idempotent: whether it may run more than once.
    :param not_before: earliest start, seconds of the monotonic clock.
    :param lone_loss: loss of its last run, to be judged before the next one.
    """

    index: int
    line: Line
    is_idempotent: bool
    not_before: float = 0
    lone_loss: LoneLoss | None = None


@dataclass(slots=True)
class Chunk:
    """A chunk that this process owns.

    :param context: services and limits that owners share.
    :param job: its job.
    :param index: position in the job.
    :param claim: the claim as last written.
    :param revision: revision of the claim's key.
    :param journal: writer of this owner's segment.
    :param items: its items.
    :param ledgers: durable state of each item, in the order of ``items``.
    :param ready: items to run, in order.
    :param suspects: items to run alone, after the others.
    :param is_lost: whether another process owns it or may own it.
    :param move_lock: held while the journal moves to other folders.
    """

    context: ChunkContext
    job: Job
    index: int
    claim: Claim
    revision: int
    journal: JournalWriter
    items: list[Item]
    ledgers: list[Ledger]
    ready: deque[Item] = field(default_factory=deque)
    suspects: deque[Item] = field(default_factory=deque)
    is_lost: bool = False
    move_lock: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    @property
    def name(self) -> str:
        """Return the name of the chunk for logs."""
        job = self.job
        return f'{job.id}/{self.index}'

    @property
    def is_settled(self) -> bool:
        """Return whether every item has a result."""
        return all(ledger.outcome for ledger in self.ledgers)

    def record_start(self, item: Item, *, alone: bool) -> None:
        """Record durably that an item starts; it must not run before this.

        :param item: the item.
        :param alone: whether no other batch item runs at the upstream.
        """
        ledger = self.ledgers[item.index]
        label = f'{self.name} item {item.index}'
        check_invariant(
            item.is_idempotent or not (ledger.losses or ledger.is_open),
            Invariant.runs_at_most_once,
            f'{label} is started again',
        )
        check_invariant(
            ledger.outcome is None,
            Invariant.exactly_one_result,
            f'{label} already has a result',
        )
        self.write(Begin(item.index, alone))

    def write(self, *records: ItemRecord) -> None:
        """Write records durably and apply them to the ledgers.

        If a copy was lost, the journal first moves to other folders.

        :param records: records of items of this chunk.
        :raises JournalEndedError: when this process no longer owns the chunk.
        """
        while True:
            journal = self.journal
            try:
                journal.commit(records)
            except JournalEndedError as error:
                self.recover(journal, error)
            else:
                for record in records:
                    apply_record(self.ledgers[record.item], record)
                return

    def find_due(self, crashed_at: float, now: float) -> float:
        """Find when the first item became due to run alone.

        :param crashed_at: last crash of any upstream, seconds of the
            monotonic clock.
        :param now: seconds of that clock.
        :returns: seconds of that clock, infinite if none is due yet.
        """
        due = self._list_due(crashed_at, now)
        return min((start for start, _item in due), default=math.inf)

    def take_due(self, crashed_at: float, now: float) -> Item | None:
        """Take the first item that is due to run alone.

        :param crashed_at: last crash of any upstream, seconds of the
            monotonic clock.
        :param now: seconds of that clock.
        :returns: the item, ``None`` if none is due.
        """
        due = self._list_due(crashed_at, now)
        if not due:
            return None
        _start, item = due[0]
        self.suspects.remove(item)
        return item

    def take_unjudged(self, now: float) -> list[Item]:
        """Take the items whose last loss has to be judged now.

        :param now: seconds of the monotonic clock.
        :returns: the items.
        """
        taken = [
            item
            for item in self.suspects
            if item.lone_loss is not None and item.not_before <= now
        ]
        for item in taken:
            self.suspects.remove(item)
        return taken

    def record_loss(self, item: Item, lone_loss: LoneLoss | None) -> None:
        """Record that the upstream was lost while an item ran there.

        :param item: the item.
        :param lone_loss: the loss if it ran alone, ``None`` otherwise.
        """
        ledger = self.ledgers[item.index]
        losses = ledger.losses
        if ledger.was_alone:
            self.write(*describe_lone_loss(item.index))
        if lone_loss is None or not item.is_idempotent:
            record_loss(ledger)
        else:
            item.lone_loss = lone_loss
        if item.is_idempotent:
            self._hold(item, losses)

    def judge_loss(self, item: Item, *, counts: bool) -> None:
        """Record whether the lone loss of an item counts, and plan the item.

        Once its job is over, a lost item ends with an error.

        :param item: the item.
        :param counts: whether the loss counts against it.
        """
        item.lone_loss = None
        if time.time() >= self.job.deadline:
            self.write(make_error(item, Status.failed, LOST_EACH_TIME))
            return
        self.write(*describe_judged_loss(item.index, counts=counts))
        self.plan(item)

    def hold_lost(self) -> None:
        """Hold items that earlier owners lost more than once."""
        for item in self.suspects:
            losses = self.ledgers[item.index].losses
            if losses > 1:
                self._hold(item, losses - 1)

    def plan(self, *items: Item) -> None:
        """Queue items that do not run, or settle them, by their ledgers.

        :param items: the items; one that may not run again gets an error
            result.
        """
        outcomes = [
            outcome
            for item in items
            if (outcome := self._plan_item(item)) is not None
        ]
        if outcomes:
            self.write(*outcomes)

    def finish(self) -> Result[int, PlatformFailure]:
        """Mark the chunk as done, which makes its results readable.

        :returns: the claim's revision, or why it could not be written.
        """
        check_invariant(
            self.is_settled,
            Invariant.exactly_one_result,
            f'{self.name} is finished but some items have no result',
        )
        done = msgspec.structs.replace(
            self.claim,
            token=make_token(),
            segments=self.claim.segments[-1:],
            is_done=True,
            tally=count_outcomes(self.ledgers),
        )
        return self.write_claim(done)

    def release_claim(self) -> None:
        """Release the claim, so that another owner can continue at once.

        The caller stops all running items first.
        """
        released = msgspec.structs.replace(
            self.claim,
            owner='',
            token=make_token(),
        )
        self.write_claim(released)
        self.journal.close()

    def recover(
        self,
        journal: JournalWriter,
        error: JournalEndedError,
    ) -> None:
        """Move the journal to other folders after a copy was lost.

        :param journal: the journal that ended.
        :param error: why it ended.
        :raises JournalEndedError: when this process no longer owns the chunk.
        """
        if error.end is not JournalEnd.copy_lost:
            raise error
        lost = error.lost
        with self.move_lock:
            while self.journal is journal and not self.is_lost:
                lost |= self._move_once(lost)
        if self.is_lost:
            raise JournalEndedError(JournalEnd.fenced, frozenset())

    def write_claim(self, claim: Claim) -> Result[int, PlatformFailure]:
        """Replace the claim and confirm that the write succeeded.

        :param claim: the new claim.
        :returns: its revision, or why it was not written.
        """
        written = write_claim(
            self.context.platform,
            self.job.id,
            self.index,
            claim,
            self.revision,
        )
        if isinstance(written, Ok):
            self.claim = claim
            self.revision = written.ok_value
        return written

    def _move_once(self, lost: frozenset[str]) -> frozenset[str]:
        try:
            move_journal(self, lost)
        except JournalEndedError as error:
            return error.lost
        except ChunkError as problem:
            log_event(
                Event.chunk_failed,
                chunk=self.name,
                problem=str(problem),
            )
            gevent.sleep(MOVE_RETRY_SECONDS)
        return frozenset()

    def _list_due(
        self, crashed_at: float, now: float
    ) -> list[tuple[float, Item]]:
        starts = [
            (compute_item_start(item.not_before, crashed_at, now), item)
            for item in self.suspects
            if item.lone_loss is None
        ]
        return [(start, item) for start, item in starts if start <= now]

    def _hold(self, item: Item, losses: int) -> None:
        pause = compute_item_pause(losses)
        item.not_before = time.monotonic() + pause
        log_event(
            Event.item_held,
            chunk=self.name,
            item=item.index,
            ends=losses + 1,
            held_seconds=pause,
        )

    def _plan_item(self, item: Item) -> Outcome | None:
        ledger = self.ledgers[item.index]
        step = decide_item(ledger, item.is_idempotent, self.context.bounds)
        match step:
            case Step.run:
                self.ready.append(item)
            case Step.run_alone:
                log_event(Event.item_suspect, chunk=self.name, item=item.index)
                item.not_before = item.not_before or time.monotonic()
                self.suspects.append(item)
            case Step.fail:
                reason = ledger.last_reason or LOST_EACH_TIME
                return make_error(item, Status.failed, reason)
            case Step.settle_unknown:
                return make_error(
                    item,
                    Status.outcome_unknown,
                    'it may have run and no result is kept',
                )
        return None


def write_claim(
    platform: Platform,
    job: str,
    index: int,
    claim: Claim,
    revision: int,
) -> Result[int, PlatformFailure]:
    """Write a claim and confirm that the write succeeded.

    :param platform: port to the key-value service.
    :param job: id of the job.
    :param index: index of the chunk.
    :param claim: the new claim.
    :param revision: revision that it replaces, 0 to create.
    :returns: its revision, or why it was not written.
    """
    return swap_confirmed(
        platform,
        name_chunk(job, index),
        msgspec.json.encode(claim),
        revision,
        lambda entry: (
            msgspec.json.decode(entry.value, type=Claim).token == claim.token
        ),
        CLAIM_TIMEOUT_SECONDS,
    )


def move_journal(chunk: Chunk, lost: frozenset[str]) -> None:
    """Continue in a new segment on other folders after a copy was lost.

    :param chunk: the chunk; none of its records is written meanwhile.
    :param lost: incarnations of the folders that failed.
    :raises ChunkError: when that is not possible now.
    """
    context = chunk.context
    log_event(Event.copy_lost, chunk=chunk.name, copies=sorted(lost))
    fence = chunk.claim.fence + 1
    copies = choose_folders(context, chunk.name, lost)
    claim = msgspec.structs.replace(
        chunk.claim,
        token=make_token(),
        fence=fence,
        segments=(*chunk.claim.segments, Segment(fence, copies)),
    )
    written = chunk.write_claim(claim)
    if isinstance(written, Err):
        chunk.is_lost = written.err_value is PlatformFailure.conflict
        raise ChunkError(f'the claim was not written: {written.err_value}')
    journal = JournalWriter(
        context.disks,
        (chunk.job.id, chunk.index, fence),
        copies,
    )
    write_snapshots(journal, chunk.ledgers)
    chunk.journal = journal


def make_error(item: Item, status: Status, reason: str) -> Outcome:
    """Build the record of an error result.

    :param item: the item.
    :param status: status of the result.
    :param reason: message for the caller.
    :returns: the record.
    """
    body = msgspec.json.encode({'code': status.value, 'message': reason})
    return Outcome(
        item.index,
        status,
        item.line.custom_id,
        0,
        msgspec.Raw(body),
    )


def count_outcomes(ledgers: list[Ledger]) -> Tally:
    """Count the results of a chunk by status and add up their tokens.

    :param ledgers: ledgers of the chunk's items.
    :returns: the totals.
    """
    outcomes = [ledger.outcome for ledger in ledgers if ledger.outcome]
    counts = Counter(outcome.status.value for outcome in outcomes)
    prompt_tokens = [outcome.prompt_tokens for outcome in outcomes]
    answer_tokens = [outcome.answer_tokens for outcome in outcomes]
    return Tally(
        **counts,
        prompt_tokens=sum(prompt_tokens),
        answer_tokens=sum(answer_tokens),
    )


def make_token() -> str:
    """Generate a random token that identifies one write of a claim.

    :returns: hexadecimal digits.
    """
    return secrets.token_hex(TOKEN_BYTES)


def choose_folders(
    context: ChunkContext,
    key: str,
    lost: frozenset[str],
) -> tuple[str, ...]:
    """Choose folders for a segment, recently failed ones only if needed.

    :param context: services and limits that owners share.
    :param key: key by which the choice is spread over the folders.
    :param lost: incarnations of folders that have just failed.
    :returns: incarnations of the chosen folders.
    :raises ChunkError: when too few folders are available.
    """
    disks = context.list_disks()
    # A folder that has just failed may work again: if there are no others,
    # a new segment on the same folders is as safe.
    for avoided in (
        lost | context.disks.list_failed_folders(),
        lost,
        frozenset(),
    ):
        chosen = choose_copies(disks, key, context.copies, avoided)
        if len(chosen) >= context.least_copies:
            return tuple(disk.incarnation for disk in chosen)
    raise ChunkError('too few data folders')


def write_snapshots(journal: JournalWriter, ledgers: list[Ledger]) -> None:
    """Start a segment with a complete snapshot of the ledgers.

    :param journal: writer of the segment.
    :param ledgers: durable state of each item.
    """
    snapshots = [
        write_snapshot(index, ledger) for index, ledger in enumerate(ledgers)
    ]
    journal.commit((*chain.from_iterable(snapshots), Ready(len(ledgers))))
