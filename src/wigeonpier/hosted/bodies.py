"""Reads the bodies of responses that are not streams of events.

The start of a body is held, so that a broken response can be answered with an
error or requested elsewhere.  The rest of a long one is passed on as it
arrives, no faster than the caller reads.
"""

from __future__ import annotations

import time
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from wigeonpier.hosted.failures import (
    BrokenStreamError,
    CallerGoneError,
    SendFailure,
    classify_disconnect,
)
from wigeonpier.platform import ingress
from wigeonpier.web.messages import EVENT_STREAM_TYPE, Response
from wigeonpier.web.readlimits import (
    MAX_DECLARED_BYTES,
    MAX_HELD_BYTES,
    MAX_UNDECLARED_BYTES,
    ReadLimit,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.sender import RequestSender
    from wigeonpier.web.exchange import Exchange

    Body = bytes | Iterator[bytes]

LENGTH = 'Content-Length'
MIN_READ_TIMEOUT_SECONDS = 0.01
# Share of the remaining time after which a body that arrives too slowly is cut,
# so that another upstream can still answer.
REPEATABLE_SHARE = 0.5
# An average since the head.
MIN_START_BYTES_PER_SECOND = 1_000
# What arrived earlier counts for this long, so that a body that has stopped is
# cut.
MAX_STALL_SECONDS = 1.5
# How long a caller may keep a body waiting, apart from the time that its bytes
# need at the minimum rate.
MAX_CALLER_SECONDS = 30.0
MIN_CALLER_BYTES_PER_SECOND = 65_536
MIN_CALLER_SECONDS = 0.001


class BodyReader:
    """Reads one body within limits of time and bytes."""

    def __init__(
        self, answer: Exchange, seconds: float, start_seconds: float
    ) -> None:
        """Read from the beginning of the body.

        :param answer: the answer.
        :param seconds: time limit, without the time that the caller takes to
            read.
        :param start_seconds: time after which the part that is held is cut
            while it arrives below the minimum rate.
        """
        self.answer = answer
        self.is_complete = False
        now = time.monotonic()
        self._deadline = now + seconds
        self._start_deadline = now + start_seconds
        # Until when the bytes so far are at the minimum rate.
        self._slow_at = now
        self._caller_seconds = MAX_CALLER_SECONDS
        self._received = 0
        self._declared = answer.get_header(LENGTH)
        self._limit = (
            MAX_DECLARED_BYTES if self._declared else MAX_UNDECLARED_BYTES
        )

    def read_start(self) -> bytes:
        """Read the part of the body that is held.

        :returns: the whole body unless it is long.
        :raises OSError: if it is truncated, too long or late.
        """
        declared = self._declared
        if declared.isdecimal() and int(declared) > self._limit:
            raise self.answer.cut(ReadLimit.body)
        start = bytearray()
        while len(start) <= MAX_HELD_BYTES and not self.is_complete:
            part = self._read_start_part()
            start += part
            self.is_complete = not part
        return bytes(start)

    def iterate(self) -> Iterator[bytes]:
        """Read the rest of the body.

        :yields: its parts as they arrive.
        :raises OSError: if it is truncated, too long or late.
        """
        part = self._read_part(self._deadline)
        while part:
            with self.wait_for_caller(len(part)):
                yield part
            part = self._read_part(self._deadline)

    @contextmanager
    def wait_for_caller(self, size: int) -> Iterator[None]:
        """Leave out the time in which the caller takes a part of the body.

        :param size: bytes of the part.
        :yields: once, while the caller takes it.
        :raises CallerGoneError: in this greenlet, if it takes too long.
        """
        began = time.monotonic()
        with gevent.Timeout(
            max(self._caller_seconds, MIN_CALLER_SECONDS),
            CallerGoneError('the caller reads too slowly'),
        ):
            yield
        seconds = time.monotonic() - began
        self._deadline += seconds
        self._caller_seconds = min(
            MAX_CALLER_SECONDS,
            self._caller_seconds - seconds + size / MIN_CALLER_BYTES_PER_SECOND,
        )

    def _read_start_part(self) -> bytes:
        limit = max(self._start_deadline, self._slow_at)
        try:
            part = self._read_part(min(limit, self._deadline))
        except TimeoutError:
            if self._received and limit < self._deadline:
                raise self.answer.cut(ReadLimit.time) from None
            raise
        self._slow_at = min(
            self._slow_at + len(part) / MIN_START_BYTES_PER_SECOND,
            time.monotonic() + MAX_STALL_SECONDS,
        )
        return part

    def _read_part(self, deadline: float) -> bytes:
        part = self.answer.read_part(deadline)
        self._received += len(part)
        if self._received > self._limit:
            raise self.answer.cut(ReadLimit.body)
        return part


@dataclass(slots=True)
class BodyForwarder:
    """Passes on the bodies of responses that are not streams of events.

    :param sender: sends the requests, and records outcomes.
    """

    sender: RequestSender

    def read(
        self, request: OnlineRequest, answer: Exchange
    ) -> Result[Body, SendFailure]:
        """Read the start of a body, or all of it.

        :param request: the request.
        :param answer: its answer, with the head read.
        :returns: the body, of which a long one is read while it is passed on;
            or why it broke off, which is recorded then.
        :raises CallerGoneError: when the caller has disconnected.
        """
        seconds = max(request.seconds_left, MIN_READ_TIMEOUT_SECONDS)
        share = REPEATABLE_SHARE if request.may_run_again else 1
        reader = BodyReader(answer, seconds, seconds * share)
        try:
            start = reader.read_start()
        except OSError as error:
            return Err(self._record_break(request, error))
        if reader.is_complete:
            self._record_end(request, answer)
            return Ok(start)
        return Ok(self._pass_on(request, reader, [start]))

    def _pass_on(
        self, request: OnlineRequest, reader: BodyReader, held: list[bytes]
    ) -> Iterator[bytes]:
        """Pass on a body.

        :param held: its start, which is dropped once the caller has it.
        :raises BrokenStreamError: if it breaks off, so that the response does
            not look complete.
        """
        with reader.wait_for_caller(len(held[0])):
            yield held.pop()
        try:
            yield from reader.iterate()
        except OSError as error:
            failure = self._record_break(request, error)
            raise BrokenStreamError(failure.value) from error
        self._record_end(request, reader.answer)

    def _record_end(self, request: OnlineRequest, answer: Exchange) -> None:
        suspects = self.sender.binder.suspects
        if request.upstream is None:
            return
        if ingress.is_success(answer):
            self.sender.outcomes.record_success(request)
            suspects.record_completion(request, request.upstream)
        else:
            suspects.record_failed_answer(request, request.upstream)

    def _record_break(
        self, request: OnlineRequest, error: OSError
    ) -> SendFailure:
        failure = classify_disconnect(error)
        upstream = request.upstream
        request.last_send.problem = repr(error)
        request.release(is_broken=True)
        if upstream is not None:
            self.sender.record_failure(request, upstream, failure)
        return failure


def is_stream(answer: Exchange) -> bool:
    """Check whether a response is a stream of events.

    :param answer: the response, with its head read.
    :returns: false also for a failure.
    """
    content_type = answer.get_header('Content-Type')
    return ingress.is_success(answer) and content_type.startswith(
        EVENT_STREAM_TYPE
    )


def make_response(answer: Exchange, body: Body) -> Response:
    """Make the response to a caller.

    :param answer: the response of the upstream, with its head read.
    :param body: complete body, or an iterator of its parts.
    :returns: the response.
    """
    headers = dict(answer.list_headers())
    length = answer.get_header(LENGTH)
    if length and not (isinstance(body, bytes) or is_stream(answer)):
        # A caller of HTTP/1.0 sees by it whether the body is complete.
        headers[LENGTH] = length
    content_type = headers.pop(
        'Content-Type',
        headers.pop('content-type', ''),
    )
    return Response(answer.status, body, content_type, headers)
