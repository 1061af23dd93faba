"""Decides how an uploaded file is cut into pages; a page is one chunk."""

from __future__ import annotations

FIRST_PAGES = 8
SMALL_PAGE = 32
MIDDLE_PAGES = 16
MIDDLE_PAGE = 128
FULL_PAGE = 1000
MOST_PAGE_BYTES = 16_000_000


def choose_page_size(index: int) -> int:
    """Choose how many lines a page takes.

    The length of a file is not known while it arrives.  Small pages at the
    start spread a short job over many upstreams; full pages afterwards keep
    the writes for a long job few.

    :param index: position of the page.
    :returns: lines.
    """
    if index < FIRST_PAGES:
        return SMALL_PAGE
    if index < MIDDLE_PAGES:
        return MIDDLE_PAGE
    return FULL_PAGE
