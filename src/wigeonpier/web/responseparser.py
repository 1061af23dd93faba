"""Parses one response, and skips responses to other requests before it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

from geventhttpclient.response import HTTPParseError, HTTPResponse

from wigeonpier.web.joinedheads import is_joined

if TYPE_CHECKING:
    from collections.abc import Callable

FIRST_FINAL_STATUS = 200
# An upstream that sends more foreign responses in a row is not waited for.
MAX_SKIPPED_RESPONSES = 4


class ResponseHead(Protocol):
    """Status and headers of a response."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""

    def get_header(self, name: str) -> str:
        """Read one header, empty if it is absent or repeated."""


def _accept_any(_head: ResponseHead) -> bool:
    """Accept a response; the default check."""
    return True


class ResponseParser(HTTPResponse):  # type: ignore[misc]
    """Parses one response and rejects any bytes that follow it.

    A complete response to another request may precede it.
    """

    def __init__(self) -> None:
        """Parse from the first byte that follows a request."""
        super().__init__()
        self.is_own: Callable[[ResponseHead], bool] = _accept_any
        self.skipped = 0
        self.is_foreign = False
        self.may_skip = False
        self.body_bytes = 0
        self.skipped_bytes = 0
        # Start of an incomplete head, monotonic clock, seconds; else 0.
        self.head_began_at: float = 0
        self._phrase = ''

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return int(self.get_code())

    @property
    def is_over(self) -> bool:
        """Check whether no further response is expected."""
        return bool(self.message_complete) and not self.may_skip

    @property
    def has_head(self) -> bool:
        """Check whether the head of the final, own response is complete."""
        return bool(
            self.headers_complete
            and self.status >= FIRST_FINAL_STATUS
            and not self.may_skip
        )

    def get_header(self, name: str) -> str:
        """Read one header, empty if it is absent or repeated."""
        value = self.get(name)
        return value if isinstance(value, str) else ''

    def _on_headers_complete(self) -> int | bool | None:
        has_no_body = super()._on_headers_complete()
        self.head_began_at = 0
        if is_joined(self._phrase, self.items()):
            raise HTTPParseError('a response begins inside another one')
        if self.status >= FIRST_FINAL_STATUS:
            self.is_foreign = not self.is_own(self)
            # Nothing follows a response that ends with its connection.
            self.may_skip = (
                self.is_foreign
                and self.skipped < MAX_SKIPPED_RESPONSES
                and self.should_keep_alive()
            )
        return bool(has_no_body)

    def _on_status(self, part: str) -> None:
        # Comes in parts if it arrives in parts.
        self._phrase += part

    def _on_message_begin(self) -> None:
        self._phrase = ''
        is_complete = self.message_complete and self.headers_complete
        if is_complete and self.status >= FIRST_FINAL_STATUS:
            if not self.may_skip:
                raise HTTPParseError('bytes after a complete response')
            self.skipped += 1
            self.may_skip = False
        self.head_began_at = time.monotonic()
        super()._on_message_begin()

    def _on_body(self, part: bytes) -> None:
        if self.may_skip:
            self.skipped_bytes += len(part)
        else:
            self.body_bytes += len(part)
            super()._on_body(part)
