"""Splits the items of a job into values of the store, and joins them again.

A value holds a list of whole items where that is possible.  An item that is
longer than a value makes the list of all items one text, which is cut into
values; a list is complete only with its last byte, so that readers need not
know which of both it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wigeonpier.models import JobItem

if TYPE_CHECKING:
    from collections.abc import Iterable

# Bytes of bodies in one list; base64 adds a third.
MAX_LIST_BYTES = 500_000
# A job is created in one commit: two conditions, its head, its key on the
# board, the time of its acceptance, its parts, and a key for each owner.
MAX_PARTS = 11
# Ids of jobs are part of keys, together with the name of a VM.
MAX_JOB_NAME_BYTES = 100


class PartsIncompleteError(ValueError):
    """The values of a job end before its last item."""


def find_excess(job: str, items: list[JobItem], value_bytes: int) -> str:
    """Find why a job can never be written.

    :param job: id of the job.
    :param items: all items.
    :param value_bytes: longest value.
    :returns: what exceeds which limit; empty if it can be written.
    """
    if len(job.encode()) > MAX_JOB_NAME_BYTES:
        return f'its id has more than {MAX_JOB_NAME_BYTES} bytes'
    # The head of the job has them all, beside the owners of the items.
    names = msgspec.json.encode([item.name for item in items])
    names_limit = value_bytes // 2
    if len(names) > names_limit:
        return f'ids of its items have more than {names_limit} bytes'
    limit = MAX_PARTS * value_bytes
    if len(split_items(items, value_bytes)) > MAX_PARTS:
        return f'its items have more than {limit} bytes in base64'
    return ''


def split_items(items: list[JobItem], value_bytes: int) -> list[bytes]:
    """Split items into values.

    :param items: all items of a job.
    :param value_bytes: longest value.
    :returns: the values in order; more than ``MAX_PARTS`` if the items are too
        large to be stored.
    """
    parts = [msgspec.json.encode(part) for part in _list_parts(items)]
    if len(parts) <= MAX_PARTS and all(
        len(part) <= value_bytes for part in parts
    ):
        return parts
    text = msgspec.json.encode(items)
    return [
        text[start : start + value_bytes]
        for start in range(0, len(text), value_bytes)
    ]


def join_items(parts: Iterable[bytes]) -> list[JobItem]:
    """Join the values of a job.

    :param parts: all values in order.
    :returns: the items by position.
    :raises PartsIncompleteError: if values are missing at the end.
    """
    items: list[JobItem] = []
    text = b''
    for part in parts:
        text += part
        if not text.endswith(b']'):
            continue
        try:
            items += msgspec.json.decode(text, type=list[JobItem])
        except msgspec.DecodeError:
            # The bracket is inside of an item that was cut behind it.
            continue
        text = b''
    if text:
        raise PartsIncompleteError('the items of the job are incomplete')
    return items


def _list_parts(items: list[JobItem]) -> Iterable[list[JobItem]]:
    part: list[JobItem] = []
    size = 0
    for item in items:
        if part and size + len(item.body) > MAX_LIST_BYTES:
            yield part
            part = []
            size = 0
        part.append(item)
        size += len(item.body)
    if part:
        yield part
