"""The settings file of a process on the platform."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path

import msgspec

from wigeonpier.models import DEFAULT_VALUE_BYTES, Bounds, HostSettings
from wigeonpier.settings.document import DocumentError

FILE_VARIABLE = 'WIGEONPIER_NODE_FILE'
DEFAULT_FILE = '/etc/wigeonpier/settings.toml'
DEFAULT_STATUS_SECONDS = 120.0
DEFAULT_CONTACT_MS = 3000.0
MILLISECONDS = 1000
# Parts of the platform's rules that a site may be under.
HEALTH_CONTRACT = 'health'
PRESSURE_CONTRACT = 'pressure'


class _Listen(msgspec.Struct):
    frontend: str = ''
    readiness: str = ''


class _Bounds(msgspec.Struct):
    grace_s: float = msgspec.field(name='graceS')
    status_s: float = msgspec.field(
        name='statusS', default=DEFAULT_STATUS_SECONDS
    )
    # Time after a disturbance for which a process may act on old state.
    contact_ms: float = msgspec.field(
        name='contactMs', default=DEFAULT_CONTACT_MS
    )
    is_strict: bool = msgspec.field(name='strictRevocation', default=False)
    revoke_ms: float = msgspec.field(name='revokeMs', default=0)
    quota_window_s: float = msgspec.field(name='quotaWindowS', default=5)
    quota_overage: float = msgspec.field(name='quotaOverage', default=0)
    quota_slack: float = msgspec.field(name='quotaSlack', default=0)


class _Platform(msgspec.Struct):
    address: str
    history_s: float = msgspec.field(name='historyS')
    value_bytes: int = msgspec.field(
        name='valueBytes', default=DEFAULT_VALUE_BYTES
    )


class _Tolerance(msgspec.Struct):
    machines: int = 0


class _Settings(msgspec.Struct):
    node: str
    zone: str
    region: str
    ip: str
    inner_ports: tuple[int, int] = msgspec.field(name='internalPorts')
    zones: dict[str, str]
    bounds: _Bounds
    platform: _Platform
    listen: _Listen = msgspec.field(default_factory=_Listen)
    tolerance: _Tolerance = msgspec.field(
        name='faultTolerance',
        default_factory=_Tolerance,
    )
    data_folder: str = msgspec.field(name='dataDir', default='')
    # The upstream on the same VM is called an app.
    app: str = ''
    service: str = ''
    contracts: tuple[str, ...] = ()


def find_settings() -> str:
    """Find the settings file.

    :returns: its path.
    """
    return os.environ.get(FILE_VARIABLE) or DEFAULT_FILE


def read_settings(path: str) -> HostSettings:
    """Read and validate the settings file.

    :param path: the file.
    :returns: the settings.
    :raises DocumentError: when it cannot be used; the message names the
        invalid field.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
        found = msgspec.toml.decode(text, type=_Settings)
    except (OSError, msgspec.DecodeError, tomllib.TOMLDecodeError) as error:
        raise DocumentError([f'{path}: {error}']) from error
    return HostSettings(
        name=found.node,
        data_centre=found.zone,
        region=found.region,
        regions=found.zones,
        store=found.platform.address,
        store_history=found.platform.history_s,
        bounds=_make_bounds(found.bounds),
        store_value_bytes=found.platform.value_bytes,
        callers=found.listen.frontend,
        readiness=found.listen.readiness,
        upstream=found.app,
        service=found.service,
        metrics=f'{found.ip}:{found.inner_ports[0]}',
        peers=f'{found.ip}:{found.inner_ports[1]}',
        data_folder=found.data_folder,
        disks_lost=found.tolerance.machines,
        has_unreliable_upstreams=HEALTH_CONTRACT in found.contracts,
        has_slow_readers=PRESSURE_CONTRACT in found.contracts,
    )


def _make_bounds(found: _Bounds) -> Bounds:
    revoke_ms = found.revoke_ms if found.is_strict else 0
    return Bounds(
        grace=found.grace_s,
        job_readable=found.status_s,
        contact=found.contact_ms / MILLISECONDS,
        revocation=revoke_ms / MILLISECONDS,
        quota_window=found.quota_window_s,
        quota_overage=found.quota_overage,
        quota_slack=found.quota_slack,
    )
