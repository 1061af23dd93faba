"""Connections on which a peer has limited time and bytes for an answer.

A peer may send bytes without end, or a few bytes at a time: a limit of the
time without any byte is never reached then.
"""

from __future__ import annotations

import time
from typing import Any

import gevent
from gevent import socket as green
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPParseError,
    HTTPResponse,
    HTTPSocketPoolResponse,
)

from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.readlimits import MAX_BYTES_IN_A_ROW
from wigeonpier.web.responseparser import FIRST_FINAL_STATUS

CONNECT_SECONDS = 1.0
MAX_CONNECTIONS = 2048
# Servers close idle connections; a request could be lost on one that closes.
MAX_IDLE_SECONDS = 10.0
MIN_TIMEOUT_SECONDS = 0.001
MAX_HEAD_BYTES = 65_536
NO_LIMIT = float('inf')
PART_BYTES = 65_536
# A body that arrives at this rate is not cut.
MIN_BYTES_PER_SECOND = 1_000_000


class AnswerLimitError(OSError):
    """The peer sent more bytes than an answer may have."""


class BoundedSocket(green.socket):
    """Connection that limits how long and how much the peer may send.

    Only time spent waiting for the peer counts, so that a reader may pause.
    """

    def __init__(self, *details: Any) -> None:
        """Create a connection without limits."""
        super().__init__(*details)
        self.idle_since = time.monotonic()
        self._seconds_left = NO_LIMIT
        self._bytes_left = NO_LIMIT
        self._has_received = False
        self._extra_seconds = NO_LIMIT
        self._bytes_in_a_row = 0

    def set_limits(
        self, seconds: float, size: int, extra: float = NO_LIMIT
    ) -> None:
        """Limit what the peer may take and send from now on.

        :param seconds: time to wait for it in total, without the time that
            the bytes need at the minimum rate.
        :param size: bytes.
        :param extra: most that the bytes may add to the time, seconds.
        """
        self._seconds_left = seconds
        self._bytes_left = size
        self._extra_seconds = extra
        self._has_received = False

    def recv(self, *details: Any) -> bytes:
        """Receive bytes within the limits.

        :param details: see :meth:`socket.socket.recv`.
        :returns: the bytes.
        :raises AnswerLimitError: if the peer has sent too much.
        """
        if self._bytes_left <= 0:
            self._log_cut('too many bytes')
            raise AnswerLimitError('the peer sends too many bytes')
        self._let_others_run()
        self._apply_timeout()
        started = time.monotonic()
        try:
            received: bytes = super().recv(*details)
        except TimeoutError:
            if self._has_received:
                self._log_cut('too slow')
            raise
        size = len(received)
        self._has_received = True
        self._bytes_left -= size
        self._seconds_left -= time.monotonic() - started
        extra = min(self._extra_seconds, size / MIN_BYTES_PER_SECOND)
        self._extra_seconds -= extra
        self._seconds_left += extra
        self._bytes_in_a_row += size
        return received

    def sendall(self, *details: Any) -> None:
        """Send bytes within the limit of time.

        :param details: see :meth:`socket.socket.sendall`.
        """
        self._apply_timeout()
        started = time.monotonic()
        super().sendall(*details)
        self._seconds_left -= time.monotonic() - started

    def _let_others_run(self) -> None:
        # A socket that has data does not wait.
        if self._bytes_in_a_row > MAX_BYTES_IN_A_ROW:
            self._bytes_in_a_row = 0
            gevent.sleep(0)

    def _apply_timeout(self) -> None:
        if self._seconds_left <= 0:
            self._log_cut('too slow')
            raise TimeoutError('the peer takes too long')
        if self._seconds_left != NO_LIMIT:
            self.settimeout(max(self._seconds_left, MIN_TIMEOUT_SECONDS))

    def _log_cut(self, problem: str) -> None:
        address = ':'.join(map(str, self.getpeername()[:2]))
        log_event(Event.peer_cut_off, address=address, problem=problem)


class BoundedPool(ConnectionPool):  # type: ignore[misc]
    """Connections to one address."""

    def __init__(self, address: str, *, is_reusing: bool) -> None:
        """Create an empty pool.

        :param address: ``host:port``.
        :param is_reusing: whether a connection may carry several requests.
        """
        host, _, port = address.rpartition(':')
        super().__init__(
            host,
            int(port),
            host,
            int(port),
            size=MAX_CONNECTIONS,
            connection_timeout=CONNECT_SECONDS,
        )
        self._is_reusing = is_reusing

    def return_socket(self, sock: BoundedSocket) -> None:
        """Keep a connection for the next request, or close it.

        :param sock: the connection.
        """
        if self._is_reusing:
            sock.idle_since = time.monotonic()
            super().return_socket(sock)
        else:
            self.release_socket(sock)

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> BoundedSocket:
        return BoundedSocket(family, socktype, protocol)

    def _is_socket_alive(self, sock: BoundedSocket) -> bool:
        idle_seconds = time.monotonic() - sock.idle_since
        if idle_seconds > MAX_IDLE_SECONDS:
            return False
        return bool(super()._is_socket_alive(sock))


class BoundedResponse(HTTPSocketPoolResponse):  # type: ignore[misc]
    """A response; bytes that follow it are no part of it.

    The connection goes back to its pool only after all bytes that arrived with
    the end of the response were seen.
    """

    def __init__(
        self, sock: BoundedSocket, pool: ConnectionPool, method: str
    ) -> None:
        """Read the head of the response.

        :param sock: the connection, on which the request was sent.
        :param pool: receives the connection back.
        :param method: method of the request.
        """
        self.is_unusable = False
        super().__init__(sock, pool, method=method)

    def set_limits(
        self, seconds: float, size: int, extra: float = NO_LIMIT
    ) -> None:
        """Limit the rest of the response, or the next part of it.

        :param seconds: time to wait for it in total.
        :param size: bytes, including the framing.
        :param extra: most that the bytes may add to the time, seconds.
        """
        if isinstance(self._sock, BoundedSocket):
            self._sock.set_limits(seconds, size, extra)

    def read_part(self) -> bytes:
        """Read the next part of the body.

        :returns: the bytes that have arrived; empty after the end of the body.
        :raises OSError: if the connection is lost before the end, or a limit
            is exceeded.
        """
        while not (self._body_buffer or self.message_complete):
            if self._sock is None:
                raise ConnectionResetError('the response is closed')
            self.feed(self._sock.recv(PART_BYTES))
        part = bytes(self._body_buffer)
        self._body_buffer.clear()
        return part

    def should_close(self) -> bool:
        """Check whether the connection must not be used again."""
        return self.is_unusable or super().should_close()

    def feed(self, data: str | bytes) -> None:
        """Parse bytes of the response.

        :param data: the bytes.
        :raises HTTPParseError: if they are no response.
        """
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._is_over:
                raise
            self.is_unusable = True

    def drop(self) -> None:
        """Close the connection, whatever was received."""
        self.is_unusable = True
        self.release()

    @property
    def _is_over(self) -> bool:
        return bool(
            self.message_complete and self.get_code() >= FIRST_FINAL_STATUS
        )

    def _on_message_begin(self) -> None:
        if self._is_over:
            raise HTTPParseError('bytes after a complete response')
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        # That of the library returns the connection before it has parsed the
        # bytes that follow.
        HTTPResponse._on_message_complete(self)  # noqa: SLF001, WPS437
