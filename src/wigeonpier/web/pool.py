"""Pool of persistent HTTP connections to other processes, by address."""

from __future__ import annotations

import socket
import time
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from gevent import socket as green
from result import Err, Ok, Result

from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.client import CallFailure, Reply
from wigeonpier.web.exchange import Exchange
from wigeonpier.web.readlimits import (
    MAX_CALL_BODY_BYTES,
    MAX_CALL_BODY_SECONDS,
    ReadLimit,
)

if TYPE_CHECKING:
    from collections import deque
    from collections.abc import Callable

# Healthy connections within a region are established in a few ms.
CONNECT_SECONDS = 0.4
# Lower bound for callers whose deadline has just passed; a negative timeout
# is invalid.
MIN_CONNECT_SECONDS = 0.001
# The kernel detects an unresponsive peer after IDLE + INTERVAL * COUNT
# seconds, so that a long-running watch notices a dead connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_COUNT = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2500
# Upstreams close idle connections; connections that were idle longer than
# this are not reused.
MAX_IDLE_SECONDS = 4.0
MAX_IDLE_CONNECTIONS = 32
# A peer that dropped an idle connection drops others as well. Connections to
# it are reused only up to this share of the idle time at which it did.
DROP_IDLE_SHARE = 0.5
# The limit applies for a while only: such a peer was restarted or is faulty
# for some seconds.
DROP_RETENTION_SECONDS = 15.0


class Listening(StrEnum):
    """Outcome of opening a connection to an address."""

    accepted = 'accepted'
    refused = 'refused'
    unanswered = 'unanswered'


@dataclass(frozen=True, slots=True)
class _IdleLimit:
    """Temporary limit of the idle time of connections to an address.

    :param max_idle_seconds: longest idle time of a reused connection, seconds.
    :param until: when the limit expires, monotonic clock, seconds.
    """

    max_idle_seconds: float
    until: float


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """A connection that may be reused.

    :param sock: the connection.
    :param since: when it became idle, monotonic clock, seconds.
    :param carried: ids of the last requests that were sent on it.
    """

    sock: Any
    since: float
    carried: deque[str] | None


def _ignore_limit(_limit: ReadLimit) -> None:
    """Do nothing; default callback of a pool."""


def _ignore_exchange(_exchange: Exchange) -> None:
    """Do nothing; default callback of :meth:`ConnectionPool.call`."""


