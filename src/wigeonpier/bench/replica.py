"""Stand-in for a replica on the users' platform: slots, streams, refusals.

A request whose body contains :data:`DEADLY_MARK`, or whose prompt has a part
that is set as deadly, crashes the replica that runs it, as a fault in an
engine does.  The replica restarts after a delay under a new id.
"""

from __future__ import annotations

import socket
import time
from collections import Counter, deque
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

import gevent
from gevent.lock import BoundedSemaphore

from wigeonpier.bench.endless import EndlessBytes
from wigeonpier.bench.lateanswers import LateAnswers
from wigeonpier.models import Replica, UpstreamReport
from wigeonpier.platform import wire
from wigeonpier.platform.register import (
    encode_replica,
    encode_report,
    name_replica,
)
from wigeonpier.policy.fingerprint import digest_request
from wigeonpier.web.messages import EVENT_STREAM_TYPE, Response
from wigeonpier.web.server import Server

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.bench.store import StandInStore
    from wigeonpier.web.messages import Request

MAX_BODY_BYTES = 4_000_000
MAX_RECEIVED = 20_000
SIGNATURE = 'stand-in'
UNRESPONSIVE_STEP_SECONDS = 0.05
DEADLY_MARK = b'[[crash]]'
# Precedes the id of the part in the fingerprint of a run.
DEADLY_PART_PREFIX = 'part '
# From the start of the run to the crash of the replica.
DEADLY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that a replica ran.

    :param identity: id of the request.
    :param at: start of the run, seconds of the monotonic clock.
    :param headers: headers by lower-case name.
    """

    identity: str
    at: float
    headers: dict[str, str]


@dataclass(slots=True)
class ReplicaFaults:
    """Active faults of the stand-in.

    :param break_after: number of next streams that are closed after half of
        their events.
    :param fail: number of next requests that are answered with 500.
    :param turn_away: number of next requests that are answered with 503
        without being run.
    :param run_and_refuse: number of next requests that are run and answered
        with 503.
    :param is_dark: accepts connections and does not answer.
    :param is_cured: runs crashing requests like any other request.
    :param impossible: ids of requests that always fail with 422.
    :param deadly_parts: ids of the prompt parts that crash it.
    :param is_unframed: streams have neither a length nor chunks and end with
        their connection.
    :param late: answers that are sent once more.
    :param endless: bytes that it sends without end instead of answers.
    :param endless_report: likewise, instead of reports of its load.
    """

    break_after: int = 0
    fail: int = 0
    turn_away: int = 0
    run_and_refuse: int = 0
    is_dark: bool = False
    is_cured: bool = False
    impossible: set[str] = field(default_factory=set)
    deadly_parts: set[str] = field(default_factory=set)
    is_unframed: bool = False
    late: LateAnswers = field(default_factory=LateAnswers)
    endless: EndlessBytes = field(default_factory=EndlessBytes)
    endless_report: EndlessBytes = field(default_factory=EndlessBytes)


@dataclass(slots=True)
class CrashingRun:
    """One run of a request that crashes replicas.

    :param fingerprint: fingerprint of the request, or the deadly part of its
        prompt after :data:`DEADLY_PART_PREFIX`.
    :param started_at: start, seconds of the monotonic clock.
    :param crashed_at: time of the crash that it caused, seconds of the
        monotonic clock, 0 for none.
    """

    fingerprint: str
    started_at: float
    crashed_at: float = 0


class Frontend(Protocol):
    """A listener in front of the replica, which fails and restarts with it."""

    def shut(self) -> None:
        """Refuse new connections and reset the open ones."""

    def reopen(self) -> None:
        """Accept connections again."""


@dataclass(slots=True)
class _ReplicaProcess:
    """State of a replica from one start to the next crash.

    :param gate: semaphore of the slots.
    :param running: number of running requests.
    :param waiting: number of requests that wait for a slot.
    :param connections: open connections of callers.
    :param begun: start of each run by id, seconds of the monotonic clock.
    :param is_over: whether the replica has crashed.
    """

    gate: BoundedSemaphore
    running: int = 0
    waiting: int = 0
    connections: set[Any] = field(default_factory=set)
    begun: dict[str, float] = field(default_factory=dict)
    is_over: bool = False

    def leave_slot(self) -> None:
        self.running -= 1


@dataclass(slots=True)
class StandInReplica:
    """One replica.

    :param name: id of the replica.
    :param service: service that it belongs to.
    :param store: store in which it registers.
    :param slots: maximum number of running requests.
    :param events: number of events of each answer.
    :param event_seconds: time between events.
    :param token_seconds: time of an output token in its reports, 0 to report
        no runs.
    :param faults: active faults.
    :param runs: number of runs by id of the request.
    :param incarnation: grows with each start, 0 if it is not reported.
    :param version: version of its software.
    :param keeps_name: whether it restarts under the id that it had.
    :param restart_seconds: time from a crash to the next start.
    :param register_seconds: time from the next start to its registration.
    :param lapse_seconds: time from a crash until its registration is removed.
    :param ended_by: fingerprint of the request that caused each crash, empty
        for a crash without one.
    :param crashing_runs: runs of requests that crash replicas.
    :param frontends: listeners in front of it.
    :param received: the last requests that it ran.
    """

    name: str
    service: str
    store: StandInStore
    slots: int = 8
    events: int = 10
    event_seconds: float = 0.01
    token_seconds: float = 0
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    runs: Counter[str] = field(default_factory=Counter)
    address: str = ''
    incarnation: int = 0
    is_leaving: bool = False
    version: str = 'v1'
    keeps_name: bool = False
    restart_seconds: float = 1.0
    register_seconds: float = 0
    lapse_seconds: float = 1.5
    ended_by: list[str] = field(default_factory=list)
    crashing_runs: list[CrashingRun] = field(default_factory=list)
    frontends: list[Frontend] = field(default_factory=list)
    received: deque[ReceivedRequest] = field(
        default_factory=lambda: deque(maxlen=MAX_RECEIVED),
    )
    _data_centre: str = ''
    _life: _ReplicaProcess = field(
        default_factory=lambda: _ReplicaProcess(BoundedSemaphore())
    )
    _server: Server | None = None

    @property
    def is_up(self) -> bool:
        """Return whether the replica is running."""
        return self._server is not None

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._life.running

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return self._life.waiting

    def start(self, data_centre: str, host: str = '127.0.0.1') -> str:
        """Listen on a free port and register.

        :param data_centre: data centre of its VM.
        :param host: address of its VM.
        :returns: ``host:port``.
        """
        self._data_centre = data_centre
        self.address = self._listen(host, 0)
        self.register(data_centre)
        return self.address

    def register(self, data_centre: str) -> None:
        """Write its registration to the store.

        :param data_centre: data centre of its VM.
        """
        entry = Replica(
            self.name,
            self.address,
            self.service,
            data_centre,
            self.slots,
            self.is_leaving,
            self.incarnation,
            self.version,
        )
        self.store.put(name_replica(self.name), encode_replica(entry))

    def announce(self, *, is_leaving: bool) -> None:
        """Register whether the replica is leaving.

        :param is_leaving: whether it accepts no new work.
        """
        self.is_leaving = is_leaving
        self.register(self._data_centre)

    def stop(self) -> None:
        """Stop without notice; the registration stays in the store."""
        if self._server is not None:
            self._server.stop()
            self._server = None

    def end(self, fingerprint: str = '') -> None:
        """Crash, and restart later, under a new id unless it keeps its own.

        :param fingerprint: fingerprint of the request that caused the crash,
            empty for none.
        """
        if self._server is None:
            return
        host, _colon, port = self._server.address.rpartition(':')
        self.ended_by.append(fingerprint)
        self.stop()
        self._life.is_over = True
        for frontend in self.frontends:
            frontend.shut()
        for connection in self._life.connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        if not self.keeps_name:
            entry_key = name_replica(self.name)
            gevent.spawn_later(self.lapse_seconds, self.store.remove, entry_key)
        restart = partial(self._restart, host, int(port))
        gevent.spawn_later(self.restart_seconds, restart)

    def make_text(self, identity: str, number: int, version: str = '') -> str:
        """Make the data of one event, which shows the software version.

        :param identity: id of the request.
        :param number: number of the event, from 1.
        :param version: version that writes it, empty for the current one.
        :returns: the data.
        """
        written_by = version or self.version
        return f'{identity}-{number}@{written_by}'

    def make_output(self, identity: str, version: str = '') -> str:
        """Make the complete text of a request.

        :param identity: id of the request.
        :param version: version that writes it, empty for the current one.
        :returns: data of all events, separated by line feeds.
        """
        return '\n'.join(
            self.make_text(identity, number + 1, version)
            for number in range(self.events)
        )

    def _listen(self, host: str, port: int) -> str:
        self._life = _ReplicaProcess(BoundedSemaphore(self.slots))
        self._server = Server(host, port, self._answer)
        self._server.start()
        return self._server.address

    def _restart(self, host: str, port: int) -> None:
        if not self.keeps_name:
            base = self.name.partition('.')[0]
            self.name = f'{base}.{len(self.ended_by)}'
        elif self.incarnation:
            self.incarnation += 1
        self._listen(host, port)
        for frontend in self.frontends:
            frontend.reopen()
        self.is_leaving = False
        gevent.spawn_later(
            self.register_seconds,
            self.announce,
            is_leaving=False,
        )

    def _answer(self, request: Request) -> Response:
        self._life.connections.add(request.connection)
        while self.faults.is_dark:
            gevent.sleep(UNRESPONSIVE_STEP_SECONDS)
        self.faults.late.send(request.connection)
        if request.path == wire.REPORT_PATH:
            self.faults.endless_report.send(request.connection)
            return self._report()
        response = self._answer_request(request)
        self.faults.endless.send(request.connection, response.headers)
        body = response.body
        if not isinstance(body, bytes):
            body = _encode_stream(self, response.headers[wire.REQUEST_ID])
        self.faults.late.keep(request.connection, response, body)
        return response

    def _report(self) -> Response:
        report = UpstreamReport(
            self.running,
            self.waiting,
            self.is_leaving,
            self.incarnation,
            self._count_tokens(),
        )
        return Response(HTTPStatus.OK, encode_report(report))

    def _answer_request(self, request: Request) -> Response:
        request.body_limit = MAX_BODY_BYTES
        body = request.read_body()
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
        return self._run(request, body, headers)

    def _run(
        self,
        request: Request,
        body: bytes,
        headers: dict[str, str],
    ) -> Response:
        identity = headers[wire.REQUEST_ID]
        self.runs[identity] += 1
        self.received.append(
            ReceivedRequest(identity, time.monotonic(), dict(request.headers)),
        )
        if identity in self.faults.impossible:
            status = HTTPStatus.UNPROCESSABLE_ENTITY
            return Response(status, b'{}', headers=headers)
        if self.faults.fail:
            self.faults.fail -= 1
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return Response(status, b'{}', headers=headers)
        if self.faults.run_and_refuse:
            self.faults.run_and_refuse -= 1
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return Response(status, b'{}', headers=headers)
        last = int(request.headers.get(wire.RESUME_AFTER.lower(), 0))
        stream = self._stream(identity, last)
        if self.faults.is_unframed:
            stream = _write_unframed(request.connection, headers, stream)
        cause = self._find_cause(request, body)
        if cause:
            stream = self._run_crashing(cause)
        return Response(HTTPStatus.OK, stream, EVENT_STREAM_TYPE, headers)

    def _find_cause(self, request: Request, body: bytes) -> str:
        """Find what in a request crashes the replica, empty for nothing."""
        if self.faults.is_cured:
            return ''
        prompt = request.headers.get(wire.PROMPT_PARTS.lower(), '')
        for part in prompt.split(',')[:-1]:
            name = part.partition(':')[0]
            if name in self.faults.deadly_parts:
                return f'{DEADLY_PART_PREFIX}{name}'
        if DEADLY_MARK not in body:
            return ''
        return digest_request(
            request.headers['host'],
            request.method,
            request.target,
            body,
            request.headers.get(wire.CUSTOMER.lower(), ''),
        )

    def _count_tokens(self) -> dict[str, int]:
        if not self.token_seconds:
            return {}
        now = time.monotonic()
        return {
            identity: int((now - begun) / self.token_seconds)
            for identity, begun in self._life.begun.items()
        }

    def _stream(self, identity: str, last: int) -> Iterator[bytes]:
        life = self._life
        version = self.version
        is_broken = self.faults.break_after > 0
        self.faults.break_after = max(0, self.faults.break_after - 1)
        with ExitStack() as stack:
            _enter_slot(life, stack)
            life.begun[identity] = time.monotonic()
            stack.callback(life.begun.pop, identity, None)
            for number in range(last + 1, self.events + 1):
                gevent.sleep(self.event_seconds)
                if life.is_over:
                    raise ConnectionAbortedError('the replica has crashed')
                if is_broken and number > self.events // 2:
                    raise ConnectionAbortedError(
                        'stream broken by an injected fault'
                    )
                yield _encode_event(
                    number, self.make_text(identity, number, version)
                )

    def _run_crashing(self, cause: str) -> Iterator[bytes]:
        """Run a request that crashes the replica."""
        life = self._life
        with ExitStack() as stack:
            _enter_slot(life, stack)
            run = CrashingRun(cause, time.monotonic())
            self.crashing_runs.append(run)
            gevent.sleep(DEADLY_SECONDS)
            if not life.is_over:
                run.crashed_at = time.monotonic()
                self.end(cause)
            yield b''
            raise ConnectionAbortedError('the replica has crashed')


def _encode_event(number: int, text: str) -> bytes:
    return f'id: {number}\ndata: {text}\n\n'.encode()


def _encode_stream(replica: StandInReplica, identity: str) -> bytes:
    return b''.join(
        _encode_event(number, replica.make_text(identity, number))
        for number in range(1, replica.events + 1)
    )


def _enter_slot(life: _ReplicaProcess, stack: ExitStack) -> None:
    """Wait for a slot and release it when the stack is closed."""
    life.waiting += 1
    stack.enter_context(life.gate)
    life.waiting -= 1
    life.running += 1
    stack.callback(life.leave_slot)


def _write_unframed(
    connection: Any, headers: dict[str, str], stream: Iterator[bytes]
) -> Iterator[bytes]:
    """Write a stream that ends with its connection.

    The server would send chunks, so the response is written past it.
    """
    head = ['HTTP/1.1 200 OK', f'Content-Type: {EVENT_STREAM_TYPE}']
    head += [f'{name}: {text}' for name, text in headers.items()]
    connection.sendall('\r\n'.join((*head, '', '')).encode())
    try:
        for event in stream:
            connection.sendall(event)
    except ConnectionAbortedError:
        # The end of the connection alone would look complete.
        connection.sendall(b'id: ')
        connection.shutdown(socket.SHUT_RDWR)
        raise
    connection.shutdown(socket.SHUT_RDWR)
    yield b''
    raise ConnectionAbortedError('the response ended with its connection')
