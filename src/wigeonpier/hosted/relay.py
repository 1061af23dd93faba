"""Relays calls to the store for an entry that alone has lost it.

Workers report to entries whether the store answers them.  An entry that the
store does not answer sends its calls through a worker that it does answer:
without relays a job of ten items was lost at an entry that was isolated from
the store for twelve seconds while it reached every upstream.  If the store
answers no process, no worker offers to relay.
"""

from __future__ import annotations

import time
from contextlib import ExitStack
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.platform.port import StorePath
from wigeonpier.platform.store import find_call_seconds
from wigeonpier.web.exchange import make_request
from wigeonpier.web.messages import JSON_TYPE, Request, Response
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    import random

    from wigeonpier.platform.calls import StoreCalls
    from wigeonpier.web.pool import ConnectionPool

RELAY_PATH = '/relay'
# Waiting watches count too; an entry has about four of them and some readers.
MAX_CALLS = 64
# A job of 200 items in base64, and its assignments.
MAX_BODY_BYTES = 16_000_000
# A load feed sends at least one line each 0.5 s.
OFFER_SECONDS = 1.0


class RelayHandler:
    """Forwards calls to the store unchanged."""

    def __init__(self, calls: StoreCalls, pool: ConnectionPool) -> None:
        """Forward to the store of this process.

        :param calls: calls of this process, which name the store's address.
        :param pool: connections to the store.
        """
        self._calls = calls
        self._pool = pool
        self._in_flight = 0

    def make_routes(self) -> list[Route]:
        """Make the routes for entries.

        :returns: the routes.
        """
        return [
            make_route(method, f'{RELAY_PATH}/.*', self._forward)
            for method in ('GET', 'POST', 'DELETE')
        ]

    def _forward(self, request: Request) -> Response:
        if self._in_flight >= MAX_CALLS:
            raise Refusal(ErrorKind.overloaded, 'too many calls are carried')
        request.body_limit = MAX_BODY_BYTES
        target = request.target.removeprefix(RELAY_PATH)
        headers = [('Host', self._calls.address), ('Content-Type', JSON_TYPE)]
        body = request.read_body()
        raw = make_request(request.method, target, headers, body)
        with ExitStack() as stack:
            self._in_flight += 1
            stack.callback(self._release)
            called = self._pool.call(
                self._calls.address,
                raw,
                find_call_seconds(request.method, target),
            )
        if isinstance(called, Err):
            # The outcome is unknown: the call may still take effect.
            return Response(HTTPStatus.BAD_GATEWAY, b'{}', JSON_TYPE)
        reply = called.ok_value
        return Response(reply.status, reply.body, JSON_TYPE)

    def _release(self) -> None:
        self._in_flight -= 1


class Relays:
    """Tracks the workers that offer to relay calls to the store."""

    def __init__(self, port: int, rng: random.Random) -> None:
        """Start without offers.

        :param port: port on which workers listen on every VM.
        :param rng: source of randomness.
        """
        self._port = port
        self._rng = rng
        self._offered_at: dict[str, float] = {}

    def record_offer(self, host: str, *, has_store: bool) -> None:
        """Record the report of a worker.

        :param host: address of its VM.
        :param has_store: whether the store answers the worker.
        """
        if has_store:
            self._offered_at[host] = time.monotonic()
        else:
            self._offered_at.pop(host, None)

    def find(self) -> StorePath | None:
        """Choose a worker that relays a call.

        :returns: the path through a random worker with a recent offer, or
            ``None``.
        """
        addresses = self.list_addresses()
        if not addresses:
            return None
        return StorePath(self._rng.choice(addresses), RELAY_PATH)

    def list_addresses(self) -> list[str]:
        """List the workers that the store answers.

        :returns: ``host:port`` of each worker with a recent offer.
        """
        oldest = time.monotonic() - OFFER_SECONDS
        self._offered_at = {
            host: offered_at
            for host, offered_at in self._offered_at.items()
            if offered_at > oldest
        }
        return [f'{host}:{self._port}' for host in self._offered_at]
