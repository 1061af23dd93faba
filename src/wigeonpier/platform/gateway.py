"""Client of the etcd v3 JSON gateway and of the VM list, over HTTP."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, TypeVar

import msgspec
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from wigeonpier.platform.port import (
    Change,
    Entry,
    Failure,
    Snapshot,
    Vm,
    VmState,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.client import CallFailure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.web.client import HttpClient, Reply

CALL_TIMEOUT_SECONDS = 2.0
WATCH_SECONDS = 60.0
MAX_WATCH_LINE_BYTES = 16_777_216
SERVER_ERROR = 500
_DELETE = 'DELETE'

Model = TypeVar('Model')


class _KeyValue(msgspec.Struct):
    key: str = ''
    value: str = ''
    mod_revision: str = '0'


class _Header(msgspec.Struct):
    revision: str = '0'


class _RangeReply(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    kvs: list[_KeyValue] = []


class _TxnReply(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    succeeded: bool = False


class _LeaseReply(msgspec.Struct):
    identity: str = msgspec.field(default='0', name='ID')
    seconds: str = msgspec.field(default='0', name='TTL')


class _KeepReply(msgspec.Struct):
    result: _LeaseReply = msgspec.field(default_factory=_LeaseReply)


class _WatchEvent(msgspec.Struct):
    kv: _KeyValue
    type: str = 'PUT'


class _WatchResult(msgspec.Struct):
    events: list[_WatchEvent] = []


class _WatchReply(msgspec.Struct):
    result: _WatchResult = msgspec.field(default_factory=_WatchResult)


class _VmReply(msgspec.Struct):
    name: str
    address: str
    data_centre: str
    state: VmState


class GatewayPlatform:
    """Implements :class:`Platform` over HTTP."""

    def __init__(self, client: HttpClient, address: str) -> None:
        """Create a client of the gateway.

        :param client: sends the requests.
        :param address: ``host:port`` of the gateway.
        """
        self._client = client
        self._address = address

    def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key."""
        read = self._range({'key': _encode(key.encode())})
        if isinstance(read, Err):
            return read
        entries = read.ok_value.entries
        return Ok(entries[0] if entries else None)

    def list_prefix(self, prefix: str) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix."""
        return self._range(_make_prefix_range(prefix))

    def swap(
        self,
        key: str,
        value: bytes | None,
        revision: int,
        lease: int = 0,
    ) -> Result[int, Failure]:
        """Write a key if it still has the revision; 0 creates it if absent."""
        name = _encode(key.encode())
        body = {
            'compare': [
                {
                    'key': name,
                    'target': 'MOD',
                    'result': 'EQUAL',
                    'mod_revision': str(revision),
                },
            ],
            'success': [_make_change(name, value, lease)],
        }
        wrote = self._call('/v3/kv/txn', body, _TxnReply, Failure.unknown)
        if isinstance(wrote, Err):
            return wrote
        if not wrote.ok_value.succeeded:
            return Err(Failure.conflict)
        return Ok(int(wrote.ok_value.header.revision))

    def delete_prefix(self, prefix: str) -> Result[int, Failure]:
        """Delete all keys under a prefix; the value is the revision."""
        deleted = self._call(
            '/v3/kv/deleterange',
            _make_prefix_range(prefix),
            _RangeReply,
            Failure.unknown,
        )
        return deleted.map(lambda reply: int(reply.header.revision))

    def grant_lease(self, seconds: int) -> Result[int, Failure]:
        """Get a lease that expires unless it is renewed."""
        granted = self._call(
            '/v3/lease/grant',
            {'TTL': str(seconds)},
            _LeaseReply,
            Failure.unknown,
        )
        return granted.map(lambda reply: int(reply.identity))

    def renew_lease(self, lease: int) -> Result[int, Failure]:
        """Renew a lease; the value is its time to live, 0 if it has expired."""
        renewed = self._call(
            '/v3/lease/keepalive',
            {'ID': str(lease)},
            _KeepReply,
            Failure.unknown,
        )
        return renewed.map(lambda reply: int(reply.result.seconds))

    def watch(
        self,
        prefix: str,
        revision: int,
        _pause: Callable[[float], object] | None = None,
    ) -> Iterator[Change]:
        """Yield changes after a revision until the connection is lost.

        Each change arrives on the open connection, so there is no pause.
        """
        create = _make_prefix_range(prefix) | {
            'start_revision': str(revision + 1)
        }
        opened = self._client.open(
            self._address,
            'POST',
            '/v3/watch',
            msgspec.json.encode({'create_request': create}),
            timeout=WATCH_SECONDS,
        )
        if isinstance(opened, Err):
            return
        try:
            for line in opened.ok_value.iterate_lines(
                WATCH_SECONDS, MAX_WATCH_LINE_BYTES
            ):
                yield from _read_changes(line)
        except (OSError, HTTPParseError, msgspec.DecodeError):
            return
        finally:
            opened.ok_value.close()

    def list_vms(self) -> Result[tuple[Vm, ...], Failure]:
        """Read the VM list, which may be out of date."""
        called = self._client.call(
            self._address,
            'GET',
            '/vms',
            timeout=CALL_TIMEOUT_SECONDS,
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            return Err(Failure.unavailable)
        listed = called.ok_value.decode(list[_VmReply])
        return Ok(
            tuple(
                Vm(vm.name, vm.address, vm.data_centre, vm.state)
                for vm in listed
            ),
        )

    def _range(self, body: dict[str, str]) -> Result[Snapshot, Failure]:
        read = self._call(
            '/v3/kv/range',
            body,
            _RangeReply,
            Failure.unavailable,
        )
        return read.map(_make_snapshot)

    def _call(
        self,
        path: str,
        body: object,
        model: type[Model],
        failure_if_lost: Failure,
    ) -> Result[Model, Failure]:
        called = self._client.call(
            self._address,
            'POST',
            path,
            msgspec.json.encode(body),
            timeout=CALL_TIMEOUT_SECONDS,
        )
        failure = _find_failure(called, failure_if_lost)
        if failure is None:
            return Ok(called.unwrap().decode(model))
        event = (
            Event.platform_unknown
            if failure is Failure.unknown
            else Event.platform_failed
        )
        log_event(event, path=path)
        return Err(failure)


def _find_failure(
    called: Result[Reply, CallFailure],
    failure_if_lost: Failure,
) -> Failure | None:
    if isinstance(called, Err):
        if called.err_value is CallFailure.not_sent:
            return Failure.unavailable
        return failure_if_lost
    reply = called.ok_value
    if reply.is_good:
        return None
    # A gateway may have forwarded a write before it answered with a server
    # error.
    return (
        failure_if_lost if reply.status >= SERVER_ERROR else Failure.unavailable
    )


def _make_snapshot(reply: _RangeReply) -> Snapshot:
    entries = tuple(
        Entry(
            base64.b64decode(pair.key).decode(),
            base64.b64decode(pair.value),
            int(pair.mod_revision),
        )
        for pair in reply.kvs
    )
    return Snapshot(entries, int(reply.header.revision))


def _read_changes(line: bytes) -> Iterator[Change]:
    for event in msgspec.json.decode(line, type=_WatchReply).result.events:
        value = base64.b64decode(event.kv.value)
        yield Change(
            base64.b64decode(event.kv.key).decode(),
            None if event.type == _DELETE else value,
            int(event.kv.mod_revision),
        )


def _make_change(
    name: str,
    value: bytes | None,
    lease: int,
) -> dict[str, dict[str, str]]:
    if value is None:
        return {'request_delete_range': {'key': name}}
    put = {'key': name, 'value': _encode(value), 'lease': str(lease)}
    return {'request_put': put}


def _make_prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {'key': _encode(start), 'range_end': _encode(end)}


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
