"""Events of an upstream's stream, each taken whole or not at all."""

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

    :param raw: its bytes, with the blank line that ends it.
    :param identity: its id, empty where it has none.
    """

    raw: bytes
    identity: str

    @property
    def text(self) -> str:
        """Give its data, lines separated by line feeds.

        :raises UnicodeDecodeError: where it is no text; whoever only passes
            the event on need not know.
        """
        found = [
            line[len(DATA) :].removeprefix(b' ').removesuffix(b'\r')
            for line in self.raw.split(b'\n')
            if line.startswith(DATA)
        ]
        return b'\n'.join(found).decode()


class EventReader:
    """Reads whole events off an answer."""

    def __init__(self, answer: Exchange) -> None:
        """Read from where the answer's body stands."""
        self._answer = answer

    def read(self, patience: float) -> StreamEvent | None:
        """Read the next event.

        :param patience: longest silence, seconds.
        :returns: the event, ``None`` at the end of a whole stream.
        :raises OSError: when the stream breaks off, also within an event.
        """
        lines: list[bytes] = []
        while True:
            line = self._answer.read_line(patience)
            if not line:
                if lines:
                    raise ConnectionResetError('the last event is not whole')
                return None
            lines.append(line)
            if line in BLANK:
                return _make_event(lines)


def _make_event(lines: list[bytes]) -> StreamEvent:
    identity = b''
    for line in lines:
        if line.startswith(IDENTITY):
            identity = line[len(IDENTITY) :].strip()
    return StreamEvent(b''.join(lines), identity.decode('latin-1'))
