"""Limits of what is read from a peer, so that no read goes on without end."""

from __future__ import annotations

from enum import StrEnum

# The parser keeps all headers of a response.  The same limit holds for other
# bytes that carry no body: informational responses, extensions of chunks,
# trailers, and whatever separates responses.
MAX_FRAMING_BYTES = 131_072
# A response head fits in some packets; one of them may be lost twice.
MAX_HEAD_SECONDS = 3.5
# Bodies of responses that are skipped, together.
MAX_SKIPPED_BYTES = 1_048_576
# Some tokens and their probabilities take some KB, a report of an entry's
# customers some hundred.
MAX_EVENT_BYTES = 1_048_576
# Body of a response that is decoded as a whole; a page of results in base64
# takes some MB.
MAX_CALL_BODY_BYTES = 33_554_432
# A call may wait for its response, but not within it.
MAX_CALL_BODY_SECONDS = 10.0
# Body of a response that is read only to reuse the connection, or reports load.
MAX_SMALL_BODY_BYTES = 1_048_576
# A long body may arrive after the timeout of its call at this rate.
MIN_BODY_BYTES_PER_SECOND = 1_048_576
# Part of a body that is held before the response is passed on, so that a
# broken one can be answered with an error or requested elsewhere.
MAX_HELD_BYTES = 262_144
# Longest bodies that are passed on, with a declared length and without one.
MAX_DECLARED_BYTES = 1_073_741_824
MAX_UNDECLARED_BYTES = 67_108_864
# Bytes after which other greenlets run, as a socket with data does not wait.
MAX_BYTES_IN_A_ROW = 262_144


class ReadLimit(StrEnum):
    """Limits that a response may exceed; the values appear in the log."""

    head = 'head'
    framing = 'framing'
    foreign = 'foreign'
    event = 'event'
    body = 'body'
    time = 'time'


class BrokenAnswerError(OSError):
    """The response is truncated or is not valid HTTP."""


class EndlessAnswerError(BrokenAnswerError):
    """The response exceeds a limit."""

    def __init__(self, limit: ReadLimit) -> None:
        """Create the error.

        :param limit: what it exceeds.
        """
        super().__init__(f'the response exceeds a limit: {limit.value}')
        self.limit = limit


class ByteMeter:
    """Counts the bytes of a response that carry no body."""

    def __init__(self) -> None:
        """Start at the beginning of a response."""
        self._framing = 0
        self._body = 0
        self._skipped = 0

    def record(
        self, received: int, body: int, skipped: int
    ) -> ReadLimit | None:
        """Record a read.

        :param received: bytes of this read.
        :param body: bytes of the body so far.
        :param skipped: bytes of bodies that were skipped so far.
        :returns: the limit that is exceeded, ``None`` for none.
        """
        if body > self._body:
            self._framing = 0
        else:
            self._framing += received - (skipped - self._skipped)
        self._body = body
        self._skipped = skipped
        if skipped > MAX_SKIPPED_BYTES:
            return ReadLimit.foreign
        if self._framing <= MAX_FRAMING_BYTES:
            return None
        return ReadLimit.framing if body else ReadLimit.head
