"""Sub-commands for the configuration."""

from __future__ import annotations

import difflib
import getpass
import secrets
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from wigeonpier.cli import servedcheck
from wigeonpier.cli.calls import (
    CommandError,
    add_connection,
    call_admin,
    write_line,
    write_table,
)
from wigeonpier.entry.configuration import Accepted, Application
from wigeonpier.settings.deployment import (
    Bundle,
    make_effective,
    merge_overlay,
)
from wigeonpier.settings.document import DocumentError, read_document

if TYPE_CHECKING:
    import argparse

FILE_ACTIONS = frozenset(('check', 'diff', 'apply'))
PLATFORM_HELP = "check a configuration of the users' platform"
SUFFIX = '.jsonc'
MAX_ATTEMPTS = 3


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare ``config`` and its actions.

    :param parser: parser of the sub-command.
    """
    actions = parser.add_subparsers(required=True, metavar='action')
    for name, help_text, run in ACTIONS:
        action = actions.add_parser(
            name,
            help=help_text,
            description=help_text,
        )
        add_connection(action)
        if name in FILE_ACTIONS:
            _add_files(action)
        action.set_defaults(run=run, site='', effective=False)
        if name == 'show':
            _add_view(action)
    servedcheck.add_arguments(
        actions.add_parser(
            'check-platform',
            help=PLATFORM_HELP,
            description=PLATFORM_HELP,
        ),
    )


def _add_files(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('base', help='base file')
    parser.add_argument(
        'overlays',
        nargs='*',
        help='overlay files; the name of each is its site',
    )
    parser.add_argument(
        '--edited',
        type=int,
        help='version that was edited (default: the one in force)',
    )


def _add_view(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--site',
        default='',
        help='site whose overlay is shown (default: the base document)',
    )
    parser.add_argument(
        '--effective',
        action='store_true',
        help='show base and overlay merged',
    )


def read_files(base: str, overlays: list[str]) -> Bundle:
    """Read base and overlays, and validate each site.

    :param base: base file.
    :param overlays: overlay files.
    :returns: a bundle with version 0.
    :raises DocumentError: if any file is invalid; lists all mistakes.
    """
    bundle = Bundle(
        version=0,
        operation='',
        operator='',
        base=read_document(base),
        overlays={
            Path(path).name.removesuffix(SUFFIX): read_document(path)
            for path in overlays
        },
    )
    problems: list[str] = []
    for site, source in (('', base), *_list_overlay_sources(overlays)):
        try:
            make_effective(bundle, site)
        except DocumentError as error:
            problems += _add_source(source, error.problems)
    if problems:
        raise DocumentError(problems)
    return bundle


def _add_source(source: str, problems: list[str]) -> list[str]:
    keys = [problem.partition(': ')[2] for problem in problems]
    return [f'{source}: {key}' for key in keys]


def _list_overlay_sources(overlays: list[str]) -> list[tuple[str, str]]:
    return [(Path(path).name.removesuffix(SUFFIX), path) for path in overlays]


def _check(parsed: argparse.Namespace) -> int:
    bundle = read_files(parsed.base, parsed.overlays)
    write_line(f'valid, with {len(bundle.overlays)} overlays')
    return 0


def _diff(parsed: argparse.Namespace) -> int:
    bundle = read_files(parsed.base, parsed.overlays)
    current = _read_current(parsed)
    for line in render_diff(current, bundle):
        write_line(line)
    return 0


def _show(parsed: argparse.Namespace) -> int:
    current = _read_current(parsed)
    if current is None:
        raise CommandError('no configuration is in force yet; apply one')
    content: Any = current.base
    overlay = current.overlays.get(parsed.site, {})
    if parsed.effective:
        content = merge_overlay(content, overlay)
    elif parsed.site:
        content = overlay
    write_line(_render(content))
    return 0


def _apply(parsed: argparse.Namespace) -> int:
    bundle = read_files(parsed.base, parsed.overlays)
    current = _read_current(parsed)
    newest = current.version if current else 0
    change = Application(
        edited=newest if parsed.edited is None else parsed.edited,
        operation=secrets.token_hex(8),
        operator=getpass.getuser(),
        base=bundle.base,
        overlays=bundle.overlays,
    )
    try:
        raw = _send(parsed, change)
    except CommandError as error:
        if str(error).startswith('conflict'):
            _show_conflict(parsed, bundle)
        raise
    accepted = msgspec.json.decode(raw, type=Accepted)
    write_line(f'version {accepted.version} is accepted')
    return 0


def _send(parsed: argparse.Namespace, change: Application) -> bytes:
    """Send a change; repeating it is safe, the operation identifies it."""
    for _ in range(MAX_ATTEMPTS):
        try:
            return call_admin(parsed, 'POST', 'configuration', change)
        except CommandError as error:
            if not str(error).startswith('outcome_unknown'):
                raise
    raise CommandError(
        f'it is not known whether operation {change.operation} was accepted; '
        'check config history',
    )


def _show_conflict(parsed: argparse.Namespace, bundle: Bundle) -> None:
    for line in render_diff(bundle, _read_current(parsed)):
        write_line(line)


def _list_history(parsed: argparse.Namespace) -> int:
    raw = call_admin(parsed, 'GET', 'configuration/history')
    if parsed.json:
        write_line(raw.decode())
        return 0
    bundles = msgspec.json.decode(raw, type=list[Bundle])
    write_table(
        ('version', 'operator', 'operation'),
        [
            (bundle.version, bundle.operator, bundle.operation)
            for bundle in bundles
        ],
    )
    return 0


def _read_current(parsed: argparse.Namespace) -> Bundle | None:
    raw = call_admin(parsed, 'GET', 'configuration')
    return msgspec.json.decode(raw, type=Bundle | None)


def render_diff(old: Bundle | None, new: Bundle | None) -> list[str]:
    """Render the differences between two configurations.

    :param old: old configuration, ``None`` if there is none.
    :param new: new configuration, ``None`` if there is none.
    :returns: lines of a unified diff.
    """
    texts = [
        _render({'base': bundle.base, 'overlays': bundle.overlays})
        if bundle
        else ''
        for bundle in (old, new)
    ]
    return list(
        difflib.unified_diff(
            texts[0].splitlines(),
            texts[1].splitlines(),
            'old',
            'new',
            lineterm='',
        ),
    )


def _render(content: Any) -> str:
    raw = msgspec.json.encode(content, order='sorted')
    return msgspec.json.format(raw, indent=2).decode()


ACTIONS = (
    ('check', 'validate files for each site', _check),
    ('diff', 'show what applying files would change', _diff),
    ('show', 'show the configuration in force', _show),
    ('apply', 'apply files at every site', _apply),
    ('history', 'list accepted versions', _list_history),
)
