"""Handlers of the administration listener."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from result import Err

from wigeonpier.batch.claims import Tally, add_tallies
from wigeonpier.batch.models import FinishedJob
from wigeonpier.batch.pages import show_finished, show_job
from wigeonpier.entry.configuration import Application, ConfigurationHandler
from wigeonpier.entry.jobs import JobHandler, refuse_platform
from wigeonpier.membership.messages import Role
from wigeonpier.platform import keys
from wigeonpier.web.messages import Response, answer_json, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.membership.directory import Directory
    from wigeonpier.web.messages import Request

MAX_ADMIN_BODY_BYTES = 4_000_000


class MemberPage(msgspec.Struct):
    """One process of the fleet."""

    name: str
    role: Role
    address: str
    data_centre: str
    version: int
    is_leaving: bool
    silent_seconds: float
    service: str = ''
    models: tuple[str, ...] = ()
    slots: int = 0
    online: int = 0
    batch: int = 0


class UsagePage(msgspec.Struct):
    """Totals of a customer's stored results."""

    customer: str
    jobs: int
    tally: Tally


@dataclass(frozen=True, slots=True)
class AdminHandler:
    """Handles the requests of operators.

    :param configuration: accepts configurations.
    :param directory: view of the fleet.
    :param job_handler: shows and cancels jobs.
    """

    configuration: ConfigurationHandler
    directory: Directory
    job_handler: JobHandler

    def make_routes(self) -> list[Route]:
        """List the paths of the administration listener.

        :returns: routes, all below ``/admin/v1/``.
        """
        return [
            make_route(
                'GET', '/admin/v1/configuration', self.show_configuration
            ),
            make_route('POST', '/admin/v1/configuration', self.apply),
            make_route(
                'GET', '/admin/v1/configuration/history', self.list_history
            ),
            make_route('GET', '/admin/v1/fleet', self.list_fleet),
            make_route('GET', '/admin/v1/jobs', self.list_jobs),
            make_route(
                'POST', '/admin/v1/jobs/([^/]+)/([^/]+)/cancel', self.cancel
            ),
            make_route('GET', '/admin/v1/usage', self.list_usage),
            make_route('POST', '/admin/v1/drains/([^/]+)', self.drain),
            make_route('DELETE', '/admin/v1/drains/([^/]+)', self.undrain),
        ]

    def show_configuration(self, _request: Request) -> Response:
        """Show the configuration in force at this entry.

        :param _request: the operator's request.
        :returns: the bundle.
        """
        return Response(HTTPStatus.OK, self.configuration.holder.raw or b'null')

    def apply(self, request: Request) -> Response:
        """Accept a configuration.

        :param request: the operator's request.
        :returns: its version.
        """
        request.body_limit = MAX_ADMIN_BODY_BYTES
        application = decode_body(request.read_body(), Application)
        return answer_json(self.configuration.apply(application))

    def list_history(self, _request: Request) -> Response:
        """List accepted configurations.

        :param _request: the operator's request.
        :returns: bundles, oldest first.
        """
        return answer_json(self.configuration.list_history())

    def list_fleet(self, _request: Request) -> Response:
        """List the processes that this entry knows.

        :param _request: the operator's request.
        :returns: the processes.
        """
        now = self.directory.clock()
        pages = []
        for name, member in sorted(self.directory.members.items()):
            heartbeat = member.heartbeat
            page = MemberPage(
                name=name,
                role=heartbeat.role,
                address=heartbeat.address,
                data_centre=heartbeat.data_centre,
                version=heartbeat.version,
                is_leaving=heartbeat.is_leaving
                or name in self.directory.leaving_vms,
                silent_seconds=round(now - member.seen, 1),
            )
            if heartbeat.upstream:
                page.service = heartbeat.upstream.service
                page.models = heartbeat.upstream.models
                page.slots = heartbeat.upstream.slots
                page.online = heartbeat.upstream.online
                page.batch = heartbeat.upstream.batch
            pages.append(page)
        return answer_json(pages)

    def list_jobs(self, _request: Request) -> Response:
        """List the jobs of all customers.

        :param _request: the operator's request.
        :returns: the jobs; finished ones last.
        """
        pages = [
            show_job(
                cached.job,
                [cached_claim.claim for cached_claim in cached.claims.values()],
            )
            for cached in self.job_handler.board.jobs.values()
        ]
        pages += [show_finished(finished) for finished in self._read_finished()]
        return answer_json(pages)

    def cancel(self, _request: Request, customer: str, job: str) -> Response:
        """Cancel a customer's job.

        :param _request: the operator's request.
        :param customer: name of the customer.
        :param job: id of the job.
        :returns: the job.
        """
        return answer_json(self.job_handler.cancel(customer, job))

    def list_usage(self, _request: Request) -> Response:
        """Sum the stored results by customer.

        :param _request: the operator's request.
        :returns: usage; no item counts twice, since each has one result.
        """
        by_customer: dict[str, list[Tally]] = {}
        for finished in self._read_finished():
            tallies = by_customer.setdefault(finished.job.customer, [])
            tallies.append(finished.tally)
        return answer_json(
            [
                UsagePage(customer, len(tallies), add_tallies(tallies))
                for customer, tallies in sorted(by_customer.items())
            ]
        )

    def drain(self, _request: Request, name: str) -> Response:
        """Stop sending new work to a VM.

        :param _request: the operator's request.
        :param name: name of the VM.
        :returns: all drained VMs.
        """
        self.directory.mark_leaving(name)
        return answer_json(sorted(self.directory.leaving_vms))

    def undrain(self, _request: Request, name: str) -> Response:
        """Resume sending work to a VM.

        :param _request: the operator's request.
        :param name: name of the VM.
        :returns: all drained VMs.
        """
        self.directory.unmark_leaving(name)
        return answer_json(sorted(self.directory.leaving_vms))

    def _read_finished(self) -> list[FinishedJob]:
        listed = self.job_handler.platform.list_prefix(keys.RESULTS)
        if isinstance(listed, Err):
            raise refuse_platform()
        return [
            msgspec.json.decode(entry.value, type=FinishedJob)
            for entry in listed.ok_value.entries
        ]
