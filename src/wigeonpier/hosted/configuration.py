"""Follows the operator's configuration by a watch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpier.platform.decoding import OddValueError
from wigeonpier.platform.operator import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from wigeonpier.platform.port import Change
from wigeonpier.served import ClientLimits
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.platform.port import Entry
    from wigeonpier.platform.view import WatcherFactory
    from wigeonpier.served import (
        ServedConfiguration,
    )


class ConfigurationWatch:
    """Holds the newest configuration that this process has read."""

    def __init__(self, make_watcher: WatcherFactory) -> None:
        """Watch the operator's key once started."""
        self.current: ServedConfiguration | None = None
        # Revision of the newest value that was decoded.
        self.revision = 0
        self.view = make_watcher(CONFIGURATION_KEY, self._apply)

    def start(self) -> None:
        """Start to watch."""
        self.view.start()

    def get_version(self) -> int:
        """Return the active version.

        :returns: the version, 0 if there is none yet.
        """
        return self.current.version if self.current else 0

    def get_client_limits(self) -> ClientLimits:
        """Return the limits of clients.

        :returns: those in force, the defaults if none were read yet.
        """
        return self.current.client_limits if self.current else ClientLimits()

    def take(self, entry: Entry) -> None:
        """Apply the operator's key as read outside the watch.

        :param entry: the key.
        """
        self._apply(Change(entry.key, entry.value, entry.revision))

    def _apply(self, change: Change) -> None:
        if change.key != CONFIGURATION_KEY or change.value is None:
            return
        if change.revision <= self.revision:
            return
        try:
            found = decode_configuration(change.value)
        except OddValueError as error:
            log_event(
                Event.configuration_refused,
                revision=change.revision,
                problem=str(error),
            )
            return
        self.revision = change.revision
        if self.current is not None and found.version <= self.current.version:
            return
        self.current = found
        for warning in found.warnings:
            log_event(
                Event.configuration_odd,
                version=found.version,
                problem=warning,
            )
        log_event(
            Event.configuration_applied,
            version=found.version,
            revision=change.revision,
            routes=len(found.routes),
        )
