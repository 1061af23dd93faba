"""The current configuration of a process; its version never decreases."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.invariants import Invariant, check_invariant
from wigeonpier.settings.deployment import Bundle, Deployment, make_effective
from wigeonpier.settings.document import DocumentError
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

STORED_FILE = 'configuration.json'


class ConfigurationHolder:
    """Holds the newest configuration that this process has received."""

    def __init__(self, site: str, data_folder: str = '') -> None:
        """Start with the configuration stored in the data folder, if any.

        :param site: site whose overlay applies.
        :param data_folder: folder for the newest configuration, empty for
            none.
        """
        self.bundle: Bundle | None = None
        self.raw = b''
        self._deployment: Deployment | None = None
        self._site = site
        self._listeners: list[Callable[[Deployment], None]] = []
        self._path = Path(data_folder) / STORED_FILE if data_folder else None
        if self._path and self._path.exists():
            self.adopt(self._path.read_bytes())

    @property
    def version(self) -> int:
        """Return the current version, 0 before there is one."""
        return self.bundle.version if self.bundle else 0

    @property
    def deployment(self) -> Deployment:
        """Return the current configuration.

        :raises Refusal: before there is one.
        """
        if self._deployment is None:
            raise Refusal(
                ErrorKind.not_ready,
                'no configuration was seen yet',
            )
        return self._deployment

    def add_listener(self, listener: Callable[[Deployment], None]) -> None:
        """Add a listener for configurations.

        :param listener: called with the current configuration, if there is
            one, and with each later one.
        """
        self._listeners.append(listener)
        if self._deployment is not None:
            listener(self._deployment)

    def adopt(self, raw: bytes) -> bool:
        """Apply a configuration unless it is invalid or not newer.

        :param raw: the bundle as stored in the key-value service.
        :returns: whether it was applied.
        """
        try:
            bundle = msgspec.json.decode(raw, type=Bundle)
            if bundle.version <= self.version:
                return False
            deployment = make_effective(bundle, self._site)
        except (msgspec.DecodeError, DocumentError) as error:
            log_event(Event.configuration_refused, problem=str(error))
            return False
        self._apply(bundle, raw, deployment)
        return True

    def _apply(
        self,
        bundle: Bundle,
        raw: bytes,
        deployment: Deployment,
    ) -> None:
        check_invariant(
            bundle.version > self.version,
            Invariant.configuration_never_reverts,
            f'{self.version} would become {bundle.version}',
        )
        self.bundle = bundle
        self.raw = raw
        self._deployment = deployment
        if self._path:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            temporary = self._path.with_suffix('.new')
            temporary.write_bytes(raw)
            temporary.replace(self._path)
        for listener in self._listeners:
            listener(deployment)
        log_event(Event.configuration_applied, version=bundle.version)
