"""Calls the administration listener and prints results."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from result import Err

from wigeonpier.web.client import HttpClient
from wigeonpier.web.headers import PEER_KEY
from wigeonpier.web.messages import ErrorPage

if TYPE_CHECKING:
    import argparse

ADDRESS_VARIABLE = 'WIGEONPIER_ADMIN'
KEY_VARIABLE = 'WIGEONPIER_KEY'
DEFAULT_ADDRESS = '127.0.0.1:8101'
CALL_TIMEOUT_SECONDS = 30.0
PAGE_TIMEOUT_SECONDS = 5.0

Model = TypeVar('Model')


class CommandError(Exception):
    """A command failed; the message says what to do."""


def add_connection(parser: argparse.ArgumentParser) -> None:
    """Declare the options for connecting to the administration listener.

    :param parser: parser of a sub-command.
    """
    parser.add_argument(
        '--admin',
        default=os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS),
        help="host:port of an entry's administration listener, also from "
        f'{ADDRESS_VARIABLE} (default: %(default)s)',
    )
    parser.add_argument(
        '--key',
        default=os.environ.get(KEY_VARIABLE, ''),
        help=f'operator key, also from {KEY_VARIABLE}',
    )
    parser.add_argument(
        '--json',
        action='store_true',
        help='print JSON instead of a table',
    )


def call_admin(
    parsed: argparse.Namespace,
    method: str,
    path: str,
    content: Any = None,
) -> bytes:
    """Call the administration listener.

    :param parsed: options with the connection.
    :param method: HTTP method.
    :param path: path below ``/admin/v1/``.
    :param content: body to encode as JSON, ``None`` for no body.
    :returns: body of the answer.
    :raises CommandError: if the call fails or is refused.
    """
    outcome = HttpClient({PEER_KEY: parsed.key}).call(
        parsed.admin,
        method,
        f'/admin/v1/{path}',
        b'' if content is None else msgspec.json.encode(content),
        timeout=CALL_TIMEOUT_SECONDS,
    )
    if isinstance(outcome, Err):
        raise CommandError(
            'the entry does not answer; set --admin to a live one',
        )
    reply = outcome.ok_value
    if reply.is_good:
        return reply.body
    error = reply.decode(ErrorPage).error
    raise CommandError(f'{error.type}: {error.message}')


def fetch_page(address: str, method: str, path: str) -> bytes:
    """Fetch an operators' page of a hosted process's metrics listener.

    :param address: ``host:port`` of the metrics listener.
    :param method: HTTP method.
    :param path: path of the page.
    :returns: body of the answer.
    :raises CommandError: if the call fails or is refused.
    """
    outcome = HttpClient({}).call(
        address,
        method,
        path,
        timeout=PAGE_TIMEOUT_SECONDS,
    )
    if isinstance(outcome, Err):
        raise CommandError(f'{address} does not answer')
    reply = outcome.ok_value
    if not reply.is_good:
        message = reply.body.decode()
        raise CommandError(f'{address}: {message}')
    return reply.body


def write_line(line: str) -> None:
    """Print one line.

    :param line: the text.
    """
    sys.stdout.write(f'{line}\n')


def write_table(head: tuple[str, ...], rows: list[tuple[Any, ...]]) -> None:
    """Print a table with aligned columns.

    :param head: column names.
    :param rows: cells of each row.
    """
    texts = [head, *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        padded = map(str.ljust, row, widths)
        write_line('  '.join(padded))
