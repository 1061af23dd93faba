"""Decides how long a watch waits for an answer.

Addresses a watch whose answer is lost while the store answers all other calls,
as on a connection that falls silent: the process goes on with a view that no
longer changes, and nothing fails.  Only the end of the wait shows it.  With
waits of 15 s an entry routed by an outdated configuration for 8 s, and a
worker started items of an ended job for 13 s.
"""

from __future__ import annotations

from dataclasses import dataclass

# Shares of the time in which a process may act on its earlier state: the wait
# itself, and the answer to it.  The rest is for a new read of all keys.
WAIT_SHARE = 0.6
ANSWER_SHARE = 0.2
# Views by which nothing is routed or started cost fewer calls.
BACKGROUND_SECONDS = 5.0
# A watch that waits longer than the store keeps its history has to start over
# with a full read.
HISTORY_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class WatchPlan:
    """Times of watches, in seconds.

    :param decisive: wait of a view by which requests or items are started.
    :param background: wait of any other view.
    :param answer: time for the answer once the wait is over.
    """

    decisive: float
    background: float
    answer: float


def plan_watches(contact: float, history: float) -> WatchPlan:
    """Derive the times from those that the site allows.

    :param contact: time after a disturbance in which a process may still act
        on its earlier state, seconds.
    :param history: how long the store keeps old changes, seconds.
    :returns: the plan; the age of a decisive view stays below ``contact``.
    """
    longest = history * HISTORY_SHARE
    return WatchPlan(
        decisive=min(contact * WAIT_SHARE, longest),
        background=min(BACKGROUND_SECONDS, longest),
        answer=contact * ANSWER_SHARE,
    )
