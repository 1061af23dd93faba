"""Decides whether a slot is set aside for a question before it is sent.

The load that it answers: crests in which questions take 85 in 100 of all slots
or more, before 58 entries that choose at the same moment by a picture that is
0.1 s old.  They meet in queues while slots are free elsewhere.  The process
beside an upstream alone knows what runs there; it sets a slot aside for a
question that is asked for, has batch items give way at once, and says no where
there is no room, so that the entry asks beside another upstream.

In a model of 58 entries and 28 upstreams, three seeds: 0.020 late with moves
between queues and 0.006 with reservations at 145 questions a second, 0.001 and
none at 125.  What has not been sent can be overtaken: while nobody has room a
question is held at its entry, and one that is late already leaves the last
slot to those who can still be in time.  Where a crest brings a third more than
the upstreams can do, 0.50 late of what is sent at once, and 0.16 so.
"""

from __future__ import annotations

from dataclasses import dataclass

from wigeonpier.policy.waiting import LATE_SHARE, SLOTS_LEFT_TO_OTHERS

# Upstreams that are asked in one round; in the model 0.031 late with one,
# 0.009 with two, 0.006 with three, 0.010 with four at a high load.
MOST_ASKS = 3
# A question whose slot is set aside is at the upstream by then: two ways
# between data centres, and a new connection.
ARRIVAL_SECONDS = 0.03
# Until all are asked again.  The longer it is, the longer a slot that came
# free is empty; the shorter, the more is asked: 6 asks a question in deep
# overload, some 0.3 ms of processor each.
ROUND_SECONDS = 0.02
# Of that time, for a question that is late already.
LATE_ROUNDS = 3.0
# Of the latency objective: a process that does not answer by then is left.
ASK_SHARE = 0.2
# Of the time that the question had, so that the answer still fits.
HOLD_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class SlotUse:
    """What takes the slots of an upstream, batch items left out.

    :param slots: requests that it runs at once.
    :param questions: questions that run or wait there.
    :param reserved: slots set aside for questions on their way.
    """

    slots: int
    questions: int
    reserved: int


def may_reserve(use: SlotUse, *, is_late: bool) -> bool:
    """Decide whether a slot is set aside for one more question.

    :param use: what takes the slots now.
    :param is_late: whether the question is late already.
    :returns: true where it begins without waiting for another question.
    """
    slots = use.slots
    if is_late:
        slots = max(1, slots - SLOTS_LEFT_TO_OTHERS)
    return use.questions + use.reserved < slots


def is_late(waited: float) -> bool:
    """Tell whether a question is too late to come before others.

    :param waited: how long it has waited, as a share of its objective.
    :returns: true where it cannot be in time.
    """
    return waited >= LATE_SHARE


def plan_round(waited: float) -> float:
    """Plan how long nobody is asked for a held question.

    :param waited: how long it has waited, as a share of its objective.
    :returns: seconds.
    """
    rounds = LATE_ROUNDS if is_late(waited) else 1
    return ROUND_SECONDS * rounds


def limit_hold(seconds: float, *, has_begun: bool) -> float:
    """Limit how long a question is held.

    :param seconds: that it had when it came.
    :param has_begun: whether its caller has events already, and would leave
        a stream that pauses.
    :returns: seconds; it is sent then, room or not.
    """
    return 0 if has_begun else seconds * HOLD_SHARE
