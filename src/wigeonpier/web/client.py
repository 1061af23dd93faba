"""HTTP client for calls to peers, upstreams and the platform."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from wigeonpier.web.connections import (
    MAX_HEAD_BYTES,
    NO_LIMIT,
    BoundedPool,
    BoundedResponse,
)
from wigeonpier.web.exchange import make_request
from wigeonpier.web.readlimits import MAX_DECLARED_BYTES, MAX_HELD_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator

LINE_SECONDS = 60.0
BODY_SECONDS = 30.0
MAX_LINE_BYTES = 1_048_576
MAX_BODY_BYTES = 67_108_864
# An endless body without a declared length may send at the minimum rate, and
# is cut so long after its time.
MAX_EXTRA_SECONDS = 10.0
COMMENT_PREFIX = b':'
FIRST_ERROR_STATUS = 300
# No blanks and control characters in a path, no line breaks in a header.
_TARGET_PATTERN = re.compile(r'[^\x00-\x20\x7f]+')
_VALUE_PATTERN = re.compile(r'[\t\x20-\x7e\x80-\xff]*')

Model = TypeVar('Model')


class CallFailure(StrEnum):
    """Why a call got no response."""

    not_sent = 'not_sent'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response.

    :param status: HTTP status.
    :param body: response body.
    """

    status: int
    body: bytes

    @property
    def is_good(self) -> bool:
        """Check whether the status is below 300."""
        return self.status < FIRST_ERROR_STATUS

    def decode(self, model: type[Model]) -> Model:
        """Decode and validate the JSON body.

        :param model: expected type.
        :returns: the decoded value.
        """
        return msgspec.json.decode(self.body, type=model)


