"""Decides what part of a customer's limit one entry may give out."""

from __future__ import annotations

LEAST_SHARE_DIVISOR = 2


def share_limit(mine: float, others: list[float], entries: int) -> float:
    """Split a limit among entries by what each was asked for of late.

    The shares of entries that see the same rates add up to one, but for the
    small share that an entry always keeps, so that a customer who moves to
    it is not refused at first.

    :param mine: rate that this entry was asked for.
    :param others: rates that the other entries told.
    :param entries: live entries.
    :returns: share between 0 and 1.
    """
    if entries <= 1:
        return 1
    least = 1 / (LEAST_SHARE_DIVISOR * entries)
    total = mine + sum(others)
    if total <= 0:
        return 1 / entries
    return least + (1 - least * entries) * mine / total
