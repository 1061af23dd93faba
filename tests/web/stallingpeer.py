"""A peer that pauses within its answers."""

from __future__ import annotations

from typing import Any

import gevent
from gevent.server import StreamServer


def start_stalling_peer(*parts: bytes, seconds: float) -> str:
    """Start a peer that answers with parts, and pauses between them.

    :param parts: the parts of the answer, after which the connection ends.
    :param seconds: length of each pause.
    :returns: its ``host:port``.
    """

    def serve(sock: Any, _address: object) -> None:
        sock.recv(65_536)
        sock.sendall(parts[0])
        for part in parts[1:]:
            gevent.sleep(seconds)
            sock.sendall(part)

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    return f'127.0.0.1:{server.server_port}'
