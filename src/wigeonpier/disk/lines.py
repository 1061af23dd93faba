"""Lines with a checksum each, so that a truncated tail is detected."""

from __future__ import annotations

from crc32c import crc32c

CHECKSUM_DIGITS = 8
_HEAD_BYTES = CHECKSUM_DIGITS + 1
_NEW_LINE = b'\n'


def frame_line(body: bytes) -> bytes:
    """Encode a line with its checksum.

    :param body: content, without line feeds.
    :returns: checksum, blank, body, line feed.
    """
    return b'%08x %b\n' % (crc32c(body), body)


def parse_line(line: bytes) -> bytes:
    """Extract the body of a valid line.

    :param line: the line, without its line feed.
    :returns: its body.
    """
    return line[_HEAD_BYTES:]


def measure_valid_prefix(content: bytes) -> int:
    """Measure the leading part of a journal that consists of valid lines.

    :param content: bytes of a segment, possibly with a truncated tail.
    :returns: bytes from the start that are complete lines with a correct
        checksum.
    """
    position = 0
    while True:
        end = content.find(_NEW_LINE, position)
        if end < 0 or not _is_valid(content[position:end]):
            return position
        position = end + 1


def _is_valid(line: bytes) -> bool:
    checksum, _, body = line.partition(b' ')
    return len(checksum) == CHECKSUM_DIGITS and checksum == b'%08x' % crc32c(
        body
    )
