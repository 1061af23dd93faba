"""Watches the upstream beside this process."""

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

    from wigeonpier.web.client import HttpCaller

PERIOD_SECONDS = 0.5
PATIENCE_SECONDS = 1.0


class _ModelEntry(msgspec.Struct):
    id: str


class _ModelList(msgspec.Struct):
    data: list[_ModelEntry]


def _ignore_change() -> None:
    """Do nothing before a reporter listens."""


@dataclass(slots=True)
class UpstreamWatch:
    """What is known of the upstream.

    :param caller: connections to it.
    :param address: ``host:port``.
    :param find_kind: gives the kind of its service.
    :param is_well: whether it answered last.
    :param models: models that it serves.
    :param on_change: called when it falls ill, is well again, or serves
        other models.
    """

    caller: HttpCaller
    address: str
    find_kind: Callable[[], ServiceKind]
    is_well: bool = False
    models: tuple[str, ...] = ()
    on_change: Callable[[], None] = _ignore_change

    def start(self) -> None:
        """Begin to watch."""
        spawn_loop('upstream', self._run)

    def check(self) -> bool:
        """Ask the upstream now.

        :returns: whether it answers.
        """
        before = (self.is_well, self.models)
        self.is_well = self._ask_health() and self._ask_models()
        if (self.is_well, self.models) != before:
            self.on_change()
        return self.is_well

    def _run(self) -> None:
        self.check()
        gevent.sleep(PERIOD_SECONDS)

    def _ask_health(self) -> bool:
        called = self.caller.call(
            self.address,
            'GET',
            '/healthz',
            patience=PATIENCE_SECONDS,
        )
        return not isinstance(called, Err) and called.ok_value.is_good

    def _ask_models(self) -> bool:
        if self.find_kind() is ServiceKind.plain:
            return True
        called = self.caller.call(
            self.address,
            'GET',
            '/v1/models',
            patience=PATIENCE_SECONDS,
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            return False
        listed = called.ok_value.decode(_ModelList)
        self.models = tuple(sorted(entry.id for entry in listed.data))
        return True
