"""Decides when a question that can be sent only once is sent, and where.

The load that it answers: crests in which all upstreams have queues, on routes
whose questions may run once.  What was sent cannot leave a queue again, so that
first come, first served makes nearly everybody late; what was not sent has not
run, and can be overtaken.  So a question is kept at the entry while the queues
of all upstreams are as long as can still be in time.  One that is late already
leaves the slots to those who just came, until the crest is over.

In a model of 4 entries, three seeds: 0.50 late without and 0.37 with it where
8 of 10 upstreams are left, 0.63 and 0.49 where 7 are; the mean wait stays 0.3
and 0.5 s, the longest grows from 1.6 to 2.4 s.  Without an overload nothing is
held: 0.01 late with 23 entries and 25 upstreams both ways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpier.policy.route import count_requests
from wigeonpier.policy.waiting import LATE_SHARE, LEFT_TO_OTHERS

if TYPE_CHECKING:
    from wigeonpier.policy.route import UpstreamState

# Questions that may wait at an upstream for a slot.  Fewer leave slots empty
# until the next load is told, 0.1 s later, in which one of 8 slots comes free:
# 0.15 late in the model with none, 0.08 with two and without holding, where 20
# of 25 upstreams are left.  More keep too few back: 0.40 with three for 0.37.
QUEUE_ALLOWED = 2
# Until it is looked again.
LOOK_SECONDS = 0.02
# A crest of the users' load lasts 2.4 s, of which a part is over by then.
LONGEST_HOLD_SECONDS = 1.5
# Of the time that the question had, so that the answer still fits.
HOLD_SHARE = 0.5


def bind(
    drawn: UpstreamState,
    usable: list[UpstreamState],
    waited: float,
    now: float,
) -> UpstreamState | None:
    """Choose where a question goes now.

    :param drawn: where it would go if it did not wait.
    :param usable: all upstreams that may get it.
    :param waited: how long it has waited, as a share of its objective.
    :param now: seconds.
    :returns: the upstream, ``None`` where it is held; one whose load is not
        told is not waited for.
    """
    room = QUEUE_ALLOWED if waited < LATE_SHARE else -LEFT_TO_OTHERS
    if _takes(drawn, room, now):
        return drawn
    least = min(usable, key=lambda state: count_requests(state, now))
    return least if _takes(least, room, now) else None


def limit_hold(seconds: float) -> float:
    """Limit how long a question is held.

    :param seconds: that it had when it came.
    :returns: seconds; it is sent then, room or not.
    """
    return min(LONGEST_HOLD_SECONDS, seconds * HOLD_SHARE)


def _takes(state: UpstreamState, room: int, now: float) -> bool:
    if state.fed_until <= now:
        return True
    return count_requests(state, now) < state.slots + room
