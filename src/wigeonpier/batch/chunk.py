"""A chunk in the hands of its owner: claim, read, work, finish."""

from __future__ import annotations

import secrets
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
from wigeonpier.invariants import Promise, check_promise
from wigeonpier.platform.certain import swap_certainly
from wigeonpier.platform.keys import name_chunk
from wigeonpier.platform.port import Failure as PlatformFailure
from wigeonpier.policy.attempts import (
    Bounds,
    Ledger,
    Step,
    apply_record,
    decide_item,
    write_snapshot,
)
from wigeonpier.policy.copies import Disk, choose_copies
from wigeonpier.records import Begin, Failure, Outcome, Ready, Release, Status
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.batch.models import Job, Line
    from wigeonpier.disk.client import DiskClient
    from wigeonpier.platform.port import Platform

TOKEN_BYTES = 8
CLAIM_TIMEOUT_SECONDS = 5.0
MOVE_RETRY_SECONDS = 0.5


ItemRecord = Begin | Release | Failure | Outcome


class ChunkProblemError(Exception):
    """A chunk that cannot be worked on now; another try may succeed."""


@dataclass(frozen=True, slots=True)
class Workshop:
    """What owners of chunks use.

    :param platform: port to the key-value service.
    :param disks: reaches data folders.
    :param list_disks: data folders that may be chosen.
    :param is_gone: whether a folder is known never to come back.
    :param owner: name of this VM.
    :param copies: copies wanted.
    :param least_copies: fewest copies.
    :param bounds: how often an item is tried.
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
    """One item of a chunk in work.

    :param index: position in the chunk.
    :param line: what to run.
    :param is_idempotent: whether it may run more than once.
    """

    index: int
    line: Line
    is_idempotent: bool


@dataclass(slots=True)
class Chunk:
    """A chunk that this process owns.

    :param context: what owners use.
    :param job: its job.
    :param index: position in the job.
    :param claim: the claim as written.
    :param revision: revision of the claim's key.
    :param journal: writes the segment of this owner.
    :param items: its items.
    :param ledgers: what is durably known of each.
    :param ready: items to run, in order.
    :param suspects: items to run alone, after the others.
    :param is_lost: whether another process owns it now, or may.
    :param move_lock: held while the journal goes on elsewhere.
    """

    context: Workshop
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
        """Name the chunk in logs."""
        job = self.job
        return f'{job.id}/{self.index}'

    @property
    def is_settled(self) -> bool:
        """Tell whether each item has its result."""
        return all(ledger.outcome for ledger in self.ledgers)

    def record_start(self, item: Item, *, alone: bool) -> None:
        """Note durably that an item may run; it may start only after this.

        :param item: the item.
        :param alone: whether nothing else of a job runs at the upstream.
        """
        ledger = self.ledgers[item.index]
        label = f'{self.name} item {item.index}'
        check_promise(
            item.is_idempotent or not (ledger.losses or ledger.is_open),
            Promise.runs_at_most_once,
            f'{label} begins again',
        )
        check_promise(
            ledger.outcome is None,
            Promise.exactly_one_result,
            f'{label} has a result already',
        )
        self.write(Begin(item.index, alone))

    def write(self, *records: ItemRecord) -> None:
        """Write records; when this returns, they count.

        Where a copy was lost, the journal goes on in other folders first.

        :param records: what happened.
        :raises JournalEndedError: when this process owns the chunk no more.
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

    def plan(self, *items: Item) -> None:
        """Put items that do not run where their ledgers say they belong.

        :param items: the items; those that are past help get their results.
        """
        ended = [
            outcome
            for item in items
            if (outcome := self._plan_item(item)) is not None
        ]
        if ended:
            self.write(*ended)

    def finish(self) -> Result[int, PlatformFailure]:
        """Make the results readable: the chunk is done.

        :returns: the claim's revision, or why it could not be written.
        """
        check_promise(
            self.is_settled,
            Promise.exactly_one_result,
            f'{self.name} is finished with items open',
        )
        done = msgspec.structs.replace(
            self.claim,
            token=draw_token(),
            segments=self.claim.segments[-1:],
            is_done=True,
            tally=count_outcomes(self.ledgers),
        )
        return self.write_claim(done)

    def release_claim(self) -> None:
        """Let another owner go on at once; what runs is stopped before."""
        released = msgspec.structs.replace(
            self.claim,
            owner='',
            token=draw_token(),
        )
        self.write_claim(released)
        self.journal.close()

    def recover(
        self,
        journal: JournalWriter,
        error: JournalEndedError,
    ) -> None:
        """Go on in other folders where a copy was lost.

        :param journal: the one that has ended.
        :param error: why.
        :raises JournalEndedError: when this process owns the chunk no more.
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
        """Replace the claim and find out whether that stands.

        :param claim: the new claim.
        :returns: its revision.
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
        except ChunkProblemError as problem:
            log_event(
                Event.chunk_failed,
                chunk=self.name,
                problem=str(problem),
            )
            gevent.sleep(MOVE_RETRY_SECONDS)
        return frozenset()

    def _plan_item(self, item: Item) -> Outcome | None:
        ledger = self.ledgers[item.index]
        step = decide_item(ledger, item.is_idempotent, self.context.bounds)
        match step:
            case Step.run:
                self.ready.append(item)
            case Step.run_alone:
                log_event(Event.item_suspect, chunk=self.name, item=item.index)
                self.suspects.append(item)
            case Step.fail:
                reason = ledger.last_reason or 'its worker was lost each time'
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
    """Write a claim and find out whether it stands.

    :param platform: the port.
    :param job: id of the job.
    :param index: index of the chunk.
    :param claim: the claim.
    :param revision: revision that it replaces, 0 to create.
    :returns: its revision.
    """
    return swap_certainly(
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
    """Go on in a new segment on other folders after a copy was lost.

    :param chunk: the chunk; nothing of it runs meanwhile.
    :param lost: copies that failed.
    :raises ChunkProblemError: when that is not possible now.
    """
    context = chunk.context
    log_event(Event.copy_lost, chunk=chunk.name, copies=sorted(lost))
    fence = chunk.claim.fence + 1
    copies = choose_folders(context, chunk.name, lost)
    claim = msgspec.structs.replace(
        chunk.claim,
        token=draw_token(),
        fence=fence,
        segments=(*chunk.claim.segments, Segment(fence, copies)),
    )
    written = chunk.write_claim(claim)
    if isinstance(written, Err):
        chunk.is_lost = written.err_value is PlatformFailure.conflict
        raise ChunkProblemError(
            f'the claim was not written: {written.err_value}'
        )
    journal = JournalWriter(
        context.disks,
        (chunk.job.id, chunk.index, fence),
        copies,
    )
    write_snapshots(journal, chunk.ledgers)
    chunk.journal = journal


def make_error(item: Item, status: Status, reason: str) -> Outcome:
    """Make a result that is an error.

    :param item: the item.
    :param status: how it ended.
    :param reason: what is known.
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
    """Add up the results of a chunk.

    :param ledgers: ledgers with their outcomes.
    :returns: the sum.
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


def draw_token() -> str:
    """Draw the token of one write of a claim.

    :returns: hexadecimal digits.
    """
    return secrets.token_hex(TOKEN_BYTES)


def choose_folders(
    context: Workshop,
    key: str,
    lost: frozenset[str],
) -> tuple[str, ...]:
    """Choose folders for a segment, ones that failed of late last.

    :param context: what owners use.
    :param key: spreads the choice.
    :param lost: folders that failed just now.
    :returns: incarnations.
    :raises ChunkProblemError: when there are too few.
    """
    disks = context.list_disks()
    # Folders that failed just now may be well again: where there are no
    # others, a new segment on the same ones is as good.
    for avoided in (lost | context.disks.list_failing(), lost, frozenset()):
        chosen = choose_copies(disks, key, context.copies, avoided)
        if len(chosen) >= context.least_copies:
            return tuple(disk.incarnation for disk in chosen)
    raise ChunkProblemError('too few data folders')


def write_snapshots(journal: JournalWriter, ledgers: list[Ledger]) -> None:
    """Begin a segment with all that is known, and mark it whole.

    :param journal: writes the segment.
    :param ledgers: what is known of each item.
    """
    snapshots = [
        write_snapshot(index, ledger) for index, ledger in enumerate(ledgers)
    ]
    journal.commit((*chain.from_iterable(snapshots), Ready(len(ledgers))))
