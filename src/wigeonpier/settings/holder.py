"""The configuration in force in one process; versions only go up."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.invariants import Promise, check_promise
from wigeonpier.settings.deployment import Bundle, Deployment, make_effective
from wigeonpier.settings.document import DocumentError
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

KEPT_FILE = 'configuration.json'


class ConfigurationHolder:
    """Holds the newest configuration that this process has seen."""

    def __init__(self, site: str, data_folder: str = '') -> None:
        """Begin with what the data folder keeps, if there is one."""
        self.bundle: Bundle | None = None
        self.raw = b''
        self._deployment: Deployment | None = None
        self._site = site
        self._listeners: list[Callable[[Deployment], None]] = []
        self._path = Path(data_folder) / KEPT_FILE if data_folder else None
        if self._path and self._path.exists():
            self.adopt(self._path.read_bytes())

    @property
    def version(self) -> int:
        """Give the version in force, 0 before there is one."""
        return self.bundle.version if self.bundle else 0

    @property
    def deployment(self) -> Deployment:
        """Give the configuration in force.

        :raises Refusal: before there is one.
        """
        if self._deployment is None:
            raise Refusal(
                ErrorKind.not_ready,
                'no configuration was seen yet',
            )
        return self._deployment

    def listen(self, listener: Callable[[Deployment], None]) -> None:
        """Be told of each configuration that comes into force.

        :param listener: called now, if there is one, and at each change.
        """
        self._listeners.append(listener)
        if self._deployment is not None:
            listener(self._deployment)

    def adopt(self, raw: bytes) -> bool:
        """Put a configuration in force unless a newer one is.

        :param raw: the bundle as kept in the key-value service.
        :returns: whether it came into force.
        """
        try:
            bundle = msgspec.json.decode(raw, type=Bundle)
            if bundle.version <= self.version:
                return False
            deployment = make_effective(bundle, self._site)
        except (msgspec.DecodeError, DocumentError) as error:
            log_event(Event.configuration_refused, problem=str(error))
            return False
        self._put_in_force(bundle, raw, deployment)
        return True

    def _put_in_force(
        self,
        bundle: Bundle,
        raw: bytes,
        deployment: Deployment,
    ) -> None:
        check_promise(
            bundle.version > self.version,
            Promise.configuration_never_reverts,
            f'{self.version} would become {bundle.version}',
        )
        self.bundle = bundle
        self.raw = raw
        self._deployment = deployment
        if self._path:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            fresh = self._path.with_suffix('.new')
            fresh.write_bytes(raw)
            fresh.replace(self._path)
        for listener in self._listeners:
            listener(deployment)
        log_event(Event.configuration_applied, version=bundle.version)
