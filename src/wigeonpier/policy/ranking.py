"""Ranks names for a key, so that every process ranks them alike."""

from __future__ import annotations

import xxhash


def rank_by_key(names: list[str], key: str) -> list[str]:
    """Order names by rendezvous hashing.

    A name that comes or goes moves only the keys that it holds.

    :param names: candidates.
    :param key: what is placed.
    :returns: the names, best first.
    """
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()),
            name,
        ),
        reverse=True,
    )


def choose_subset(names: list[str], key: str, size: int) -> list[str]:
    """Choose a few peers, the same ones as long as they stay.

    :param names: candidates.
    :param key: name of the process that chooses.
    :param size: how many.
    :returns: the chosen names.
    """
    return rank_by_key(names, key)[:size]
