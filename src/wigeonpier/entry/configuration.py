"""Accepts configurations in a single order of versions.

No accepted version is lost or replaced by an older one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err, Ok

from wigeonpier.entry.jobs import refuse_platform, refuse_write
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.platform import keys
from wigeonpier.platform.confirmedwrite import swap_confirmed
from wigeonpier.platform.port import Entry, Failure, Platform
from wigeonpier.settings.deployment import Bundle, make_effective
from wigeonpier.settings.document import DocumentError

if TYPE_CHECKING:
    from wigeonpier.settings.holder import ConfigurationHolder

WRITE_TIMEOUT_SECONDS = 8.0
VERSION_DIGITS = 9


class Application(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to apply a configuration.

    :param edited: version that the operator edited, 0 for none.
    :param operation: random id from the operator's tool, to identify the
        request when it is sent again.
    :param operator: name of the operator.
    :param base: base document.
    :param overlays: overlay by site.
    """

    edited: int
    operation: str
    operator: str
    base: dict[str, Any]
    overlays: dict[str, dict[str, Any]] = {}


class Accepted(msgspec.Struct):
    """Answer to an accepted configuration.

    :param version: version of the configuration.
    :param operation: id from the request.
    """

    version: int
    operation: str


@dataclass(slots=True)
class ConfigurationHandler:
    """Applies configurations and lists earlier ones.

    :param platform: the port.
    :param holder: configuration in force at this entry.
    """

    platform: Platform
    holder: ConfigurationHolder

    def apply(self, application: Application) -> Accepted:
        """Accept a configuration.

        :param application: the configuration.
        :returns: its version.
        :raises Refusal: when it is invalid, or another version was applied
            after the edited one.
        """
        bundle = Bundle(
            version=application.edited + 1,
            operation=application.operation,
            operator=application.operator,
            base=application.base,
            overlays=application.overlays,
        )
        check_bundle(bundle)
        current = self._read(keys.CONFIGURATION)
        if current is not None:
            accepted = self._find_accepted(current, application)
            if accepted:
                return accepted
            self._check_edited_version(current, application)
            self._archive(current)
        raw = msgspec.json.encode(bundle)
        written = swap_confirmed(
            self.platform,
            keys.CONFIGURATION,
            raw,
            current.revision if current else 0,
            lambda entry: _read_operation(entry) == application.operation,
            WRITE_TIMEOUT_SECONDS,
        )
        if isinstance(written, Err):
            return self._resolve_failed_write(application, written.err_value)
        self.holder.adopt(raw)
        return Accepted(bundle.version, application.operation)

    def list_history(self) -> list[Bundle]:
        """List accepted configurations.

        :returns: oldest first.
        """
        listed = self.platform.list_prefix(keys.HISTORY)
        if isinstance(listed, Err):
            raise refuse_platform()
        bundles = [
            msgspec.json.decode(entry.value, type=Bundle)
            for entry in listed.ok_value.entries
        ]
        current = self._read(keys.CONFIGURATION)
        if current is not None:
            newest = msgspec.json.decode(current.value, type=Bundle)
            bundles = [
                bundle for bundle in bundles if bundle.version != newest.version
            ]
            bundles.append(newest)
        return bundles

    def _resolve_failed_write(
        self, application: Application, failure: Failure
    ) -> Accepted:
        """Find the outcome of a write that failed or conflicted."""
        if failure is not Failure.conflict:
            raise refuse_write(failure)
        try:
            return self._resolve_conflict(application)
        except Refusal as refusal:
            if refusal.kind is not ErrorKind.platform_down:
                raise
            # It may have been accepted, and replaced by the next version.
            raise refuse_write(Failure.unknown) from refusal

    def _resolve_conflict(self, application: Application) -> Accepted:
        current = self._read(keys.CONFIGURATION)
        if current is None:
            raise Refusal(ErrorKind.conflict, 'the configuration changes')
        accepted = self._find_accepted(current, application)
        if accepted:
            return accepted
        self._check_edited_version(current, application)
        raise Refusal(ErrorKind.conflict, 'the configuration changes')

    def _find_accepted(
        self,
        current: Entry,
        application: Application,
    ) -> Accepted | None:
        """Find an application that is sent again after its answer was lost."""
        version = application.edited + 1
        if _read_operation(current) == application.operation:
            return Accepted(version, application.operation)
        archived = self._read(_name_history(version))
        if (
            archived is not None
            and _read_operation(archived) == application.operation
        ):
            return Accepted(version, application.operation)
        return None

    def _check_edited_version(
        self, current: Entry, application: Application
    ) -> None:
        newest = msgspec.json.decode(current.value, type=Bundle)
        if newest.version == application.edited:
            return
        raise Refusal(
            ErrorKind.conflict,
            f'version {application.edited} was edited, but {newest.operator} made '
            f'{newest.version} since; see config diff',
        )

    def _archive(self, current: Entry) -> None:
        """Copy the current version to the history before it is replaced."""
        newest = msgspec.json.decode(current.value, type=Bundle)
        written = swap_confirmed(
            self.platform,
            _name_history(newest.version),
            current.value,
            0,
            lambda entry: entry.value == current.value,
            WRITE_TIMEOUT_SECONDS,
        )
        if isinstance(written, Ok) or written.err_value is Failure.conflict:
            return
        raise refuse_platform()

    def _read(self, key: str) -> Entry | None:
        read = self.platform.get(key)
        if isinstance(read, Err):
            raise refuse_platform()
        return read.ok_value


def check_bundle(bundle: Bundle) -> None:
    """Refuse a configuration that is invalid at some site.

    :param bundle: the configuration.
    :raises Refusal: with every problem at every site.
    """
    problems: list[str] = []
    for site in ('', *bundle.overlays):
        try:
            make_effective(bundle, site)
        except DocumentError as error:
            problems += error.problems
    if problems:
        raise Refusal(ErrorKind.invalid_request, '\n'.join(problems))


def _name_history(version: int) -> str:
    digits = str(version).zfill(VERSION_DIGITS)
    return f'{keys.HISTORY}{digits}'


def _read_operation(entry: Entry) -> str:
    return msgspec.json.decode(entry.value, type=Bundle).operation
