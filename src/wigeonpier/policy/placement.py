"""Decides which process runs an item of a batch job.

The load that it answers: jobs of about ten items that arrive in bursts at
entries which do not talk to each other.  Items are dealt out when the job is
accepted, to whoever has least left; later only the items of an owner that is
gone move, each on its own, so that a lost process does not move the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpier.policy.ranking import rank_by_key

if TYPE_CHECKING:
    from wigeonpier.models import Member, OpenJob

# An item runs for about 5 s, and most of them begin at once; one of a job
# older than this is most probably done.
WORK_FADES_SECONDS = 12.0


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
    :returns: owners by position, none of them where nobody is there.
    """
    if not members:
        return ('',) * count
    names = rank_by_key([member.name for member in members], job)
    load = dict.fromkeys(names, 0.0)
    for other in jobs:
        age = max(0.0, now - other.sent_at)
        weight = max(0.0, 1 - age / WORK_FADES_SECONDS)
        for owner in other.owners:
            if owner in load:
                load[owner] += weight
    owners = []
    for _position in range(count):
        chosen = min(names, key=lambda name: load[name])
        load[chosen] += 1
        owners.append(chosen)
    return tuple(owners)


def find_owner(
    job: OpenJob,
    index: int,
    members: list[str],
) -> str:
    """Find who runs an item now.

    :param job: its job.
    :param index: its position.
    :param members: processes that are there for its service.
    :returns: the owner, empty where nobody is there.
    """
    planned = job.owners[index]
    if planned in members or not members:
        return planned if members else ''
    return rank_by_key(members, f'{job.name}/{index}')[0]
