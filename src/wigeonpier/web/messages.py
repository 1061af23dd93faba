"""Request and response objects of handlers."""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import gevent
import msgspec

from wigeonpier.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.telemetry.trace import Span

JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'
JSON_LINES_TYPE = 'application/jsonl'
REQUEST_ID_BYTES = 12
READ_BYTES = 65_536
BODY_SECONDS = 30.0
# A body that arrives at this rate is not cut.
MIN_BYTES_PER_SECOND = 65_536

Model = TypeVar('Model')


class ErrorBody(msgspec.Struct):
    """Error details of a refusal."""

    type: str
    message: str
    ran: str


class ErrorPage(msgspec.Struct):
    """Response body of every refusal."""

    error: ErrorBody


@dataclass(slots=True)
class Request:
    """One request in the filter chain.

    :param method: HTTP method.
    :param path: path without query.
    :param query: query string.
    :param headers: header values by lower-case name.
    :param stream: file-like object of the body.
    :param identity: request id, the same at each hop.
    :param customer: name of the customer, set by the key filter.
    :param span: span of this hop, set by the trace filter.
    :param body_limit: maximum size of the body, bytes.
    :param target: path with query, still percent-encoded.
    :param connection: the caller's connection; used to detect its close.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    stream: Any
    identity: str = ''
    customer: str = ''
    span: Span | None = None
    body_limit: int = 0
    target: str = ''
    connection: Any = None

    @property
    def caller(self) -> str:
        """Return the IP address of the caller, empty if unknown."""
        try:
            return str(self.connection.getpeername()[0])
        except (AttributeError, OSError):
            # The connection is closed, or the request has none (in tests).
            return ''

    def read_body(self) -> bytes:
        """Read the complete body within the limit.

        :returns: the bytes.
        :raises Refusal: if it is too large or does not arrive in time.
        """
        return b''.join(self.iterate_body())

    def iterate_body(self) -> Iterator[bytes]:
        """Read the body in parts within the limit.

        :yields: parts of at most 64 KiB.
        :raises Refusal: if it is too large or does not arrive in time.
        """
        self._check_length(int(self.headers.get('content-length') or 0))
        size = 0
        seconds_left = BODY_SECONDS
        while True:
            started = time.monotonic()
            with gevent.Timeout(max(0, seconds_left), _refuse_slow_body()):
                part = self.stream.read(READ_BYTES)
            if not part:
                return
            size += len(part)
            seconds_left += len(part) / MIN_BYTES_PER_SECOND
            seconds_left -= time.monotonic() - started
            self._check_length(size)
            yield part

    def _check_length(self, size: int) -> None:
        if size > self.body_limit:
            raise Refusal(
                ErrorKind.body_too_large,
                f'the body may have at most {self.body_limit} bytes',
            )


@dataclass(slots=True)
class Response:
    """One response.

    :param status: HTTP status.
    :param body: complete body, or an iterator of its parts.
    :param content_type: media type.
    :param headers: additional headers.
    :param on_close: callbacks, called once when the body was sent or aborted.
    """

    status: int
    body: bytes | Iterator[bytes]
    content_type: str = JSON_TYPE
    headers: dict[str, str] = field(default_factory=dict)
    on_close: list[Callable[[], None]] = field(default_factory=list)


def make_identity() -> str:
    """Create a random request id.

    :returns: 24 hexadecimal digits.
    """
    return secrets.token_hex(REQUEST_ID_BYTES)


def answer_json(content: Any, status: int = 200) -> Response:
    """Create a response with a JSON document.

    :param content: anything that msgspec encodes.
    :param status: HTTP status.
    :returns: the response.
    """
    return Response(status, msgspec.json.encode(content))


def answer_refusal(refusal: Refusal) -> Response:
    """Create the response to a refused request.

    :param refusal: the refusal.
    :returns: the response, with ``Retry-After`` if the refusal defines it.
    """
    page = ErrorPage(
        ErrorBody(refusal.kind.value, refusal.message, refusal.ran.value),
    )
    response = answer_json(page, refusal.status)
    if refusal.retry_seconds is not None:
        response.headers['Retry-After'] = str(refusal.retry_seconds)
    elif refusal.retry_after is not None:
        response.headers['Retry-After'] = str(refusal.retry_after)
    return response


def decode_body(raw: bytes, model: type[Model]) -> Model:
    """Decode and validate a JSON request body.

    :param raw: the body.
    :param model: expected type.
    :returns: the decoded value.
    :raises Refusal: if it is invalid; names the key path and the expected
        type.
    """
    try:
        return msgspec.json.decode(raw, type=model)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise Refusal(ErrorKind.invalid_request, str(error)) from error


def _refuse_slow_body() -> Refusal:
    return Refusal(
        ErrorKind.body_too_slow,
        f'the body did not arrive within {BODY_SECONDS} s and'
        f' 1 s for each {MIN_BYTES_PER_SECOND} bytes',
    )
