"""Reads one response from a connection, within limits of time and bytes."""

from __future__ import annotations

import time
from typing import Any

import gevent
from geventhttpclient.response import HTTPParseError

from wigeonpier.web.readlimits import (
    MAX_BYTES_IN_A_ROW,
    MAX_HEAD_SECONDS,
    MIN_BODY_BYTES_PER_SECOND,
    BrokenAnswerError,
    ByteMeter,
    EndlessAnswerError,
    ReadLimit,
)
from wigeonpier.web.responseparser import ResponseParser

READ_BYTES = 16_384


class ResponseReader:
    """Reads one response.  Each deadline is a time of the monotonic clock."""

    def __init__(self, sock: Any) -> None:
        """Read from a connection on which no response has begun."""
        self.parser = ResponseParser()
        self.is_broken = False
        self.is_closed_by_peer = False
        self._sock = sock
        self._meter = ByteMeter()
        self._bytes_in_a_row = 0

    @property
    def is_whole(self) -> bool:
        """Check whether the response is complete according to its framing."""
        return bool(self.parser.message_complete)

    def read_head(
        self, deadline: float, head_seconds: float = MAX_HEAD_SECONDS
    ) -> None:
        """Read the head; may be repeated after a timeout.

        :param deadline: until when to wait, seconds.
        :param head_seconds: time limit of a head that has begun.
        :raises OSError: if the connection is lost or times out.
        """
        while not self.parser.has_head:
            began_at = self.parser.head_began_at
            head_deadline = began_at + head_seconds
            if began_at and head_deadline < deadline:
                self._receive(head_deadline, has_begun=True)
            else:
                self._receive(deadline)

    def read_line(self, deadline: float, limit: int) -> bytes:
        """Read one line of the body.

        :param deadline: until when to wait, seconds.
        :param limit: longest line, bytes.
        :returns: the line, as of :meth:`Exchange.read_line`.
        :raises OSError: if the body is truncated or times out.
        """
        buffer = self.parser._body_buffer  # noqa: SLF001, WPS437
        while True:
            line = self.take_line()
            if line:
                return line
            if self.is_whole:
                return self.take_body()
            if len(buffer) > limit:
                raise EndlessAnswerError(ReadLimit.event)
            self._receive(deadline)

    def take_line(self) -> bytes:
        """Take the next line of the body if it was received.

        :returns: the line with its terminator, empty if it is incomplete.
        """
        buffer = self.parser._body_buffer  # noqa: SLF001, WPS437
        end = buffer.find(b'\n') + 1
        if not end:
            return b''
        line = bytes(buffer[:end])
        del buffer[:end]  # noqa: WPS420
        return line

    def read_body(self, deadline: float, extra: float, limit: int) -> bytes:
        """Read the rest of the body.

        :param deadline: until when to wait, seconds.
        :param extra: how much later a long body may end that arrives fast
            enough, seconds.
        :param limit: longest body, bytes.
        :returns: the bytes.
        :raises OSError: if the body is truncated or times out.
        """
        buffer = self.parser._body_buffer  # noqa: SLF001, WPS437
        while not self.is_whole:
            allowance = min(extra, len(buffer) / MIN_BODY_BYTES_PER_SECOND)
            self._receive(deadline + allowance)
            if len(buffer) > limit:
                raise EndlessAnswerError(ReadLimit.body)
        return self.take_body()

    def read_part(self, deadline: float) -> bytes:
        """Read the next part of the body.

        :param deadline: until when to wait, seconds.
        :returns: the bytes that have arrived; empty after the end of the body.
        :raises OSError: if the body is truncated or times out.
        """
        while not (self.parser._body_buffer or self.is_whole):  # noqa: SLF001, WPS437
            self._receive(deadline)
        return self.take_body()

    def take_body(self) -> bytes:
        """Take the bytes of the body that were received.

        :returns: the bytes, which are no longer held.
        """
        buffer = self.parser._body_buffer  # noqa: SLF001, WPS437
        body = bytes(buffer)
        buffer.clear()
        return body

    def _receive(self, deadline: float, *, has_begun: bool = False) -> None:
        """Read what has arrived.

        :param deadline: until when to wait, seconds.
        :param has_begun: whether a part of what is read has arrived, so that
            the peer is not silent at the deadline.
        """
        try:
            received = self._receive_bytes(deadline)
        except TimeoutError:
            if has_begun:
                raise EndlessAnswerError(ReadLimit.time) from None
            raise
        self._feed(received)
        exceeded = self._meter.record(
            len(received), self.parser.body_bytes, self.parser.skipped_bytes
        )
        if exceeded is not None:
            raise EndlessAnswerError(exceeded)

    def _feed(self, received: bytes) -> None:
        was_complete = self.parser.is_over
        try:
            self.parser.feed(received)
        except HTTPParseError as error:
            self.is_broken = True
            if not self.parser.is_over:
                raise BrokenAnswerError(str(error)) from error
        if not received and not was_complete:
            self.is_closed_by_peer = True
            if not self.parser.is_over:
                raise BrokenAnswerError('the connection ended early')

    def _receive_bytes(self, deadline: float) -> bytes:
        seconds = deadline - time.monotonic()
        if seconds <= 0:
            raise TimeoutError('timed out')
        if self._bytes_in_a_row > MAX_BYTES_IN_A_ROW:
            self._bytes_in_a_row = 0
            gevent.sleep(0)
        self._sock.settimeout(seconds)
        received: bytes = self._sock.recv(READ_BYTES)
        self._bytes_in_a_row += len(received)
        return received
