"""Decides which process runs an item of a batch job.

Addresses jobs of about ten items that arrive in bursts at entries which do not
communicate with each other.  Items are assigned when the job is accepted, to
the processes with the least work left, and several to each, since each process
that a job wakes costs calls to the store.  Afterwards only the items of a lost
process are reassigned.
"""

from __future__ import annotations

from itertools import repeat
from typing import TYPE_CHECKING

from wigeonpier.policy.ranking import rank_by_key

if TYPE_CHECKING:
    from wigeonpier.models import Member, OpenJob

# An item runs for about 5 s and most start at once, so an item of a job older
# than this is most probably done.
WORK_DECAY_SECONDS = 12.0
# Items of a job that are assigned to one process together.  A job of ten then
# wakes four of 28 processes, each of which costs a call to the store.
ITEMS_PER_ASSIGNMENT = 3
# Owner of items that no process runs yet.
UNASSIGNED = '-'


def assign_items(
    job: str,
    count: int,
    members: list[Member],
    jobs: list[OpenJob],
    now: float,
) -> tuple[str, ...]:
    """Choose an owner for each item of a new job.

    :param job: id of the job.
    :param count: number of items.
    :param members: processes that run items of its service.
    :param jobs: jobs with items left.
    :param now: seconds of the wall clock.
    :returns: owners by position; ``UNASSIGNED`` where there are no members.
    """
    if not members:
        return (UNASSIGNED,) * count
    names = rank_by_key([member.name for member in members], job)
    load = _measure_load(names, jobs, now)
    owners: list[str] = []
    while len(owners) < count:
        chosen = min(names, key=load.__getitem__)
        load[chosen] += ITEMS_PER_ASSIGNMENT
        owners.extend(repeat(chosen, ITEMS_PER_ASSIGNMENT))
    return tuple(owners[:count])


def reassign_items(
    job: OpenJob,
    lost: str,
    members: list[Member],
    jobs: list[OpenJob],
    now: float,
) -> tuple[str, ...]:
    """Choose new owners for the items of a lost process.

    :param job: the job.
    :param lost: name of the lost process.
    :param members: processes that run items of its service.
    :param jobs: jobs with items left.
    :param now: seconds of the wall clock.
    :returns: owners of all items; those of other processes are unchanged.
    """
    lost_items = sum(owner == lost for owner in job.owners)
    others = [member for member in members if member.name != lost]
    new_owners = iter(assign_items(job.name, lost_items, others, jobs, now))
    return tuple(
        next(new_owners) if owner == lost else owner for owner in job.owners
    )


def _measure_load(
    names: list[str],
    jobs: list[OpenJob],
    now: float,
) -> dict[str, float]:
    load: dict[str, float] = dict.fromkeys(names, 0)
    for job in jobs:
        age = max(0, now - job.sent_at)
        weight = max(0, 1 - age / WORK_DECAY_SECONDS)
        for owner in load.keys() & set(job.owners):
            load[owner] += weight * job.owners.count(owner)
    return load
