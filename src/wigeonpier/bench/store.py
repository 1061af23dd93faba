"""Stand-in for the users' key-value service, with leases and watches."""

from __future__ import annotations

import base64
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event as Signal

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.loops import spawn_loop
from wigeonpier.platform import wire
from wigeonpier.platform.messages import (
    CommitBody,
    Committed,
    EventPage,
    GrantedLease,
    ItemPage,
    KeyWrite,
    LeaseBody,
    StoredItem,
)
from wigeonpier.web.messages import Request, Response, answer_json
from wigeonpier.web.server import Server, dispatch_to, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

# 32 values in base64.
MAX_BODY_BYTES = 48_000_000
MAX_ENTRIES = 32
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1_048_576
PAGE_KEYS = 500
PAGE_BYTES = 1_000_000
CHECK_INTERVAL_SECONDS = 0.05
MILLISECONDS = 1000
NUMBER = '([0-9]+)'


@dataclass(slots=True)
class StoreFaults:
    """Active faults of the stand-in.

    :param is_down: answers every call with 503.
    :param is_silent: delays all answers until this is reset.
    :param is_deaf: never answers the calls that arrive while this is set.
    :param lost_writes: number of next POST calls that take effect without an
        answer.
    :param late_writes: number of next transactions that get no answer, and are
        executed later if their conditions still hold.
    :param late_prefix: they write a key with this prefix.
    :param late_seconds: how much later they are executed.
    :param watch_round: watches that began in an earlier round are not answered.
    """

    is_down: bool = False
    is_silent: bool = False
    is_deaf: bool = False
    lost_writes: int = 0
    late_writes: int = 0
    late_prefix: str = ''
    late_seconds: float = 1.0
    watch_round: int = 0

    def lose_watches(self) -> None:
        """Lose the answers of all watches that wait now.

        Nothing further arrives on their connections; new calls are answered.
        """
        self.watch_round += 1

    def takes_late(self, body: CommitBody) -> bool:
        """Decide whether a transaction is executed later, and count it.

        :param body: the transaction.
        :returns: whether it is.
        """
        is_late = self.late_writes > 0 and any(
            write.key.startswith(self.late_prefix) for write in body.writes
        )
        self.late_writes -= is_late
        return is_late


@dataclass(slots=True)
class _Lease:
    seconds: float
    ends_at: float


