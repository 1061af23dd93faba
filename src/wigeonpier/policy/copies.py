"""Decides which data folders hold the copies of a file or journal."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonpier.policy.ranking import rank_by_key


@dataclass(frozen=True, slots=True)
class Disk:
    """A data folder that can be chosen.

    :param incarnation: its id.
    :param address: ``host:port`` of its process.
    :param data_centre: where it stands.
    :param free_bytes: room that is left.
    """

    incarnation: str
    address: str
    data_centre: str
    free_bytes: int


LEAST_FREE_BYTES = 64_000_000
NONE_AVOIDED: frozenset[str] = frozenset()


def choose_copies(
    disks: list[Disk],
    key: str,
    wanted: int,
    avoided: frozenset[str] = NONE_AVOIDED,
) -> list[Disk]:
    """Choose folders in as many data centres as there are.

    :param disks: folders in reach.
    :param key: what is kept; the choice is spread by it.
    :param wanted: how many copies.
    :param avoided: incarnations that failed just now.
    :returns: at most that many, fewer where there are not enough.
    """
    usable = {
        disk.incarnation: disk
        for disk in disks
        if disk.free_bytes >= LEAST_FREE_BYTES
        and disk.incarnation not in avoided
    }
    ranked = [usable[name] for name in rank_by_key(list(usable), key)]
    chosen: list[Disk] = []
    while ranked and len(chosen) < wanted:
        taken = {disk.data_centre for disk in chosen}
        fresh = [disk for disk in ranked if disk.data_centre not in taken]
        best = (fresh or ranked)[0]
        chosen.append(best)
        ranked.remove(best)
    return chosen
