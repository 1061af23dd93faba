"""Keeps an entry's view of unfinished jobs and offers their chunks."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.batch.claims import Claim
from wigeonpier.batch.models import FINISHED_STATUSES, Job, JobStatus
from wigeonpier.membership.messages import Heartbeat, Offer
from wigeonpier.platform.keys import JOBS, parse_chunk
from wigeonpier.policy.schedule import JobView, order_jobs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.platform.port import Change

OFFER_HOLD_SECONDS = 2.0
SILENCE_SECONDS = 3.0
MAX_OFFERS = 4
RATE_SMOOTHING = 0.95
INITIAL_ITEMS_PER_SECOND = 10.0


@dataclass(frozen=True, slots=True)
class CachedClaim:
    """A claim as seen in the key-value service.

    :param claim: the claim.
    :param revision: revision of its key.
    :param seen: when this revision was seen, monotonic seconds.
    """

    claim: Claim
    revision: int
    seen: float


@dataclass(slots=True)
class CachedJob:
    """A job as seen in the key-value service.

    :param job: the job.
    :param revision: revision of its key.
    :param seen: when it was first seen, monotonic seconds.
    :param claims: claims of its chunks by index.
    """

    job: Job
    revision: int
    seen: float
    claims: dict[int, CachedClaim] = field(default_factory=dict)

    @property
    def items_done(self) -> int:
        """Count the items of chunks that are done."""
        return sum(
            self.job.pages[index]
            for index, cached in self.claims.items()
            if cached.claim.is_done
        )

    @property
    def items_claimed(self) -> int:
        """Count the items of chunks that have an owner and are not done."""
        return sum(
            self.job.pages[index]
            for index, cached in self.claims.items()
            if not cached.claim.is_done and cached.claim.owner
        )

    @property
    def is_all_done(self) -> bool:
        """Check whether every chunk is done."""
        return len(self.claims) == len(self.job.pages) and all(
            cached.claim.is_done for cached in self.claims.values()
        )


@dataclass(slots=True)
class JobBoard:
    """Jobs that are not finished.

    :param clock: returns monotonic seconds.
    :param weights: returns the share of each customer.
    :param list_entries: returns the addresses of live entries.
    :param address: address of this entry.
    :param jobs: jobs by id.
    :param ages: seconds since the last write to each segment as the data
        folders reported, and when they did, by job, chunk and fencing number.
    :param items_per_second: estimated throughput of the fleet.
    """

    clock: Callable[[], float]
    weights: Callable[[], dict[str, float]]
    list_entries: Callable[[], list[str]] = list
    address: str = ''
    jobs: dict[str, CachedJob] = field(default_factory=dict)
    ages: dict[tuple[str, int, int], tuple[float, float]] = field(
        default_factory=dict,
    )
    items_per_second: float = INITIAL_ITEMS_PER_SECOND
    _early_claims: dict[tuple[str, int], CachedClaim] = field(
        default_factory=dict
    )
    _offered_at: dict[tuple[str, int], float] = field(default_factory=dict)

    def record_job(self, change: Change) -> None:
        """Apply a change of a job's key.

        :param change: change that the watch reported.
        """
        _customer, job_id = change.key.removeprefix(JOBS).split('/')
        job = None
        if change.value is not None:
            job = msgspec.json.decode(change.value, type=Job)
        if job is None or job.status in FINISHED_STATUSES:
            self.jobs.pop(job_id, None)
            return
        cached = self.jobs.get(job_id)
        if cached is None:
            cached = CachedJob(job, change.revision, self.clock())
            self.jobs[job_id] = cached
            self._attach_early_claims(cached)
        elif change.revision > cached.revision:
            cached.job = job
            cached.revision = change.revision

    def record_claim(self, change: Change) -> None:
        """Apply a change of a claim's key.

        :param change: change that the watch reported.
        """
        job_id, index = parse_chunk(change.key)
        self._offered_at.pop((job_id, index), None)
        cached_job = self.jobs.get(job_id)
        if change.value is None:
            self._early_claims.pop((job_id, index), None)
            if cached_job:
                cached_job.claims.pop(index, None)
            return
        claim = msgspec.json.decode(change.value, type=Claim)
        cached = CachedClaim(claim, change.revision, self.clock())
        if cached_job is None:
            self._early_claims[job_id, index] = cached
        else:
            cached_job.claims[index] = cached

    def record_age(self, name: tuple[str, int, int], age: float) -> None:
        """Record the time since the last write to a segment.

        :param name: job, chunk and fencing number.
        :param age: seconds.
        """
        now = self.clock()
        known = self.ages.get(name)
        if known is None or now - age > known[1] - known[0]:
            self.ages[name] = (age, now)

    def remove_ages(self) -> None:
        """Remove the ages of segments whose jobs are not on the board."""
        self.ages = {
            name: known
            for name, known in self.ages.items()
            if name[0] in self.jobs
        }

    def measure_silence(
        self, job: str, index: int, cached: CachedClaim
    ) -> float:
        """Measure the time since the last activity of a chunk's owner.

        :param job: id of the job.
        :param index: index of the chunk.
        :param cached: its claim.
        :returns: seconds.
        """
        now = self.clock()
        since_claim = now - cached.seen
        known = self.ages.get((job, index, cached.claim.fence))
        if known is None:
            return since_claim
        age, reported_at = known
        return min(since_claim, age + now - reported_at)

    def list_stopped(self, job_ids: tuple[str, ...]) -> tuple[str, ...]:
        """List the jobs of an owner that were cancelled.

        :param job_ids: jobs that the owner works on.
        :returns: ids of jobs whose work has to stop.
        """
        return tuple(
            job
            for job in job_ids
            if job in self.jobs
            and self.jobs[job].job.status is not JobStatus.in_progress
        )

    def offer_work(self, heartbeat: Heartbeat) -> tuple[Offer, ...]:
        """Choose chunks for a local process that wants work.

        :param heartbeat: heartbeat of the process.
        :returns: offers for about as many items as it wants.
        """
        report = heartbeat.upstream
        if not heartbeat.wants or report is None or heartbeat.is_leaving:
            return ()
        eligible = {
            cached.job.id: cached
            for cached in self.jobs.values()
            if cached.job.status is JobStatus.in_progress
            and cached.job.service == report.service
            and (not cached.job.model or cached.job.model in report.models)
        }
        offers: list[Offer] = []
        remaining = heartbeat.wants
        for job_id in self._order(eligible):
            for offer in self._iterate_offers(eligible[job_id]):
                if remaining <= 0 or len(offers) >= MAX_OFFERS:
                    return tuple(offers)
                offers.append(offer)
                self._offered_at[job_id, offer.chunk] = self.clock()
                remaining -= eligible[job_id].job.pages[offer.chunk]
        return tuple(offers)

    def record_rate(self, items: int, seconds: float) -> None:
        """Update the estimated throughput of the fleet.

        :param items: items that were finished.
        :param seconds: time that they took.
        """
        rate = items / seconds
        self.items_per_second = max(
            1,
            RATE_SMOOTHING * self.items_per_second
            + (1 - RATE_SMOOTHING) * rate,
        )

    def count_queued(self, customer: str) -> int:
        """Count the items of a customer that are not finished.

        :param customer: name of the customer.
        :returns: items.
        """
        return sum(
            cached.job.items - cached.items_done
            for cached in self.jobs.values()
            if cached.job.customer == customer
        )

    def _order(self, eligible: dict[str, CachedJob]) -> list[str]:
        views = [
            JobView(
                job=cached.job.id,
                customer=cached.job.customer,
                accepted=cached.job.created,
                deadline=cached.job.deadline,
                items_left=cached.job.items - cached.items_done,
                items_running=cached.items_claimed,
            )
            for cached in eligible.values()
        ]
        return order_jobs(
            views,
            self.weights(),
            time.time(),
            self.items_per_second,
        )

    def _iterate_offers(self, cached_job: CachedJob) -> Iterator[Offer]:
        job = cached_job.job
        now = self.clock()
        for index in self._order_chunks(job):
            cached = cached_job.claims.get(index)
            offered = self._offered_at.get((job.id, index))
            if offered is not None and now - offered < OFFER_HOLD_SECONDS:
                continue
            if cached is None:
                yield Offer(job=job, chunk=index, revision=0)
            elif self._is_free(job.id, index, cached):
                yield Offer(
                    job=job,
                    chunk=index,
                    revision=cached.revision,
                    claim=cached.claim,
                )

    def _order_chunks(self, job: Job) -> list[int]:
        """Order chunks with this entry's share of them first.

        If all entries offered chunks in the same order, their local processes
        would compete for the same claims.
        """
        entries = self.list_entries()
        position = entries.index(self.address) if self.address in entries else 0
        count = max(1, len(entries))
        return sorted(
            range(len(job.pages)),
            key=lambda index: (index % count != position, index),
        )

    def _is_free(self, job: str, index: int, cached: CachedClaim) -> bool:
        if cached.claim.is_done:
            return False
        if not cached.claim.owner:
            return True
        return self.measure_silence(job, index, cached) > SILENCE_SECONDS

    def _attach_early_claims(self, cached_job: CachedJob) -> None:
        job_id = cached_job.job.id
        for index, _items in enumerate(cached_job.job.pages):
            cached = self._early_claims.pop((job_id, index), None)
            if cached is not None:
                cached_job.claims[index] = cached
