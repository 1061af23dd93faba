"""Decides which job the next free chunk is taken from."""

from __future__ import annotations

from dataclasses import dataclass

URGENT_SHARE = 0.25
MIN_WEIGHT = 0.001


@dataclass(frozen=True, slots=True)
class JobView:
    """The parts of a job that its scheduling depends on.

    :param job: its id.
    :param customer: its customer.
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

    Jobs whose slack is nearly used up go first, least slack first.  Among the
    others, the customer with the fewest running items for its weight goes
    first, so that a large job neither starves small ones nor is starved; within
    a customer, the job with the least slack.

    :param jobs: jobs that have free chunks.
    :param weights: weight by customer, 1 for customers not listed.
    :param now: seconds since the epoch.
    :param items_per_second: batch throughput of the fleet.
    :returns: ids of jobs, in order.
    """
    running_items: dict[str, float] = {}
    for each in jobs:
        so_far = running_items.get(each.customer, 0)
        running_items[each.customer] = so_far + each.items_running

    def rank(job: JobView) -> tuple[int, float, float, str]:
        slack = compute_slack(job, now, items_per_second)
        if slack <= URGENT_SHARE * (job.deadline - job.accepted):
            return 0, slack, 0, job.job
        weight = max(MIN_WEIGHT, weights.get(job.customer, 1))
        return 1, running_items[job.customer] / weight, slack, job.job

    return [job.job for job in sorted(jobs, key=rank)]


def compute_slack(job: JobView, now: float, items_per_second: float) -> float:
    """Estimate the time that a job has to spare.

    :param job: the job.
    :param now: seconds since the epoch.
    :param items_per_second: batch throughput of the fleet.
    :returns: seconds, negative where it will be late.
    """
    work = job.items_left / max(items_per_second, MIN_WEIGHT)
    return job.deadline - now - work