class ConnectionPool:
    """Persistent connections to other processes, by address.

    Only connections without unread data or errors are reused.
    """

    def __init__(self) -> None:
        """Create an empty pool."""
        self._idle: defaultdict[str, list[_IdleConnection]] = defaultdict(list)
        self._idle_limits: dict[str, _IdleLimit] = {}
        self.opened = 0
        # Called with the limit that a response exceeds.
        self.on_endless: Callable[[ReadLimit], object] = _ignore_limit

    def exchange(
        self,
        address: str,
        raw: bytes,
        timeout: float,
    ) -> Result[Exchange, CallFailure]:
        """Send a request once and read the head of the response.

        :param address: ``host:port``.
        :param raw: the encoded request.
        :param timeout: time limit of the head and of the body, seconds.
        :returns: the exchange; ``not_sent`` only if nothing was sent.
        """
        opened = self.begin(address, timeout)
        if isinstance(opened, Err):
            return opened
        current = opened.ok_value
        try:
            current.send(raw, timeout)
        except OSError:
            current.abort()
            current.close()
            return Err(CallFailure.lost)
        return Ok(current)

    def begin(
        self,
        address: str,
        timeout: float,
        max_idle_seconds: float = MAX_IDLE_SECONDS,
        identity: str = '',
    ) -> Result[Exchange, CallFailure]:
        """Reuse or open a connection without sending anything.

        :param address: ``host:port``.
        :param timeout: connect timeout, seconds.
        :param max_idle_seconds: idle connections older than this are not
            reused; for requests that cannot be resent if the connection
            breaks.
        :param identity: id of the request, empty if it has none; a connection
            that carried it lately is not reused, since a late response to the
            earlier send has the same id.
        :returns: the exchange, or ``not_sent`` if no connection could be
            established.
        """
        idle = self._take_idle(address, max_idle_seconds, identity)
        if idle is not None:
            idle_seconds = time.monotonic() - idle.since
            return Ok(
                Exchange(self, address, idle.sock, idle_seconds, idle.carried)
            )
        try:
            sock = _connect(
                address,
                max(MIN_CONNECT_SECONDS, min(timeout, CONNECT_SECONDS)),
            )
        except OSError:
            return Err(CallFailure.not_sent)
        self.opened += 1
        return Ok(Exchange(self, address, sock))

    def call(
        self,
        address: str,
        raw: bytes,
        timeout: float,
        on_open: Callable[[Exchange], object] = _ignore_exchange,
        limit: int = MAX_CALL_BODY_BYTES,
    ) -> Result[Reply, CallFailure]:
        """Send a request once and read the complete response.

        :param address: ``host:port``.
        :param raw: the encoded request.
        :param timeout: time limit of the head, and of the body within that of
            calls, seconds; a long body that arrives fast enough may take twice
            as long.
        :param on_open: called with the exchange before the request is sent,
            so that the caller can abort it from another greenlet.
        :param limit: longest body, bytes.
        :returns: the response.
        """
        opened = self.begin(address, timeout)
        if isinstance(opened, Err):
            return opened
        current = opened.ok_value
        on_open(current)
        body_timeout = min(timeout, MAX_CALL_BODY_SECONDS)
        try:
            current.send(raw, timeout)
            body = current.read(body_timeout, limit)
            return Ok(Reply(current.status, body))
        except OSError:
            current.abort()
            return Err(CallFailure.lost)
        finally:
            current.close()

    def find_listener(self, address: str, timeout: float) -> Listening:
        """Check whether a process listens on an address.

        :param address: ``host:port``.
        :param timeout: connect timeout, seconds.
        :returns: the outcome; an accepted connection is added to the pool.
        """
        try:
            sock = _connect(address, timeout)
        except ConnectionRefusedError:
            return Listening.refused
        except OSError:
            return Listening.unanswered
        self.opened += 1
        self.keep(address, sock)
        return Listening.accepted

    def keep(
        self, address: str, sock: Any, carried: deque[str] | None = None
    ) -> None:
        """Return a connection to the pool for reuse.

        :param address: ``host:port``.
        :param sock: the connection.
        :param carried: ids of the last requests that were sent on it.
        """
        idle = self._idle[address]
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            sock.close()
        else:
            idle.append(_IdleConnection(sock, time.monotonic(), carried))

    def forget(self, address: str) -> None:
        """Close the idle connections to an address.

        :param address: ``host:port``.
        """
        for idle in self._idle.pop(address, []):
            idle.sock.close()

    def record_drop(self, address: str, idle_seconds: float) -> None:
        """Limit the idle time for a peer that dropped an idle connection.

        :param address: ``host:port``.
        :param idle_seconds: how long the connection had been idle.
        """
        self.forget(address)
        self._idle_limits[address] = _IdleLimit(
            idle_seconds * DROP_IDLE_SHARE,
            time.monotonic() + DROP_RETENTION_SECONDS,
        )
        log_event(
            Event.connection_dropped,
            address=address,
            rested=round(idle_seconds, 3),
        )

    def record_endless(self, address: str, limit: ReadLimit) -> None:
        """Log and count a response that exceeds a limit.

        :param address: ``host:port`` of the peer.
        :param limit: the limit.
        """
        log_event(Event.answer_endless, address=address, limit=limit.value)
        self.on_endless(limit)

    def _get_max_idle(self, address: str) -> float:
        idle_limit = self._idle_limits.get(address)
        if idle_limit is None:
            return MAX_IDLE_SECONDS
        if idle_limit.until < time.monotonic():
            self._idle_limits.pop(address)
            return MAX_IDLE_SECONDS
        return idle_limit.max_idle_seconds

    def _take_idle(
        self,
        address: str,
        max_idle_seconds: float,
        identity: str,
    ) -> _IdleConnection | None:
        limit = min(max_idle_seconds, self._get_max_idle(address))
        kept = self._idle[address]
        for position in reversed(range(len(kept))):
            idle = kept[position]
            if identity and idle.carried and identity in idle.carried:
                continue
            kept.pop(position)
            idle_seconds = time.monotonic() - idle.since
            if idle_seconds < limit and not _has_pending_data(idle.sock):
                return idle
            idle.sock.close()
        return None


def _connect(address: str, timeout: float) -> Any:
    host, _, port = address.rpartition(':')
    sock = green.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_options(sock)
        sock.settimeout(timeout)
        sock.connect((host, int(port)))
    except (ValueError, OverflowError) as error:
        sock.close()
        raise OSError(f'{address!r} is no address') from error
    except OSError:
        sock.close()
        raise
    return sock


def _set_options(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)


def _has_pending_data(sock: Any) -> bool:
    """Check whether an idle connection has unread data or was closed."""
    # select() is not used: it does not support descriptors above 1,023.
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)  # noqa: SLF001, WPS437
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
