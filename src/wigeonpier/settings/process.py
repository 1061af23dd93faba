"""Settings of one daemon: addresses, data centre, keys and folders."""

from __future__ import annotations

from typing import Annotated

import msgspec

MIN_KEY_LENGTH = 16
Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9A-Za-z.\-\[\]:]+:\d+$')]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
PeerKey = Annotated[str, msgspec.Meta(min_length=MIN_KEY_LENGTH)]


class ProcessSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings that all daemons have.

    :param name: name of the VM, as on the VM list.
    :param data_centre: data centre of the VM.
    :param site: overlay that applies; the data centre where it is empty.
    :param listen: ``host:port`` for callers and peers; port 0 for any free
        port.
    :param platform: ``host:port`` of the platform's gateway.
    :param peer_keys: shared keys of the processes; the first one is sent, all
        are accepted.
    :param data_folder: folder for bulk data, empty for none.
    :param entries: ``host:port`` of the entry processes to contact first.
    :param log_level: minimum level of logged events.
    :param trace_file: file for spans, JSON lines, empty for none.
    :param otlp: ``host:port`` of an OTLP/HTTP collector, empty for none.
    :param drain_seconds: longest wait for work in progress at a stop.
    """

    name: str
    data_centre: str
    site: str = ''
    listen: Address = '127.0.0.1:0'
    platform: Address
    peer_keys: Annotated[tuple[PeerKey, ...], msgspec.Meta(min_length=1)]
    data_folder: str = ''
    entries: tuple[Address, ...] = ()
    log_level: str = 'info'
    trace_file: str = ''
    otlp: str = ''
    drain_seconds: PositiveSeconds = 60


class EntrySettings(ProcessSettings, kw_only=True, forbid_unknown_fields=True):
    """Settings of an entry process.

    :param admin: ``host:port`` of the administration listener.
    :param grace_seconds: how long a leaving entry still accepts requests, so
        that the load balancer can detect that it is not ready.
    """

    admin: Address = '127.0.0.1:0'
    grace_seconds: Annotated[float, msgspec.Meta(ge=0)] = 5


class LocalSettings(ProcessSettings, kw_only=True, forbid_unknown_fields=True):
    """Settings of a local process.

    :param upstream: ``host:port`` of the upstream on the same VM.
    :param service: service that the upstream is a replica of.
    """

    upstream: Address
    service: str


def split_address(address: str) -> tuple[str, int]:
    """Split an address.

    :param address: ``host:port``.
    :returns: host and port.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
