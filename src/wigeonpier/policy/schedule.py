"""Decides which chunk of which job is worked on next."""

from __future__ import annotations

from dataclasses import dataclass

URGENT_SHARE = 0.25
LEAST_WEIGHT = 0.001


@dataclass(frozen=True, slots=True)
class JobView:
    """What the schedule needs to know of a job.

    :param job: its id.
    :param customer: whose it is.
    :param accepted: when it was accepted, seconds since the epoch.
    :param deadline: when it is due, seconds since the epoch.
    :param items_left: items of chunks that are not done.
    :param items_running: items of chunks that have an owner.
    """

    job: str
    customer: str
    accepted: float
    deadline: float
    items_left: int
    items_running: int


def order_jobs(
    jobs: list[JobView],
    weights: dict[str, float],
    now: float,
    items_per_second: float,
) -> list[str]:
    """Order jobs for the next free chunk.

    A job whose slack is nearly used up goes first, least slack first.  Among
    the others the customer goes first that has least in work for its weight,
    so that a large job neither starves small ones nor is starved; within a
    customer the job with least slack.

    :param jobs: jobs that have chunks to give.
    :param weights: share by customer, 1 where it is not named.
    :param now: seconds since the epoch.
    :param items_per_second: what the fleet finishes of batch work.
    :returns: ids of jobs, first one first.
    """
    in_work: dict[str, float] = {}
    for each in jobs:
        so_far = in_work.get(each.customer, 0)
        in_work[each.customer] = so_far + each.items_running

    def rank(job: JobView) -> tuple[int, float, float, str]:
        slack = measure_slack(job, now, items_per_second)
        if slack <= URGENT_SHARE * (job.deadline - job.accepted):
            return 0, slack, 0, job.job
        weight = max(LEAST_WEIGHT, weights.get(job.customer, 1))
        return 1, in_work[job.customer] / weight, slack, job.job

    return [job.job for job in sorted(jobs, key=rank)]


def measure_slack(job: JobView, now: float, items_per_second: float) -> float:
    """Estimate the time that a job has to spare.

    :param job: the job.
    :param now: seconds since the epoch.
    :param items_per_second: what the fleet finishes of batch work.
    :returns: seconds, negative where it will be late.
    """
    work = job.items_left / max(items_per_second, LEAST_WEIGHT)
    return job.deadline - now - work
