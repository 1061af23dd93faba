"""Peer that never completes its answers, and sends bytes all the same."""

from __future__ import annotations

from itertools import chain, repeat
from types import MappingProxyType
from typing import TYPE_CHECKING

import gevent
from gevent.server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Iterator

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


class EndlessPeer:
    """Answers every request with the same endless bytes."""

    def __init__(self, start: bytes, part: bytes, *, is_slow: bool) -> None:
        """Listen on a free port.

        :param start: what is sent once.
        :param part: what follows again and again.
        :param is_slow: whether a few bytes are sent at a time.
        """
        self.sent_bytes = 0
        self.ended = 0
        self._start = start
        self._part = part
        self._is_slow = is_slow
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener."""
        return f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Stop listening and end all connections."""
        self._server.stop(timeout=0)

    def _serve(self, connection, _address) -> None:
        connection.recv(65536)
        try:
            for piece in self._iterate_pieces():
                connection.sendall(piece)
                self.sent_bytes += len(piece)
        except OSError:
            self.ended += 1

    def _iterate_pieces(self) -> Iterator[bytes]:
        for part in chain((self._start,), repeat(self._part)):
            if not self._is_slow:
                yield part
                gevent.sleep(0)
                continue
            for at in range(0, len(part), SLOW_PIECE_BYTES):
                yield part[at : at + SLOW_PIECE_BYTES]
                gevent.sleep(SLOW_SECONDS)
