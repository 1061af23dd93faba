"""One request and its answer on a connection that our own code owns.

The pooled client resends on its own and puts a connection back before it has
seen what follows an answer.  Calls that may not be repeated, and upstreams
that may send bytes after a whole answer, need a connection whose reuse is
decided here.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket as green
from geventhttpclient.response import HTTPParseError, HTTPResponse

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.web.pool import ConnectionPool

READ_BYTES = 16_384
# The option's two numbers: on, and no seconds to linger.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
LEAST_PATIENCE_SECONDS = 0.001
INTERIM_STATUSES = 200
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
    ),
)


class BrokenAnswerError(OSError):
    """The answer ended before its end, or is no answer."""


class _Parser(HTTPResponse):  # type: ignore[misc]
    """Takes one answer; anything that follows it is refused."""

    def _on_message_begin(self) -> None:
        whole = self.message_complete and self.headers_complete
        if whole and self.get_code() >= INTERIM_STATUSES:
            raise HTTPParseError('bytes after a whole answer')
        super()._on_message_begin()


class Exchange:
    """A request that was sent, and its answer as it arrives."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        sock: Any,
        rested: float = 0,
    ) -> None:
        """Own the connection until :meth:`close`.

        :param pool: takes it back while it is clean.
        :param address: ``host:port`` of the other end.
        :param sock: the connection.
        :param rested: how long it was idle, seconds, 0 for a new one.
        """
        self._pool = pool
        self._rested = rested
        self._address = address
        self._sock = sock
        self._parser = _Parser()
        self._is_spoilt = False
        self._is_closed = False
        self._ended_by_close = False

    @property
    def status(self) -> int:
        """Give the status of the answer."""
        return int(self._parser.get_code())

    @property
    def is_whole(self) -> bool:
        """Tell whether the answer ended as its framing says."""
        return bool(self._parser.message_complete)

    @property
    def is_unframed(self) -> bool:
        """Tell whether only the end of the connection ended the answer."""
        return self._ended_by_close

    def get_header(self, name: str) -> str:
        """Read one header.

        :param name: its name.
        :returns: its value, empty where it is absent or repeated.
        """
        value = self._parser.get(name)
        return value if isinstance(value, str) else ''

    def list_headers(self) -> list[tuple[str, str]]:
        """List the headers that are not of this connection only.

        :returns: names and values.
        """
        return [
            (str(name), str(value))
            for name, value in self._parser.items()
            if str(name).lower() not in HOP_HEADERS
        ]

    def send(self, raw: bytes, patience: float) -> None:
        """Send a request and read the head of its answer.

        :param raw: the request as it goes on the wire.
        :param patience: longest silence, seconds.
        :raises OSError: when the connection is lost or silent.
        """
        self.write(raw, patience)
        self.await_head(patience)

    def write(self, raw: bytes, patience: float) -> None:
        """Send a request.

        :param raw: the request as it goes on the wire.
        :param patience: longest silence, seconds.
        :raises OSError: when the connection is lost or takes nothing.
        """
        self._sock.settimeout(patience)
        try:
            self._sock.sendall(raw)
        except TimeoutError:
            raise
        except OSError:
            self._note_drop()
            raise

    def await_head(self, patience: float) -> None:
        """Read the head of the answer; after a silence it may be tried again.

        :param patience: longest silence, seconds.
        :raises OSError: when the connection is lost or silent.
        """
        try:
            while not self._has_head():
                self._receive(patience)
        except TimeoutError:
            raise
        except OSError:
            self._note_drop()
            raise

    def read_line(self, patience: float) -> bytes:
        """Read one line of the body.

        :param patience: longest silence, seconds.
        :returns: the line with its end, what is left at the end of the
            body, empty after it.
        :raises OSError: when the body breaks off.
        """
        buffer = self._parser._body_buffer  # noqa: SLF001, WPS437
        while True:
            end = buffer.find(b'\n')
            if end >= 0:
                line = bytes(buffer[: end + 1])
                del buffer[: end + 1]  # noqa: WPS420
                return line
            if self.is_whole:
                rest = bytes(buffer)
                buffer.clear()
                return rest
            self._receive(patience)

    def read(self, patience: float) -> bytes:
        """Read the rest of the body.

        :param patience: longest silence, seconds.
        :returns: the bytes.
        :raises OSError: when the body breaks off.
        """
        while not self.is_whole:
            self._receive(patience)
        buffer = self._parser._body_buffer  # noqa: SLF001, WPS437
        body = bytes(buffer)
        buffer.clear()
        return body

    def abort(self) -> None:
        """Break the connection, also under a greenlet that reads it.

        What was written and not yet delivered is discarded: held up by a cut,
        it reached an upstream 6 s later, which ran it for nobody.
        """
        self._is_spoilt = True
        try:
            self._sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                RESET_ON_CLOSE,
            )
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer was faster; the reader sees the same end.
            return

    def close(self) -> None:
        """Let go; only a clean connection after a whole answer is kept."""
        if self._is_closed:
            return
        self._is_closed = True
        is_clean = not (self._is_spoilt or self._ended_by_close)
        if is_clean and not self._parser.should_close():
            self._pool.keep(self._address, self._sock)
        else:
            self._sock.close()

    def _note_drop(self) -> None:
        """Learn from an idle connection that broke before any answer."""
        is_early = not self._parser.headers_complete
        if self._rested and is_early and not self._is_spoilt:
            self._pool.note_drop(self._address, self._rested)

    def _has_head(self) -> bool:
        return bool(
            self._parser.headers_complete and self.status >= INTERIM_STATUSES,
        )

    def _receive(self, patience: float) -> None:
        self._sock.settimeout(max(patience, LEAST_PATIENCE_SECONDS))
        data = self._sock.recv(READ_BYTES)
        had_whole = self.is_whole
        try:
            self._parser.feed(data)
        except HTTPParseError as error:
            self._is_spoilt = True
            if not self.is_whole:
                raise BrokenAnswerError(str(error)) from error
        if not data and not had_whole:
            self._ended_by_close = True
            if not self.is_whole:
                raise BrokenAnswerError('the connection ended early')


def make_request(
    method: str,
    target: str,
    headers: Iterator[tuple[str, str]] | list[tuple[str, str]],
    body: bytes = b'',
) -> bytes:
    """Write a request as it goes on the wire.

    :param method: HTTP method.
    :param target: path with query, as it came.
    :param headers: names and values; ``Content-Length`` is added.
    :param body: whole body.
    :returns: the bytes.
    """
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def watch_close(sock: Any, on_close: Any) -> gevent.Greenlet[..., None]:
    """Call back when the other side closes a connection.

    :param sock: the connection; nothing is read off it.
    :param on_close: called once; not called where data comes first.
    :returns: the greenlet that watches.
    """
    return gevent.spawn(_watch_close, sock, on_close)


def _watch_close(sock: Any, on_close: Any) -> None:
    try:
        green.wait_read(sock.fileno())
        is_closed = not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        is_closed = True
    if is_closed:
        on_close()
