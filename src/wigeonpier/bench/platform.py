"""Stand-in for the platform: key-value gateway, leases, watches, VM list."""

from __future__ import annotations

import base64
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from gevent.event import Event as Signal

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.web.messages import Request, Response, answer_json
from wigeonpier.web.server import Server, dispatch_to, make_route

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_BODY_BYTES = 2_000_000
LEASE_BITS = 48
WATCH_KEEPALIVE_SECONDS = 5.0


@dataclass(slots=True)
class PlatformFaults:
    """Active faults of the stand-in.

    :param down: whether every call is refused.
    :param delay: seconds before each answer.
    :param lose_answers: share of writes, 0 to 1, whose answer is lost after
        the write took effect.
    :param refuse_writes: share of writes, 0 to 1, that are lost before they
        take effect.
    :param frozen_vms: VM list to answer with, ``None`` for the current one.
    """

    down: bool = False
    delay: float = 0
    lose_answers: float = 0
    refuse_writes: float = 0
    frozen_vms: list[dict[str, str]] | None = None


@dataclass(slots=True)
class _Cell:
    value: bytes
    revision: int
    lease: int


@dataclass(slots=True)
class _Lease:
    seconds: float
    ends: float
    keys: set[str] = field(default_factory=set)


class StandInPlatform:
    """Stores keys in memory and implements the published gateway."""

    def __init__(self, seed: int = 0) -> None:
        """Start empty; the seed decides which writes and answers are lost."""
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()
        self.vms: list[dict[str, str]] = []
        self.cells: dict[str, _Cell] = {}
        self._revision = 1
        self._history: list[tuple[int, str, bytes | None]] = []
        self._leases: dict[int, _Lease] = {}
        self._changed = Signal()
        self._random = random.Random(seed)

    def handle(self, request: Request) -> Response:
        """Answer one call of the gateway.

        :param request: the call.
        :returns: the answer.
        """
        request.body_limit = MAX_BODY_BYTES
        routes = [
            make_route('POST', '/v3/kv/range', self._range),
            make_route('POST', '/v3/kv/txn', self._swap),
            make_route('POST', '/v3/kv/deleterange', self._delete),
            make_route('POST', '/v3/lease/grant', self._grant),
            make_route('POST', '/v3/lease/keepalive', self._renew_lease),
            make_route('POST', '/v3/watch', self._watch),
            make_route('GET', '/vms', self._list_vms),
        ]
        self.calls[request.path] += 1
        self._check_up()
        gevent.sleep(self.faults.delay)
        return dispatch_to(routes)(request)

    def serve(self, host: str = '127.0.0.1', port: int = 0) -> Server:
        """Listen for the gateway's calls.

        :param host: address to listen on.
        :param port: port, 0 for a free one.
        :returns: the running server.
        """
        server = Server(host, port, self.handle)
        server.start()
        return server

    def add_vm(self, name: str, address: str, data_centre: str) -> None:
        """Add a live VM to the list.

        :param name: name of the VM.
        :param address: ``host:port`` of its process.
        :param data_centre: data centre of the VM.
        """
        self.vms.append(
            {
                'name': name,
                'address': address,
                'data_centre': data_centre,
                'state': 'live',
            }
        )

    def mark_leaving(self, name: str) -> None:
        """Mark a VM as leaving.

        :param name: name of the VM.
        """
        for vm in self.vms:
            if vm['name'] == name:
                vm['state'] = 'leaving'

    def remove_vm(self, name: str) -> None:
        """Remove a VM from the list.

        :param name: name of the VM.
        """
        self.vms = [vm for vm in self.vms if vm['name'] != name]

    def lapse_lease(self, lease: int) -> None:
        """Expire a lease now and delete its keys.

        :param lease: id of the lease.
        """
        lapsed = self._leases.pop(lease, None)
        for key in lapsed.keys if lapsed else ():
            if self.cells[key].lease == lease:
                self._write(key, None, 0)

    def _check_up(self) -> None:
        if self.faults.down:
            raise Refusal(ErrorKind.platform_down, 'the service is down')

    def _range(self, request: Request) -> Response:
        message = msgspec.json.decode(request.read_body())
        start = _decode(message['key']).decode()
        end = _decode(message.get('range_end', '')).decode()
        found = [
            _render_cell(key, self.cells[key])
            for key in sorted(self.cells)
            if key == start or (end and start <= key < end)
        ]
        return answer_json({'header': self._make_header(), 'kvs': found})

    def _delete(self, request: Request) -> Response:
        message = msgspec.json.decode(request.read_body())
        start = _decode(message['key']).decode()
        end = _decode(message['range_end']).decode()
        deleted = [key for key in self.cells if start <= key < end]
        for key in deleted:
            self._write(key, None, 0)
        return answer_json({'header': self._make_header()})

    def _swap(self, request: Request) -> Response:
        message = msgspec.json.decode(request.read_body())
        compare = message['compare'][0]
        put = message['success'][0].get('request_put', {})
        if self._random.random() < self.faults.refuse_writes:
            raise Refusal(ErrorKind.outcome_unknown, 'lost before')
        key = _decode(compare['key']).decode()
        matches = int(compare['mod_revision']) == self._get_revision(key)
        lease = int(put.get('lease', 0))
        if lease and lease not in self._leases:
            raise Refusal(ErrorKind.not_found, 'requested lease not found')
        if matches:
            self._write(key, _decode(put['value']) if put else None, lease)
        if self._random.random() < self.faults.lose_answers:
            raise Refusal(ErrorKind.outcome_unknown, 'lost after')
        return answer_json(
            {'header': self._make_header(), 'succeeded': matches}
        )

    def _get_revision(self, key: str) -> int:
        cell = self.cells.get(key)
        return cell.revision if cell else 0

    def _grant(self, request: Request) -> Response:
        seconds = float(msgspec.json.decode(request.read_body())['TTL'])
        lease = self._random.getrandbits(LEASE_BITS)
        self._leases[lease] = _Lease(seconds, time.monotonic() + seconds)
        gevent.spawn(self._expire_lease, lease)
        return answer_json({'ID': str(lease), 'TTL': str(int(seconds))})

    def _renew_lease(self, request: Request) -> Response:
        lease = int(msgspec.json.decode(request.read_body())['ID'])
        found = self._leases.get(lease)
        if found is None:
            return answer_json({'result': {'ID': str(lease), 'TTL': '0'}})
        found.ends = time.monotonic() + found.seconds
        left = str(int(found.seconds))
        return answer_json({'result': {'ID': str(lease), 'TTL': left}})

    def _watch(self, request: Request) -> Response:
        message = msgspec.json.decode(request.read_body())['create_request']
        start = _decode(message['key']).decode()
        end = _decode(message['range_end']).decode()
        since = int(message['start_revision'])
        return Response(HTTPStatus.OK, self._stream_changes(start, end, since))

    def _list_vms(self, _request: Request) -> Response:
        frozen = self.faults.frozen_vms
        return answer_json(self.vms if frozen is None else frozen)

    def _stream_changes(
        self, start: str, end: str, since: int
    ) -> Iterator[bytes]:
        position = 0
        while not self.faults.down:
            changes = [
                _render_change(*change)
                for change in self._history[position:]
                if change[0] >= since and start <= change[1] < end
            ]
            position = len(self._history)
            # A line without events serves as a keep-alive.
            line = msgspec.json.encode({'result': {'events': changes}})
            yield b'%b\n' % line
            if position == len(self._history):
                self._changed.wait(WATCH_KEEPALIVE_SECONDS)

    def _write(self, key: str, value: bytes | None, lease: int) -> None:
        self._revision += 1
        if value is None:
            self.cells.pop(key, None)
        else:
            self.cells[key] = _Cell(value, self._revision, lease)
        if lease:
            self._leases[lease].keys.add(key)
        self._history.append((self._revision, key, value))
        self._changed.set()
        self._changed = Signal()

    def _expire_lease(self, lease: int) -> None:
        while lease in self._leases:
            left = self._leases[lease].ends - time.monotonic()
            if left <= 0:
                self.lapse_lease(lease)
                return
            gevent.sleep(left)

    def _make_header(self) -> dict[str, str]:
        return {'revision': str(self._revision)}


def _render_cell(key: str, cell: _Cell) -> dict[str, Any]:
    return {
        'key': _encode(key.encode()),
        'value': _encode(cell.value),
        'mod_revision': str(cell.revision),
        'lease': str(cell.lease),
    }


def _render_change(
    revision: int,
    key: str,
    value: bytes | None,
) -> dict[str, Any]:
    pair = {
        'key': _encode(key.encode()),
        'value': _encode(value or b''),
        'mod_revision': str(revision),
    }
    return {'kv': pair, 'type': 'DELETE' if value is None else 'PUT'}


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)
