"""Encodes records of a chunk's journal as lines of a file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wigeonpier.disk.lines import frame_line, parse_line
from wigeonpier.records import Record

if TYPE_CHECKING:
    from collections.abc import Iterator

_DECODER = msgspec.json.Decoder(Record)
_ENCODER = msgspec.json.Encoder()


def encode_record(record: Record) -> bytes:
    """Encode a record as a line.

    :param record: the record.
    :returns: the line, with the line end.
    """
    return frame_line(_ENCODER.encode(record))


def decode_records(lines: bytes) -> Iterator[Record]:
    """Decode valid lines.

    :param lines: complete lines that are known to be valid.
    :yields: the records in order.
    """
    for line in lines.splitlines():
        yield _DECODER.decode(parse_line(line))
