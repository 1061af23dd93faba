"""Bodies of the calls for batch jobs, as the platform defines them."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, Any

import msgspec

from wigeonpier.models import ItemResult, ItemState, JobItem
from wigeonpier.platform import wire

if TYPE_CHECKING:
    from collections.abc import Iterable


class _Item(msgspec.Struct):
    id: str
    path: str
    body: str
    headers: dict[str, str] = {}
    tokens: int = 0


class _Job(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    id: str
    state: str
    output: str


class _ResultPage(msgspec.Struct):
    total: int
    next: int
    results: list[_Result]


def decode_items(raw: bytes) -> list[JobItem]:
    """Decode the items of a job.

    :param raw: the body.
    :returns: the items.
    :raises ValueError: when the body is no job.
    """
    job = msgspec.json.decode(raw, type=_Job)
    try:
        return [
            JobItem(
                item.id,
                item.path,
                _drop_key(item.headers),
                base64.b64decode(item.body),
                item.tokens,
            )
            for item in job.items
        ]
    except binascii.Error as error:
        raise ValueError(str(error)) from error


def encode_results(
    total: int,
    following: int,
    results: Iterable[ItemResult],
) -> bytes:
    """Encode a page of results.

    :param total: items of the job.
    :param following: position after the last result of the page.
    :param results: results in order.
    :returns: the body.
    """
    states: dict[ItemState, Any] = {
        ItemState.completed: 'completed',
        ItemState.abandoned: 'abandoned',
    }
    listed = [
        _Result(found.name, states[found.state], found.output)
        for found in results
    ]
    return msgspec.json.encode(_ResultPage(total, following, listed))


def _drop_key(headers: dict[str, str]) -> dict[str, str]:
    """Leave the caller's key out of the stored headers of an item."""
    return {
        name: text
        for name, text in headers.items()
        if name.lower() != wire.KEY_HEADER.lower()
    }
