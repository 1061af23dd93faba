"""Answers that a stand-in for a replica sends once more.

The copy arrives late, where the next answer on the connection is expected.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wigeonpier.web.messages import Response


@dataclass(slots=True)
class LateAnswers:
    """Copies of answers that are still to be sent.

    :param remaining: number of next answers that are sent once more.
    """

    remaining: int = 0
    _copies: dict[Any, bytes] = field(default_factory=dict)

    def keep(self, connection: Any, response: Response, body: bytes) -> None:
        """Keep a copy of an answer if it is to be sent once more.

        :param connection: the caller's connection.
        :param response: the answer.
        :param body: its complete body.
        """
        if self.remaining:
            self.remaining -= 1
            self._copies[connection] = _encode(response, body)

    def send(self, connection: Any) -> None:
        """Send the copy that is due on a connection, if any.

        :param connection: the caller's connection, with its next request.
        """
        copy = self._copies.pop(connection, b'')
        if copy:
            connection.sendall(copy)


def _encode(response: Response, body: bytes) -> bytes:
    head = [f'HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}']
    head += [f'{name}: {text}' for name, text in response.headers.items()]
    head += [f'Content-Type: {response.content_type}']
    head += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(head).encode() + body
