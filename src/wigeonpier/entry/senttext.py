"""The part of a stream that its caller has, to resume the stream elsewhere."""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpier.web.sse import is_end_line, is_text_line

# A longer stream is relayed to its end, but cannot be resumed.
MAX_KEPT_BYTES = 4_194_304


@dataclass(slots=True)
class SentText:
    """Lines of a stream that were relayed.

    :param lines: the lines with text, none once they are too long to be kept.
    :param size: their bytes, also of those that are not kept.
    :param has_ended: whether the end mark was relayed.
    """

    lines: list[bytes] = field(default_factory=list)
    size: int = 0
    has_ended: bool = False

    @property
    def is_whole(self) -> bool:
        """Check whether all lines are kept."""
        return self.size <= MAX_KEPT_BYTES

    def record(self, line: bytes) -> None:
        """Record a line that is relayed.

        :param line: the line.
        """
        self.has_ended = self.has_ended or is_end_line(line)
        if not is_text_line(line):
            return
        self.size += len(line)
        if self.is_whole:
            self.lines.append(line)
        else:
            self.lines.clear()
