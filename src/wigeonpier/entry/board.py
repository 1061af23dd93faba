"""What an entry knows of jobs and claims, and the work it offers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.batch.claims import Claim
from wigeonpier.batch.models import ENDED, Job, JobStatus
from wigeonpier.membership.messages import Heartbeat, Offer
from wigeonpier.platform.keys import JOBS, parse_chunk
from wigeonpier.policy.schedule import JobView, order_jobs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.platform.port import Change

OFFER_SECONDS = 2.0
SILENCE_SECONDS = 3.0
MOST_OFFERS = 4
RATE_MEMORY = 0.95
FIRST_RATE = 10.0


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim as seen in the key-value service.

    :param claim: the claim.
    :param revision: revision of its key.
    :param seen: monotonic seconds.
    """

    claim: Claim
    revision: int
    seen: float


@dataclass(slots=True)
class HeldJob:
    """A job as seen in the key-value service.

    :param job: the job.
    :param revision: revision of its key.
    :param seen: monotonic seconds.
    :param claims: claims of its chunks by index.
    """

    job: Job
    revision: int
    seen: float
    claims: dict[int, HeldClaim] = field(default_factory=dict)

    @property
    def items_done(self) -> int:
        """Count items of chunks that are done."""
        return sum(
            self.job.pages[index]
            for index, held in self.claims.items()
            if held.claim.is_done
        )

    @property
    def items_claimed(self) -> int:
        """Count items of chunks that have an owner and are not done."""
        return sum(
            self.job.pages[index]
            for index, held in self.claims.items()
            if not held.claim.is_done and held.claim.owner
        )

    @property
    def is_all_done(self) -> bool:
        """Tell whether each chunk is done."""
        return len(self.claims) == len(self.job.pages) and all(
            held.claim.is_done for held in self.claims.values()
        )


