"""Bodies of calls to the key-value service."""

from __future__ import annotations

import msgspec


class StoredItem(msgspec.Struct, omit_defaults=True):
    """The current state of a key, or an event of a watch.

    :param key: its name.
    :param value: its bytes as base64.
    :param revision: revision of its last change.
    :param created: revision of its creation.
    :param lease: lease with which it expires, 0 for none.
    :param is_gone: whether the event reports that the key was removed.
    """

    key: str
    value: str = ''
    revision: int = 0
    created: int = msgspec.field(default=0, name='createRev')
    lease: int = 0
    is_gone: bool = msgspec.field(default=False, name='tombstone')


class RevisionOnly(msgspec.Struct):
    """A key without its value, which is not decoded.

    :param revision: revision of its last change.
    """

    revision: int


class ItemPage(msgspec.Struct):
    """A page of keys.

    :param items: the keys in order.
    :param more: whether another page follows.
    :param revision: revision of the whole service.
    """

    items: list[StoredItem] = []
    more: bool = msgspec.field(default=False, name='morePages')
    revision: int = msgspec.field(default=0, name='storeRevision')


class EventPage(msgspec.Struct):
    """The events of a watch.

    :param events: changes in order.
    :param revision: revision to continue from.
    """

    events: list[StoredItem] = []
    revision: int = msgspec.field(default=0, name='storeRevision')


class KeyGuard(msgspec.Struct):
    """A condition of a commit.

    :param key: name of the key.
    :param revision: revision that it must have; 0 if it must be absent.
    """

    key: str
    revision: int


class KeyWrite(msgspec.Struct):
    """A key that a commit writes.

    :param key: its name.
    :param value: its bytes as base64.
    :param lease: lease with which it expires, 0 for none.
    """

    key: str
    value: str
    lease: int = 0


class CommitBody(msgspec.Struct):
    """Conditions and changes of a commit.

    :param guards: conditions; the commit takes effect only if all hold.
    :param writes: keys that are written.
    :param deletes: keys that are removed.
    """

    guards: list[KeyGuard] = msgspec.field(name='ifRevision')
    writes: list[KeyWrite] = msgspec.field(name='setKeys')
    deletes: list[str] = msgspec.field(name='remove')


class Committed(msgspec.Struct):
    """Answer to a commit that took effect.

    :param revision: the new revision.
    """

    revision: int


class LeaseBody(msgspec.Struct):
    """Time to live of a lease, as requested or as renewed.

    :param time_to_live: milliseconds.
    """

    time_to_live: int = msgspec.field(name='ttlMs')


class GrantedLease(msgspec.Struct):
    """A lease that was granted.

    :param lease: its id.
    :param time_to_live: milliseconds.
    """

    lease: int
    time_to_live: int = msgspec.field(default=0, name='ttlMs')
