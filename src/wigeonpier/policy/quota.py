"""Decides whether the tokens of a new job fit the limit of its route.

Addresses jobs that arrive at many entries at once while the store is
unavailable, so that no entry knows what the others accept.
"""

from __future__ import annotations

# Share of a route's tokens up to which jobs are accepted without knowing what
# other entries accept meanwhile.
UNCHECKED_SHARE = 0.5


def may_accept_unchecked(
    known: int, accepted: int, tokens: int, limit: int
) -> bool:
    """Decide whether a job is accepted without a fresh count.

    :param known: waiting tokens at the last count.
    :param accepted: tokens that this process accepted since.
    :param tokens: tokens of the job.
    :param limit: tokens that may wait on the route, 0 for no limit.
    :returns: false where other entries could use up the rest meanwhile.
    """
    if not limit:
        return True
    return known + accepted + tokens <= limit * UNCHECKED_SHARE
