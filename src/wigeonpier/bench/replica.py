"""Stand-in of a replica on the users' platform: slots, streams, refusals."""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore

from wigeonpier.models import Replica, UpstreamReport
from wigeonpier.platform import wire
from wigeonpier.platform.register import (
    encode_replica,
    encode_report,
    name_replica,
)
from wigeonpier.web.messages import EVENT_STREAM_TYPE, Response
from wigeonpier.web.server import Server

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.bench.store import StandInStore
    from wigeonpier.web.messages import Request

MOST_BODY = 4_000_000
SIGNATURE = 'stand-in'
DARK_STEP_SECONDS = 0.05


@dataclass(slots=True)
class ReplicaFaults:
    """What the stand-in does wrong now.

    :param break_after: closes so many streams after half of their events.
    :param fail: answers so many requests with 500.
    :param turn_away: answers so many requests with 503, unrun.
    :param is_dark: takes connections, and never answers.
    :param impossible: ids of requests that can never be done.
    """

    break_after: int = 0
    fail: int = 0
    turn_away: int = 0
    is_dark: bool = False
    impossible: set[str] = field(default_factory=set)


@dataclass(slots=True)
class StandInReplica:
    """One replica.

    :param name: its id.
    :param service: service that it is a replica of.
    :param store: where it registers.
    :param slots: requests that it runs at once.
    :param events: events of each answer.
    :param event_seconds: time between events.
    :param faults: what it does wrong now.
    :param runs: how often each request ran.
    :param incarnation: grows with each start, 0 where it is not told.
    """

    name: str
    service: str
    store: StandInStore
    slots: int = 8
    events: int = 10
    event_seconds: float = 0.01
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    runs: Counter[str] = field(default_factory=Counter)
    running: int = 0
    waiting: int = 0
    address: str = ''
    incarnation: int = 0
    is_leaving: bool = False
    _gate: BoundedSemaphore = field(default_factory=BoundedSemaphore)
    _server: Server | None = None

    def start(self, data_centre: str, host: str = '127.0.0.1') -> str:
        """Listen on a free port and register.

        :param data_centre: where it stands.
        :param host: address of its VM.
        :returns: ``host:port``.
        """
        self._gate = BoundedSemaphore(self.slots)
        self._server = Server(host, 0, self._answer)
        self._server.start()
        self.address = self._server.address
        self.register(data_centre)
        return self.address

    def register(self, data_centre: str) -> None:
        """Write its entry.

        :param data_centre: where it stands.
        """
        entry = Replica(
            self.name,
            self.address,
            self.service,
            data_centre,
            self.slots,
            self.is_leaving,
            self.incarnation,
        )
        self.store.put(name_replica(self.name), encode_replica(entry))

    def stop(self) -> None:
        """Die without a word."""
        if self._server is not None:
            self._server.stop()

    def make_text(self, identity: str, number: int) -> str:
        """Make the data of one event.

        :param identity: id of the request.
        :param number: number of the event, from 1.
        :returns: the data.
        """
        return f'{identity}-{number}'

    def make_output(self, identity: str) -> str:
        """Make the whole text of a request.

        :param identity: id of the request.
        :returns: data of all events, separated by line feeds.
        """
        return '\n'.join(
            self.make_text(identity, number + 1)
            for number in range(self.events)
        )

    def _answer(self, request: Request) -> Response:
        while self.faults.is_dark:
            gevent.sleep(DARK_STEP_SECONDS)
        if request.path == wire.REPORT_PATH:
            report = UpstreamReport(
                self.running,
                self.waiting,
                self.is_leaving,
                self.incarnation,
            )
            return Response(HTTPStatus.OK, encode_report(report))
        request.body_limit = MOST_BODY
        request.read_body()
        identity = request.headers[wire.REQUEST_ID.lower()]
        expected = request.headers.get(wire.EXPECTED_INSTANCE.lower())
        headers = {
            wire.REQUEST_ID: identity,
            wire.LOAD: f'{self.running},{self.waiting},{self.slots}',
        }
        if expected not in {None, self.name}:
            headers[wire.INSTANCE] = self.name
            return Response(
                HTTPStatus.MISDIRECTED_REQUEST, b'{}', headers=headers
            )
        if self.faults.turn_away:
            self.faults.turn_away -= 1
            headers[wire.NOT_RUN] = '1'
            return Response(
                HTTPStatus.SERVICE_UNAVAILABLE, b'{}', headers=headers
            )
        headers[wire.SIGNATURE] = SIGNATURE
        return self._run(request, identity, headers)

    def _run(
        self,
        request: Request,
        identity: str,
        headers: dict[str, str],
    ) -> Response:
        self.runs[identity] += 1
        if identity in self.faults.impossible:
            status = HTTPStatus.UNPROCESSABLE_ENTITY
            return Response(status, b'{}', headers=headers)
        if self.faults.fail:
            self.faults.fail -= 1
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return Response(status, b'{}', headers=headers)
        last = int(request.headers.get(wire.RESUME_AFTER.lower(), 0))
        stream = self._stream(identity, last)
        return Response(HTTPStatus.OK, stream, EVENT_STREAM_TYPE, headers)

    def _stream(self, identity: str, last: int) -> Iterator[bytes]:
        is_broken = self.faults.break_after > 0
        self.faults.break_after = max(0, self.faults.break_after - 1)
        self.waiting += 1
        with ExitStack() as stack:
            stack.enter_context(self._gate)
            self.waiting -= 1
            self.running += 1
            stack.callback(self._leave_slot)
            for number in range(last + 1, self.events + 1):
                gevent.sleep(self.event_seconds)
                if is_broken and number > self.events // 2:
                    raise ConnectionAbortedError('broken on purpose')
                text = self.make_text(identity, number)
                yield f'id: {number}\ndata: {text}\n\n'.encode()

    def _leave_slot(self) -> None:
        self.running -= 1
