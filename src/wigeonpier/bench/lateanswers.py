"""Answers that a stand-in for a replica sends once more.

The copy arrives late, where the next answer on the connection is expected.  It
may come several times, in pieces, or only in part.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent

if TYPE_CHECKING:
    from wigeonpier.web.messages import Response


@dataclass(frozen=True, slots=True)
class CopyShape:
    """How an answer is sent once more.

    :param cut_after: the copy ends behind these bytes of its head, empty for a
        complete copy.
    :param times: how often it is sent.
    :param piece_seconds: pause between its two halves, 0 to send it in one
        piece.
    """

    cut_after: bytes = b''
    times: int = 1
    piece_seconds: float = 0


COMPLETE_COPY = CopyShape()


@dataclass(slots=True)
class LateAnswers:
    """Copies of answers that are still to be sent.

    :param remaining: number of next answers that are sent once more.
    :param shape: how they are sent once more.
    """

    remaining: int = 0
    shape: CopyShape = COMPLETE_COPY
    _copies: dict[Any, bytes] = field(default_factory=dict)

    def keep(self, connection: Any, response: Response, body: bytes) -> None:
        """Keep a copy of an answer if it is to be sent once more.

        :param connection: the caller's connection.
        :param response: the answer.
        :param body: its complete body.
        """
        if not self.remaining:
            return
        self.remaining -= 1
        copy = _encode(response, body)
        if self.shape.cut_after:
            before, mark, _rest = copy.partition(self.shape.cut_after)
            copy = before + mark
        self._copies[connection] = copy * self.shape.times

    def send(self, connection: Any) -> None:
        """Send the copies that are due on a connection, if any.

        :param connection: the caller's connection, with its next request.
        """
        copies = self._copies.pop(connection, b'')
        if not copies:
            return
        middle = len(copies) // 2 if self.shape.piece_seconds else 0
        connection.sendall(copies[:middle])
        gevent.sleep(self.shape.piece_seconds)
        connection.sendall(copies[middle:])


def _encode(response: Response, body: bytes) -> bytes:
    head = [f'HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}']
    # Part of a head that ends before the id bears the id of what follows it.
    listed = reversed(response.headers.items())
    head += [f'{name}: {text}' for name, text in listed]
    head += [f'Content-Type: {response.content_type}']
    head += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(head).encode() + body
