"""Reads the heads of clients' requests within limits of time and size."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent

if TYPE_CHECKING:
    from wigeonpier.served import ClientLimits


class HeadError(ValueError):
    """The head of a request is too large or too slow; nothing has run."""

    def __init__(self, status: HTTPStatus) -> None:
        """Set the status of the response."""
        super().__init__(status.phrase)
        self.status = status


class IdleError(OSError):
    """The client sent no request in time."""


def read_head(reader: Any, limits: ClientLimits) -> bytes:
    """Read the head of the next request on a connection.

    :param reader: buffered reader of the connection.
    :param limits: limits of the client.
    :returns: the bytes up to the blank line or to the end of the connection,
        empty if it was closed before.
    :raises HeadError: if the head is too large or too slow.
    :raises IdleError: if none begins in time.
    """
    with gevent.Timeout(limits.idle_seconds, IdleError('no request in time')):
        reader.peek(1)
    with gevent.Timeout(
        limits.head_seconds, HeadError(HTTPStatus.REQUEST_TIMEOUT)
    ):
        return _read_lines(reader, limits.head_bytes)


def _read_lines(reader: Any, max_bytes: int) -> bytes:
    head = bytearray()
    while True:
        line = reader.readline(max_bytes - len(head) + 1)
        head += line
        if len(head) > max_bytes:
            raise HeadError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if not line.strip():
            return bytes(head)
