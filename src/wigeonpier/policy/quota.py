"""Decides whether tokens of a new job fit on its route.

The load that it answers: jobs that arrive at many entries at once while the
store is away, so that nobody knows what the others accept.
"""

from __future__ import annotations

# Share of a route's tokens up to which jobs are taken without knowing what
# others take meanwhile.
BLIND_SHARE = 0.5


def may_take_blindly(known: int, taken: int, tokens: int, most: int) -> bool:
    """Decide whether a job is taken without a fresh count.

    :param known: tokens that waited when they were last counted.
    :param taken: tokens that this process took since.
    :param tokens: tokens of the job.
    :param most: tokens that may wait on the route, 0 for no limit.
    :returns: false where others could fill the rest meanwhile.
    """
    if not most:
        return True
    return known + taken + tokens <= most * BLIND_SHARE
