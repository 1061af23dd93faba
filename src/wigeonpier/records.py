"""Records in the journal of a chunk."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Status(StrEnum):
    """How an item ended."""

    succeeded = 'succeeded'
    failed = 'failed'
    cancelled = 'cancelled'
    outcome_unknown = 'outcome_unknown'


class Begin(msgspec.Struct, tag='begin', array_like=True):
    """An item is about to run.

    :param item: position in the chunk.
    :param alone: whether no other batch item runs at the upstream.
    """

    item: int
    alone: bool


class Release(msgspec.Struct, tag='release', array_like=True):
    """A started item was stopped without a failure and may run again.

    :param item: position in the chunk.
    """

    item: int


class Failure(msgspec.Struct, tag='failure', array_like=True):
    """A started item failed while the upstream kept working.

    :param item: position in the chunk.
    :param reason: reason that the upstream gave.
    """

    item: int
    reason: str


class Outcome(msgspec.Struct, tag='outcome', array_like=True):
    """The only result of an item.

    :param item: position in the chunk.
    :param status: how it ended.
    :param custom_id: the caller's id of the item.
    :param code: HTTP status of the upstream, 0 where it did not answer.
    :param body: the upstream's answer or an error.
    :param prompt_tokens: tokens read, for billing.
    :param answer_tokens: tokens generated, for billing.
    """

    item: int
    status: Status
    custom_id: str
    code: int
    body: msgspec.Raw
    prompt_tokens: int = 0
    answer_tokens: int = 0


class Ready(msgspec.Struct, tag='ready', array_like=True):
    """The state from older segments is complete up to this record.

    :param items: number of items in the chunk.
    """

    items: int


ItemRecord = Begin | Release | Failure | Outcome
Record = ItemRecord | Ready
