"""Peer that never completes its answers, and sends bytes all the same."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from itertools import chain, repeat
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import gevent
from gevent.server import StreamServer

from wigeonpier.bench.endless import Endless, make_bytes, send_without_end

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

START = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % START
STREAM = b'%bContent-Type: text/event-stream\r\n\r\n' % START
# What is sent once, and what follows it again and again.
HEADS = MappingProxyType(
    {
        'head lines': (START, b'X-Padding: a\r\n' * 500),
        'one head line': (b'%bX-Padding: ' % START, b'a' * 8000),
        'informational answers': (b'', b'HTTP/1.1 102 Wait\r\n\r\n' * 300),
    }
)
BODIES = MappingProxyType(
    {
        'body': (b'%b\r\n' % START, b'a' * 8000),
        'chunk extension': (b'%b5;' % CHUNKED, b'a' * 8000),
        'trailers': (b'%b0\r\n' % CHUNKED, b'X-Padding: a\r\n' * 500),
    }
)
LINES = MappingProxyType(
    {
        'line': (STREAM, b'a' * 8000),
        'comments': (STREAM, b': wait\n' * 1000),
        'blank lines': (STREAM, b'\n' * 8000),
    }
)
SLOW_PIECE_BYTES = 3
SLOW_SECONDS = 0.02


@dataclass
class _CountingSocket:
    """Counts what is sent."""

    sock: Any
    peer: EndlessPeer

    def sendall(self, part: bytes) -> None:
        """Send, and count."""
        self.sock.sendall(part)
        self.peer.sent_bytes += len(part)


@dataclass
class EndlessPeer:
    """Answers every request without end until its caller closes.

    :param kind: what is sent, or what is sent once and what follows again and
        again.
    :param is_trickle: whether a few bytes are sent at a time.
    :param headers: headers of an answer of a kind.
    """

    kind: Endless | tuple[bytes, bytes]
    is_trickle: bool = False
    headers: Mapping[str, str] = field(default_factory=dict)
    ended_at: list[float] = field(default_factory=list)
    sent_bytes: int = 0
    address: str = ''

    def __post_init__(self) -> None:
        """Listen."""
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Stop listening and end all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, _address: object) -> None:
        sock.recv(65_536)
        try:
            self._send(_CountingSocket(sock, self))
        except OSError:
            self.ended_at.append(time.monotonic())

    def _send(self, sock: _CountingSocket) -> None:
        if isinstance(self.kind, Endless):
            start, piece = make_bytes(self.kind, self.headers)
            send_without_end(sock, start, piece, is_trickle=self.is_trickle)
            return
        start, piece = self.kind
        for part in chain((start,), repeat(piece)):
            for cut in _cut(part) if self.is_trickle else (part,):
                sock.sendall(cut)
                gevent.sleep(SLOW_SECONDS if self.is_trickle else 0)


def _cut(part: bytes) -> Iterator[bytes]:
    for at in range(0, len(part), SLOW_PIECE_BYTES):
        yield part[at : at + SLOW_PIECE_BYTES]
