"""What the system needs of the platform, and every outcome a call can have.

A write whose answer was lost is an outcome of its own: the caller has to
read back before it may tell anyone that the write failed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

    from result import Result


class Failure(StrEnum):
    """Why a platform call gave no value."""

    conflict = 'conflict'
    unavailable = 'unavailable'
    unknown = 'unknown'
    lapsed = 'lapsed'


@dataclass(frozen=True, slots=True)
class Way:
    """A way by which calls reach the key-value service.

    :param address: ``host:port`` that takes them.
    :param prefix: put before the path of each call.
    """

    address: str
    prefix: str = ''


class VmState(StrEnum):
    """What the VM list says of a VM."""

    live = 'live'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Entry:
    """One key of the key-value service.

    :param key: its name.
    :param value: its bytes, at most 1 MB.
    :param revision: revision of its last change.
    :param created: revision of its creation, 0 where it is not known.
    """

    key: str
    value: bytes
    revision: int
    created: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """One change that a watch saw.

    :param key: key that changed.
    :param value: new bytes, ``None`` where the key was deleted.
    :param revision: revision of the change.
    :param created: revision of the key's creation, 0 where it is not known.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@dataclass(frozen=True, slots=True)
class Commit:
    """Changes of which all take effect or none.

    :param guards: revision that each key must have, 0 for absent.
    :param writes: new values.
    :param deletes: keys to remove.
    :param lease: lease that the written keys end with, 0 for none.
    """

    guards: dict[str, int] = field(default_factory=dict)
    writes: dict[str, bytes] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys under a prefix at one revision.

    :param entries: the keys in order.
    :param revision: revision at which they were read; a watch goes on after.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list.

    :param name: name of the VM.
    :param address: ``host:port`` of its process of the system.
    :param data_centre: where it stands.
    :param state: live or leaving.
    """

    name: str
    address: str
    data_centre: str
    state: VmState


class WatchedStore(Protocol):
    """What a view of keys needs of a key-value service."""

    def list_prefix(self, prefix: str) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix."""

    def watch(self, prefix: str, revision: int) -> Iterator[Change]:
        """Yield changes after a revision; ends when the service is lost."""


class Platform(Protocol):
    """The narrow port to the platform's services."""

    def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key."""

    def list_prefix(self, prefix: str) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix."""

    def swap(
        self,
        key: str,
        value: bytes | None,
        revision: int,
        lease: int = 0,
    ) -> Result[int, Failure]:
        """Write a key if it still has the revision.

        Revision 0 creates the key if it is absent; no value deletes it.
        """

    def delete_prefix(self, prefix: str) -> Result[int, Failure]:
        """Delete all keys under a prefix; the value is the revision."""

    def grant_lease(self, seconds: int) -> Result[int, Failure]:
        """Get a lease that lapses unless it is kept alive."""

    def keep_lease(self, lease: int) -> Result[int, Failure]:
        """Keep a lease alive; the value is its time to live, 0 if lapsed."""

    def watch(self, prefix: str, revision: int) -> Iterator[Change]:
        """Yield changes after a revision; ends when the service is lost."""

    def list_vms(self) -> Result[tuple[Vm, ...], Failure]:
        """Read the VM list, which lags behind reality."""
