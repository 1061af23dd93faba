"""The register of replicas in the store, and the load reports of replicas."""

from __future__ import annotations

import re
from enum import StrEnum
from ipaddress import AddressValueError, IPv4Address

import msgspec

from wigeonpier.models import Replica, UpstreamReport
from wigeonpier.platform import wire
from wigeonpier.platform.decoding import OddValueError, decode_value

REGISTER = wire.REGISTER
MIN_LOAD_FIELDS = 2
# Running and waiting requests and slots; later figures are not used.
USED_LOAD_FIELDS = 3
# A longer figure is no count of requests, and int() refuses thousands of digits.
MAX_DIGITS = 9
MAX_PORT = 65_535
# Far more than a replica runs at the same time.
MAX_SLOTS = 100_000
MAX_NAME_LENGTH = 200
# It is sent in a header.
_ID_PATTERN = re.compile('[!-~]+')

_NO_RUNS = msgspec.Raw(b'[]')


class _State(StrEnum):
    ready = 'ready'
    draining = 'draining'


class _Entry(msgspec.Struct):
    """An entry as the platform documents it, with all fields and types.

    Other programs write entries there as well; one that lacks a field or has
    another type is not a replica.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: _State
    sequence: int
    cold_left_ms: float = msgspec.field(name='coldLeftMs')
    # Unix millisecond of the replica's start; some deployments omit it.
    born: int = 0


class _Run(msgspec.Struct, array_like=True):
    name: str
    # Tokens in memory.
    size: float
    # Output tokens.
    made: int
    priority: int = 0


class _Report(msgspec.Struct):
    running: int = 0
    # Requests that wait for a slot.
    queued: int = 0
    state: str = _State.ready
    born: int = 0
    # Decoded separately: the load is usable without it.
    runs: msgspec.Raw = _NO_RUNS


class ForeignEntryError(ValueError):
    """An entry of the register does not describe a replica."""


def decode_replica(key: str, raw: bytes) -> Replica:
    """Read one entry of the register.

    :param key: its key, which holds the id.
    :param raw: its value.
    :returns: the replica.
    :raises ForeignEntryError: when it does not describe a replica.
    """
    name = key.removeprefix(REGISTER)
    try:
        found = decode_value(raw, _Entry)
    except OddValueError as error:
        raise ForeignEntryError(str(error)) from error
    if not 0 < found.slots <= MAX_SLOTS or not _is_address(found.address):
        address = found.address[:MAX_NAME_LENGTH]
        raise ForeignEntryError(f'{found.slots} slots at {address!r}')
    names = (found.service, found.zone, found.version)
    if not _ID_PATTERN.fullmatch(name) or not all(map(_is_name, names)):
        raise ForeignEntryError('a name that no header or log line can carry')
    return Replica(
        name=name,
        address=found.address,
        service=found.service,
        data_centre=found.zone,
        slots=found.slots,
        is_leaving=found.state is not _State.ready,
        incarnation=found.born,
        version=found.version,
    )


def encode_replica(replica: Replica) -> bytes:
    """Encode an entry as a replica does, for stand-ins.

    :param replica: the replica.
    :returns: value of its key.
    """
    return msgspec.json.encode(
        _Entry(
            service=replica.service,
            address=replica.address,
            zone=replica.data_centre,
            version=replica.version,
            slots=replica.slots,
            state=_name_state(is_leaving=replica.is_leaving),
            sequence=1,
            cold_left_ms=0,
            born=replica.incarnation,
        ),
    )


def encode_report(report: UpstreamReport) -> bytes:
    """Encode a load report as a replica does, for stand-ins.

    :param report: the load.
    :returns: body of the answer.
    """
    return msgspec.json.encode(
        _Report(
            report.running,
            report.waiting,
            _name_state(is_leaving=report.is_leaving),
            report.incarnation,
            msgspec.Raw(
                msgspec.json.encode(
                    [
                        _Run(name, 0, made)
                        for name, made in report.tokens.items()
                    ],
                ),
            ),
        ),
    )


def name_replica(name: str) -> str:
    """Name the key of a replica.

    :param name: its id.
    :returns: the key.
    """
    return REGISTER + name


def decode_report(raw: bytes) -> UpstreamReport:
    """Decode the load report of an upstream.

    :param raw: body of its answer.
    :returns: the report.
    :raises OddValueError: when it is no report.
    """
    found = decode_value(raw, _Report)
    return UpstreamReport(
        found.running,
        found.queued,
        found.state == _State.draining,
        found.born,
        _decode_tokens(found.runs),
    )


def parse_load(text: str) -> UpstreamReport | None:
    """Parse the load header of an answer.

    :param text: value of the header.
    :returns: the load, ``None`` where the header is absent or invalid.
    """
    parts = text.split(',')
    if len(parts) < MIN_LOAD_FIELDS or not all(
        _is_number(part) for part in parts[:USED_LOAD_FIELDS]
    ):
        return None
    return UpstreamReport(int(parts[0]), int(parts[1]))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def _decode_tokens(raw: msgspec.Raw) -> dict[str, int]:
    try:
        runs = decode_value(bytes(raw), list[_Run])
    except OddValueError:
        return {}
    return {run.name: run.made for run in runs}


def _name_state(*, is_leaving: bool) -> _State:
    return _State.draining if is_leaving else _State.ready


def _is_address(text: str) -> bool:
    """Check for an IPv4 address and a port; names are not looked up."""
    host, _colon, port = text.rpartition(':')
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return _is_number(port) and 0 < int(port) <= MAX_PORT


def _is_name(text: str) -> bool:
    return len(text) <= MAX_NAME_LENGTH and text.isprintable()
