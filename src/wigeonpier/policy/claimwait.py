"""Decides where and for how long a request waits for a slot at a worker.

Addresses entries that used to ask up to 31 times for one request while all
slots were taken.  A call that waits at the worker replaces some twenty calls
that are refused at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.policy.route import UpstreamState

# Longest wait at one worker.  Where all slots are taken, one frees every 70 ms;
# a longer wait would bind a request to a worker that has stopped.
MAX_WAIT_SECONDS = 0.5
# Calls that are answered at once while another upstream seems to have room.
PROBES = 3
# Free slots of an upstream that is passed over where others have more.
LEFT_SLOTS = 1
# Workers that expect no slot in time before a request is refused.  One may have
# a longer queue than the others.
HOPELESS_WORKERS = 2
# Factors between which the retry delays of refused callers are drawn, so that
# those refused at the same moment do not return at the same moment.
RETRY_SPREAD = (0.5, 1.5)
RETRY_BOUNDS = (0.2, 1.5)


def choose_max_wait(
    probes: int, seconds_left: float, *, has_room: bool
) -> float:
    """Choose how long the next call may wait at the worker.

    :param probes: calls so far that found an upstream full.
    :param seconds_left: time in which the request can still start in time.
    :param has_room: whether an upstream other than those tried seems to have a
        free slot, and no worker has kept one for other customers.
    :returns: seconds, 0 for an answer at once.
    """
    if has_room and probes < PROBES:
        return 0
    return min(MAX_WAIT_SECONDS, max(0, seconds_left))


def find_full(
    upstreams: Iterable[UpstreamState], probes: int, now: float
) -> set[str]:
    """Find the upstreams that a request should rather not go to.

    These are the ones whose slots all seem to be taken.  After a refusal they
    are also those with one free slot, as long as others have more: the last
    one is often taken within the 0.1 s that a load is old.

    :param upstreams: upstreams that the request could go to.
    :param probes: calls so far that found an upstream full.
    :param now: seconds.
    :returns: their names, none where all are full.
    """
    listed = list(upstreams)
    for left in (LEFT_SLOTS if probes else 0, 0):
        full = {state.name for state in listed if is_full(state, now, left)}
        if len(full) < len(listed):
            return full
    return set()


def is_full(state: UpstreamState, now: float, left: int = 0) -> bool:
    """Check whether the slots of an upstream seem to be taken.

    :param state: the upstream.
    :param now: seconds.
    :param left: free slots that still count as full.
    :returns: true only by a fresh load.
    """
    taken = state.reported + state.sent_since_report
    return state.load_fresh_until > now and taken + left >= state.slots


def compute_retry(wait: float, draw: float) -> float:
    """Compute after which time a refused caller retries.

    :param wait: wait that the worker expects now, seconds.
    :param draw: from 0 to 1, drawn for this refusal.
    :returns: seconds.
    """
    lowest, highest = RETRY_SPREAD
    shortest, longest = RETRY_BOUNDS
    factor = lowest + (highest - lowest) * draw
    return min(longest, max(shortest, wait)) * factor
