"""Decides which of two reports about a replica is of its later start.

Addresses replicas that crash and restart under the same id within a heartbeat,
while writes of their previous start are still in flight.  If such a write were
taken for the newer one, it would restore the previous load, or mark the
replica as leaving, until the next change.
"""

from __future__ import annotations

# Two reports without an incarnation cannot be ordered.
UNKNOWN = 0


def is_earlier(reported: int, known: int) -> bool:
    """Check whether a report is of an earlier start than what is known.

    :param reported: incarnation of the report.
    :param known: known incarnation.
    :returns: false where one of them is unknown.
    """
    return UNKNOWN not in {reported, known} and reported < known


def comes_after(
    first: tuple[int, int],
    second: tuple[int, int],
) -> bool:
    """Check which of two entries for one address is of the later start.

    :param first: incarnation and create revision of one entry.
    :param second: likewise of the other one.
    :returns: whether the first was started later; where an incarnation is
        unknown, whether its entry was created later.
    """
    if is_earlier(second[0], first[0]):
        return True
    if is_earlier(first[0], second[0]):
        return False
    return first[1] > second[1]


def name_start(name: str, incarnation: int) -> str:
    """Name one start of a replica.

    :param name: id of the replica.
    :param incarnation: grows with each start, 0 where it is unknown; such a
        replica has a new id with each start.
    :returns: a name that no other start has.
    """
    return f'{name}#{incarnation}' if incarnation else name
