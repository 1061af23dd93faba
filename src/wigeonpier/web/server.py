"""The WSGI server of a daemon: filters, routes and a graceful stop."""

from __future__ import annotations

import re
import socket
import time
from contextlib import ExitStack
from dataclasses import dataclass
from http import HTTPStatus
from itertools import chain
from typing import TYPE_CHECKING, Any

from gevent import pywsgi
from gevent import sleep as pause
from gevent import socket as green

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import Request, Response, answer_refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    Handler = Callable[[Request], Response]
    Filter = Callable[[Request, Handler], Response]
    StartResponse = Callable[[str, list[tuple[str, str]]], Any]

BACKLOG = 1024
DRAIN_STEP_SECONDS = 0.02
TARGET = 'wigeonpier.target'
CONNECTION = 'wigeonpier.connection'


@dataclass(frozen=True, slots=True)
class Route:
    """One path of a daemon.

    :param method: HTTP method, ``*`` for any.
    :param pattern: regular expression of the whole path; its groups are
        passed to the handler.
    :param handler: answers the request.
    """

    method: str
    pattern: re.Pattern[str]
    handler: Callable[..., Response]


def make_route(
    method: str,
    pattern: str,
    handler: Callable[..., Response],
) -> Route:
    """Describe one path.

    :param method: HTTP method, ``*`` for any.
    :param pattern: regular expression of the whole path.
    :param handler: takes the request and the groups of the pattern.
    :returns: the route.
    """
    return Route(method, re.compile(pattern), handler)


def chain_filters(filters: Sequence[Filter], handler: Handler) -> Handler:
    """Put filters before a handler, the first one outermost.

    :param filters: each takes the request and the next handler.
    :param handler: answers what every filter let through.
    :returns: the handler with its filters.
    """
    for current in reversed(filters):
        handler = _wrap_handler(current, handler)
    return handler


def dispatch_to(routes: Sequence[Route]) -> Handler:
    """Make the handler that finds the route of a request.

    :param routes: all paths of the daemon.
    :returns: the handler.
    """

    def dispatch(request: Request) -> Response:
        matches = [
            (route, found)
            for route in routes
            if (found := route.pattern.fullmatch(request.path))
        ]
        for route, found in matches:
            if route.method in {'*', request.method}:
                return route.handler(request, *found.groups())
        if matches:
            raise Refusal(
                ErrorKind.method_not_allowed,
                f'{request.path} does not take {request.method}',
            )
        raise Refusal(ErrorKind.not_found, f'there is no path {request.path}')

    return dispatch


class _Handler(pywsgi.WSGIHandler):
    """Logs broken connections as events instead of traces."""

    def get_environ(self) -> dict[str, Any]:  # noqa: WPS615
        environ: dict[str, Any] = super().get_environ()
        environ[TARGET] = self.path
        environ[CONNECTION] = self.socket
        return environ

    def _log_error(self, kind: type, error: Exception, _trace: Any) -> None:
        log_event(
            Event.request_broken,
            path=(self.environ or {}).get('PATH_INFO', ''),
            problem=f'{kind.__name__}: {error}',
        )


class Server:
    """Listens on one address and counts what is in hand."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        """Bind the address; port 0 takes a free one."""
        self.in_hand = 0
        self.is_closing = False
        self.handler = handler
        self._listener = _open_listener(host, port)
        self._server = pywsgi.WSGIServer(
            self._listener,
            self._serve,
            log=None,
            error_log=None,
            handler_class=_Handler,
        )

    @property
    def address(self) -> str:
        """Give ``host:port`` of the listener."""
        host, port = self._listener.getsockname()[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Accept connections."""
        self._server.start()

    def drain(self, seconds: float) -> int:
        """Close the listener and wait for what is in hand.

        :param seconds: longest wait.
        :returns: how many requests were still in hand at the end.
        """
        self.is_closing = True
        self._server.close()
        give_up = time.monotonic() + seconds
        while self.in_hand and time.monotonic() < give_up:
            pause(DRAIN_STEP_SECONDS)
        return self.in_hand

    def stop(self) -> None:
        """Stop at once and cut off what is in hand."""
        self._server.stop(timeout=0)

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        self.in_hand += 1
        try:
            response = _take_first_part(self.handler(_read_request(environ)))
        except Refusal as refusal:
            response = answer_refusal(refusal)
        except BaseException:
            self.in_hand -= 1
            raise
        headers = [('Content-Type', response.content_type)]
        headers += response.headers.items()
        if isinstance(response.body, bytes):
            headers.append(('Content-Length', str(len(response.body))))
        if self.is_closing:
            # Whoever keeps this connection has to come back on another one,
            # at another process.
            headers.append(('Connection', 'close'))
        phrase = HTTPStatus(response.status).phrase
        start_response(f'{response.status} {phrase}', headers)
        return _Body(response, self._release)

    def _release(self) -> None:
        self.in_hand -= 1


class _Body:
    """The parts of a response; closes what stands behind them once."""

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


def _take_first_part(response: Response) -> Response:
    """Ask for the first part of a body while a refusal can still be told."""
    if isinstance(response.body, bytes):
        return response
    parts = iter(response.body)
    try:
        first = next(parts, b'')
    except BaseException:
        _Body(response, _release_nothing).close()
        raise
    close_parts = getattr(parts, 'close', None)
    if close_parts is not None:
        response.on_close.append(close_parts)
    response.body = chain((first,), parts)
    return response


def _release_nothing() -> None:
    """Leave the count to whoever answers instead."""


def _wrap_handler(current: Filter, following: Handler) -> Handler:
    return lambda request: current(request, following)


def _open_listener(host: str, port: int) -> Any:
    listener = green.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit it; without it each answer waits for the
    # delayed acknowledgement of its headers, 40 ms.
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
        target=environ.get(TARGET, ''),
        connection=environ.get(CONNECTION),
    )
