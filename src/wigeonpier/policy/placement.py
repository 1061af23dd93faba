"""Decides which process runs an item of a batch job.

Addresses jobs of about ten items that arrive in bursts at entries which do not
communicate with each other.  Items are assigned when the job is accepted, to
the processes with the least work left, and several to each, since each process
that a job wakes costs calls to the store.  Where the upstreams differ in
speed, the process at which they complete first is chosen instead of the one
with the fewest items, by the backlogs that the processes report.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import repeat
from statistics import median
from typing import TYPE_CHECKING

from wigeonpier.policy.ranking import rank_by_key

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wigeonpier.models import Member, OpenJob
    from wigeonpier.reports import ItemBacklog

# An item runs for about 5 s and most start at once, so an item of a job older
# than this is most probably done.
WORK_DECAY_SECONDS = 12.0
# Items of a job that are assigned to one process together.  A job of ten then
# wakes four of 28 processes, each of which costs a call to the store.
ITEMS_PER_ASSIGNMENT = 3
# Upstreams whose run times differ by less are treated as equal: the lengths of
# items alone make the means of equal upstreams differ by some 8 %.
MIN_RUN_RATIO = 1.2
# After a restart the run times are means of 3 items.  Equal upstreams with items
# that differ by 10 % (standard deviation) then exceed the ratio above in most
# cases, but not this one.
CLEAR_RUN_RATIO = 1.5
# A smaller difference counts once it has lasted so long that each worker has
# completed more than 12 items under the usual load; see policy/runlengths.
CONFIRM_SECONDS = 30.0
# Below this share of members with a fresh backlog, the entry may be cut off
# from the others, or their workers may be of an earlier build.
MIN_REPORTING_SHARE = 0.75
# Slots that items of a new job share with others; online requests leave about
# half of 8 slots at a peak.
SHARED_SLOTS = 4.0
# Items are part of the backlog that an entry knows this long after their job
# was accepted: the watch, a step of the worker and a line of the feed.
REPORT_DELAY_SECONDS = 0.5
# Owner of items that no process runs yet.
UNASSIGNED = '-'
# Each owner is a key in the commit that creates a job, beside its items.
MAX_OWNERS = 16
# Likewise where items move: each change of owners is one commit, and so is the
# end of the job.
MAX_OPEN_OWNERS = 24


def assign_items(
    job: str,
    count: int,
    members: list[Member],
    jobs: list[OpenJob],
    now: float,
    max_owners: int = MAX_OWNERS,
) -> tuple[str, ...]:
    """Choose an owner for each item of a new job.

    :param job: id of the job.
    :param count: number of items.
    :param members: processes that run items of its service.
    :param jobs: jobs with items left.
    :param now: seconds of the wall clock.
    :param max_owners: most owners of its items.
    :returns: owners by position; ``UNASSIGNED`` where there are no members.
    """
    if not members:
        return (UNASSIGNED,) * count
    names = rank_by_key([member.name for member in members], job)
    load = _measure_load(names, jobs, now)
    steps = dict.fromkeys(names, float(ITEMS_PER_ASSIGNMENT))
    return _fill_owners(count, load, steps, max_owners)


def assign_by_completion(
    job: str,
    count: int,
    backlogs: Mapping[str, ItemBacklog],
    jobs: list[OpenJob],
    now: float,
) -> tuple[str, ...]:
    """Choose the owners at which the items of a new job complete first.

    :param job: id of the job.
    :param count: number of items.
    :param backlogs: backlogs by process, as selected by
        :func:`select_backlogs`.
    :param jobs: jobs with items left.
    :param now: seconds of the wall clock.
    :returns: owners by position.
    """
    names = rank_by_key(list(backlogs), job)
    runs = fill_run_seconds(backlogs)
    unreported = _count_unreported(names, jobs, now)
    ends = {
        name: backlogs[name].waiting_seconds
        + runs[name]
        + unreported[name] * runs[name] / SHARED_SLOTS
        for name in names
    }
    steps = {
        name: ITEMS_PER_ASSIGNMENT * runs[name] / SHARED_SLOTS for name in names
    }
    return _fill_owners(count, ends, steps, MAX_OWNERS)


@dataclass(slots=True)
class RunComparison:
    """Checks whether the upstreams of a service differ, and not by chance.

    :param differs_since: since when their run times have differed, seconds;
        ``None`` while they are about equal or not known.
    """

    differs_since: float | None = None

    def confirm(
        self, selected: Mapping[str, ItemBacklog], now: float
    ) -> dict[str, ItemBacklog]:
        """Confirm that items are to be placed by backlogs.

        :param selected: as selected by :func:`select_backlogs`.
        :param now: seconds of a clock that does not go back.
        :returns: the same; empty where the difference may be one by chance.
        """
        if not selected:
            self.differs_since = None
            return {}
        if self.differs_since is None:
            self.differs_since = now
        is_clear = _compare_runs(selected) > CLEAR_RUN_RATIO
        has_lasted = now - self.differs_since >= CONFIRM_SECONDS
        return dict(selected) if is_clear or has_lasted else {}


def select_backlogs(
    names: list[str], backlogs: Mapping[str, ItemBacklog]
) -> dict[str, ItemBacklog]:
    """Select the backlogs by which items are placed.

    A member without a fresh backlog is left out: its process is most probably
    being restarted.

    :param names: members that run items of the service.
    :param backlogs: fresh backlogs by name.
    :returns: backlogs of members; empty where items are placed by number,
        since too few members report or their run times are about equal.
    """
    selected = {name: backlogs[name] for name in names if name in backlogs}
    if len(selected) < MIN_REPORTING_SHARE * len(names):
        return {}
    return selected if _compare_runs(selected) > MIN_RUN_RATIO else {}


def fill_run_seconds(backlogs: Mapping[str, ItemBacklog]) -> dict[str, float]:
    """List the run times; a process that has none yet gets the median.

    :param backlogs: backlogs by process; some have a run time.
    :returns: seconds by process.
    """
    typical = median(
        backlog.run_seconds
        for backlog in backlogs.values()
        if backlog.run_seconds > 0
    )
    return {
        name: backlog.run_seconds or typical
        for name, backlog in backlogs.items()
    }


def find_idle(
    busy: str, backlogs: Mapping[str, ItemBacklog]
) -> tuple[str, float] | None:
    """Find the process that completes one more item first.

    :param busy: process that could hand over items.
    :param backlogs: as selected by :func:`select_backlogs`.
    :returns: its name and the time after which it completes the item, seconds;
        ``None`` where the busy one has no late items or none is clearly
        sooner.
    """
    known = backlogs.get(busy)
    if known is None or not known.late:
        return None
    runs = fill_run_seconds(backlogs)
    ready = {
        name: backlog.waiting_seconds + runs[name]
        for name, backlog in backlogs.items()
    }
    idle = min(ready, key=ready.__getitem__)
    if ready[busy] <= MIN_RUN_RATIO * ready[idle]:
        return None
    return idle, ready[idle]


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
    kept = set(job.owners) - {lost}
    room = MAX_OPEN_OWNERS - len(kept)
    if room < 1:
        owning = [member for member in others if member.name in kept]
        others = owning or others
    new_owners = iter(
        assign_items(job.name, lost_items, others, jobs, now, max(room, 1))
    )
    return tuple(
        next(new_owners) if owner == lost else owner for owner in job.owners
    )


def may_own(job: OpenJob, name: str) -> bool:
    """Decide whether a process may get items of a job.

    :param job: the job.
    :param name: name of the process.
    :returns: false if the job would have too many owners.
    """
    owners = set(job.owners)
    return name in owners or len(owners) < MAX_OPEN_OWNERS


def _fill_owners(
    count: int,
    load: dict[str, float],
    steps: Mapping[str, float],
    max_owners: int,
) -> tuple[str, ...]:
    """Give items to the least loaded process, some at a time.

    :param count: number of items.
    :param load: load by process, the first of equal ones preferred; changed.
    :param steps: load that each assignment adds, by process.
    :param max_owners: processes that get items at most.
    :returns: owners by position.
    """
    owners: list[str] = []
    names = list(load)
    used: set[str] = set()
    while len(owners) < count:
        chosen = min(names, key=load.__getitem__)
        load[chosen] += steps[chosen]
        owners.extend(repeat(chosen, ITEMS_PER_ASSIGNMENT))
        used.add(chosen)
        if len(used) == max_owners:
            names = [name for name in names if name in used]
    return tuple(owners[:count])


def _compare_runs(backlogs: Mapping[str, ItemBacklog]) -> float:
    """Divide the longest by the shortest run time, 1 where none is known."""
    measured = [
        backlog.run_seconds
        for backlog in backlogs.values()
        if backlog.run_seconds > 0
    ]
    return max(measured) / min(measured) if measured else 1


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


def _count_unreported(
    names: list[str], jobs: list[OpenJob], now: float
) -> dict[str, int]:
    """Count the items that the backlogs do not include yet."""
    # A clock that is behind must not make all jobs seem new.
    recent = [
        job for job in jobs if abs(now - job.sent_at) < REPORT_DELAY_SECONDS
    ]
    return {
        name: sum(job.owners.count(name) for job in recent) for name in names
    }
