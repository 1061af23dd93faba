"""Engine on real sockets that answers with chosen bytes."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
from gevent.server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    Answer = Callable[[bytes, list[bytes]], Iterable[bytes]]

PAUSE_SECONDS = 0.01
REFUSAL = b'HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n'


def make_answer(body: bytes) -> bytes:
    """Make the complete answer to a request.

    :param body: body of the request, which the answer repeats.
    :returns: the encoded answer.
    """
    content = b'{"echo":"%b"}' % body
    head = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    return b'%bContent-Length: %d\r\n\r\n%b' % (head, len(content), content)


class RawEngine:
    """Answers each request with what a function of its body returns."""

    def __init__(self, answer: Answer) -> None:
        """Listen on a free port.

        :param answer: makes the parts to send, each in a segment of its own,
            from the body of a request and those of the earlier requests on
            the connection.
        """
        self.runs: Counter[bytes] = Counter()
        self._answer = answer
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
        reader = connection.makefile('rb')
        earlier: list[bytes] = []
        while (body := _read_request(reader)) is not None:
            self.runs[body] += 1
            for part in self._answer(body, earlier):
                connection.sendall(part)
                gevent.sleep(PAUSE_SECONDS)
            earlier.append(body)


def _read_request(reader) -> bytes | None:
    if not reader.readline():
        return None
    size = 0
    while (line := reader.readline().strip()) != b'':
        name, _, text = line.partition(b':')
        if name.lower() == b'content-length':
            size = int(text)
    return reader.read(size)
