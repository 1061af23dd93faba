"""Decides how long an upstream may be unresponsive before work goes elsewhere.

Addresses an upstream that stopped answering or became unreachable during many
streams.  Callers abandon a stream after a silence of about eight allowed
pauses, so a resumable stream has to be continued at another upstream well
before that, while a step of a full upstream takes a few ms and waiting for a
slot a few hundred.
"""

from __future__ import annotations

# Waiting for a slot in a load peak takes up to about 0.7 s, one whole answer.
FIRST_EVENT_SECONDS = 1.2
# The prompt of a preempted request is read again within this time.
BETWEEN_EVENTS_SECONDS = 0.7
MIN_SECONDS = 0.01


def choose_read_timeout(
    seconds_left: float,
    *,
    may_go_elsewhere: bool,
    has_events: bool,
) -> float:
    """Compute the timeout for the next byte of an answer.

    :param seconds_left: until the caller's deadline or the route's timeout.
    :param may_go_elsewhere: whether another upstream could continue.
    :param has_events: whether an event of this attempt has arrived.
    :returns: seconds; all that remain where no other upstream could continue.
    """
    if not may_go_elsewhere:
        return max(MIN_SECONDS, seconds_left)
    limit = BETWEEN_EVENTS_SECONDS if has_events else FIRST_EVENT_SECONDS
    return max(MIN_SECONDS, min(limit, seconds_left))
