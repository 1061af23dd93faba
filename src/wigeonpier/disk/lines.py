"""Lines of a file, each with a checksum, so that a torn tail is known."""

from __future__ import annotations

from crc32c import crc32c

CHECKSUM_DIGITS = 8
_HEAD = CHECKSUM_DIGITS + 1
_NEW_LINE = b'\n'


def frame_line(body: bytes) -> bytes:
    """Make a line.

    :param body: what it holds, without line feeds.
    :returns: checksum, blank, body, end of line.
    """
    return b'%08x %b\n' % (crc32c(body), body)


def open_line(line: bytes) -> bytes:
    """Take a sound line apart.

    :param line: the line, without its end.
    :returns: what it holds.
    """
    return line[_HEAD:]


def measure_sound_part(content: bytes) -> int:
    """Find where a journal's sound lines end.

    :param content: bytes of a segment, its tail perhaps torn.
    :returns: how many bytes from the start are whole, unharmed lines.
    """
    position = 0
    while True:
        end = content.find(_NEW_LINE, position)
        if end < 0 or not _is_sound(content[position:end]):
            return position
        position = end + 1


def _is_sound(line: bytes) -> bool:
    head, _, body = line.partition(b' ')
    return len(head) == CHECKSUM_DIGITS and head == b'%08x' % crc32c(body)
