"""Decides whether an entry is isolated from everything that serves requests.

Addresses an entry that callers still reach while it reaches neither the store
nor any upstream.  It used to accept requests as long as this lasted, and
refused each after four failed connections, 1.6 s later, when half of the
caller's time for another entry was over; jobs submitted to it were lost.  An
isolated entry refuses at once and leaves the rotation of the load balancer, so
that callers go to entries that can serve them.

An outage of the store alone, or the loss of the workers of all upstreams
alone, is no isolation: only both together are, and one line of load ends it.
"""

from __future__ import annotations

# The worker of each upstream reports its load at least each 0.5 s, even if
# unchanged, so two such lines of all upstreams are missing then.
ISOLATION_SECONDS = 1.0
# Leaves time to probe the store before the process counts as isolated.
PROBE_SECONDS = 0.6


def should_probe_store(silent: float) -> bool:
    """Decide whether to probe the store.

    :param silent: seconds since the last report of any upstream.
    :returns: true well before the process could count as isolated.
    """
    return silent >= PROBE_SECONDS


def is_isolated(silent: float, *, has_store: bool) -> bool:
    """Decide whether a process is isolated.

    :param silent: seconds since the last report of any upstream.
    :param has_store: whether the store answers.
    :returns: true where neither the store nor an upstream is reached.
    """
    return not has_store and silent >= ISOLATION_SECONDS