@dataclass(slots=True)
class StandInStore:
    """In-memory key-value service.

    :param faults: active faults.
    :param calls: number of calls by path.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: Counter[str] = field(default_factory=Counter)
    _cells: dict[str, StoredItem] = field(default_factory=dict)
    _stale_cells: dict[str, StoredItem] | None = None
    _history: list[StoredItem] = field(default_factory=list)
    _leases: dict[int, _Lease] = field(default_factory=dict)
    _revision: int = 1
    _granted: int = 0
    _compacted: int = 0
    _changed: Signal = field(default_factory=Signal)
    _server: Server | None = None

    def start(self) -> str:
        """Listen on a free loopback port.

        :returns: ``host:port``.
        """
        routes = [
            make_route('GET', wire.KEY_PATH, self._get),
            make_route('GET', wire.RANGE_PATH, self._list),
            make_route('GET', wire.WATCH_PATH, self._watch),
            make_route('POST', wire.COMMIT_PATH, self._commit),
            make_route('POST', wire.LEASE_PATH, self._grant),
            make_route('POST', wire.RENEW_PATH + NUMBER, self._renew_lease),
            make_route('DELETE', wire.REVOKE_PATH + NUMBER, self._revoke_lease),
        ]
        self._server = Server('127.0.0.1', 0, self._guard(dispatch_to(routes)))
        self._server.start()
        spawn_loop('expiry', self._expire)
        return self._server.address

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def put(self, key: str, content: Any) -> int:
        """Write a key, as the operator and replicas do.

        :param key: name of the key.
        :param content: bytes, or an object that msgspec can encode.
        :returns: the revision.
        """
        is_raw = isinstance(content, bytes)
        written = content if is_raw else msgspec.json.encode(content)
        raw = base64.b64encode(written).decode()
        return self._apply([KeyWrite(key, raw)], [])

    def remove(self, key: str) -> None:
        """Remove a key, as replicas that leave do.

        :param key: name of the key.
        """
        self._apply([], [key])

    def list_keys(self, prefix: str) -> list[str]:
        """List the keys with a prefix.

        :param prefix: prefix of the keys.
        :returns: sorted keys.
        """
        return sorted(key for key in self._cells if key.startswith(prefix))

    def compact(self) -> None:
        """Drop the history; watches of older revisions are answered with 410."""
        self._compacted = self._revision
        self._history.clear()
        self._notify_watches()

    def keep_old(self, without: str = '') -> None:
        """Answer reads that allow stale data from the present state.

        :param without: prefix of keys that such reads omit, empty for none.
        """
        self._stale_cells = {
            key: cell
            for key, cell in self._cells.items()
            if not without or not key.startswith(without)
        }

    def _guard(
        self,
        handle: Callable[[Request], Response],
    ) -> Callable[[Request], Response]:
        def guard(request: Request) -> Response:
            self.calls[request.path] += 1
            if self.faults.is_deaf:
                Signal().wait()
            while self.faults.is_silent:
                gevent.sleep(CHECK_INTERVAL_SECONDS)
            if self.faults.is_down:
                raise Refusal(ErrorKind.platform_down, 'down')
            request.body_limit = MAX_BODY_BYTES
            response = handle(request)
            if request.method == 'POST' and self.faults.lost_writes:
                self.faults.lost_writes -= 1
                raise ConnectionAbortedError(
                    'answer dropped by an injected fault'
                )
            return response

        return guard

    def _get(self, request: Request) -> Response:
        query = _read_query(request)
        cell = _choose_cells(query, self._cells, self._stale_cells).get(
            query[wire.KEY]
        )
        if cell is None:
            return answer_json({}, HTTPStatus.NOT_FOUND)
        return answer_json(cell)

    def _list(self, request: Request) -> Response:
        query = _read_query(request)
        cells = _choose_cells(query, self._cells, self._stale_cells)
        found = [
            key
            for key in sorted(cells)
            if key.startswith(query.get(wire.PREFIX, ''))
            and key > query.get(wire.AFTER, '')
        ]
        page = _limit_page([cells[key] for key in found])
        has_more = len(found) > len(page)
        return answer_json(ItemPage(page, has_more, self._revision))

    def _watch(self, request: Request) -> Response:
        query = _read_query(request)
        after = int(query[wire.AFTER])
        deadline = (
            time.monotonic() + int(query[wire.WATCH_WAIT_MS]) / MILLISECONDS
        )
        begun_in = self.faults.watch_round
        while True:
            if begun_in != self.faults.watch_round:
                Signal().wait()
            if after < self._compacted:
                return answer_json({}, HTTPStatus.GONE)
            events = [
                event
                for event in self._history
                if event.revision > after
                and event.key.startswith(query[wire.PREFIX])
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return answer_json(EventPage(events, self._revision))
            self._changed.wait(left)

    def _commit(self, request: Request) -> Response:
        body = msgspec.json.decode(request.read_body(), type=CommitBody)
        if not _is_within_limits(body):
            return answer_json({}, HTTPStatus.BAD_REQUEST)
        if self.faults.takes_late(body):
            gevent.spawn_later(self.faults.late_seconds, self._perform, body)
            Signal().wait()
        return self._perform(body)

    def _perform(self, body: CommitBody) -> Response:
        for guard in body.guards:
            cell = self._cells.get(guard.key)
            revision = cell.revision if cell else 0
            if revision != guard.revision:
                return answer_json({}, HTTPStatus.PRECONDITION_FAILED)
        leases = {write.lease for write in body.writes} - {0}
        if leases - set(self._leases):
            return answer_json({}, HTTPStatus.NOT_FOUND)
        return answer_json(Committed(self._apply(body.writes, body.deletes)))

    def _grant(self, request: Request) -> Response:
        requested = msgspec.json.decode(request.read_body(), type=LeaseBody)
        seconds = requested.time_to_live / MILLISECONDS
        # A reused id would keep the keys of a crashed owner alive.
        self._granted += 1
        lease = self._granted
        self._leases[lease] = _Lease(seconds, time.monotonic() + seconds)
        return answer_json(GrantedLease(lease, requested.time_to_live))

    def _renew_lease(self, _request: Request, lease: str) -> Response:
        found = self._leases.get(int(lease))
        if found is None:
            return answer_json({}, HTTPStatus.NOT_FOUND)
        found.ends_at = time.monotonic() + found.seconds
        return answer_json(LeaseBody(int(found.seconds * MILLISECONDS)))

    def _revoke_lease(self, _request: Request, lease: str) -> Response:
        self._remove_lease(int(lease))
        return answer_json({})

    def _remove_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is not None:
            removed = [
                key for key, cell in self._cells.items() if cell.lease == lease
            ]
            self._apply([], removed)

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, found in list(self._leases.items()):
            if found.ends_at < now:
                self._remove_lease(lease)
        gevent.sleep(CHECK_INTERVAL_SECONDS)

    def _apply(self, writes: list[KeyWrite], deletes: list[str]) -> int:
        self._revision += 1
        revision = self._revision
        for write in writes:
            known = self._cells.get(write.key)
            self._cells[write.key] = StoredItem(
                write.key,
                write.value,
                revision,
                known.created if known else revision,
                write.lease,
            )
            self._history.append(self._cells[write.key])
        for key in deletes:
            if self._cells.pop(key, None) is not None:
                removed = StoredItem(key, revision=revision, is_gone=True)
                self._history.append(removed)
        self._notify_watches()
        return revision

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed.clear()


def _read_query(request: Request) -> dict[str, str]:
    return {name: found[0] for name, found in parse_qs(request.query).items()}


def _is_within_limits(body: CommitBody) -> bool:
    """Check the limits that the service sets to a transaction."""
    written = [write.key for write in body.writes]
    keys = [guard.key for guard in body.guards] + written + body.deletes
    return (
        len(keys) <= MAX_ENTRIES
        and all(len(key.encode()) <= MAX_KEY_BYTES for key in keys)
        and all(
            len(base64.b64decode(write.value)) <= MAX_VALUE_BYTES
            for write in body.writes
        )
    )


def _limit_page(cells: list[StoredItem]) -> list[StoredItem]:
    """Choose the keys of one page: at least one, if there is any."""
    size = 0
    for number, cell in enumerate(cells[:PAGE_KEYS]):
        size += len(cell.value)
        if number and size > PAGE_BYTES:
            return cells[:number]
    return cells[:PAGE_KEYS]


def _choose_cells(
    query: dict[str, str],
    current: dict[str, StoredItem],
    stale: dict[str, StoredItem] | None,
) -> dict[str, StoredItem]:
    return stale if wire.ALLOW_STALE in query and stale is not None else current
