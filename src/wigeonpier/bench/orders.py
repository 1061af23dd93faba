"""Orders to a stand-in engine, with or without fencing checks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.web.messages import Response, answer_json

if TYPE_CHECKING:
    from wigeonpier.web.client import HttpClient
    from wigeonpier.web.messages import Request

LOAD_SECONDS = 60.0


@dataclass(slots=True)
class EngineState:
    """What orders changed.

    :param models: versions by model that is loaded.
    :param adapters: adapters that are loaded.
    :param role: what the engine does: both, prefill or decode.
    :param fence: highest fencing number of an order.
    :param orders: orders that were carried out, with their numbers.
    """

    models: dict[str, str]
    adapters: set[str] = field(default_factory=set)
    role: str = 'both'
    fence: int = 0
    orders: list[dict[str, Any]] = field(default_factory=list)


@dataclass(slots=True)
class OrderHandler:
    """Carries out orders.

    :param state: what orders change.
    :param checks_fencing: whether older fencing numbers are refused.
    :param weights: connection to the weight store and its address.
    """

    state: EngineState
    checks_fencing: bool = False
    weights: tuple[HttpClient, str] | None = None

    def obey(self, request: Request) -> Response:
        """Carry out one order.

        :param request: the order.
        :returns: that it is done.
        :raises Refusal: when the fencing number is old and that is checked.
        """
        order = msgspec.json.decode(request.read_body())
        if self.checks_fencing and order['fence'] < self.state.fence:
            raise Refusal(ErrorKind.conflict, 'the fencing number is old')
        self.state.fence = max(self.state.fence, order['fence'])
        self._carry_out(order)
        self.state.orders.append(order)
        return answer_json({'done': True})

    def _carry_out(self, order: dict[str, Any]) -> None:
        match order['kind']:
            case 'load_model':
                self._fetch_weights(order['model'], order['version'])
                self.state.models[order['model']] = order['version']
            case 'unload_model':
                self.state.models.pop(order['model'], None)
            case 'load_adapter':
                self._fetch_weights(order['adapter'], order['version'])
                self.state.adapters.add(order['adapter'])
            case 'change_role':
                self.state.role = order['role']
            case other:
                raise Refusal(ErrorKind.invalid_request, f'no order {other}')

    def _fetch_weights(self, name: str, version: str) -> None:
        if self.weights is None:
            return
        client, address = self.weights
        reply = client.call(
            address,
            'GET',
            f'/weights/{name}/{version}',
            timeout=LOAD_SECONDS,
        )
        if isinstance(reply, Err) or not reply.ok_value.is_good:
            raise Refusal(ErrorKind.overloaded, 'the weight store refused')
