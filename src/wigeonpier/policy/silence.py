"""Decides how long an upstream may be silent before work goes elsewhere.

The load that it answers: an upstream that went dark or was cut off in the
middle of many streams.  Callers leave a stream after a silence of about eight
allowed pauses, so a resumable stream has to go on elsewhere well before that,
while a step of a full upstream takes a few ms and waiting for a slot a few
hundred.
"""

from __future__ import annotations

# Waiting for a slot behind a crest takes up to about 0.7 s, one whole answer.
FIRST_EVENT_SECONDS = 1.2
# A preempted request is read again within this time.
BETWEEN_EVENTS_SECONDS = 0.7
LEAST_SECONDS = 0.01


def limit_silence(
    seconds_left: float,
    *,
    may_go_elsewhere: bool,
    has_events: bool,
) -> float:
    """Limit how long the next byte of an answer is waited for.

    :param seconds_left: until the caller's deadline or the route's timeout.
    :param may_go_elsewhere: whether another upstream could go on.
    :param has_events: whether an event of this send has arrived.
    :returns: seconds; all that is left where nobody else could go on.
    """
    if not may_go_elsewhere:
        return max(LEAST_SECONDS, seconds_left)
    limit = BETWEEN_EVENTS_SECONDS if has_events else FIRST_EVENT_SECONDS
    return max(LEAST_SECONDS, min(limit, seconds_left))
