"""Lines of a chunk's journal, each with a checksum."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
from crc32c import crc32c

if TYPE_CHECKING:
    from collections.abc import Iterator

CHECKSUM_DIGITS = 8
_HEAD = CHECKSUM_DIGITS + 1
_NEW_LINE = b'\n'


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

_DECODER = msgspec.json.Decoder(Record)
_ENCODER = msgspec.json.Encoder()


def encode_record(record: Record) -> bytes:
    """Make the line of a record.

    :param record: the record.
    :returns: checksum, blank, JSON, end of line.
    """
    body = _ENCODER.encode(record)
    return b'%08x %b\n' % (crc32c(body), body)


def decode_records(lines: bytes) -> Iterator[Record]:
    """Read sound lines.

    :param lines: what :func:`measure_sound_part` found sound.
    :yields: the records in order.
    """
    for line in lines.splitlines():
        yield _DECODER.decode(line[_HEAD:])


def measure_sound_part(content: bytes) -> int:
    """Find where a journal's sound lines end.

    :param content: bytes of a segment, its tail perhaps torn.
    :returns: how many bytes from the start are whole, unharmed lines.
    """
    position = 0
    while True:
        end = content.find(_NEW_LINE, position)
        if end < 0 or not _is_sound(content[position:end]):
            return position
        position = end + 1


def _is_sound(line: bytes) -> bool:
    head, _, body = line.partition(b' ')
    return len(head) == CHECKSUM_DIGITS and head == b'%08x' % crc32c(body)
