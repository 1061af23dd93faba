"""A peer that answers each request with bytes without end."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from gevent.server import StreamServer

from wigeonpier.bench.endless import Endless, make_bytes, send_without_end

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass
class _CountingSocket:
    """Counts what is sent."""

    sock: Any
    sent: int = 0

    def sendall(self, part: bytes) -> None:
        """Send, and count."""
        self.sock.sendall(part)
        self.sent += len(part)


@dataclass
class EndlessPeer:
    """Sends without end until its caller closes."""

    kind: Endless
    is_trickle: bool = False
    headers: Mapping[str, str] = field(default_factory=dict)
    ended_at: list[float] = field(default_factory=list)
    sent: list[int] = field(default_factory=list)
    address: str = ''

    def __post_init__(self) -> None:
        """Listen."""
        server = StreamServer(('127.0.0.1', 0), self._serve)
        server.start()
        self.address = f'127.0.0.1:{server.server_port}'

    def _serve(self, sock: Any, _address: object) -> None:
        sock.recv(65_536)
        start, piece = make_bytes(self.kind, self.headers)
        counting = _CountingSocket(sock)
        try:
            send_without_end(counting, start, piece, is_trickle=self.is_trickle)
        except OSError:
            self.ended_at.append(time.monotonic())
            self.sent.append(counting.sent)
