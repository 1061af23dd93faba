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
# Precedes the digest of a request's content in the key of a record.
CONTENT_PREFIX = 'c-'


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


def infer_version(
    history: VersionHistory, announced: frozenset[str] | None
) -> str:
    """Infer which version began a stream of which no record is found.

    An entry that cannot rule out a second version must not guess.  Its own view
    may be outdated, and one that has just started has not seen which versions
    have left, so the announcements in the store have to name the same one.

    :param history: versions of the service that the entry knows.
    :param announced: versions that were announced within the lifetime of a
        stream, as read after the request arrived; ``None`` if that is not
        known.
    :returns: the version, ``UNKNOWN_VERSION`` if it cannot be inferred.
    """
    # Where none is announced, it is not known which versions have left.
    if not announced:
        return UNKNOWN_VERSION
    versions = history.versions | announced
    return next(iter(versions)) if len(versions) == 1 else UNKNOWN_VERSION


def merge_origins(known: StreamOrigin, origin: StreamOrigin) -> StreamOrigin:
    """Merge what began two streams whose requests have the same content.

    :param known: what began the earlier one.
    :param origin: what began the later one.
    :returns: the same if both agree, else an unknown version.
    """
    if known == origin:
        return known
    return StreamOrigin(known.service, UNKNOWN_VERSION)


def name_content(fingerprint: str) -> str:
    """Name the record of a stream by the content of its request.

    A caller that resumes a stream sends the same request again, and need not
    name the attempt that began it.

    :param fingerprint: digest of the request, with its customer.
    :returns: the key.
    """
    return CONTENT_PREFIX + fingerprint[: 2 * KEY_BYTES]


def is_content_key(key: str) -> bool:
    """Tell whether streams with the same content share a record.

    :param key: key of the record.
    :returns: false if the key is that of an attempt.
    """
    return key.startswith(CONTENT_PREFIX)


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
