"""Decides what happens to a batch item, given the records of its journal."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from wigeonpier.policy.itemretry import (
    OWN_CONTENT_PACE,
    Surroundings,
    compute_pause,
    compute_start,
)
from wigeonpier.records import Begin, Failure, Outcome, Ready, Release

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.records import ItemRecord, Record


class Step(StrEnum):
    """What to do with an item next."""

    run = 'run'
    run_alone = 'run_alone'
    fail = 'fail'
    settle_unknown = 'settle_unknown'
    nothing = 'nothing'


@dataclass(slots=True)
class Ledger:
    """What is durably known of one item.

    :param is_open: begun and neither released, failed nor completed.
    :param was_alone: the open attempt runs alone.
    :param losses: attempts during which the owner or upstream was lost.
    :param lone_losses: those of them that count against the item: it ran
        alone, and nothing else crashed.
    :param failures: attempts that the upstream answered with a failure.
    :param last_reason: reason that the upstream gave for the last failure.
    :param outcome: the item's only result.
    """

    is_open: bool = False
    was_alone: bool = False
    losses: int = 0
    lone_losses: int = 0
    failures: int = 0
    last_reason: str = ''
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Bounds:
    """How often an item is attempted.

    :param failures: most failed attempts.
    :param lone_losses: most losses while it ran alone in a calm service.
    """

    failures: int
    lone_losses: int


@dataclass(slots=True)
class SegmentState:
    """State of one segment of a journal.

    :param ledgers: one per item; empty if no snapshot is complete.
    :param is_ready: whether the snapshot at its start is complete.
    """

    ledgers: list[Ledger] = field(default_factory=list)
    is_ready: bool = False


def apply_record(ledger: Ledger, record: Record) -> None:
    """Apply a record to the ledger of its item.

    :param ledger: changed in place.
    :param record: the record.
    """
    match record:
        case Begin(alone=alone):
            record_loss(ledger)
            ledger.is_open = True
            ledger.was_alone = alone
        case Release():
            ledger.is_open = False
        case Failure(reason=reason):
            ledger.is_open = False
            ledger.failures += 1
            ledger.last_reason = reason
        case Outcome():
            ledger.is_open = False
            # Keep the first result; a later one must not replace it.
            ledger.outcome = ledger.outcome or record


def replay_segment(records: Iterable[Record], items: int) -> SegmentState:
    """Replay one segment from its start.

    :param records: its valid records in order.
    :param items: number of items in the chunk.
    :returns: ledgers as of its end.
    """
    segment_state = SegmentState([Ledger() for _ in range(items)])
    for record in records:
        if isinstance(record, Ready):
            segment_state.is_ready = True
        else:
            apply_record(segment_state.ledgers[record.item], record)
    return segment_state


def record_loss(ledger: Ledger) -> None:
    """Record that an item has lost its owner or upstream, if it was open.

    :param ledger: its ledger, changed in place.
    """
    if ledger.is_open:
        ledger.losses += 1
        ledger.lone_losses += ledger.was_alone
        ledger.is_open = False


def record_owner_loss(ledger: Ledger) -> None:
    """Record that an item has lost its owner, if it was open.

    Nobody knows what else crashed, so the loss does not count as a lone one.

    :param ledger: its ledger, changed in place.
    """
    ledger.was_alone = False
    record_loss(ledger)


def describe_lone_loss(index: int) -> list[ItemRecord]:
    """Express that an item was lost while it ran alone, until that is judged.

    :param index: position of the item.
    :returns: records that leave its attempt open, as one beside others.
    """
    return [Release(index), Begin(index, alone=False)]


def describe_judged_loss(index: int, *, counts: bool) -> list[ItemRecord]:
    """Express whether the open attempt of an item counts as a lone loss.

    :param index: position of the item.
    :param counts: whether it does.
    :returns: records that end the attempt as one loss.
    """
    # A begin while an attempt is open counts that attempt as lost.
    ended: list[ItemRecord] = [Begin(index, alone=False), Release(index)]
    if not counts:
        return ended
    return [Release(index), Begin(index, alone=True), *ended]


def compute_item_pause(losses: int) -> float:
    """Compute how long an item is held after a loss.

    :param losses: earlier losses.
    :returns: seconds.
    """
    return compute_pause(losses, OWN_CONTENT_PACE)


def compute_item_start(
    not_before: float, crashed_at: float, now: float
) -> float:
    """Compute when a held item may run alone.

    :param not_before: end of its pause, seconds of the monotonic clock.
    :param crashed_at: last crash of any upstream, seconds of that clock.
    :param now: seconds of that clock.
    :returns: the earliest start, at most some seconds after the pause.
    """
    return compute_start(not_before, Surroundings(crashed_at, 0), now)


def decide_item(ledger: Ledger, idempotent: bool, bounds: Bounds) -> Step:
    """Decide what to do with an item that is not running.

    :param ledger: what is known of it.
    :param idempotent: whether it may run more than once.
    :param bounds: how often it is attempted.
    :returns: the next step.
    """
    if ledger.outcome is not None:
        return Step.nothing
    if not idempotent and (ledger.losses or ledger.failures):
        return Step.settle_unknown
    if ledger.failures >= bounds.failures:
        return Step.fail
    if ledger.lone_losses >= bounds.lone_losses:
        return Step.fail
    if ledger.losses:
        return Step.run_alone
    return Step.run


def write_snapshot(index: int, ledger: Ledger) -> list[Record]:
    """Express a ledger as records, for a new segment.

    :param index: position of the item.
    :param ledger: its ledger.
    :returns: records that replay to an equivalent ledger.
    """
    if ledger.outcome is not None:
        return [ledger.outcome]
    records: list[Record] = []
    for loss in range(ledger.losses):
        # A begin while an attempt is open counts that attempt as lost.
        records.append(Begin(index, loss < ledger.lone_losses))
    if ledger.losses:
        records += [Begin(index, alone=False), Release(index)]
    records += [
        Failure(index, ledger.last_reason) for _ in range(ledger.failures)
    ]
    if ledger.is_open:
        records.append(Begin(index, ledger.was_alone))
    return records
