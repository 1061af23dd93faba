"""A non-blocking stream for log lines."""

from __future__ import annotations

import os
from collections import deque
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Signal
from gevent.socket import wait_write

if TYPE_CHECKING:
    from typing import TextIO

# About one second of log lines under load; lines beyond are dropped and
# counted.
MAX_QUEUED_LINES = 2000
MAX_WRITE_BYTES = 65_536
RETRY_SECONDS = 0.5


class LineSink:
    """Queues lines and writes them as soon as the stream is writable."""

    def __init__(self, stream: TextIO) -> None:
        """Set the descriptor of the stream to non-blocking and write to it."""
        self.dropped = 0
        self._descriptor = stream.fileno()
        self._lines: deque[bytes] = deque()
        self._unwritten = b''
        self._lines_added = Signal()
        self._is_broken = False
        os.set_blocking(self._descriptor, False)
        gevent.spawn(self._run_until_broken)

    def write(self, text: str) -> int:
        """Queue a line, or drop and count it if the queue is full.

        :param text: the line with its terminator.
        :returns: number of characters accepted.
        """
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return 0
        self._lines.append(text.encode())
        self._lines_added.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines are written as soon as the stream is writable."""

    def drain(self) -> None:
        """Write what the stream accepts without blocking, before the exit."""
        is_writable = True
        while is_writable and self._has_lines:
            is_writable = self._write_some()

    def _run_until_broken(self) -> None:
        # spawn_loop is not used: it logs errors, and logs are written here.
        while not self._is_broken:
            self._run()

    def _run(self) -> None:
        self._lines_added.wait()
        if not self._write_some():
            self._wait_until_writable()
        elif not self._has_lines:
            self._lines_added.clear()

    @property
    def _has_lines(self) -> bool:
        return bool(self._unwritten or self._lines)

    def _wait_until_writable(self) -> None:
        try:
            wait_write(self._descriptor, timeout=RETRY_SECONDS)
        except TimeoutError:
            # The reader is stalled; new lines are dropped and counted.
            return

    def _write_some(self) -> bool:
        """Write some lines; return whether the stream accepted data."""
        while self._lines and len(self._unwritten) < MAX_WRITE_BYTES:
            self._unwritten += self._lines.popleft()
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # The stream is closed or broken; nothing can be written again.
            self._is_broken = True
            return False
        self._unwritten = self._unwritten[written:]
        return True
