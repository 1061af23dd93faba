"""Decides which process runs an item of a batch job.

The load that it answers: jobs of about ten items that arrive in bursts at
entries which do not talk to each other.  Items are handed out when the job
is accepted, to whoever has least left; a few to each, since every process
that a job wakes costs calls to the store.  Later only the items of a process
that is gone move.
"""

from __future__ import annotations

from itertools import repeat
from typing import TYPE_CHECKING

from wigeonpier.policy.ranking import rank_by_key

if TYPE_CHECKING:
    from wigeonpier.models import Member, OpenJob

# An item runs for about 5 s, and most of them begin at once; one of a job
# older than this is most probably done.
WORK_FADES_SECONDS = 12.0
# Items of a job that one process gets together; of 28 processes a job of ten
# then wakes four, each of which is a call to the store.
ITEMS_TOGETHER = 3
# Stands for the owner of items that nobody runs yet.
NOBODY = '-'


def deal_items(
    job: str,
    count: int,
    members: list[Member],
    jobs: list[OpenJob],
    now: float,
) -> tuple[str, ...]:
    """Choose an owner for each item of a new job.

    :param job: id of the job.
    :param count: how many items it has.
    :param members: processes that run items of its service.
    :param jobs: jobs with items left.
    :param now: seconds of the day's clock.
    :returns: owners by position; nobody where there are no members.
    """
    if not members:
        return (NOBODY,) * count
    names = rank_by_key([member.name for member in members], job)
    load = _measure_load(names, jobs, now)
    owners: list[str] = []
    while len(owners) < count:
        chosen = min(names, key=load.__getitem__)
        load[chosen] += ITEMS_TOGETHER
        owners.extend(repeat(chosen, ITEMS_TOGETHER))
    return tuple(owners[:count])


def move_items(
    job: OpenJob,
    lost: str,
    members: list[Member],
    jobs: list[OpenJob],
    now: float,
) -> tuple[str, ...]:
    """Choose new owners for the items of a process that is gone.

    :param job: the job.
    :param lost: who is gone.
    :param members: processes that run items of its service.
    :param jobs: jobs with items left.
    :param now: seconds of the day's clock.
    :returns: owners of all items; others keep theirs.
    """
    orphans = sum(owner == lost for owner in job.owners)
    others = [member for member in members if member.name != lost]
    fresh = iter(deal_items(job.name, orphans, others, jobs, now))
    return tuple(
        next(fresh) if owner == lost else owner for owner in job.owners
    )


def _measure_load(
    names: list[str],
    jobs: list[OpenJob],
    now: float,
) -> dict[str, float]:
    load: dict[str, float] = dict.fromkeys(names, 0)
    for job in jobs:
        age = max(0, now - job.sent_at)
        weight = max(0, 1 - age / WORK_FADES_SECONDS)
        for owner in load.keys() & set(job.owners):
            load[owner] += weight * job.owners.count(owner)
    return load
