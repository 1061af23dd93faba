"""Reads complete events from an upstream's event stream."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from wigeonpier.web.readlimits import (
    MAX_EVENT_BYTES,
    MAX_FRAMING_BYTES,
    ReadLimit,
)

if TYPE_CHECKING:
    from wigeonpier.web.exchange import Exchange

IDENTITY = b'id:'
DATA = b'data:'
BLANK = frozenset((b'\n', b'\r\n'))
# Some ms of processor time.
MAX_LINES_IN_A_ROW = 256


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    :param raw: its bytes, including the blank line that ends it.
    :param identity: its id, empty where it has none.
    """

    raw: bytes
    identity: str

    @property
    def is_output(self) -> bool:
        """Check whether the upstream has produced anything with the event.

        One without id and data only keeps the connection open.
        """
        has_data = self.raw.startswith(DATA) or b'\n%b' % DATA in self.raw
        return bool(self.identity) or has_data

    @property
    def text(self) -> str:
        """Data of the event, lines separated by line feeds.

        Decoded on access, since an event that is only passed on need not be
        text.

        :raises UnicodeDecodeError: if the data is not UTF-8.
        """
        data_lines = [
            line[len(DATA) :].removeprefix(b' ').removesuffix(b'\r')
            for line in self.raw.split(b'\n')
            if line.startswith(DATA)
        ]
        return b'\n'.join(data_lines).decode()


class EventReader:
    """Reads complete events from an answer."""

    def __init__(self, answer: Exchange) -> None:
        """Read from the current position of the answer's body."""
        self._answer = answer
        self._has_events = False
        # Of events without id and data, since the last other one.
        self._empty_bytes = 0
        self._empty_deadline: float = 0
        self._lines_in_a_row = 0

    @property
    def is_cut_off(self) -> bool:
        """Check whether the stream ended with its connection, without events.

        An upstream that crashes before its first event closes the connection
        like one that ends a response without a length.
        """
        return self._answer.is_unframed and not self._has_events

    def read(self, timeout: float) -> StreamEvent | None:
        """Read the next event.

        :param timeout: time limit, seconds; events without id and data do not
            extend it.
        :returns: the event, ``None`` at the end of a complete stream.
        :raises OSError: if the stream is truncated or times out, also within
            an event.
        """
        deadline = self._empty_deadline or time.monotonic() + timeout
        raw = bytearray()
        identity = b''
        while True:
            line = self._read_line(
                deadline, MAX_EVENT_BYTES - len(raw), bool(raw)
            )
            if not line:
                if raw:
                    raise ConnectionResetError(
                        'the stream ended within an event'
                    )
                return None
            raw += line
            if line.startswith(IDENTITY):
                identity = line[len(IDENTITY) :].strip()
            if line in BLANK:
                event = StreamEvent(bytes(raw), identity.decode('latin-1'))
                self._record(event, deadline)
                return event

    def _read_line(self, deadline: float, left: int, has_begun: bool) -> bytes:  # noqa: FBT001
        """Read the next line of an event.

        :param deadline: until when to wait, monotonic clock, seconds.
        :param left: longest line, bytes.
        :param has_begun: whether a line of the event was read.
        """
        line = self._answer.take_line()
        if line:
            self._let_others_run()
            return line
        if left < 0:
            raise self._answer.cut(ReadLimit.event)
        seconds = deadline - time.monotonic()
        if seconds < 0 and (has_begun or self._empty_bytes > 0):
            # Each read waits for a moment, which a peer could extend.
            raise TimeoutError('timed out within an event')
        return self._answer.read_line(seconds, left)

    def _let_others_run(self) -> None:
        # Lines that were received already are read without waiting.
        self._lines_in_a_row += 1
        if self._lines_in_a_row >= MAX_LINES_IN_A_ROW:
            self._lines_in_a_row = 0
            gevent.sleep(0)

    def _record(self, event: StreamEvent, deadline: float) -> None:
        if event.is_output:
            self._has_events = True
            self._empty_bytes = 0
            self._empty_deadline = 0
        else:
            self._empty_bytes += len(event.raw)
            self._empty_deadline = deadline
            if self._empty_bytes > MAX_FRAMING_BYTES:
                raise self._answer.cut(ReadLimit.event)
