"""Components that all hosted daemons share."""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from wigeonpier.hosted.contact import StoreHealth
from wigeonpier.platform.store import KeyValueStore, TimedStore
from wigeonpier.platform.storelimits import StoreLimits
from wigeonpier.platform.view import PrefixWatcher
from wigeonpier.policy.outage import plan_outage
from wigeonpier.policy.watchplan import plan_watches
from wigeonpier.settings.process import split_address
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.messages import Response
from wigeonpier.web.pages import METRICS_TYPE
from wigeonpier.web.pool import ConnectionPool
from wigeonpier.web.server import Route, Server, dispatch_to, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.models import HostSettings
    from wigeonpier.platform.port import Change
    from wigeonpier.web.messages import Request
    from wigeonpier.web.readlimits import ReadLimit

# Settings that a reload applies at once; the others belong to open listeners
# and folders.
APPLIED_AT_ONCE = frozenset(('store',))


def _is_always() -> bool:
    """Return true; the default of :meth:`DaemonContext.view`."""
    return True


@dataclass(slots=True)
class DaemonContext:
    """Components that all hosted daemons share.

    :param settings: settings of the process.
    :param metrics: its metrics.
    :param pool: connections to other processes.
    :param store: the key-value service.
    :param store_health: tracks whether the store answers.
    :param rng: source of randomness.
    """

    settings: HostSettings
    metrics: Metrics = field(default_factory=Metrics)
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    rng: random.Random = field(default_factory=random.Random)
    store: KeyValueStore = field(init=False)
    store_health: StoreHealth = field(init=False)

    def __post_init__(self) -> None:
        """Connect to the store of the settings."""
        self.pool.on_endless = self._count_endless
        self.store = KeyValueStore(
            self.pool,
            self.settings.store,
            self.metrics,
            plan_watches(
                self.settings.bounds.contact, self.settings.store_history
            ),
            StoreLimits(self.settings.store_value_bytes),
        )
        self.store_health = StoreHealth(
            self.store,
            plan_outage(self.settings.bounds),
            self.rng,
        )
        self.store_health.start()

    def view(
        self,
        prefix: str,
        on_change: Callable[[Change], None],
        is_decisive: Callable[[], bool] = _is_always,
    ) -> PrefixWatcher:
        """Make a watcher of the keys with a prefix; the caller starts it.

        :param prefix: prefix of the keys.
        :param on_change: called with each change, in order.
        :param is_decisive: checks whether requests or items are started by
            these keys now, so that their age has to be bounded.
        :returns: the watcher; after an outage it resumes as soon as the store
            answers any call of this process.
        """
        plan = self.store.plan
        timed_store = TimedStore(
            self.store,
            lambda: plan.decisive if is_decisive() else plan.background,
        )
        return PrefixWatcher(
            timed_store,
            prefix,
            on_change,
            self.rng,
            wait=self.store_health.wait,
        )

    def apply(self, settings: HostSettings) -> set[str]:
        """Replace the settings after a reload.

        :param settings: the new settings.
        :returns: names of the settings that changed.
        """
        previous = asdict(self.settings)
        current = asdict(settings)
        self.store.calls.address = settings.store
        self.settings = settings
        return {name for name in previous if previous[name] != current[name]}

    def serve_metrics(self, *routes: Route) -> Server:
        """Serve the metrics of the process.

        :param routes: further routes for operators.
        :returns: the server, started.
        """
        self.metrics.add_gauge('connections', lambda: self.pool.opened)
        server = Server(
            *split_address(self.settings.metrics),
            dispatch_to([*routes, make_route('*', '.*', self._show_metrics)]),
        )
        server.start()
        return server

    def _count_endless(self, limit: ReadLimit) -> None:
        self.metrics.count('endless_answers_total', limit=limit.value)

    def _show_metrics(self, _request: Request) -> Response:
        content = self.metrics.render().encode()
        return Response(HTTPStatus.OK, content, METRICS_TYPE)