@dataclass(slots=True)
class JobBoard:
    """Jobs that are not finished.

    :param clock: gives monotonic seconds.
    :param weights: gives the share of each customer.
    :param list_entries: gives the addresses of live entries.
    :param address: this entry's.
    :param jobs: by id.
    :param ages: silence of segments as the data folders told, by job,
        chunk and fencing number: seconds, and when it was told.
    :param items_per_second: what the fleet finishes, as seen here.
    """

    clock: Callable[[], float]
    weights: Callable[[], dict[str, float]]
    list_entries: Callable[[], list[str]] = list
    address: str = ''
    jobs: dict[str, HeldJob] = field(default_factory=dict)
    ages: dict[tuple[str, int, int], tuple[float, float]] = field(
        default_factory=dict,
    )
    items_per_second: float = FIRST_RATE
    _orphans: dict[tuple[str, int], HeldClaim] = field(default_factory=dict)
    _offered: dict[tuple[str, int], float] = field(default_factory=dict)

    def note_job(self, change: Change) -> None:
        """Take in a change of a job's key.

        :param change: what the watch saw.
        """
        _customer, job_id = change.key.removeprefix(JOBS).split('/')
        job = None
        if change.value is not None:
            job = msgspec.json.decode(change.value, type=Job)
        if job is None or job.status in ENDED:
            self.jobs.pop(job_id, None)
            return
        held = self.jobs.get(job_id)
        if held is None:
            held = HeldJob(job, change.revision, self.clock())
            self.jobs[job_id] = held
            self._adopt_orphans(held)
        elif change.revision > held.revision:
            held.job = job
            held.revision = change.revision

    def note_claim(self, change: Change) -> None:
        """Take in a change of a claim's key.

        :param change: what the watch saw.
        """
        job_id, index = parse_chunk(change.key)
        self._offered.pop((job_id, index), None)
        held_job = self.jobs.get(job_id)
        if change.value is None:
            self._orphans.pop((job_id, index), None)
            if held_job:
                held_job.claims.pop(index, None)
            return
        claim = msgspec.json.decode(change.value, type=Claim)
        held = HeldClaim(claim, change.revision, self.clock())
        if held_job is None:
            self._orphans[job_id, index] = held
        else:
            held_job.claims[index] = held

    def note_age(self, name: tuple[str, int, int], age: float) -> None:
        """Take in how long a segment has been silent.

        :param name: job, chunk and fencing number.
        :param age: seconds.
        """
        now = self.clock()
        known = self.ages.get(name)
        if known is None or now - age > known[1] - known[0]:
            self.ages[name] = (age, now)

    def forget_ages(self) -> None:
        """Drop ages of segments of jobs that are not held."""
        self.ages = {
            name: told
            for name, told in self.ages.items()
            if name[0] in self.jobs
        }

    def measure_silence(self, job: str, index: int, held: HeldClaim) -> float:
        """Tell how long an owner has shown no sign of life.

        :param job: id of the job.
        :param index: index of the chunk.
        :param held: its claim.
        :returns: seconds.
        """
        now = self.clock()
        since_claim = now - held.seen
        known = self.ages.get((job, index, held.claim.fence))
        if known is None:
            return since_claim
        age, told = known
        return min(since_claim, age + now - told)

    def list_stopped(self, held: tuple[str, ...]) -> tuple[str, ...]:
        """Tell which jobs of an owner were cancelled.

        :param held: ids of jobs.
        :returns: those whose work has to stop.
        """
        return tuple(
            job
            for job in held
            if job in self.jobs
            and self.jobs[job].job.status is not JobStatus.in_progress
        )

    def offer_work(self, heartbeat: Heartbeat) -> tuple[Offer, ...]:
        """Choose chunks for a local process that wants work.

        :param heartbeat: what it said of itself.
        :returns: offers for about the items that it wants.
        """
        report = heartbeat.upstream
        if not heartbeat.wants or report is None or heartbeat.is_leaving:
            return ()
        fitting = {
            held.job.id: held
            for held in self.jobs.values()
            if held.job.status is JobStatus.in_progress
            and held.job.service == report.service
            and (not held.job.model or held.job.model in report.models)
        }
        offers: list[Offer] = []
        room = heartbeat.wants
        for job_id in self._order(fitting):
            for offer in self._iterate_offers(fitting[job_id]):
                if room <= 0 or len(offers) >= MOST_OFFERS:
                    return tuple(offers)
                offers.append(offer)
                self._offered[job_id, offer.chunk] = self.clock()
                room -= fitting[job_id].job.pages[offer.chunk]
        return tuple(offers)

    def note_rate(self, items: int, seconds: float) -> None:
        """Learn what the fleet finishes.

        :param items: items that were finished.
        :param seconds: in this time.
        """
        rate = items / seconds
        self.items_per_second = max(
            1,
            RATE_MEMORY * self.items_per_second + (1 - RATE_MEMORY) * rate,
        )

    def count_queued(self, customer: str) -> int:
        """Count the items of a customer that are not finished.

        :param customer: name of the customer.
        :returns: items.
        """
        return sum(
            held.job.items - held.items_done
            for held in self.jobs.values()
            if held.job.customer == customer
        )

    def _order(self, fitting: dict[str, HeldJob]) -> list[str]:
        views = [
            JobView(
                job=held.job.id,
                customer=held.job.customer,
                accepted=held.job.created,
                deadline=held.job.deadline,
                items_left=held.job.items - held.items_done,
                items_running=held.items_claimed,
            )
            for held in fitting.values()
        ]
        return order_jobs(
            views,
            self.weights(),
            time.time(),
            self.items_per_second,
        )

    def _iterate_offers(self, held_job: HeldJob) -> Iterator[Offer]:
        job = held_job.job
        now = self.clock()
        for index in self._order_chunks(job):
            held = held_job.claims.get(index)
            offered = self._offered.get((job.id, index))
            if offered is not None and now - offered < OFFER_SECONDS:
                continue
            if held is None:
                yield Offer(job=job, chunk=index, revision=0)
            elif self._is_free(job.id, index, held):
                yield Offer(
                    job=job,
                    chunk=index,
                    revision=held.revision,
                    claim=held.claim,
                )

    def _order_chunks(self, job: Job) -> list[int]:
        """Put this entry's part of the chunks first.

        Entries that offered in one order would send their local processes
        after the same claims.
        """
        entries = self.list_entries()
        place = entries.index(self.address) if self.address in entries else 0
        count = max(1, len(entries))
        return sorted(
            range(len(job.pages)),
            key=lambda index: (index % count != place, index),
        )

    def _is_free(self, job: str, index: int, held: HeldClaim) -> bool:
        if held.claim.is_done:
            return False
        if not held.claim.owner:
            return True
        return self.measure_silence(job, index, held) > SILENCE_SECONDS

    def _adopt_orphans(self, held_job: HeldJob) -> None:
        job_id = held_job.job.id
        for index, _items in enumerate(held_job.job.pages):
            held = self._orphans.pop((job_id, index), None)
            if held is not None:
                held_job.claims[index] = held
