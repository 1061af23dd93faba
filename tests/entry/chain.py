"""An entry, a local process and an engine, connected by real sockets."""

from __future__ import annotations

import random
import time
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING

from tests.builders import build_upstream
from tests.local.test_foreign_answers import make_path
from wigeonpier.entry.forward import Forwarder
from wigeonpier.entry.pending import PendingRequest
from wigeonpier.entry.suspects import SuspectFilter
from wigeonpier.local.online import answer_online
from wigeonpier.membership.directory import Directory, Member
from wigeonpier.membership.messages import Heartbeat, Role
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.policy.route import RoutingCriteria
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.client import HttpClient
from wigeonpier.web.filters import answer_errors, limit_bodies, trace_requests
from wigeonpier.web.server import (
    Server,
    chain_filters,
    dispatch_to,
    make_route,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.web.messages import Request, Response
    from wigeonpier.web.server import Handler

NAME = 'vm-1'
PATH = '/v1/completions'


class Chain:
    """Forwards requests of callers to an engine through two processes."""

    def __init__(self, engine: str, seconds: float) -> None:
        """Start the processes.

        :param engine: ``host:port`` of the engine.
        :param seconds: time limit of each request.
        """
        self.local = make_path(engine)
        self.last: PendingRequest | None = None
        self._seconds = seconds
        self._stack = ExitStack()
        local = self._serve(
            lambda request: answer_online(self.local, request, PATH)
        )
        client = HttpClient()
        self.state = build_upstream(NAME, address=local)
        self._forwarder = Forwarder(
            self._make_directory(local),
            client,
            Metrics(),
            random.Random(1),
            SuspectFilter(Suspicions(), client),
        )
        self.address = self._serve(self._send)

    def stop(self) -> None:
        """Stop the processes."""
        self._stack.close()

    def _serve(self, handler: Handler) -> str:
        filters = [
            trace_requests('test', lambda _record: None, Metrics()),
            answer_errors,
            limit_bodies(1000),
        ]
        routes = dispatch_to([make_route('POST', PATH, handler)])
        server = Server('127.0.0.1', 0, chain_filters(filters, routes))
        server.start()
        self._stack.callback(server.stop)
        return server.address

    def _make_directory(self, address: str) -> Directory:
        directory = Directory(time.monotonic, lambda _name: 'r')
        directory.upstreams[NAME] = self.state
        heartbeat = Heartbeat(
            name=NAME,
            boot='b',
            role=Role.local,
            address=address,
            data_centre='a',
            is_leaving=False,
            version=1,
        )
        directory.members[NAME] = Member(heartbeat, time.monotonic())
        return directory

    def _send(self, request: Request) -> Response:
        self.last = PendingRequest(
            request,
            request.path,
            b'{}',
            RoutingCriteria('s', 'm', '', 'a', 'r'),
            is_idempotent=False,
            deadline=time.monotonic() + self._seconds,
        )
        return self._forwarder.send(self.last)


@contextmanager
def start_chain(engine: str, seconds: float) -> Iterator[Chain]:
    """Start an entry and a local process for an engine.

    :param engine: ``host:port`` of the engine.
    :param seconds: time limit of each request.
    :yields: both.
    """
    chain = Chain(engine, seconds)
    try:
        yield chain
    finally:
        chain.stop()
