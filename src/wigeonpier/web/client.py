"""HTTP client for calls to peers, upstreams and the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Iterator

CONNECT_SECONDS = 1.0
MAX_CONNECTIONS = 2048
TIMEOUT_STEPS_SECONDS = (1.0, 5.0, 30.0, 60.0, 120.0)
MAX_TIMEOUT_SECONDS = 600.0
FIRST_ERROR_STATUS = 300

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

    def __init__(self, response: Any) -> None:
        """Wrap a response of the HTTP library."""
        self._response = response
        self.status = int(response.get_code())

    @property
    def head_size(self) -> int:
        """Estimate the size of the request and response heads, bytes."""
        header_sizes = [
            len(name) + len(text) + 4 for name, text in self._response.items()
        ]
        return len(self._response._sent_request) + sum(header_sizes)  # noqa: SLF001, WPS437

    def get_header(self, name: str) -> str:
        """Read one header.

        :param name: header name.
        :returns: its value, empty if it is absent.
        """
        return str(self._response.get(name) or '')

    def iterate_lines(self) -> Iterator[bytes]:
        """Read the body line by line as it arrives.

        :yields: lines with their terminator.
        :raises OSError: if the connection is lost before the end.
        """
        while line := self._response.readline(b'\n'):
            yield bytes(line)

    def read(self) -> bytes:
        """Read the rest of the body.

        :returns: the bytes.
        :raises OSError: if the connection is lost before the end.
        """
        body = bytes(self._response.read())
        if not self._response.message_complete:
            raise ConnectionResetError('response body is truncated')
        return body

    def close(self) -> None:
        """Release the connection; it is reused only after a complete response."""
        response = self._response
        if response.message_complete:
            response.release()
        elif response._sock is not None:  # noqa: SLF001, WPS437
            response._pool.release_socket(response._sock)  # noqa: WPS437
            response._sock = None  # noqa: WPS437
            response._pool = None  # noqa: WPS437


class HttpClient:
    """Client with persistent connections, grouped by address and timeout."""

    def __init__(
        self,
        headers: dict[str, str] | None = None,
        *,
        keeps_connections: bool = True,
    ) -> None:
        """Create a client.

        :param headers: headers of each call.
        :param keeps_connections: whether calls use the connections of earlier
            ones; false for peers whose responses do not identify the request.
        """
        self.bytes_moved = 0
        self._keeps_connections = keeps_connections
        self._headers = headers or {}
        self._clients: dict[tuple[str, float], HTTPClient] = {}

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
        :param timeout: network timeout, seconds.
        :returns: the response; ``not_sent`` only if the connection was
            refused.
        """
        client = self._get_client(address, timeout)
        try:
            response = client.request(
                method,
                path,
                body,
                self._headers | (headers or {}),
            )
        except ConnectionRefusedError:
            return Err(CallFailure.not_sent)
        except (OSError, HTTPParseError):
            return Err(CallFailure.lost)
        return Ok(StreamReply(response))

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
        :param timeout: network timeout, seconds.
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
            return Ok(self._read_reply(stream, body))
        except (OSError, HTTPParseError):
            return Err(CallFailure.lost)
        finally:
            stream.close()

    def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer used.

        :param address: ``host:port``.
        """
        keys = [key for key in self._clients if key[0] == address]
        for key in keys:
            self._clients.pop(key).close()

    def _read_reply(self, stream: StreamReply, sent: bytes) -> Reply:
        reply = Reply(stream.status, stream.read())
        self.bytes_moved += stream.head_size + len(sent) + len(reply.body)
        return reply

    def _get_client(self, address: str, timeout: float) -> HTTPClient:
        key = (address, timeout)
        client = self._clients.get(key)
        if client is None:
            host, _, port = address.rpartition(':')
            client = HTTPClient(
                host,
                int(port),
                connection_timeout=CONNECT_SECONDS,
                network_timeout=timeout,
                concurrency=MAX_CONNECTIONS,
            )
            # The library resends some methods after a lost connection. This
            # turns it off; only the retry policy may decide to resend.
            pool = client._connection_pool  # noqa: SLF001, WPS437
            pool.size = -1
            if not self._keeps_connections:
                pool.return_socket = pool.release_socket
            self._clients[key] = client
        return client


def round_timeout(seconds: float) -> float:
    """Round a timeout up to one of a few values.

    Connections are grouped by timeout; few distinct values let calls share
    them.

    :param seconds: time until a deadline.
    :returns: network timeout, seconds.
    """
    return next(
        (step for step in TIMEOUT_STEPS_SECONDS if seconds <= step),
        MAX_TIMEOUT_SECONDS,
    )
