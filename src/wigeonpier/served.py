"""The operator's configuration, independent of the platform's names."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class RouteKind(StrEnum):
    """How the requests of a route may be run."""

    repeatable = 'repeatable'
    once = 'once'
    stream = 'stream'
    batch = 'batch'


@dataclass(frozen=True, slots=True)
class ServedRoute:
    """One route of the operator's configuration.

    :param name: its name.
    :param host: host that callers name.
    :param prefix: prefix of the paths.
    :param kind: how its requests may be run.
    :param services: services with their weights.
    :param timeout: maximum time that a caller waits, seconds.
    :param objective: latency objective, seconds.
    :param tries: maximum number of upstreams that may run one request.
    :param is_resumable: whether a stream may continue at another upstream.
    :param priority: rank, 0 is the highest.
    :param run_objective: time from its first send until a job is due, seconds.
    :param retention: how long an item must be attempted, seconds.
    :param most_tokens: maximum tokens that may wait on the route, for each
        customer where there are customers, 0 for no limit.
    :param is_open: whether it is served without a key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[tuple[str, float], ...]
    timeout: float
    objective: float
    tries: int
    is_resumable: bool
    priority: int
    run_objective: float
    retention: float
    most_tokens: int
    is_open: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Check whether a request may run more than once."""
        if self.kind is RouteKind.stream:
            return self.is_resumable
        return self.kind is not RouteKind.once


@dataclass(frozen=True, slots=True)
class ServedCustomer:
    """A customer of the operator's configuration.

    :param name: its name, which is sent to upstreams.
    :param priority: rank of its requests, 0 is the highest; ``None`` for the
        rank of the route.
    :param rate: requests per second, 0 for no limit.
    :param burst: requests allowed beyond the rate in a window of any length.
    """

    name: str
    priority: int | None = None
    rate: float = 0
    burst: float = 0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take.

    :param head_bytes: size of a request's head.
    :param head_seconds: time from the first byte of a head to its last one.
    :param idle_seconds: time between two requests on a connection.
    """

    head_bytes: int = 65_536
    head_seconds: float = 30.0
    idle_seconds: float = 75.0


@dataclass(frozen=True, slots=True)
class ServedConfiguration:
    """The operator's configuration.

    :param version: grows with each change.
    :param routes: all routes.
    :param body_limit: maximum bytes of a body.
    :param customers: customers by key, ``None`` where no key is needed.
    :param warnings: descriptions of entries that look like mistakes.
    :param client_limits: limits of clients besides that of a body.
    """

    version: int
    routes: tuple[ServedRoute, ...]
    body_limit: int
    customers: Mapping[str, ServedCustomer] | None = None
    warnings: tuple[str, ...] = ()
    client_limits: ClientLimits = ClientLimits()
