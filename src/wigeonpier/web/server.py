"""WSGI server of a daemon with filters, routes and graceful shutdown."""

from __future__ import annotations

import re
import socket
import time
from contextlib import ExitStack
from dataclasses import dataclass
from http import HTTPStatus
from io import BufferedReader, BytesIO
from itertools import chain
from typing import TYPE_CHECKING, Any

from gevent import Timeout, pywsgi
from gevent import sleep as pause
from gevent import socket as green

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.served import ClientLimits
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import RESET_ON_CLOSE
from wigeonpier.web.heads import HeadError, read_head
from wigeonpier.web.messages import Request, Response, answer_refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    Handler = Callable[[Request], Response]
    Filter = Callable[[Request, Handler], Response]
    StartResponse = Callable[[str, list[tuple[str, str]]], Any]

BACKLOG = 1024
DRAIN_POLL_SECONDS = 0.02
# A body that no handler reads is read for so long, so that the client can read
# the response first: closing before discards it.
DISCARD_SECONDS = 2.0
MAX_DISCARDED_BYTES = 1_048_576
# After the last answer of a connection.
MAX_DRAINED_BYTES = 33_554_432
DISCARD_PART_BYTES = 16_384
# How long a client may take none of an answer, apart from the time that its
# bytes need at the minimum rate.
MAX_UNREAD_SECONDS = 30.0
MIN_CLIENT_BYTES_PER_SECOND = 65_536
# Their bodies were not read to the end.
UNREAD_STATUSES = frozenset(
    (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
)
TARGET_KEY = 'wigeonpier.target'
CONNECTION_KEY = 'wigeonpier.connection'
BODY_KEY = 'wigeonpier.body'


@dataclass(frozen=True, slots=True)
class Route:
    """One route of a daemon.

    :param method: HTTP method, ``*`` for any.
    :param pattern: regular expression matched against the full path; its
        groups are passed to the handler.
    :param handler: handles the request.
    """

    method: str
    pattern: re.Pattern[str]
    handler: Callable[..., Response]


def make_route(
    method: str,
    pattern: str,
    handler: Callable[..., Response],
) -> Route:
    """Create a route.

    :param method: HTTP method, ``*`` for any.
    :param pattern: regular expression matched against the full path.
    :param handler: takes the request and the groups of the pattern.
    :returns: the route.
    """
    return Route(method, re.compile(pattern), handler)


def chain_filters(filters: Sequence[Filter], handler: Handler) -> Handler:
    """Wrap a handler in filters, the first one outermost.

    :param filters: each takes the request and the next handler.
    :param handler: handles the requests that pass all filters.
    :returns: the handler with its filters.
    """
    for current in reversed(filters):
        handler = _wrap_handler(current, handler)
    return handler


def dispatch_to(routes: Sequence[Route]) -> Handler:
    """Create a handler that dispatches requests to routes.

    :param routes: all routes of the daemon.
    :returns: the handler.
    """

    def dispatch(request: Request) -> Response:
        matches = [
            (route, match)
            for route in routes
            if (match := route.pattern.fullmatch(request.path))
        ]
        for route, match in matches:
            if route.method in {'*', request.method}:
                return route.handler(request, *match.groups())
        if matches:
            raise Refusal(
                ErrorKind.method_not_allowed,
                f'{request.path} does not take {request.method}',
            )
        raise Refusal(ErrorKind.not_found, f'there is no path {request.path}')

    return dispatch


class _Handler(pywsgi.WSGIHandler):
    """Limits what clients send, and logs broken connections as events."""

    server: _ListeningServer

    def __init__(self, *details: Any) -> None:
        super().__init__(*details)
        self._head_error: HeadError | None = None
        self._rest_of_head = b''

    def read_requestline(self) -> str:
        self._head_error = None
        try:
            head = read_head(self.rfile, self.server.find_limits())
        except HeadError as error:
            self._head_error = error
            # The base class closes the connection after an empty line.
            return str(error)
        line_size = head.find(b'\n') + 1
        self._rest_of_head = head[line_size:]
        return head[:line_size].decode('latin-1')

    def read_request(self, raw_requestline: str) -> Any:
        if self._head_error is not None:
            raise self._head_error
        with ExitStack() as stack:
            stack.callback(setattr, self, 'rfile', self.rfile)
            self.rfile = BufferedReader(BytesIO(self._rest_of_head))
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict[str, Any]:  # noqa: WPS615
        environ: dict[str, Any] = super().get_environ()
        environ[TARGET_KEY] = self.path
        environ[CONNECTION_KEY] = self.socket
        environ[BODY_KEY] = self.wsgi_input
        return environ

    def run_application(self) -> None:
        super().run_application()
        body = self.wsgi_input
        if not _discard_body(body):
            # The base class would read on as long as bytes come.
            self.wsgi_input = pywsgi.Input(BufferedReader(BytesIO()), 0)
            self.close_connection = True
            _close_gently(self.socket)

    def _sendall(self, part: bytes) -> None:
        # The timeout of a socket also applies to reading the next request.
        self.socket.settimeout(
            MAX_UNREAD_SECONDS + len(part) / MIN_CLIENT_BYTES_PER_SECOND
        )
        try:
            super()._sendall(part)  # type: ignore[misc]
        except TimeoutError:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            raise
        self.socket.settimeout(None)

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        log_event(
            Event.request_broken,
            path=self.path or '',
            problem=f'{type(error).__name__}: {error}',
        )
        status = HTTPStatus.BAD_REQUEST
        if isinstance(error, HeadError):
            status = error.status
        return str(status.value), _render_error(status)

    def _log_error(self, kind: type, error: Exception, _trace: Any) -> None:
        log_event(
            Event.request_broken,
            path=(self.environ or {}).get('PATH_INFO', ''),
            problem=f'{kind.__name__}: {error}',
        )


class _ListeningServer(pywsgi.WSGIServer):
    """Listener with the limits of its clients."""

    find_limits: Callable[[], ClientLimits]


class Server:
    """HTTP server on one address that counts requests in flight."""

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        find_limits: Callable[[], ClientLimits] = ClientLimits,
    ) -> None:
        """Bind the address.

        :param host: address to listen on.
        :param port: port, 0 for a free one.
        :param handler: handles the requests.
        :param find_limits: returns the limits of clients, for each request.
        """
        self.in_flight = 0
        self.is_closing = False
        self.handler = handler
        self._listener = _open_listener(host, port)
        self._server = _ListeningServer(
            self._listener,
            self._serve,
            log=None,
            error_log=None,
            handler_class=_Handler,
        )
        self._server.find_limits = find_limits

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener."""
        host, port = self._listener.getsockname()[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def drain(self, seconds: float) -> int:
        """Close the listener and wait for requests in flight.

        :param seconds: maximum wait.
        :returns: number of requests still in flight at the end.
        """
        self.is_closing = True
        self._server.close()
        deadline = time.monotonic() + seconds
        while self.in_flight and time.monotonic() < deadline:
            pause(DRAIN_POLL_SECONDS)
        return self.in_flight

    def stop(self) -> None:
        """Stop immediately and abort requests in flight."""
        self._server.stop(timeout=0)

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        self.in_flight += 1
        try:
            response = _read_first_part(self.handler(_read_request(environ)))
        except Refusal as refusal:
            response = answer_refusal(refusal)
        except BaseException:
            self.in_flight -= 1
            raise
        headers = [('Content-Type', response.content_type)]
        headers += response.headers.items()
        if isinstance(response.body, bytes):
            headers.append(('Content-Length', str(len(response.body))))
        is_last = self.is_closing or response.status in UNREAD_STATUSES
        if is_last or _leaves_body(environ[BODY_KEY]):
            # A client with a persistent connection has to open a new one,
            # which reaches another process.
            headers.append(('Connection', 'close'))
        phrase = HTTPStatus(response.status).phrase
        start_response(f'{response.status} {phrase}', headers)
        return _Body(response, self._release)

    def _release(self) -> None:
        self.in_flight -= 1


class _Body:
    """Iterates over a response body and releases its resources on close."""

    def __init__(self, response: Response, release: Callable[[], None]) -> None:
        self._response = response
        self._release = release

    def __iter__(self) -> Iterator[bytes]:
        if isinstance(self._response.body, bytes):
            yield self._response.body
        else:
            yield from self._response.body

    def close(self) -> None:
        with ExitStack() as stack:
            for callback in self._response.on_close:
                stack.callback(callback)
            stack.callback(self._release)
            close_body = getattr(self._response.body, 'close', None)
            if close_body is not None:
                close_body()


def _read_first_part(response: Response) -> Response:
    """Read the first part of a body while the status can still change.

    A body that is produced lazily may raise a refusal at its first part;
    the status line has not been sent then.
    """
    if isinstance(response.body, bytes):
        return response
    parts = iter(response.body)
    try:
        first = next(parts, b'')
    except BaseException:
        _Body(response, _skip_release).close()
        raise
    close_parts = getattr(parts, 'close', None)
    if close_parts is not None:
        response.on_close.append(close_parts)
    response.body = chain((first,), parts)
    return response


def _leaves_body(stream: Any) -> bool:
    """Check whether a body is not read, so that its connection has to end."""
    left = (stream.content_length or 0) - stream.position
    if stream.socket is not None:
        # Reading would send a 100 Continue behind the answer.
        return bool(stream.chunked_input or left > 0)
    return bool(not stream.chunked_input and left > MAX_DISCARDED_BYTES)


def _discard_body(stream: Any) -> bool:
    """Read what an application left of a body.

    :returns: whether all of it arrived soon and was small.
    """
    if _leaves_body(stream):
        return False
    # Without a body, a read would still send a 100 Continue.
    stream.socket = None
    discarded = 0
    try:
        with Timeout(DISCARD_SECONDS):
            while discarded < MAX_DISCARDED_BYTES:
                part = stream.read(DISCARD_PART_BYTES)
                discarded += len(part)
                if not part:
                    return True
    except (OSError, Timeout) as error:
        log_event(Event.request_broken, path='', problem=f'rest: {error}')
    return False


def _close_gently(connection: Any) -> None:
    """End the answers of a connection and read on for a while.

    Closing a connection with unread bytes resets it, and the client that
    still sends loses the answer.
    """
    drained = 0
    try:
        with Timeout(DISCARD_SECONDS):
            connection.shutdown(socket.SHUT_WR)
            while drained < MAX_DRAINED_BYTES:
                part = connection.recv(DISCARD_PART_BYTES)
                drained += len(part)
                if not part:
                    return
    except (OSError, Timeout) as error:
        log_event(Event.request_broken, path='', problem=f'close: {error}')


def _render_error(status: HTTPStatus) -> bytes:
    line = f'HTTP/1.1 {status.value} {status.phrase}\r\n'
    return f'{line}Connection: close\r\nContent-Length: 0\r\n\r\n'.encode()


def _skip_release() -> None:
    """Do nothing; the caller still counts the request as in flight."""


def _wrap_handler(current: Filter, next_handler: Handler) -> Handler:
    return lambda request: current(request, next_handler)


def _open_listener(host: str, port: int) -> Any:
    listener = green.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit TCP_NODELAY. Without it, each response waits
    # 40 ms for the delayed acknowledgement of its headers.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    return listener


def _read_request(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    for name in ('CONTENT_TYPE', 'CONTENT_LENGTH'):
        if environ.get(name):
            headers[name.replace('_', '-').lower()] = environ[name]
    return Request(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=environ['QUERY_STRING'],
        headers=headers,
        stream=environ['wsgi.input'],
        target=environ.get(TARGET_KEY, ''),
        connection=environ.get(CONNECTION_KEY),
    )
