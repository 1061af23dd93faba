"""One HTTP request and its response on a connection with controlled reuse.

The HTTP client library resends requests on its own and returns a connection
to its pool before it has seen what follows a response.  Requests that must not
be repeated, and upstreams that may send bytes after a complete response, need
a connection whose reuse is decided here.
"""

from __future__ import annotations

import select
import socket
import struct
import time
from collections import deque
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket as green
from gevent.monkey import get_original

from wigeonpier.web.connections import MIN_TIMEOUT_SECONDS
from wigeonpier.web.readlimits import (
    MAX_CALL_BODY_BYTES,
    MAX_EVENT_BYTES,
    MAX_HEAD_SECONDS,
    EndlessAnswerError,
    ReadLimit,
)
from wigeonpier.web.responsereader import ResponseReader

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.web.pool import ConnectionPool
    from wigeonpier.web.responseparser import ResponseHead

# SO_LINGER enabled with a timeout of 0 s: closing sends a reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
CLOSE_CHECK_SECONDS = 0.1
# That of gevent does not know of a connection that the peer has closed.
_make_poll = get_original('select', 'poll')
# A late response to an earlier request precedes that to the next one, so only
# the last requests on a connection matter.
MAX_CARRIED_REQUESTS = 8
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


class Exchange:
    """One request and its response on one connection."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        sock: Any,
        idle_seconds: float = 0,
        carried: deque[str] | None = None,
    ) -> None:
        """Take over a connection until :meth:`close`.

        :param pool: receives the connection back if it can be reused.
        :param address: ``host:port`` of the peer.
        :param sock: the connection.
        :param idle_seconds: how long it was idle, 0 for a new connection.
        :param carried: ids of the last requests that were sent on it.
        """
        self._carried = (
            deque(maxlen=MAX_CARRIED_REQUESTS) if carried is None else carried
        )
        self._pool = pool
        self._idle_seconds = idle_seconds
        self._address = address
        self._sock = sock
        self._reader = ResponseReader(sock)
        self._parser = self._reader.parser
        self._is_unusable = False
        self._is_closed = False

    @property
    def status(self) -> int:
        """Return the HTTP status of the response."""
        return self._parser.status

    @property
    def skipped(self) -> int:
        """Return how many responses to other requests were skipped."""
        return self._parser.skipped

    @property
    def idle_seconds(self) -> float:
        """Return how long the connection had been idle, 0 if it is new."""
        return self._idle_seconds

    @property
    def is_whole(self) -> bool:
        """Check whether the response is complete according to its framing."""
        return self._reader.is_whole

    @property
    def is_unframed(self) -> bool:
        """Check whether the response was delimited by the connection close."""
        return self._reader.is_closed_by_peer

    def get_header(self, name: str) -> str:
        """Read one response header.

        :param name: header name.
        :returns: its value, empty if it is absent or repeated.
        """
        return self._parser.get_header(name)

    def list_headers(self) -> list[tuple[str, str]]:
        """List the end-to-end headers of the response.

        :returns: names and values.
        """
        return [
            (str(name), str(value))
            for name, value in self._parser.items()
            if str(name).lower() not in HOP_HEADERS
        ]

    def expect(
        self, identity: str, is_own: Callable[[ResponseHead], bool]
    ) -> None:
        """Expect the response to a request, and skip those to other ones.

        An upstream may send the response to an earlier request once more. The
        connection is not reused after such a response, nor for another send of
        the same request, whose responses have the same id.

        :param identity: id of the request, empty if it has none.
        :param is_own: checks by its head whether a response is the expected
            one.
        """
        self._parser.is_own = is_own
        if identity:
            self._carried.append(identity)

    def send(self, raw: bytes, timeout: float) -> None:
        """Send a request and read the head of the response.

        :param raw: the encoded request.
        :param timeout: time limit of each, seconds.
        :raises OSError: if the connection is lost or times out.
        """
        self.write(raw, timeout)
        self.await_head(timeout)

    def write(self, raw: bytes, timeout: float) -> None:
        """Send a request.

        :param raw: the encoded request.
        :param timeout: time limit, seconds.
        :raises OSError: if the connection is lost or the write times out.
        """
        self._sock.settimeout(timeout)
        try:
            self._sock.sendall(raw)
        except TimeoutError:
            raise
        except OSError:
            self._record_drop()
            raise

    def await_head(
        self, timeout: float, head_seconds: float = MAX_HEAD_SECONDS
    ) -> None:
        """Read the head of the response; may be repeated after a timeout.

        :param timeout: time limit, seconds.
        :param head_seconds: time limit of a head that has begun, likewise.
        :raises OSError: if the connection is lost or times out.
        """
        try:
            self._reader.read_head(_set_deadline(timeout), head_seconds)
        except TimeoutError:
            raise
        except EndlessAnswerError as error:
            raise self.cut(error.limit) from error
        except OSError:
            self._record_drop()
            raise

    def read_line(self, timeout: float, limit: int = MAX_EVENT_BYTES) -> bytes:
        """Read one line of the response body.

        :param timeout: time limit, seconds.
        :param limit: longest line, bytes.
        :returns: the line with its terminator; an unterminated last line as it
            is; empty after the end of the body.
        :raises OSError: if the body is truncated or times out.
        """
        try:
            return self._reader.read_line(_set_deadline(timeout), limit)
        except EndlessAnswerError as error:
            raise self.cut(error.limit) from error

    def take_line(self) -> bytes:
        """Take the next line of the response body if it was received.

        :returns: the line with its terminator, empty if it is incomplete.
        """
        return self._reader.take_line()

    def read(self, timeout: float, limit: int = MAX_CALL_BODY_BYTES) -> bytes:
        """Read the rest of the response body.

        :param timeout: time limit, seconds; up to twice as long for a long
            body that arrives fast enough.
        :param limit: longest body, bytes.
        :returns: the bytes.
        :raises OSError: if the body is truncated or times out.
        """
        try:
            return self._reader.read_body(
                _set_deadline(timeout), timeout, limit
            )
        except EndlessAnswerError as error:
            raise self.cut(error.limit) from error

    def read_part(self, deadline: float) -> bytes:
        """Read the next part of the response body.

        :param deadline: until when to wait, monotonic clock, seconds.
        :returns: the bytes that have arrived; empty after the end of the body.
        :raises OSError: if the body is truncated or times out.
        """
        try:
            return self._reader.read_part(deadline)
        except EndlessAnswerError as error:
            raise self.cut(error.limit) from error

    def cut(self, limit: ReadLimit) -> EndlessAnswerError:
        """Reset the connection because the response exceeds a limit.

        :param limit: the limit.
        :returns: the error to raise.
        """
        self._reader.take_body()
        self.abort()
        self._pool.record_endless(self._address, limit)
        return EndlessAnswerError(limit)

    def abort(self) -> None:
        """Reset the connection, even while another greenlet reads from it.

        Data that was written and not yet delivered is discarded. Otherwise a
        request delayed by a network partition could still arrive: one reached
        an upstream 6 s later, which ran it although its caller had gone.
        """
        self._is_unusable = True
        try:
            self._sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                RESET_ON_CLOSE,
            )
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer closed the connection first; the reader fails as well.
            return

    def close(self) -> None:
        """Return the connection to the pool if it can be reused, or close it."""
        if self._is_closed:
            return
        self._is_closed = True
        is_clean = not (
            self._is_unusable
            or self._reader.is_broken
            or self._parser.is_foreign
            or self.skipped
        )
        if is_clean and not self._parser.should_close():
            self._pool.keep(self._address, self._sock, self._carried)
        else:
            self._sock.close()

    def _record_drop(self) -> None:
        """Report a reused connection that failed before any response."""
        has_no_head = not self._parser.headers_complete
        is_unusable = self._is_unusable or self._reader.is_broken
        if self._idle_seconds and has_no_head and not is_unusable:
            self._pool.record_drop(self._address, self._idle_seconds)


def _set_deadline(timeout: float) -> float:
    return time.monotonic() + max(timeout, MIN_TIMEOUT_SECONDS)


def make_request(
    method: str,
    target: str,
    headers: Iterator[tuple[str, str]] | list[tuple[str, str]],
    body: bytes = b'',
) -> bytes:
    """Encode an HTTP/1.1 request.

    :param method: HTTP method.
    :param target: path with query, still percent-encoded.
    :param headers: names and values; ``Content-Length`` is added.
    :param body: complete body.
    :returns: the encoded request.
    """
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def watch_close(sock: Any, on_close: Any) -> gevent.Greenlet[..., None]:
    """Start a greenlet that calls back when the peer closes a connection.

    :param sock: the connection; no data is consumed.
    :param on_close: called once.
    :returns: the greenlet, which the caller ends.
    """
    return gevent.spawn(_watch_close, sock, on_close)


def _watch_close(sock: Any, on_close: Any) -> None:
    try:
        green.wait_read(sock.fileno())
        is_closed = not sock.recv(1, socket.MSG_PEEK)
        # Unread data hides the close from a read.
        while not is_closed:
            gevent.sleep(CLOSE_CHECK_SECONDS)
            is_closed = _is_closed_by_peer(sock)
    except OSError:
        is_closed = True
    if is_closed:
        on_close()


def _is_closed_by_peer(sock: Any) -> bool:
    if sock.fileno() < 0:
        return True
    poll = _make_poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
