"""Reads the bodies of answers that are not streams, and counts their tokens."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec
from geventhttpclient.response import HTTPParseError

from wigeonpier.web.longbodies import make_response
from wigeonpier.web.sse import Completion

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.entry.pending import PendingRequest
    from wigeonpier.web.client import StreamReply
    from wigeonpier.web.messages import Response

# End of a long completion, which holds its usage.
TAIL_BYTES = 4096
# Quotes within a text of JSON are escaped.
_TOKENS_PATTERN = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')


def read_response(
    pending: PendingRequest,
    reply: StreamReply,
    seconds: float,
    record_break: Callable[[], None],
) -> Response:
    """Read an answer, or only the start of a long one.

    :param pending: the request, whose tokens are counted.
    :param reply: its answer.
    :param seconds: time to wait for the whole body.
    :param record_break: called when it breaks off after this call.
    :returns: the response, a long body of which is read while it is passed on.
    :raises OSError: if it breaks off.
    """
    start = reply.read_start(seconds)
    if reply.is_whole:
        pending.tokens = _count_tokens(pending, start)
        return make_response(reply, start)
    rest = _pass_on(pending, reply, [start], record_break)
    return make_response(reply, rest)


def _pass_on(
    pending: PendingRequest,
    reply: StreamReply,
    held: list[bytes],
    record_break: Callable[[], None],
) -> Iterator[bytes]:
    """Pass on a long body.

    :param held: its start, which is dropped once the caller has it.
    :raises OSError: if it breaks off, so that it does not look complete.
    """
    yield held.pop()
    tail = b''
    try:
        for part in reply.iterate_parts():
            tail = (tail + part[-TAIL_BYTES:])[-TAIL_BYTES:]
            yield part
    except (OSError, HTTPParseError):
        record_break()
        raise
    pending.tokens = _find_tokens(pending, tail)


def _count_tokens(pending: PendingRequest, body: bytes) -> int:
    if not pending.criteria.model:
        return 0
    try:
        answer = msgspec.json.decode(body, type=Completion)
    except msgspec.DecodeError:
        return 0
    return answer.usage.completion_tokens


def _find_tokens(pending: PendingRequest, tail: bytes) -> int:
    """Read the usage at the end of a completion that is not held whole."""
    if not pending.criteria.model:
        return 0
    found = _TOKENS_PATTERN.findall(tail)
    return int(found[-1]) if found else 0
