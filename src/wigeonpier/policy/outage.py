"""Decides how soon a process asks a lost store again, and what it believes.

The load that it answers: a process that was cut off, or a store that was
away, comes back a moment before upstreams leave.  From the return on the site
allows one time, ``contact``, in which the process may act on what it knew
before; being blind, reading again and keeping what is missing share it.  With
pauses of their own the views of a process were blind for 0.8 s after a cut and
kept an upstream that had left for 2.4 s more, 0.2 s longer than allowed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wigeonpier.models import Bounds

# Share of the time for asking again: one call that got no answer and the pause
# after it, so that a process is blind for 0.5 s where 3 s are allowed.
BLIND_SHARE = 1 / 6
# Share of the blind time that a call may wait; opening a connection takes a
# few ms, and a store that is slow by a factor of 80 answers within 0.35 s, so
# that the views' own, more patient calls find it.
CALL_SHARE = 0.6
# Share of the time for the read itself and for what was chosen just before.
MARGIN_SHARE = BLIND_SHARE / 2
# The platform writes entries that lapsed while its store was away again
# within about two seconds of its return.
REWRITTEN_SECONDS = 2.2
# Entries lapse after some seconds without the store; a single call that was
# turned away or lost is over sooner, and must not delay that an upstream goes.
SHORTEST_OUTAGE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class OutagePlan:
    """Times of a process that lost the store, in seconds.

    :param call: how long one question to the store waits.
    :param pause: from its end to the next one.
    :param keep: how long entries that are missing after the return are
        believed to come back.
    """

    call: float
    pause: float
    keep: float

    @property
    def longest_blind(self) -> float:
        """Give the longest time from the store's return to an answer."""
        return self.call + self.pause


def plan_outage(bounds: Bounds) -> OutagePlan:
    """Derive the times from what the site allows.

    :param bounds: times that the site promises.
    :returns: the plan; all of it together fits into the time allowed.
    """
    blind = bounds.contact * BLIND_SHARE
    margin = bounds.contact * MARGIN_SHARE
    return OutagePlan(
        call=blind * CALL_SHARE,
        pause=blind * (1 - CALL_SHARE),
        keep=min(REWRITTEN_SECONDS, bounds.contact - blind - margin),
    )


def is_picture_old(since_replaced: float) -> bool:
    """Tell whether upstreams that are missing are most probably back already.

    After all power was lost, replicas are there before their entries: of 70
    questions that were refused on such a day 64 had met four replicas in a
    row that bore another id.

    :param since_replaced: seconds since an upstream said that it is another
        start than the one known.
    :returns: true where entries of the register are worth waiting for.
    """
    return since_replaced < REWRITTEN_SECONDS


def may_have_lapsed(lost_seconds: float) -> bool:
    """Tell whether entries may have lapsed though their replicas are well.

    :param lost_seconds: from the begin of the first call that failed to the
        first answer after it.
    :returns: true where missing entries are waited for.
    """
    return lost_seconds >= SHORTEST_OUTAGE_SECONDS
