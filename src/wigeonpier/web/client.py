"""HTTP calls to peers, upstreams and the platform."""

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
MOST_CONNECTIONS = 2048
PATIENCE_STEPS = (1.0, 5.0, 30.0, 60.0, 120.0)
LONGEST_PATIENCE = 600.0
FIRST_ERROR_STATUS = 300

Model = TypeVar('Model')


class CallFailure(StrEnum):
    """Why a call gave no answer."""

    not_sent = 'not_sent'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer.

    :param status: HTTP status.
    :param body: its bytes.
    """

    status: int
    body: bytes

    @property
    def is_good(self) -> bool:
        """Tell whether the status is one of success."""
        return self.status < FIRST_ERROR_STATUS

    def decode(self, model: type[Model]) -> Model:
        """Validate the body.

        :param model: what it has to be.
        :returns: the value.
        """
        return msgspec.json.decode(self.body, type=model)


class StreamReply:
    """An answer whose body is read as it comes."""

    def __init__(self, response: Any) -> None:
        """Keep the library's response."""
        self._response = response
        self.status = int(response.get_code())

    @property
    def head_size(self) -> int:
        """Count the bytes of both heads, about as they were on the wire."""
        heads = [
            len(name) + len(text) + 4 for name, text in self._response.items()
        ]
        return len(self._response._sent_request) + sum(heads)  # noqa: SLF001, WPS437

    def get_header(self, name: str) -> str:
        """Read one header.

        :param name: its name.
        :returns: its value, empty where it is absent.
        """
        return str(self._response.get(name) or '')

    def iterate_lines(self) -> Iterator[bytes]:
        """Read line by line as they arrive.

        :yields: lines with their end.
        :raises OSError: when the connection is lost before the end.
        """
        while line := self._response.readline(b'\n'):
            yield bytes(line)

    def read(self) -> bytes:
        """Read to the end.

        :returns: the rest of the body.
        :raises OSError: when the connection is lost before the end.
        """
        body = bytes(self._response.read())
        if not self._response.message_complete:
            raise ConnectionResetError('the body ended early')
        return body

    def close(self) -> None:
        """Let go; the connection is reused only after a whole answer."""
        response = self._response
        if response.message_complete:
            response.release()
        elif response._sock is not None:  # noqa: SLF001, WPS437
            response._pool.release_socket(response._sock)  # noqa: WPS437
            response._sock = None  # noqa: WPS437
            response._pool = None  # noqa: WPS437


class HttpCaller:
    """Connections to other processes, kept by address and patience."""

    def __init__(self, headers: dict[str, str] | None = None) -> None:
        """Send the headers with each call."""
        self.bytes_moved = 0
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
        patience: float = 5,
    ) -> Result[StreamReply, CallFailure]:
        """Send a request once and read the head of its answer.

        :param address: ``host:port``.
        :param method: HTTP method.
        :param path: path with query.
        :param body: whole body.
        :param headers: further headers.
        :param patience: longest silence on the connection, seconds.
        :returns: the answer; ``not_sent`` only where no connection was made.
        """
        client = self._get_client(address, patience)
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
        patience: float = 5,
    ) -> Result[Reply, CallFailure]:
        """Send a request once and read its whole answer.

        :param address: ``host:port``.
        :param method: HTTP method.
        :param path: path with query.
        :param body: whole body.
        :param headers: further headers.
        :param patience: longest silence on the connection, seconds.
        :returns: the answer.
        """
        opened = self.open(
            address,
            method,
            path,
            body,
            headers=headers,
            patience=patience,
        )
        if isinstance(opened, Err):
            return opened
        stream = opened.ok_value
        try:
            return Ok(self._read_whole(stream, body))
        except (OSError, HTTPParseError):
            return Err(CallFailure.lost)
        finally:
            stream.close()

    def forget(self, address: str) -> None:
        """Close the connections to an address that is gone.

        :param address: ``host:port``.
        """
        keys = [key for key in self._clients if key[0] == address]
        for key in keys:
            self._clients.pop(key).close()

    def _read_whole(self, stream: StreamReply, sent: bytes) -> Reply:
        reply = Reply(stream.status, stream.read())
        self.bytes_moved += stream.head_size + len(sent) + len(reply.body)
        return reply

    def _get_client(self, address: str, patience: float) -> HTTPClient:
        key = (address, patience)
        client = self._clients.get(key)
        if client is None:
            host, _, port = address.rpartition(':')
            client = HTTPClient(
                host,
                int(port),
                connection_timeout=CONNECT_SECONDS,
                network_timeout=patience,
                concurrency=MOST_CONNECTIONS,
            )
            # The library resends some methods on a lost connection; only
            # our own retry policy may decide that.
            client._connection_pool.size = -1  # noqa: SLF001, WPS437
            self._clients[key] = client
        return client


def round_patience(seconds: float) -> float:
    """Round the time that is left up to one of a few values.

    Connections are kept by patience, so that a few values share them.

    :param seconds: time until a deadline.
    :returns: longest silence on the connection, seconds.
    """
    return next(
        (step for step in PATIENCE_STEPS if seconds <= step),
        LONGEST_PATIENCE,
    )
