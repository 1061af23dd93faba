"""Accepts, shows and cancels batch jobs."""

from __future__ import annotations

import hashlib
import secrets
import time
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok

from wigeonpier.batch.models import (
    FINISHED_STATUSES,
    BatchPage,
    BatchRequest,
    FileRecord,
    FinishedJob,
    Job,
    JobStatus,
    Resend,
)
from wigeonpier.batch.pages import show_finished, show_job
from wigeonpier.batch.results import name_stored_results
from wigeonpier.entry.uploads import find_service
from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.platform import keys
from wigeonpier.platform.confirmedwrite import swap_confirmed
from wigeonpier.platform.port import Entry, Failure, Platform
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.entry.board import JobBoard
    from wigeonpier.settings.deployment import Deployment

WRITE_TIMEOUT_SECONDS = 8.0
CANCEL_ATTEMPTS = 8
JOB_ID_BYTES = 12
HOUR_SECONDS = 3600
WINDOW_UNITS = MappingProxyType(
    {
        'm': 60,
        'h': HOUR_SECONDS,
        'd': 24 * HOUR_SECONDS,
    }
)


@dataclass(slots=True)
class JobHandler:
    """Creates, shows and cancels the jobs of callers.

    :param platform: the port.
    :param board: jobs that are not finished.
    :param read_on_disks: reads a file of one page from any data folder.
    """

    platform: Platform
    board: JobBoard
    read_on_disks: Callable[[str], bytes | None]

    def create(
        self,
        customer: str,
        request: BatchRequest,
        idempotency_key: str,
        deployment: Deployment,
    ) -> BatchPage:
        """Accept a job, or find the job that a resent request created.

        :param customer: name of the customer.
        :param request: the request for a batch.
        :param idempotency_key: the caller's Idempotency-Key, empty for none.
        :param deployment: configuration in force.
        :returns: the job.
        """
        record = self.read_file(customer, request.input_file_id)
        digest = _digest_request(request, record)
        source = (
            f'key:{idempotency_key}' if idempotency_key else f'body:{digest}'
        )
        key = keys.name_resend(customer, _hash_text(source))
        entry = self._read(key)
        resend = _read_resend(entry, deployment.batch.resend_hours)
        own = _make_resend(digest)
        if resend is None:
            # A request that was admitted once is not refused later for a full
            # queue, since the first write of its job may still take effect.
            self._check_queue(customer, sum(record.pages), deployment)
            resend = self._write_resend(key, entry, own)
        resend = _check_same_digest(resend, digest)
        try:
            return self._accept(resend, request, record, deployment)
        except Refusal as refusal:
            if resend is not own and refusal.kind is ErrorKind.platform_down:
                # This send wrote nothing; the earlier one may have.
                refusal.ran = Ran.unknown
            raise

    def show(self, customer: str, job_id: str) -> BatchPage:
        """Show one job.

        :param customer: name of the customer.
        :param job_id: id of the job.
        :returns: the job.
        :raises Refusal: when the customer has no such job.
        """
        page = self._find_page(customer, job_id)
        if page is None:
            raise Refusal(ErrorKind.not_found, f'there is no batch {job_id}')
        return page

    def list_pages(self, customer: str) -> list[BatchPage]:
        """List the jobs of a customer.

        :param customer: name of the customer.
        :returns: newest first.
        """
        pages = [
            self._show_unfinished(cached.job)
            for cached in self.board.jobs.values()
            if cached.job.customer == customer
        ]
        unfinished = {page.id for page in pages}
        pages += [
            show_finished(finished)
            for finished in self.list_finished(customer)
            if finished.job.id not in unfinished
        ]
        return sorted(pages, key=lambda page: page.created_at, reverse=True)

    def list_finished(self, customer: str) -> list[FinishedJob]:
        """Read the finished jobs of a customer.

        :param customer: name of the customer.
        :returns: the jobs.
        """
        prefix = keys.name_results(customer, '')
        listed = self.platform.list_prefix(prefix)
        if isinstance(listed, Err):
            raise refuse_platform()
        return [
            msgspec.json.decode(entry.value, type=FinishedJob)
            for entry in listed.ok_value.entries
        ]

    def cancel(self, customer: str, job_id: str) -> BatchPage:
        """Cancel a job; a finished one is not changed.

        :param customer: name of the customer.
        :param job_id: id of the job.
        :returns: the job.
        """
        for _ in range(CANCEL_ATTEMPTS):
            entry = self._read(keys.name_job(customer, job_id))
            if entry is None:
                return self.show(customer, job_id)
            job = msgspec.json.decode(entry.value, type=Job)
            if job.status in FINISHED_STATUSES:
                return self.show(customer, job_id)
            if job.status is JobStatus.cancelling:
                return self._show_unfinished(job)
            job.status = JobStatus.cancelling
            job.cancelling_at = int(time.time())
            if self._replace(entry, job):
                return self._show_unfinished(job)
        raise Refusal(ErrorKind.conflict, 'the job changes at the moment')

    def read_file(self, customer: str, file_id: str) -> FileRecord:
        """Read the record of an uploaded file.

        :param customer: name of the customer.
        :param file_id: id of the file.
        :returns: the record.
        :raises Refusal: when the customer has no such file.
        """
        entry = self._read(keys.name_file(customer, file_id))
        if entry is None:
            raise Refusal(ErrorKind.not_found, f'there is no file {file_id}')
        return msgspec.json.decode(entry.value, type=FileRecord)

    def write_file(self, record: FileRecord) -> None:
        """Store the record of an uploaded file.

        :param record: the file; its pages are stored already.
        """
        raw = msgspec.json.encode(record)
        written = swap_confirmed(
            self.platform,
            keys.name_file(record.customer, record.id),
            raw,
            0,
            lambda entry: entry.value == raw,
            WRITE_TIMEOUT_SECONDS,
        )
        if isinstance(written, Err):
            raise refuse_write(written.err_value)

    def read_finished(self, customer: str, job_id: str) -> FinishedJob | None:
        """Read a finished job.

        :param customer: name of the customer.
        :param job_id: id of the job.
        :returns: the job, ``None`` where it is not finished.
        """
        read = self.platform.get(keys.name_results(customer, job_id))
        if isinstance(read, Err):
            return self._read_finished_on_disks(customer, job_id)
        if read.ok_value is None:
            return None
        return msgspec.json.decode(read.ok_value.value, type=FinishedJob)

    def _read_finished_on_disks(
        self, customer: str, job_id: str
    ) -> FinishedJob | None:
        """Read the copy in the data folders while the service is down."""
        raw = self.read_on_disks(name_stored_results(job_id))
        if raw is None:
            raise refuse_platform()
        finished = msgspec.json.decode(raw, type=FinishedJob)
        return finished if finished.job.customer == customer else None

    def _find_page(self, customer: str, job_id: str) -> BatchPage | None:
        cached = self.board.jobs.get(job_id)
        if cached is not None and cached.job.customer == customer:
            return self._show_unfinished(cached.job)
        # Results are written before the job is marked as ended, so reading
        # the job first finds at least one of the two.
        read = self.platform.get(keys.name_job(customer, job_id))
        if isinstance(read, Ok) and read.ok_value is not None:
            job = msgspec.json.decode(read.ok_value.value, type=Job)
            if job.status not in FINISHED_STATUSES:
                return self._show_unfinished(job)
        finished = self.read_finished(customer, job_id)
        return show_finished(finished) if finished else None

    def _show_unfinished(self, job: Job) -> BatchPage:
        cached = self.board.jobs.get(job.id)
        claims = (
            [cached_claim.claim for cached_claim in cached.claims.values()]
            if cached
            else []
        )
        return show_job(job, claims)

    def _accept(
        self,
        resend: Resend,
        request: BatchRequest,
        record: FileRecord,
        deployment: Deployment,
    ) -> BatchPage:
        """Write the job of a request, or find it written."""
        existing = self._find_page(record.customer, resend.job)
        if existing is not None:
            return existing
        return self._write_job(_make_job(resend, request, record, deployment))

    def _write_resend(
        self, key: str, entry: Entry | None, own: Resend
    ) -> Resend:
        """Get the job id that all sends of this request share."""
        raw = msgspec.json.encode(own)
        written = swap_confirmed(
            self.platform,
            key,
            raw,
            entry.revision if entry else 0,
            lambda found: found.value == raw,
            WRITE_TIMEOUT_SECONDS,
        )
        if isinstance(written, Ok):
            return own
        if written.err_value is not Failure.conflict:
            raise refuse_write(written.err_value)
        stored = self._read(key)
        if stored is None:
            raise Refusal(ErrorKind.conflict, 'the resend key changes')
        return msgspec.json.decode(stored.value, type=Resend)

    def _check_queue(
        self,
        customer: str,
        items: int,
        deployment: Deployment,
    ) -> None:
        limit = deployment.customers[customer].limits.queued_items
        if self.board.count_queued(customer) + items > limit:
            raise Refusal(
                ErrorKind.limit_reached,
                f'at most {limit} items may be queued',
                retry_after=60,
            )

    def _write_job(self, job: Job) -> BatchPage:
        raw = msgspec.json.encode(job)
        written = swap_confirmed(
            self.platform,
            keys.name_job(job.customer, job.id),
            raw,
            0,
            lambda entry: entry.value == raw,
            WRITE_TIMEOUT_SECONDS,
        )
        if (
            isinstance(written, Err)
            and written.err_value is not Failure.conflict
        ):
            raise refuse_write(written.err_value)
        log_event(
            Event.job_accepted,
            job=job.id,
            customer=job.customer,
            items=job.items,
        )
        return self._show_unfinished(job)

    def _replace(self, entry: Entry, job: Job) -> bool:
        raw = msgspec.json.encode(job)
        written = swap_confirmed(
            self.platform,
            entry.key,
            raw,
            entry.revision,
            lambda found: found.value == raw,
            WRITE_TIMEOUT_SECONDS,
        )
        if isinstance(written, Ok):
            return True
        if written.err_value is Failure.conflict:
            return False
        raise refuse_write(written.err_value)

    def _read(self, key: str) -> Entry | None:
        read = self.platform.get(key)
        if isinstance(read, Err):
            raise refuse_platform()
        return read.ok_value


