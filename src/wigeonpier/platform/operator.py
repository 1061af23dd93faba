"""The operator's configuration and orders in the store."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.platform import wire
from wigeonpier.platform.decoding import decode_value
from wigeonpier.served import (
    ClientLimits,
    RouteKind,
    ServedConfiguration,
    ServedCustomer,
    ServedRoute,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

CONFIGURATION_KEY = wire.OPERATOR_CONFIGURATION
RETIRE_ORDERS = wire.RETIRE_ORDERS
MILLISECONDS = 1000
KINDS = MappingProxyType(
    {
        'safe': RouteKind.repeatable,
        'unsafe': RouteKind.once,
        'streaming': RouteKind.stream,
        'batch_run': RouteKind.batch,
    },
)


class _Share(msgspec.Struct):
    service: str
    weight: float = 1


class _Route(msgspec.Struct):
    host: str
    prefix: str = msgspec.field(name='pathPrefix')
    kind: str
    name: str = ''
    service: str = ''
    split: list[_Share] = []
    timeout_ms: float = msgspec.field(name='timeoutMs', default=0)
    objective_ms: float = msgspec.field(name='targetLatencyMs', default=0)
    attempts: int = msgspec.field(name='maxAttempts', default=1)
    resumable: bool = False
    priority: int = 0
    run_objective_ms: float = msgspec.field(name='runAimMs', default=0)
    retention_s: float = msgspec.field(name='retentionS', default=0)
    # On a batch route: the maximum number of waiting tokens.
    token_limit: int = msgspec.field(name='maxCount', default=0)
    allows_anonymous: bool = msgspec.field(
        name='allowAnonymous',
        default=False,
    )


class _Tenant(msgspec.Struct):
    name: str = ''
    keys: list[str] = msgspec.field(name='apiKeys', default=[])
    priority: int | None = None
    rate: float = msgspec.field(name='ratePerS', default=0)
    burst: float = 0


class _Limits(msgspec.Struct):
    body_bytes: int = msgspec.field(name='maxBodyBytes')
    head_bytes: int = msgspec.field(name='maxHeaderBytes', default=0)
    head_ms: float = msgspec.field(name='headerTimeoutMs', default=0)
    idle_ms: float = msgspec.field(name='idleTimeoutMs', default=0)


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits
    tenants: list[_Tenant] | None = None


def decode_configuration(raw: bytes) -> ServedConfiguration:
    """Decode the operator's configuration.

    :param raw: value of its key.
    :returns: the configuration.
    :raises OddValueError: when it is no configuration.
    """
    found = decode_value(raw, _Configuration)
    return ServedConfiguration(
        found.version,
        tuple(_make_route(route) for route in found.routes),
        found.limits.body_bytes,
        None if found.tenants is None else _list_customers(found.tenants),
        tuple(_list_warnings(found.tenants or [])),
        _make_client_limits(found.limits),
    )


def encode_configuration(configuration: ServedConfiguration) -> bytes:
    """Encode a configuration as the operator does, for stand-ins.

    :param configuration: the configuration.
    :returns: value of its key.
    """
    kinds = {kind: name for name, kind in KINDS.items()}
    routes = [
        _Route(
            host=route.host,
            prefix=route.prefix,
            kind=kinds[route.kind],
            name=route.name,
            split=[_Share(*share) for share in route.services],
            timeout_ms=route.timeout * MILLISECONDS,
            objective_ms=route.objective * MILLISECONDS,
            attempts=route.tries,
            resumable=route.is_resumable,
            priority=route.priority,
            run_objective_ms=route.run_objective * MILLISECONDS,
            retention_s=route.retention,
            token_limit=route.most_tokens,
            allows_anonymous=route.is_open,
        )
        for route in configuration.routes
    ]
    return msgspec.json.encode(
        _Configuration(
            configuration.version,
            routes,
            _Limits(
                configuration.body_limit,
                configuration.client_limits.head_bytes,
                configuration.client_limits.head_seconds * MILLISECONDS,
                configuration.client_limits.idle_seconds * MILLISECONDS,
            ),
            _list_tenants(configuration),
        ),
    )


def name_retire_state(order: str) -> str:
    """Name the key with the state of an order to empty a VM.

    :param order: key of the order.
    :returns: key of its state.
    """
    return wire.RETIRE_STATES + order.removeprefix(wire.RETIRE_ORDERS)


def encode_retired() -> bytes:
    """Encode the state of an order whose VM is empty.

    :returns: value of the state's key.
    """
    return msgspec.json.encode({'state': 'completed'})


def _make_client_limits(found: _Limits) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        found.head_bytes or default.head_bytes,
        found.head_ms / MILLISECONDS or default.head_seconds,
        found.idle_ms / MILLISECONDS or default.idle_seconds,
    )


def _make_route(route: _Route) -> ServedRoute:
    services = [(share.service, share.weight) for share in route.split]
    return ServedRoute(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=KINDS.get(route.kind, RouteKind.once),
        services=tuple(services or [(route.service, 1.0)]),
        timeout=route.timeout_ms / MILLISECONDS,
        objective=route.objective_ms / MILLISECONDS,
        tries=route.attempts,
        is_resumable=route.resumable,
        priority=route.priority,
        run_objective=route.run_objective_ms / MILLISECONDS,
        retention=route.retention_s,
        most_tokens=route.token_limit,
        is_open=route.allows_anonymous,
    )


def _list_customers(tenants: list[_Tenant]) -> dict[str, ServedCustomer]:
    """Make the table of customers by key.

    Of two owners of a key the first one counts.  Keys of a customer without a
    name are left out, since a request could not name it to the upstream.
    """
    customers: dict[str, ServedCustomer] = {}
    for tenant in filter(_get_name, tenants):
        customer = ServedCustomer(
            tenant.name,
            tenant.priority,
            tenant.rate,
            tenant.burst,
        )
        for key in tenant.keys:
            customers.setdefault(key, customer)
    return customers


def _list_warnings(tenants: list[_Tenant]) -> Iterator[str]:
    """List mistakes in the list of customers, without naming any key."""
    owners: dict[str, str] = {}
    names: set[str] = set()
    for position, tenant in enumerate(tenants):
        if not tenant.name:
            yield f'customer {position} has no name; its keys are unknown'
        if tenant.name in names:
            yield f'two customers are called {tenant.name}'
        names.add(tenant.name)
        for key in tenant.keys:
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                yield f'{owner} and {tenant.name} have a key in common'


def _get_name(tenant: _Tenant) -> str:
    return tenant.name


def _list_tenants(configuration: ServedConfiguration) -> list[_Tenant] | None:
    if configuration.customers is None:
        return None
    tenants: dict[ServedCustomer, _Tenant] = {}
    for key, customer in configuration.customers.items():
        tenant = tenants.setdefault(
            customer,
            _Tenant(
                customer.name,
                [],
                customer.priority,
                customer.rate,
                customer.burst,
            ),
        )
        tenant.keys.append(key)
    return list(tenants.values())
