"""Bytes that a stand-in sends without end, until the caller closes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from itertools import cycle, islice, repeat
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import gevent

from wigeonpier.platform import wire

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


NO_HEADERS: Mapping[str, str] = MappingProxyType({})

# One write of a flood; a trickle writes TRICKLE_BYTES instead.
FLOOD_BYTES = 65_536
TRICKLE_BYTES = 5
TRICKLE_SECONDS = 0.2
# More than any caller waits for.
DECLARED_BYTES = 1_000_000_000_000_000
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
STREAM_HEAD = b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
FILLER_BYTES = 1015
FILLER = b'x' * FILLER_BYTES
MORE = b'X-More: %b\r\n' % FILLER
CHUNK = b'3f7\r\n%b\r\n' % FILLER


class Endless(StrEnum):
    """What is sent without end."""

    head = 'head lines'
    head_value = 'a head line'
    sized_body = 'a body with a length'
    chunked_body = 'a body in chunks'
    unframed_body = 'a body that ends with its connection'
    event = 'an event'
    event_lines = 'lines of an event'
    events = 'events'
    blank_events = 'blank lines'
    extension = 'a chunk extension'
    trailers = 'trailers'
    informational = 'informational answers'
    foreign = 'answers to other requests'
    foreign_body = 'the body of an answer to another request'
    noise = 'bytes that are no HTTP'


@dataclass(slots=True)
class EndlessBytes:
    """What a stand-in sends instead of answers.

    :param kind: what is sent, ``None`` for ordinary answers.
    :param is_trickle: whether a few bytes are sent at a time, with pauses.
    :param count: how often it was sent.
    """

    kind: Endless | None = None
    is_trickle: bool = False
    count: int = 0

    def send(
        self, connection: Any, headers: Mapping[str, str] = NO_HEADERS
    ) -> None:
        """Send until the caller closes the connection.

        :param connection: the caller's connection.
        :param headers: headers of an ordinary answer.
        :raises OSError: when the caller has closed it.
        """
        if self.kind is not None:
            self.count += 1
            start, piece = make_bytes(self.kind, headers)
            send_without_end(
                connection, start, piece, is_trickle=self.is_trickle
            )


def make_bytes(
    kind: Endless, headers: Mapping[str, str] = NO_HEADERS
) -> tuple[bytes, bytes]:
    """Make what is sent once, and what is repeated after it.

    :param kind: what is sent.
    :param headers: headers of an ordinary answer.
    :returns: both.
    """
    lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
    head = b'%b%b' % (STATUS_LINE, ''.join(lines).encode('latin-1'))
    stream = b'%b%b%b\r\n' % (head, STREAM_HEAD, CHUNKED)
    other = b'%b%b: other\r\n' % (STATUS_LINE, wire.REQUEST_ID.encode())
    parts = {
        Endless.head: (head, MORE),
        Endless.head_value: (b'%bX-More: ' % head, FILLER),
        Endless.sized_body: (
            b'%bContent-Length: %d\r\n\r\n' % (head, DECLARED_BYTES),
            FILLER,
        ),
        Endless.chunked_body: (b'%b%b\r\n' % (head, CHUNKED), CHUNK),
        Endless.unframed_body: (b'%b\r\n' % head, FILLER),
        Endless.event: (b'%b6\r\ndata: \r\n' % stream, CHUNK),
        Endless.event_lines: (stream, b'a\r\ndata: xyz\n\r\n'),
        Endless.events: (stream, b'f\r\nid: 1\ndata: x\n\n\r\n'),
        Endless.blank_events: (stream, b'2\r\n:\n\r\n1\r\n\n\r\n'),
        Endless.extension: (b'%b5\r\nid: 1\r\n5;' % stream, FILLER),
        Endless.trailers: (b'%b5\r\nid: 1\r\n0\r\n' % stream, MORE),
        Endless.informational: (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        Endless.foreign: (b'', b'%bContent-Length: 0\r\n\r\n' % other),
        Endless.foreign_body: (b'%b%b\r\n' % (other, CHUNKED), CHUNK),
        Endless.noise: (b'', FILLER),
    }
    return parts[kind]


def send_without_end(
    connection: Any, start: bytes, piece: bytes, *, is_trickle: bool
) -> None:
    """Send bytes until the peer closes the connection.

    :param connection: connection with the peer.
    :param start: sent once.
    :param piece: repeated.
    :param is_trickle: whether a few bytes are sent at a time, with pauses.
    :raises OSError: when the peer has closed it.
    """
    connection.sendall(start)
    parts = _cut_trickle(piece) if is_trickle else _repeat(piece)
    for part in parts:
        connection.sendall(part)
        gevent.sleep(TRICKLE_SECONDS if is_trickle else 0)


def _repeat(piece: bytes) -> Iterator[bytes]:
    return repeat(piece * (FLOOD_BYTES // len(piece)))


def _cut_trickle(piece: bytes) -> Iterator[bytes]:
    """Cut a repeated piece into parts of some bytes."""
    source = cycle(piece)
    return iter(lambda: bytes(islice(source, TRICKLE_BYTES)), b'')