def refuse_platform() -> Refusal:
    """Make the refusal for a key-value service that does not answer.

    :returns: the refusal; nothing was written.
    """
    return Refusal(
        ErrorKind.platform_down,
        'the key-value service does not answer; nothing was accepted',
    )


def refuse_write(failure: Failure) -> Refusal:
    """Make the refusal for a write that failed or could not be confirmed.

    :param failure: how the write failed.
    :returns: the refusal; it says whether the write may have taken effect.
    """
    if failure is Failure.unknown:
        return Refusal(
            ErrorKind.outcome_unknown,
            'it is not known whether this was accepted; send it again',
            ran=Ran.unknown,
        )
    return refuse_platform()


def _hash_text(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _read_resend(entry: Entry | None, hours: float) -> Resend | None:
    if entry is None:
        return None
    resend = msgspec.json.decode(entry.value, type=Resend)
    age = time.time() - resend.created
    return resend if age < hours * HOUR_SECONDS else None


def _make_resend(digest: str) -> Resend:
    random_id = secrets.token_hex(JOB_ID_BYTES)
    return Resend(f'batch_{random_id}', digest, int(time.time()))


def _check_same_digest(resend: Resend, digest: str) -> Resend:
    if resend.digest != digest:
        raise Refusal(
            ErrorKind.key_reused,
            'the Idempotency-Key was used for another request',
        )
    return resend


def _digest_request(request: BatchRequest, record: FileRecord) -> str:
    parts = [
        record.digest,
        request.endpoint,
        request.completion_window,
        msgspec.json.encode(request.metadata, order='sorted').decode(),
    ]
    return _hash_text('\0'.join(parts))


def _make_job(
    resend: Resend,
    request: BatchRequest,
    record: FileRecord,
    deployment: Deployment,
) -> Job:
    if request.endpoint != record.url:
        raise Refusal(
            ErrorKind.invalid_request,
            f'endpoint: expected {record.url}, which the lines call',
        )
    window = request.completion_window
    seconds = int(window[:-1]) * WINDOW_UNITS[window[-1]]
    service = find_service(deployment, record.url, record.model)
    return Job(
        id=resend.job,
        customer=record.customer,
        file=record.id,
        pages=record.pages,
        copies=record.copies,
        url=record.url,
        model=record.model,
        service=service,
        idempotent=deployment.services[service].idempotent,
        window=window,
        created=resend.created,
        deadline=resend.created + seconds,
        metadata=request.metadata or {},
    )
