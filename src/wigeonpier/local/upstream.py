"""Monitors the health and the models of the upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err

from wigeonpier.loops import spawn_loop
from wigeonpier.settings.deployment import ServiceKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.web.client import HttpClient

PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 1.0


class _ModelEntry(msgspec.Struct):
    id: str


class _ModelList(msgspec.Struct):
    data: list[_ModelEntry]


def _ignore_change() -> None:
    """Do nothing until a handler is set."""


@dataclass(slots=True)
class UpstreamWatch:
    """Probes the upstream and stores the result.

    :param client: connections to the upstream.
    :param address: ``host:port`` of the upstream.
    :param find_kind: returns the kind of its service.
    :param is_healthy: whether the last probe succeeded.
    :param models: models that it serves.
    :param on_change: called when its health or its models change.
    """

    client: HttpClient
    address: str
    find_kind: Callable[[], ServiceKind]
    is_healthy: bool = False
    models: tuple[str, ...] = ()
    on_change: Callable[[], None] = _ignore_change

    def start(self) -> None:
        """Start probing."""
        spawn_loop('upstream', self._run)

    def check(self) -> bool:
        """Probe the upstream now.

        :returns: whether it is healthy.
        """
        before = (self.is_healthy, self.models)
        self.is_healthy = self._probe_health() and self._fetch_models()
        if (self.is_healthy, self.models) != before:
            self.on_change()
        return self.is_healthy

    def _run(self) -> None:
        self.check()
        gevent.sleep(PROBE_INTERVAL_SECONDS)

    def _probe_health(self) -> bool:
        called = self.client.call(
            self.address,
            'GET',
            '/healthz',
            timeout=PROBE_TIMEOUT_SECONDS,
        )
        return not isinstance(called, Err) and called.ok_value.is_good

    def _fetch_models(self) -> bool:
        if self.find_kind() is ServiceKind.plain:
            return True
        called = self.client.call(
            self.address,
            'GET',
            '/v1/models',
            timeout=PROBE_TIMEOUT_SECONDS,
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            return False
        try:
            listed = called.ok_value.decode(_ModelList)
        except msgspec.DecodeError:
            return False
        self.models = tuple(sorted(entry.id for entry in listed.data))
        return True
