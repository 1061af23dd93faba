"""The operators' command line."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from wigeonpier.cli import (
    configure,
    customers,
    demo,
    docs,
    explain,
    operate,
    suspects,
)
from wigeonpier.cli.calls import CommandError
from wigeonpier.settings.document import DocumentError

if TYPE_CHECKING:
    from collections.abc import Sequence

FAILED_STATUS = 1

COMMANDS = (
    ('fleet', 'list processes and their state', operate.add_fleet),
    ('jobs', 'list, watch or cancel batch jobs', operate.add_jobs),
    ('usage', 'show usage totals per customer', operate.add_usage),
    ('drain', 'stop giving a VM new work', operate.add_drain),
    ('key', 'generate a customer key', operate.add_key),
    ('config', 'check and apply configurations', configure.add_arguments),
    ('demo', 'run a complete site on loopback', demo.add_arguments),
    ('suspects', 'requests that crash upstreams', suspects.add_arguments),
    ('customers', 'limits and usage of customers', customers.add_arguments),
    ('explain', 'collect the log lines of one id', explain.add_arguments),
    ('docs', 'generate reference pages', docs.add_arguments),
)


def make_parser() -> argparse.ArgumentParser:
    """Make the parser with all sub-commands.

    :returns: the parser.
    """
    parser = argparse.ArgumentParser('wigeonpier', description=__doc__)
    commands = parser.add_subparsers(required=True, metavar='command')
    for name, help_text, add_arguments in COMMANDS:
        add_arguments(
            commands.add_parser(name, help=help_text, description=help_text),
        )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one sub-command.

    :param arguments: command line, default: that of the process.
    :returns: exit status.
    """
    parsed = make_parser().parse_args(arguments)
    try:
        return int(parsed.run(parsed))
    except (CommandError, DocumentError) as error:
        sys.stderr.write(f'{error}\n')
        return FAILED_STATUS


if __name__ == '__main__':
    sys.exit(main())
