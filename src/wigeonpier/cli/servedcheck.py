"""Checks a configuration written by the platform's operator."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from wigeonpier.cli.calls import CommandError, write_line
from wigeonpier.platform.decoding import OddValueError
from wigeonpier.platform.operator import decode_configuration

if TYPE_CHECKING:
    import argparse

WARNING_STATUS = 1


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare ``config check-platform``.

    :param parser: parser of the action.
    """
    parser.add_argument(
        'file', help="file with the value of the operator's key"
    )
    parser.set_defaults(run=run_check)


def run_check(parsed: argparse.Namespace) -> int:
    """Report how entries would interpret a configuration.

    :param parsed: options.
    :returns: exit status, 1 if any entry looks like a mistake.
    """
    path = Path(parsed.file)
    try:
        found = decode_configuration(path.read_bytes())
    except (OSError, OddValueError) as error:
        raise CommandError(f'{path}: {error}') from error
    names = {customer.name for customer in (found.customers or {}).values()}
    routes = len(found.routes)
    write_line(f'version {found.version}: {routes} routes')
    write_line(f'{len(names)} customers, {len(found.customers or {})} keys')
    for warning in found.warnings:
        write_line(warning)
    return WARNING_STATUS if found.warnings else 0
