"""Decides where a stream that has begun may continue.

Addresses fleets in which several software versions of an upstream serve side
by side, while entries are killed and connections are reset, so that streams
continue elsewhere.  What two versions write does not fit together, and
upstreams do not check it.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wigeonpier.policy.route import UpstreamState

# Never equal to a version, not even to itself.
UNKNOWN_VERSION = ''
# 96 bits, whatever the length of the id.
KEY_BYTES = 12


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What wrote the first event of a stream.

    :param service: service that the upstream is a replica of.
    :param version: software version of the upstream, ``UNKNOWN_VERSION`` if the
        entry did not know it; such a stream continues nowhere else.
    """

    service: str
    version: str


@dataclass(frozen=True, slots=True)
class VersionHistory:
    """Software versions of a service that an entry knows from the register.

    :param versions: versions that have served within the lifetime of a stream.
    :param is_settled: whether the entry has followed the register without
        interruption for that long, and knows all of these versions.
    """

    versions: frozenset[str]
    is_settled: bool


def is_same_version(first: str, second: str) -> bool:
    """Check whether two versions are known to be the same.

    :param first: software version.
    :param second: the other one.
    :returns: false if one of them is unknown.
    """
    return first != UNKNOWN_VERSION and first == second


def may_continue(state: UpstreamState, origin: StreamOrigin | None) -> bool:
    """Check whether an upstream is of the version that began a stream.

    :param state: the upstream.
    :param origin: what began the stream, ``None`` if none has begun.
    :returns: false if either version is unknown.
    """
    if origin is None:
        return True
    return state.service == origin.service and is_same_version(
        state.version, origin.version
    )


def infer_version(history: VersionHistory, *, names_attempt: bool) -> str:
    """Infer which version began a stream of which no record is found.

    An entry that cannot rule out a second version must not guess.  A caller
    that names no attempt leaves nothing to look up; its stream continues as
    long as one version is known.

    :param history: versions of the service.
    :param names_attempt: whether the caller named the attempt that received
        the first event.
    :returns: the version, ``UNKNOWN_VERSION`` if it cannot be inferred.
    """
    if len(history.versions) != 1:
        return UNKNOWN_VERSION
    if names_attempt and not history.is_settled:
        return UNKNOWN_VERSION
    return next(iter(history.versions))


def digest_attempt(identity: str, customer: str) -> str:
    """Compute the key under which the origin of a stream is recorded.

    :param identity: id of the attempt that received its first event.
    :param customer: customer of the request, so that nobody finds the streams
        of another one; empty where no key is needed.
    :returns: hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    digest.update(f'{customer}\n{identity}'.encode())
    return digest.hexdigest()
