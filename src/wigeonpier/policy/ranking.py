"""Ranks names for a key, with the same result in each process."""

from __future__ import annotations

import xxhash


def rank_by_key(names: list[str], key: str) -> list[str]:
    """Order names by rendezvous hashing.

    Adding or removing a name moves only the keys that it ranks first for.

    :param names: candidates.
    :param key: key to place.
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
    """Choose a few peers; the choice is stable while they exist.

    :param names: candidates.
    :param key: name of the choosing process.
    :param size: number of peers.
    :returns: the chosen names.
    """
    return rank_by_key(names, key)[:size]
