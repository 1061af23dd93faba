"""A stream for log lines on which nothing ever waits."""

from __future__ import annotations

import os
from collections import deque
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Signal
from gevent.socket import wait_write

if TYPE_CHECKING:
    from typing import TextIO

# About a second of lines under load; what comes beyond is counted.
MOST_LINES = 2000
MOST_BYTES_AT_ONCE = 65_536
RETRY_SECONDS = 0.5


class LineSink:
    """Takes lines at once and writes them when the stream takes them."""

    def __init__(self, stream: TextIO) -> None:
        """Write to the stream's descriptor, without ever blocking on it."""
        self.dropped = 0
        self._descriptor = stream.fileno()
        self._lines: deque[bytes] = deque()
        self._rest = b''
        self._wanted = Signal()
        self._is_broken = False
        os.set_blocking(self._descriptor, False)
        gevent.spawn(self._run_always)

    def write(self, text: str) -> int:
        """Take a line, or count it where too many wait.

        :param text: the line with its end.
        :returns: characters that were taken.
        """
        if len(self._lines) >= MOST_LINES:
            self.dropped += 1
            return 0
        self._lines.append(text.encode())
        self._wanted.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines go out as the stream takes them."""

    def drain(self) -> None:
        """Write what the stream takes right now, before the process ends."""
        is_taken = True
        while is_taken and self._has_lines:
            is_taken = self._write_some()

    def _run_always(self) -> None:
        # Not a loop that logs its faults: it is what logs are written by.
        while not self._is_broken:
            self._run()

    def _run(self) -> None:
        self._wanted.wait()
        if not self._write_some():
            self._wait()
        elif not self._has_lines:
            self._wanted.clear()

    @property
    def _has_lines(self) -> bool:
        return bool(self._rest or self._lines)

    def _wait(self) -> None:
        try:
            wait_write(self._descriptor, timeout=RETRY_SECONDS)
        except TimeoutError:
            # Nobody reads; lines are counted until somebody does.
            return

    def _write_some(self) -> bool:
        """Write some lines; false where the stream is full."""
        while self._lines and len(self._rest) < MOST_BYTES_AT_ONCE:
            self._rest += self._lines.popleft()
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody will ever read again.
            self._is_broken = True
            return False
        self._rest = self._rest[written:]
        return True
