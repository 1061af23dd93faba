"""Settings of one process: addresses, data centre, keys, folders."""

from __future__ import annotations

from typing import Annotated

import msgspec

SHORTEST_KEY = 16
Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9A-Za-z.\-\[\]:]+:\d+$')]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
PeerKey = Annotated[str, msgspec.Meta(min_length=SHORTEST_KEY)]


class ProcessSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What every daemon is told.

    :param name: name of the VM, as on the VM list.
    :param data_centre: where the VM stands.
    :param site: overlay that applies; the data centre where it is empty.
    :param listen: ``host:port`` for callers and peers; port 0 is a free one.
    :param platform: ``host:port`` of the platform's gateway.
    :param peer_keys: shared keys of the processes, the first one is sent,
        all are taken.
    :param data_folder: folder for bulk data, empty where there is none.
    :param entries: ``host:port`` of entry processes to begin with.
    :param log_level: lowest level that is logged.
    :param trace_file: file for spans, JSON lines, empty for none.
    :param otlp: ``host:port`` of an OTLP/HTTP collector, empty for none.
    :param drain_seconds: longest wait for work in hand at a stop.
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
    """What an entry process is told.

    :param admin: ``host:port`` of the administration listener.
    :param grace_seconds: how long a leaving entry still takes requests, so
        that the balancer can see that it is not ready.
    """

    admin: Address = '127.0.0.1:0'
    grace_seconds: Annotated[float, msgspec.Meta(ge=0)] = 5


class LocalSettings(ProcessSettings, kw_only=True, forbid_unknown_fields=True):
    """What a local process is told.

    :param upstream: ``host:port`` of the upstream beside it.
    :param service: service that the upstream is a replica of.
    """

    upstream: Address
    service: str


def split_address(address: str) -> tuple[str, int]:
    """Take an address apart.

    :param address: ``host:port``.
    :returns: host and port.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
