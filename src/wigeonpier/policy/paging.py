"""Decides how an uploaded file is divided into pages; a page is one chunk."""

from __future__ import annotations

SMALL_PAGES_END = 8
SMALL_PAGE_LINES = 32
MEDIUM_PAGES_END = 16
MEDIUM_PAGE_LINES = 128
FULL_PAGE_LINES = 1000
MAX_PAGE_BYTES = 16_000_000


def choose_page_size(index: int) -> int:
    """Choose the number of lines of a page.

    The length of a file is unknown while it arrives.  Small pages at the start
    spread a short job over many upstreams; full pages afterwards limit the
    writes for a long job.

    :param index: position of the page.
    :returns: lines.
    """
    if index < SMALL_PAGES_END:
        return SMALL_PAGE_LINES
    if index < MEDIUM_PAGES_END:
        return MEDIUM_PAGE_LINES
    return FULL_PAGE_LINES
