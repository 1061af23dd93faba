"""Decides which data folders hold the copies of a file or journal."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonpier.policy.ranking import rank_by_key


@dataclass(frozen=True, slots=True)
class Disk:
    """A data folder that can hold a copy.

    :param incarnation: its id.
    :param address: ``host:port`` of its process.
    :param data_centre: data centre that it is in.
    :param free_bytes: free space.
    """

    incarnation: str
    address: str
    data_centre: str
    free_bytes: int


MIN_FREE_BYTES = 64_000_000
NONE_AVOIDED: frozenset[str] = frozenset()


def choose_copies(
    disks: list[Disk],
    key: str,
    wanted: int,
    avoided: frozenset[str] = NONE_AVOIDED,
) -> list[Disk]:
    """Choose folders in as many different data centres as possible.

    :param disks: reachable folders.
    :param key: name of the file or journal; spreads the choice.
    :param wanted: number of copies.
    :param avoided: incarnations that have just failed.
    :returns: at most that many folders, fewer if there are not enough.
    """
    usable = {
        disk.incarnation: disk
        for disk in disks
        if disk.free_bytes >= MIN_FREE_BYTES and disk.incarnation not in avoided
    }
    ranked = [usable[name] for name in rank_by_key(list(usable), key)]
    chosen: list[Disk] = []
    while ranked and len(chosen) < wanted:
        used_centres = {disk.data_centre for disk in chosen}
        in_other_centres = [
            disk for disk in ranked if disk.data_centre not in used_centres
        ]
        best = (in_other_centres or ranked)[0]
        chosen.append(best)
        ranked.remove(best)
    return chosen
