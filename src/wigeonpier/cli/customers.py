"""Sub-command for the limits and usage of customers."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.cli.calls import fetch_page, write_line, write_table
from wigeonpier.hosted.customerpage import (
    CUSTOMERS_PATH,
    CustomerOverview,
    LimitRow,
)

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare ``customers``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        'address', help="host:port of an entry's metrics listener"
    )
    parser.add_argument(
        '--json',
        action='store_true',
        help='print JSON instead of a table',
    )
    parser.set_defaults(run=run_customers)


def run_customers(parsed: argparse.Namespace) -> int:
    """Show the limits and usage of all customers.

    :param parsed: options.
    :returns: exit status.
    """
    raw = fetch_page(parsed.address, 'GET', CUSTOMERS_PATH)
    if parsed.json:
        sys.stdout.write(f'{raw.decode()}\n')
        return 0
    overview = msgspec.json.decode(raw, type=CustomerOverview)
    write_line(
        f'version {overview.version}, confirmed as newest {overview.age} s ago; '
        f'{overview.counters} processes count requests',
    )
    write_table(
        (
            'customer',
            'rate/s',
            'burst',
            'priority',
            'used',
            'this entry',
            'refused',
        ),
        [_make_row(row) for row in overview.customers],
    )
    return 0


def _make_row(row: LimitRow) -> tuple[str, ...]:
    cells = [
        row.customer,
        _format_number(row.rate) if row.rate else 'any',
        _format_number(row.burst),
        'route' if row.priority is None else str(row.priority),
        _format_number(row.used),
        _format_number(row.here),
        str(row.refused),
    ]
    return tuple(cells)


def _format_number(number: float) -> str:
    return format(number, 'g')
