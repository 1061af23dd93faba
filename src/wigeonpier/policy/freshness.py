"""Decides what a process may do, given the age of its knowledge of keys.

Addresses a third of all entries losing the store for 8 s while keys are
revoked, and other entries that are isolated, frozen or suspended; a watch that
reports nothing does not prove that nothing has changed.  The age counts from
the request for a reading, not from its answer, which may lack keys revoked in
between.  A request is checked after it was sent, so that one that passes was
sent within the bound whatever delays the process between check and send.

Ages are of a clock that continues while the machine is suspended.
"""

from __future__ import annotations

# Shares of the time after which a revoked key must not be accepted any more.
# The remaining tenth allows for clocks that differ.
AUTHORIZE_SHARE = 0.9
# Above it, callers are better served by other entries.
READY_SHARE = 0.6
# Above it, the configuration is confirmed again; a failed attempt can be
# repeated four times before anything is refused.
CONFIRM_SHARE = 0.25
# A reading younger than this is shared with other processes, so that their
# confirmation needs no reading of their own.
REUSE_SHARE = 0.2
# Pause between attempts while the store does not answer.
RETRY_SHARE = 0.05
# Above it, a key that is unknown here may have been added since.
UNKNOWN_KEY_SHARE = 0.6


def may_authorize(age: float, bound: float) -> bool:
    """Decide whether a request with a known key may run.

    :param age: seconds since the configuration was known to be the newest.
    :param bound: seconds within which the revocation of a key has to take
        effect, 0 for no bound.
    :returns: false where the key may have been revoked too long ago.
    """
    return not bound or age < bound * AUTHORIZE_SHARE


def may_refuse_unknown_key(age: float, bound: float) -> bool:
    """Decide whether a request with an unknown key may be refused for good.

    :param age: seconds since the configuration was known to be the newest.
    :param bound: as above.
    :returns: false where other entries may know the key already.
    """
    return not bound or age < bound * UNKNOWN_KEY_SHARE


def is_ready(age: float, bound: float) -> bool:
    """Decide whether new callers with keys should be sent to this entry.

    :param age: seconds since the configuration was known to be the newest.
    :param bound: as above.
    :returns: false where another entry is likelier to serve them.
    """
    return not bound or age < bound * READY_SHARE


def is_check_due(age: float, bound: float) -> bool:
    """Decide whether the configuration has to be confirmed again.

    :param age: seconds since the configuration was known to be the newest.
    :param bound: as above.
    :returns: true where a new reading is needed.
    """
    return bool(bound) and age >= bound * CONFIRM_SHARE


def may_reuse_reading(age: float, bound: float) -> bool:
    """Decide whether a process may pass on its last reading to another one.

    :param age: seconds since the reading was requested.
    :param bound: as above.
    :returns: true where the receiver may rely on it until its next
        confirmation.
    """
    return age < bound * REUSE_SHARE
