"""Detects that one response begins inside the head of another one.

A peer may send part of an extra response and then the response that is due.
If the part ends inside a line, both lines are valid together, and the response
has the status or a header of the other one.
"""

from __future__ import annotations

import re
from itertools import chain
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

STATUS_LINE = re.compile(r'HTTP/\d\.\d \d{3}')


def is_joined(phrase: str, headers: Iterable[tuple[str, str]]) -> bool:
    """Check whether a head contains the status line of another response.

    :param phrase: reason phrase of its status line.
    :param headers: names and values of its headers.
    :returns: true if the head is not that of one response.
    """
    texts = chain((phrase,), (text for _name, text in headers))
    return any(STATUS_LINE.search(text) for text in texts)
