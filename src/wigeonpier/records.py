"""What the journal of a chunk says of its items."""

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
    """An item may run from now on.

    :param item: position in the chunk.
    :param alone: whether nothing else of a job runs at the upstream.
    """

    item: int
    alone: bool


class Release(msgspec.Struct, tag='release', array_like=True):
    """A begun item stopped with nobody to blame, and may begin again.

    :param item: position in the chunk.
    """

    item: int


class Failure(msgspec.Struct, tag='failure', array_like=True):
    """A begun item failed while the upstream was well.

    :param item: position in the chunk.
    :param reason: what the upstream said.
    """

    item: int
    reason: str


class Outcome(msgspec.Struct, tag='outcome', array_like=True):
    """The one result of an item.

    :param item: position in the chunk.
    :param status: how it ended.
    :param custom_id: the caller's id of the item.
    :param code: HTTP status of the upstream, 0 where it did not answer.
    :param body: the upstream's answer, or an error that says what is known.
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
    """All that older segments said stands before this line.

    :param items: how many items the chunk has.
    """

    items: int


Record = Begin | Release | Failure | Outcome | Ready
