"""Interface to the platform's services, and the outcomes of their calls.

A write whose answer was lost has the outcome ``unknown``: the caller has to
read the key back before it may report that the write failed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from result import Result


class Failure(StrEnum):
    """Why a platform call returned no value.

    A caller repeats what was ``unavailable``, reads back what is ``unknown``,
    reads and decides again after a ``conflict``, gets another lease if its own
    has ``lapsed``, and gives up what was ``rejected``: it exceeds a limit of the
    service, which never accepts it.
    """

    conflict = 'conflict'
    unavailable = 'unavailable'
    unknown = 'unknown'
    lapsed = 'lapsed'
    rejected = 'rejected'


@dataclass(frozen=True, slots=True)
class StorePath:
    """Where calls to the key-value service are sent.

    :param address: ``host:port`` of the service or of a relay.
    :param prefix: put before the path of each call; empty for the service.
    """

    address: str
    prefix: str = ''


class VmState(StrEnum):
    """State of a VM in the VM list."""

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
    """One change that a watch received.

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
    """Changes that take effect together or not at all.

    :param guards: revision that each key must have; 0 if it must be absent.
    :param writes: new values.
    :param deletes: keys to remove.
    :param lease: lease of the written keys, 0 for none.
    """

    guards: dict[str, int] = field(default_factory=dict)
    writes: dict[str, bytes] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys under a prefix at one revision.

    :param entries: the keys in order.
    :param revision: revision at which they were read; a watch continues after
        it.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the VM list.

    :param name: name of the VM.
    :param address: ``host:port`` of the process on the VM.
    :param data_centre: data centre of the VM.
    :param state: live or leaving.
    """

    name: str
    address: str
    data_centre: str
    state: VmState


class WatchedStore(Protocol):
    """The calls of a key-value service that a view of keys uses."""

    def list_prefix(self, prefix: str) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix."""

    def watch(
        self,
        prefix: str,
        revision: int,
        pause: Callable[[float], object] = ...,
        /,
    ) -> Iterator[Change]:
        """Yield changes after a revision until the service is unreachable.

        The pause is between the calls of a service that is polled.
        """


class Platform(Protocol):
    """Interface to the platform's services."""

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
        """Get a lease that expires unless it is renewed."""

    def renew_lease(self, lease: int) -> Result[int, Failure]:
        """Renew a lease; the value is its time to live, 0 if it has expired."""

    def watch(
        self,
        prefix: str,
        revision: int,
        pause: Callable[[float], object] = ...,
        /,
    ) -> Iterator[Change]:
        """Yield changes after a revision until the service is unreachable.

        The pause is between the calls of a service that is polled.
        """

    def list_vms(self) -> Result[tuple[Vm, ...], Failure]:
        """Read the VM list, which may be out of date."""