class StreamReply:
    """A response whose body is read as it arrives."""

    def __init__(self, response: BoundedResponse, sent_bytes: int) -> None:
        """Wrap a response of which the head was read.

        :param response: the response.
        :param sent_bytes: size of the request.
        """
        self._response = response
        self._sent_bytes = sent_bytes
        self.status = int(response.get_code())

    @property
    def moved_bytes(self) -> int:
        """Estimate the size of the request and of the head of the response."""
        header_sizes = [
            len(name) + len(text) + 4 for name, text in self._response.items()
        ]
        return self._sent_bytes + sum(header_sizes)

    @property
    def is_whole(self) -> bool:
        """Check whether all of the response was read."""
        return bool(self._response.message_complete)

    def get_header(self, name: str) -> str:
        """Read one header.

        :param name: header name.
        :returns: its value, empty if it is absent.
        """
        return str(self._response.get(name) or '')

    def iterate_lines(
        self,
        seconds: float = LINE_SECONDS,
        max_bytes: int = MAX_LINE_BYTES,
        *,
        first_seconds: float | None = None,
    ) -> Iterator[bytes]:
        """Read the body line by line as it arrives.

        Blank lines and comments are no progress: a peer that sends nothing
        else is given up as if it sent nothing.

        :param seconds: time to wait for each line.
        :param max_bytes: size of a line.
        :param first_seconds: time to wait for the first line, as for the others
            by default.
        :yields: lines with their terminator.
        :raises OSError: if the connection is lost before the end, or a line
            is too long or takes too long.
        """
        self._response.set_limits(
            seconds if first_seconds is None else first_seconds, max_bytes
        )
        while line := self._response.readline(b'\n'):
            yield bytes(line)
            if line.strip() and not line.startswith(COMMENT_PREFIX):
                self._response.set_limits(seconds, max_bytes)

    def read(
        self,
        seconds: float = BODY_SECONDS,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> bytes:
        """Read the rest of the body.

        :param seconds: time to wait for it, for a small body.
        :param max_bytes: size of the body with its framing.
        :returns: the bytes.
        :raises OSError: if the connection is lost before the end, or the body
            is too long or takes too long.
        """
        self._response.set_limits(seconds, max_bytes)
        body = bytes(self._response.read())
        if not self._response.message_complete:
            raise ConnectionResetError('response body is truncated')
        return body

    def read_start(self, seconds: float) -> bytes:
        """Read the body, or only the start of a long one.

        :param seconds: time to wait for the whole body, for a small one.
        :returns: the whole body if :attr:`is_whole` is true afterwards; else
            :meth:`iterate_parts` reads the rest.
        :raises OSError: if the connection is lost before the end, or the body
            is too long or takes too long.
        """
        declared = self._response.content_length
        is_too_long = (declared or 0) > MAX_DECLARED_BYTES
        self._response.set_limits(
            seconds,
            0 if is_too_long else MAX_DECLARED_BYTES,
            MAX_EXTRA_SECONDS if declared is None else NO_LIMIT,
        )
        start = bytearray()
        while len(start) <= MAX_HELD_BYTES:
            part = self._response.read_part()
            start += part
            if not part:
                break
        return bytes(start)

    def iterate_parts(self) -> Iterator[bytes]:
        """Read the rest of a body within the limits of its start.

        :yields: its parts as they arrive.
        :raises OSError: if the connection is lost before the end, or the body
            is too long or takes too long.
        """
        while part := self._response.read_part():
            yield part

    def close(self) -> None:
        """Release the connection; it is reused only after a complete response."""
        if self._response.message_complete:
            self._response.release()
        else:
            self._response.drop()


class HttpClient:
    """Client with persistent connections, grouped by address."""

    def __init__(
        self,
        headers: dict[str, str] | None = None,
        *,
        reuses_connections: bool = True,
        max_call_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create a client that sends the headers with each call.

        :param headers: the headers.
        :param reuses_connections: whether a connection carries several
            requests; false for peers that may send the response to an earlier
            request once more.
        :param max_call_bytes: longest body of the answer to a call, with its
            framing.
        """
        self.bytes_moved = 0
        self._headers = headers or {}
        self._reuses_connections = reuses_connections
        self._max_call_bytes = max_call_bytes
        self._pools: dict[str, BoundedPool] = {}

    def open(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        headers: dict[str, str] | None = None,
        timeout: float = 5,
    ) -> Result[StreamReply, CallFailure]:
        """Send a request once and read the head of the response.

        :param address: ``host:port``.
        :param method: HTTP method.
        :param path: path with query.
        :param body: request body.
        :param headers: additional headers.
        :param timeout: time for the request and the head, seconds.
        :returns: the response; ``not_sent`` only if the connection was
            refused.
        :raises ValueError: if the path or a header would end its line early.
        """
        merged = {'host': address} | self._headers | (headers or {})
        _check_request(path, merged)
        raw = make_request(method, path, list(merged.items()), body)
        pool = self._get_pool(address)
        try:
            sock = pool.get_socket()
        except ConnectionRefusedError:
            return Err(CallFailure.not_sent)
        except OSError:
            return Err(CallFailure.lost)
        try:
            response = _send(pool, sock, method, raw, timeout)
        except (OSError, HTTPParseError):
            return Err(CallFailure.lost)
        return Ok(StreamReply(response, len(raw)))

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        headers: dict[str, str] | None = None,
        timeout: float = 5,
    ) -> Result[Reply, CallFailure]:
        """Send a request once and read the complete response.

        :param address: ``host:port``.
        :param method: HTTP method.
        :param path: path with query.
        :param body: request body.
        :param headers: additional headers.
        :param timeout: time for the request and the head of the response, and
            again for its body, seconds.
        :returns: the response.
        """
        opened = self.open(
            address,
            method,
            path,
            body,
            headers=headers,
            timeout=timeout,
        )
        if isinstance(opened, Err):
            return opened
        stream = opened.ok_value
        try:
            return Ok(self._read_reply(stream, timeout))
        except (OSError, HTTPParseError):
            return Err(CallFailure.lost)
        finally:
            stream.close()

    def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer used.

        :param address: ``host:port``.
        """
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _read_reply(self, stream: StreamReply, seconds: float) -> Reply:
        reply = Reply(stream.status, stream.read(seconds, self._max_call_bytes))
        self.bytes_moved += stream.moved_bytes + len(reply.body)
        return reply

    def _get_pool(self, address: str) -> BoundedPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = BoundedPool(address, is_reusing=self._reuses_connections)
            self._pools[address] = pool
        return pool


def _check_request(path: str, headers: dict[str, str]) -> None:
    if not _TARGET_PATTERN.fullmatch(path):
        raise ValueError(f'invalid path {path!r}')
    for name, value in headers.items():
        if not _VALUE_PATTERN.fullmatch(value):
            raise ValueError(f'invalid value of {name}: {value!r}')


def _send(
    pool: BoundedPool,
    sock: Any,
    method: str,
    raw: bytes,
    timeout: float,
) -> BoundedResponse:
    sock.set_limits(timeout, MAX_HEAD_BYTES)
    try:
        sock.sendall(raw)
    except BaseException:
        pool.release_socket(sock)
        raise
    # It releases the connection if there is no response.
    return BoundedResponse(sock, pool, method)
