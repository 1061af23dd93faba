"""Decides whether an entry is cut off from all that could serve a request.

The load that it answers: an entry that callers still reach while it reaches
neither the store nor any upstream.  It took questions for as long as the cut
lasted and refused each after four connections that did not open, 1.6 s later,
when the caller's time for another entry was half over; jobs that it was handed
were lost to it.  Cut off, it refuses at once and leaves the balancer's
rotation, so that callers go where they can be served.

An outage of the store alone, or the loss of all processes beside upstreams,
is no cut: only both together are, and one line of load ends it.
"""

from __future__ import annotations

# The process beside each upstream tells its load each 0.5 s or sooner, also
# unchanged; two such lines of all upstreams are missing then.
SILENT_SECONDS = 1.0
# Leaves time for a question to the store before the silence counts.
SUSPICIOUS_SECONDS = 0.6


def is_suspicious(silent: float) -> bool:
    """Decide whether the store is asked for a sign of life.

    :param silent: seconds since any upstream was heard.
    :returns: true well before the silence counts.
    """
    return silent >= SUSPICIOUS_SECONDS


def is_cut_off(silent: float, *, has_store: bool) -> bool:
    """Decide whether a process reaches nobody.

    :param silent: seconds since any upstream was heard.
    :param has_store: whether the store answers it.
    :returns: true where neither answers.
    """
    return not has_store and silent >= SILENT_SECONDS
