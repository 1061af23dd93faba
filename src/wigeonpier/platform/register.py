"""The replicas' register in the store, and what replicas say of themselves."""

from __future__ import annotations

import msgspec

from wigeonpier.models import Replica, UpstreamReport
from wigeonpier.platform import wire

REGISTER = wire.REGISTER
LOAD_FIELDS = 2
READY = 'ready'
DRAINING = 'draining'


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = READY


class _Report(msgspec.Struct):
    running: int = 0
    # Requests that wait for a slot.
    queued: int = 0
    state: str = READY


def decode_replica(key: str, raw: bytes) -> Replica:
    """Read one entry of the register.

    :param key: its key, which holds the id.
    :param raw: its value.
    :returns: the replica.
    :raises msgspec.DecodeError: when it is none.
    """
    found = msgspec.json.decode(raw, type=_Entry)
    return Replica(
        name=key.removeprefix(REGISTER),
        address=found.address,
        service=found.service,
        data_centre=found.zone,
        slots=max(1, found.slots),
        is_leaving=found.state != READY,
    )


def encode_replica(replica: Replica) -> bytes:
    """Write an entry as a replica does, for stand-ins.

    :param replica: the replica.
    :returns: value of its key.
    """
    return msgspec.json.encode(
        _Entry(
            replica.service,
            replica.address,
            replica.data_centre,
            replica.slots,
            DRAINING if replica.is_leaving else READY,
        ),
    )


def encode_report(report: UpstreamReport) -> bytes:
    """Write a report as a replica does, for stand-ins.

    :param report: its load.
    :returns: body of the answer.
    """
    state = DRAINING if report.is_leaving else READY
    return msgspec.json.encode(_Report(report.running, report.waiting, state))


def name_replica(name: str) -> str:
    """Name the key of a replica.

    :param name: its id.
    :returns: the key.
    """
    return REGISTER + name


def decode_report(raw: bytes) -> UpstreamReport:
    """Read what an upstream reports of itself.

    :param raw: body of its answer.
    :returns: the report.
    :raises msgspec.DecodeError: when it is none.
    """
    found = msgspec.json.decode(raw, type=_Report)
    return UpstreamReport(
        found.running,
        found.queued,
        found.state == DRAINING,
    )


def parse_load(text: str) -> UpstreamReport | None:
    """Read the load that comes with an answer.

    :param text: value of the header.
    :returns: the load, ``None`` where there is none.
    """
    parts = text.split(',')
    if len(parts) < LOAD_FIELDS or not all(part.isdigit() for part in parts):
        return None
    return UpstreamReport(int(parts[0]), int(parts[1]))
