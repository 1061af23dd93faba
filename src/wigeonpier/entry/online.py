"""Handlers of online inference requests."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec
import xxhash

from wigeonpier.batch.models import ListPage
from wigeonpier.entry.pending import PendingRequest
from wigeonpier.entry.resends import (
    OnlineResends,
    digest_parts,
    name_online_resend,
)
from wigeonpier.entry.uploads import find_service
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.policy.route import RoutingCriteria
from wigeonpier.web import headers
from wigeonpier.web.messages import answer_json, decode_body

if TYPE_CHECKING:
    from wigeonpier.entry.forward import Forwarder
    from wigeonpier.entry.limits import Account, CustomerLimits
    from wigeonpier.settings.deployment import Deployment, Service
    from wigeonpier.settings.holder import ConfigurationHolder
    from wigeonpier.web.messages import Request, Response

AFFINITY_PREFIX_BYTES = 512
BOOLEANS = MappingProxyType({'true': True, 'false': False})


class CompletionHead(msgspec.Struct):
    """The fields of a completion request that an entry decodes.

    :param model: model to run.
    :param stream: whether the answer is streamed.
    :param messages: messages of the chat, not decoded.
    :param prompt: prompt, not decoded.
    """

    model: str
    stream: bool = False
    messages: msgspec.Raw = msgspec.Raw(b'')
    prompt: msgspec.Raw = msgspec.Raw(b'')


class ModelPage(msgspec.Struct):
    """A model as ``/v1/models`` lists it."""

    id: str
    object: str = 'model'
    created: int = 0
    owned_by: str = 'wigeonpier'


@dataclass(frozen=True, slots=True)
class OnlineHandler:
    """Handles online requests.

    :param holder: configuration in force.
    :param forwarder: sends requests to upstreams.
    :param limits: limits of customers.
    :param resends: runs requests with an Idempotency-Key once.
    :param data_centre: data centre of this entry.
    """

    holder: ConfigurationHolder
    forwarder: Forwarder
    limits: CustomerLimits
    resends: OnlineResends
    data_centre: str

    def complete(self, request: Request) -> Response:
        """Answer a completion request, streamed or in one piece.

        :param request: the caller's request.
        :returns: the upstream's answer.
        """
        deployment = self.holder.deployment
        request.body_limit = deployment.body_limit
        body = request.read_body()
        head = decode_body(body, CompletionHead)
        name = find_service(deployment, request.path, head.model)
        if not (bytes(head.messages) or bytes(head.prompt)):
            raise Refusal(
                ErrorKind.invalid_request,
                'expected messages or prompt',
            )
        criteria = self._make_criteria(deployment, name, head)
        return self._send(request, request.path, body, criteria)

    def call_service(
        self,
        request: Request,
        name: str,
        _rest: str,
    ) -> Response:
        """Forward a call to a plain service.

        :param request: the caller's request.
        :param name: name of the service.
        :param _rest: path at the service.
        :returns: the service's answer.
        """
        deployment = self.holder.deployment
        if name not in deployment.services:
            raise Refusal(ErrorKind.not_found, f'there is no service {name!r}')
        request.body_limit = deployment.body_limit
        body = request.read_body()
        path = request.path
        if request.query:
            path = f'{path}?{request.query}'
        criteria = self._make_criteria(
            deployment, name, CompletionHead(model='')
        )
        return self._send(request, path, body, criteria)

    def list_models(self, _request: Request) -> Response:
        """List the models that callers may use.

        :param _request: the caller's request.
        :returns: the list.
        """
        services = self.holder.deployment.services.values()
        names = sorted(
            {name for service in services for name in service.models}
        )
        return answer_json(ListPage([ModelPage(name) for name in names]))

    def _make_criteria(
        self,
        deployment: Deployment,
        service: str,
        head: CompletionHead,
    ) -> RoutingCriteria:
        start = (bytes(head.messages) or bytes(head.prompt))[
            :AFFINITY_PREFIX_BYTES
        ]
        affinity = ''
        if len(start) == AFFINITY_PREFIX_BYTES:
            affinity = xxhash.xxh3_64_hexdigest(start)
        return RoutingCriteria(
            service=service,
            model=head.model,
            affinity=affinity,
            data_centre=self.data_centre,
            region=deployment.data_centres[self.data_centre].region,
        )

    def _send(
        self,
        request: Request,
        path: str,
        body: bytes,
        criteria: RoutingCriteria,
    ) -> Response:
        deployment = self.holder.deployment
        service = deployment.services[criteria.service]
        pending = PendingRequest(
            request=request,
            path=path,
            body=body,
            criteria=criteria,
            is_idempotent=read_idempotent(request, service),
            deadline=time.monotonic() + service.deadline_seconds,
        )
        key = request.headers.get(headers.IDEMPOTENCY_KEY, '')
        if not key or pending.is_idempotent:
            return self._admit(pending)
        return self.resends.run_once(
            name_online_resend(request.customer, key),
            digest_parts(request.method.encode(), path.encode(), body),
            deployment.batch.resend_hours,
            lambda: self._admit(pending),
        )

    def _admit(self, pending: PendingRequest) -> Response:
        """Send a request within the customer's limits."""
        request = pending.request
        customers = self.holder.deployment.customers
        limits = customers[request.customer].limits
        admission = ExitStack()
        account = admission.enter_context(
            self.limits.acquire(request.customer, limits)
        )
        try:
            response = self.forwarder.send(pending)
        except BaseException:
            admission.close()
            raise
        response.on_close.append(lambda: _charge(account, pending))
        response.on_close.append(admission.close)
        return response


def read_idempotent(request: Request, service: Service) -> bool:
    """Check whether a request may run more than once.

    :param request: the caller's request.
    :param service: service with the default.
    :returns: value of the header, or the default.
    :raises Refusal: when the header is neither true nor false.
    """
    value = request.headers.get(headers.IDEMPOTENT)
    if value is None:
        return service.idempotent
    if value.lower() not in BOOLEANS:
        raise Refusal(
            ErrorKind.invalid_request,
            f'{headers.IDEMPOTENT}: expected true or false',
        )
    return BOOLEANS[value.lower()]


def _charge(account: Account, pending: PendingRequest) -> None:
    account.tokens += pending.tokens
