"""Sub-command for requests and parts that are suspected of crashes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.cli.calls import fetch_page, write_line, write_table
from wigeonpier.hosted.suspectpage import SUSPECTS_PATH, SuspectRow

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare ``suspects``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        'address', help="host:port of an entry's metrics listener"
    )
    parser.add_argument('--clear', help='fingerprint to run again')
    parser.add_argument(
        '--json',
        action='store_true',
        help='print JSON instead of a table',
    )
    parser.set_defaults(run=run_suspects)


def run_suspects(parsed: argparse.Namespace) -> int:
    """Show suspected requests, or clear one in all processes.

    :param parsed: options.
    :returns: exit status.
    """
    if parsed.clear:
        fetch_page(parsed.address, 'DELETE', f'{SUSPECTS_PATH}/{parsed.clear}')
        write_line(f'cleared {parsed.clear}')
        return 0
    raw = fetch_page(parsed.address, 'GET', SUSPECTS_PATH)
    if parsed.json:
        sys.stdout.write(f'{raw.decode()}\n')
        return 0
    rows = msgspec.json.decode(raw, type=list[SuspectRow])
    write_table(
        (
            'fingerprint',
            'state, age s',
            'crashed upstreams',
            'running only it',
            'parts',
        ),
        [_make_row(row) for row in rows],
    )
    return 0


def _make_row(row: SuspectRow) -> tuple[str, ...]:
    isolated = [crash.upstream for crash in row.ends if crash.was_alone]
    state = 'refused' if row.is_refused else 'suspected'
    return (
        row.fingerprint,
        f'{state} {row.age:.0f}',
        ' '.join(crash.upstream for crash in row.ends),
        ' '.join(isolated),
        ' '.join(row.parts),
    )
