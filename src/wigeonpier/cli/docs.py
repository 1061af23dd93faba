"""Generates the reference pages in the docs, or checks them."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from wigeonpier.cli.calls import CommandError, write_line
from wigeonpier.errors import ANSWERS
from wigeonpier.telemetry.events import Event

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare ``docs``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--folder',
        default='docs',
        help='folder of the pages (default: %(default)s)',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='fail if a page does not match the code',
    )
    parser.set_defaults(run=run_docs)


def run_docs(parsed: argparse.Namespace) -> int:
    """Write or check the reference pages.

    :param parsed: options.
    :returns: exit status.
    """
    pages = {'events.md': render_events(), 'errors.md': render_errors()}
    for name, text in pages.items():
        path = Path(parsed.folder) / name
        if not parsed.check:
            path.write_text(text, encoding='utf-8')
        elif not path.exists() or path.read_text(encoding='utf-8') != text:
            raise CommandError(f'{path} is outdated; run wigeonpier docs')
        write_line(f'{path}: up to date')
    return 0


def render_events() -> str:
    """Render the reference page of log events.

    :returns: the page.
    """
    rows = [
        _render_row(event.number, event.name, event.level, event.meaning)
        for event in sorted(Event, key=lambda event: event.number)
    ]
    return '\n'.join(
        [
            '# Log events',
            '',
            'Each line of a log is a JSON object with `event`, `number`, `level`,',
            '`timestamp`, `process` and what happened. `wigeonpier docs` writes',
            'this page from the code.',
            '',
            '| number | event | level | meaning |',
            '| --- | --- | --- | --- |',
            *rows,
            '',
        ]
    )


def render_errors() -> str:
    """Render the reference page of error kinds.

    :returns: the page.
    """
    rows = [
        _render_row(
            kind.value,
            answer.status,
            answer.ran.value,
            '-' if answer.retry_after is None else answer.retry_after,
            answer.help_text,
        )
        for kind, answer in ANSWERS.items()
    ]
    return '\n'.join(
        [
            '# Errors',
            '',
            'A refusal has the body `{"error": {"type": KIND, "message": TEXT,',
            '"ran": "no" or "unknown"}}`. `ran` is `no` only where it is known',
            'that the work was not run. `Retry-After` is in seconds; where there',
            'is none, the same request will not succeed later.',
            '`wigeonpier docs` writes this page from the code.',
            '',
            '| kind | status | ran | Retry-After | what to do |',
            '| --- | --- | --- | --- | --- |',
            *rows,
            '',
        ]
    )


def _render_row(*cells: object) -> str:
    joined = ' | '.join(map(str, cells))
    return f'| {joined} |'
