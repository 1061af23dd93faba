"""Reads complete events from an upstream's event stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wigeonpier.web.exchange import Exchange

IDENTITY = b'id:'
DATA = b'data:'
BLANK = frozenset((b'\n', b'\r\n'))


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    :param raw: its bytes, including the blank line that ends it.
    :param identity: its id, empty where it has none.
    """

    raw: bytes
    identity: str

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

    @property
    def is_cut_off(self) -> bool:
        """Check whether the stream ended with its connection, without events.

        An upstream that crashes before its first event closes the connection
        like one that ends a response without a length.
        """
        return self._answer.is_unframed and not self._has_events

    def read(self, timeout: float) -> StreamEvent | None:
        """Read the next event.

        :param timeout: longest wait for a line, seconds.
        :returns: the event, ``None`` at the end of a complete stream.
        :raises OSError: if the stream is truncated, also within an event.
        """
        lines: list[bytes] = []
        while True:
            line = self._answer.read_line(timeout)
            if not line:
                if lines:
                    raise ConnectionResetError(
                        'the stream ended within an event'
                    )
                return None
            lines.append(line)
            if line in BLANK:
                self._has_events = True
                return _make_event(lines)


def _make_event(lines: list[bytes]) -> StreamEvent:
    identity = b''
    for line in lines:
        if line.startswith(IDENTITY):
            identity = line[len(IDENTITY) :].strip()
    return StreamEvent(b''.join(lines), identity.decode('latin-1'))
