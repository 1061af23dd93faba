"""Loopback TCP proxy that injects network faults into connections."""

from __future__ import annotations

import socket
import struct
from enum import StrEnum
from typing import Any

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection

READ_BYTES = 65_536
CHECK_SECONDS = 0.02
DELAY_SECONDS = 0.15
# Closing a socket with this linger option sends a reset.
NO_LINGER = struct.pack('ii', 1, 0)


class ProxyFault(StrEnum):
    """Fault that applies to all connections of the proxy."""

    none = 'none'
    delayed = 'delayed'
    silent = 'silent'
    one_way = 'one_way'


class HarmingProxy:
    """Forwards bytes between callers and one target."""

    def __init__(self, target: str, host: str = '127.0.0.1') -> None:
        """Listen on a free port of a loopback address."""
        self.target = target
        self.fault = ProxyFault.none
        self._pairs: set[tuple[Any, Any]] = set()
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener."""
        host = self._server.server_host
        port = self._server.server_port
        return f'{host}:{port}'

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            for sock in pair:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                sock.close()

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self._server.stop()
        self.reset()

    def shut(self) -> None:
        """Refuse connections, as an address without a listener does."""
        self.stop()

    def reopen(self) -> None:
        """Listen again at the same address."""
        host, _colon, port = self.address.rpartition(':')
        self._server = StreamServer((host, int(port)), self._serve)
        self._server.start()

    def _serve(self, caller: Any, _address: Any) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            target = create_connection((host, int(port)))
        except OSError:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            caller.close()
            return
        pair = (caller, target)
        self._pairs.add(pair)
        directions = [
            gevent.spawn(self._forward, caller, target, is_response=False),
            gevent.spawn(self._forward, target, caller, is_response=True),
        ]
        gevent.joinall(directions, count=1)
        gevent.killall(directions)
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _forward(self, source: Any, sink: Any, *, is_response: bool) -> None:
        try:
            while content := source.recv(READ_BYTES):
                self._wait(is_response=is_response)
                sink.sendall(content)
        except OSError:
            # One side is closed; `_serve` closes the other one.
            return

    def _wait(self, *, is_response: bool) -> None:
        if self.fault is ProxyFault.delayed:
            gevent.sleep(DELAY_SECONDS)
        while self._is_blocked(is_response=is_response):
            gevent.sleep(CHECK_SECONDS)

    def _is_blocked(self, *, is_response: bool) -> bool:
        if self.fault is ProxyFault.silent:
            return True
        return is_response and self.fault is ProxyFault.one_way
