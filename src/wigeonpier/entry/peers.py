"""Handlers of calls from other processes of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.membership.messages import (
    Heartbeat,
    HeartbeatReply,
    LimitCall,
    Role,
    Usage,
)
from wigeonpier.membership.reporter import CONFIGURATION_PATH
from wigeonpier.web.messages import Response, answer_json, decode_body

if TYPE_CHECKING:
    from wigeonpier.entry.board import JobBoard
    from wigeonpier.entry.limits import CustomerLimits
    from wigeonpier.membership.directory import Directory
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.membership.upstreamlosses import UpstreamLosses
    from wigeonpier.settings.holder import ConfigurationHolder
    from wigeonpier.web.client import HttpClient
    from wigeonpier.web.messages import Request


@dataclass(frozen=True, slots=True)
class PeerHandler:
    """Handles the calls of other entries and local processes.

    :param holder: configuration in force.
    :param directory: view of the fleet.
    :param board: chunks to offer.
    :param limits: limits of customers.
    :param client: connections to peers.
    :param suspicions: requests that are suspected of crashing upstreams.
    :param losses: recent crashes of upstreams.
    """

    holder: ConfigurationHolder
    directory: Directory
    board: JobBoard
    limits: CustomerLimits
    client: HttpClient
    suspicions: Suspicions
    losses: UpstreamLosses

    def handle_heartbeat(self, request: Request) -> Response:
        """Record a heartbeat and answer with updates and offers.

        :param request: the peer's request.
        :returns: the reply.
        """
        heartbeat = decode_body(request.read_body(), Heartbeat)
        if self.directory.is_restart(heartbeat):
            identity = f'{heartbeat.name}/{heartbeat.boot}'
            self.losses.record(identity, heartbeat.name)
        self.directory.record_heartbeat(heartbeat)
        self.losses.merge(heartbeat.losses)
        self.suspicions.merge(heartbeat.suspicions)
        if heartbeat.role is Role.entry:
            self.limits.record_peer_usage(heartbeat.address, heartbeat.usage)
        if heartbeat.version > self.holder.version:
            gevent.spawn(self._fetch_configuration, heartbeat.address)
        summary = self.directory.summarize_fleet()
        return answer_json(
            HeartbeatReply(
                version=self.holder.version,
                entries=summary.entries,
                disks=summary.disks,
                gone=summary.gone,
                offers=self.board.offer_work(heartbeat),
                stopped=self.board.list_stopped(heartbeat.held),
                suspicions=self.suspicions.summarize(),
                address=self.board.address,
                usage=self._list_usage(heartbeat),
                losses=self.losses.describe(),
            ),
        )

    def decide_limit(self, request: Request) -> Response:
        """Decide on a customer's requests for another entry.

        :param request: the peer's request.
        :returns: the decision.
        """
        call = decode_body(request.read_body(), LimitCall)
        return answer_json(self.limits.answer(call))

    def show_configuration(self, _request: Request) -> Response:
        """Show the configuration in force.

        :param _request: the peer's request.
        :returns: the bundle as it is stored.
        """
        if not self.holder.raw:
            raise Refusal(ErrorKind.not_ready, 'no configuration was seen yet')
        return Response(HTTPStatus.OK, self.holder.raw)

    def _list_usage(self, heartbeat: Heartbeat) -> tuple[Usage, ...]:
        """List usage for another entry, which may have just started."""
        if heartbeat.role is not Role.entry:
            return ()
        return self.limits.report()

    def _fetch_configuration(self, address: str) -> None:
        called = self.client.call(address, 'GET', CONFIGURATION_PATH)
        if not isinstance(called, Err) and called.ok_value.is_good:
            self.holder.adopt(called.ok_value.body)
