"""Handlers of files and batches."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from result import Err

from wigeonpier.batch.models import BatchPage, BatchRequest, ListPage
from wigeonpier.batch.pages import ERRORS, OUTPUT, show_file
from wigeonpier.batch.results import iterate_pages, iterate_results
from wigeonpier.entry.jobs import JobHandler, refuse_platform
from wigeonpier.entry.uploads import receive_file
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.platform import keys
from wigeonpier.web import headers
from wigeonpier.web.messages import (
    JSON_LINES_TYPE,
    Response,
    answer_json,
    decode_body,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.disk.client import DiskClient
    from wigeonpier.membership.directory import Directory
    from wigeonpier.settings.holder import ConfigurationHolder
    from wigeonpier.web.messages import Request

DEFAULT_LIST_LIMIT = 20
MAX_LIST_LIMIT = 100


@dataclass(frozen=True, slots=True)
class FileHandler:
    """Handles the requests of callers for files and batches.

    :param holder: configuration in force.
    :param job_handler: accepts and shows jobs.
    :param disks: reaches data folders.
    :param directory: reachable data folders.
    """

    holder: ConfigurationHolder
    job_handler: JobHandler
    disks: DiskClient
    directory: Directory

    def upload(self, request: Request) -> Response:
        """Receive a batch file.

        :param request: multipart form.
        :returns: the file.
        """
        record = receive_file(
            request,
            self.holder.deployment,
            self.disks,
            self.directory.list_disks(),
        )
        self.job_handler.write_file(record)
        return answer_json(show_file(record))

    def show(self, request: Request, file_id: str) -> Response:
        """Show a file.

        :param request: the caller's request.
        :param file_id: id of the file.
        :returns: the file.
        """
        record = self.job_handler.read_file(request.customer, file_id)
        return answer_json(show_file(record))

    def read_content(self, request: Request, file_id: str) -> Response:
        """Read a file, an output file or an error file.

        :param request: the caller's request.
        :param file_id: id of the file.
        :returns: its lines, streamed.
        """
        for prefix in (OUTPUT, ERRORS):
            if file_id.startswith(prefix):
                job = file_id.removeprefix(prefix)
                lines = self._read_results(request, job, prefix == OUTPUT)
                return Response(HTTPStatus.OK, lines, JSON_LINES_TYPE)
        record = self.job_handler.read_file(request.customer, file_id)
        pages = iterate_pages(
            record.copies,
            self.disks,
            record.id,
            len(record.pages),
        )
        return Response(HTTPStatus.OK, pages, JSON_LINES_TYPE)

    def create_batch(self, request: Request) -> Response:
        """Accept a job.

        :param request: the caller's request.
        :returns: the job.
        """
        page = self.job_handler.create(
            request.customer,
            decode_body(request.read_body(), BatchRequest),
            request.headers.get(headers.IDEMPOTENCY_KEY, ''),
            self.holder.deployment,
        )
        return answer_json(page)

    def show_batch(self, request: Request, job: str) -> Response:
        """Show a job.

        :param request: the caller's request.
        :param job: id of the job.
        :returns: the job.
        """
        return answer_json(self.job_handler.show(request.customer, job))

    def list_batches(self, request: Request) -> Response:
        """List the caller's jobs, newest first.

        :param request: the caller's request, with optional ``limit`` and ``after``.
        :returns: the list.
        """
        query = parse_qs(request.query)
        limit = min(
            MAX_LIST_LIMIT,
            _read_count(query.get('limit', [str(DEFAULT_LIST_LIMIT)])[0]),
        )
        pages = self.job_handler.list_pages(request.customer)
        after = query.get('after', [''])[0]
        ids = [page.id for page in pages]
        start = ids.index(after) + 1 if after in ids else 0
        return answer_json(_make_list(pages[start:], limit))

    def cancel_batch(self, request: Request, job: str) -> Response:
        """Cancel a job.

        :param request: the caller's request.
        :param job: id of the job.
        :returns: the job.
        """
        return answer_json(self.job_handler.cancel(request.customer, job))

    def list_files(self, request: Request) -> Response:
        """List the caller's files.

        :param request: the caller's request.
        :returns: the list.
        """
        prefix = keys.name_file(request.customer, '')
        listed = self.job_handler.platform.list_prefix(prefix)
        if isinstance(listed, Err):
            raise refuse_platform()
        files = [
            show_file(
                self.job_handler.read_file(
                    request.customer,
                    entry.key.removeprefix(prefix),
                ),
            )
            for entry in listed.ok_value.entries[:MAX_LIST_LIMIT]
        ]
        return answer_json(ListPage(files))

    def _read_results(
        self,
        request: Request,
        job: str,
        succeeded: bool,
    ) -> Iterator[bytes]:
        finished = self.job_handler.read_finished(request.customer, job)
        if finished is None:
            raise Refusal(
                ErrorKind.not_found,
                f'batch {job} has no results yet',
            )
        return iterate_results(finished, self.disks, succeeded=succeeded)


def _read_count(text: str) -> int:
    if not text.isdigit() or int(text) < 1:
        raise Refusal(
            ErrorKind.invalid_request,
            f'limit: expected a whole number above 0, got {text!r}',
        )
    return int(text)


def _make_list(pages: list[BatchPage], limit: int) -> ListPage:
    listed_pages = pages[:limit]
    return ListPage(
        listed_pages,
        has_more=len(pages) > limit,
        first_id=listed_pages[0].id if listed_pages else None,
        last_id=listed_pages[-1].id if listed_pages else None,
    )
