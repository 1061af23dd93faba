"""Collects the log lines of one request, job or item."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from wigeonpier.cli.calls import CommandError, write_line

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable, Iterator

# State changes up to this long before the first line of an id may explain it.
LOOKBACK_SECONDS = 30.0
STATE_EVENTS = frozenset(
    (
        'configuration_applied',
        'configuration_refused',
        'knowledge_old',
        'knowledge_proved',
        'upstream_added',
        'upstream_ended',
        'upstream_leaving',
        'upstream_removed',
        'member_joined',
        'member_left',
        'items_moved',
        'process_started',
        'process_leaving',
        'request_condemned',
        'platform_failed',
    ),
)
COMMON_FIELDS = frozenset(('event', 'number', 'level', 'timestamp', 'process'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    :param timestamp: ISO 8601 text, which sorts by time.
    :param process: process that wrote the line.
    :param event: name of the event.
    :param fields: all fields of the line.
    :param text: complete line, searched for an id.
    """

    timestamp: str
    process: str
    event: str
    fields: dict[str, Any]
    text: str


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare ``explain``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument('id', help='id of a request, job or batch item')
    parser.add_argument('logs', nargs='+', help='log files of processes')
    parser.set_defaults(run=run_explain)


def run_explain(parsed: argparse.Namespace) -> int:
    """Show the lines of one id and the state changes around them.

    :param parsed: options.
    :returns: exit status.
    """
    lines = sorted(
        (line for path in parsed.logs for line in read_log(path)),
        key=lambda line: line.timestamp,
    )
    selected = select_lines(lines, parsed.id)
    if not selected:
        raise CommandError(
            f'no line names {parsed.id}; only one in 16 ordinary answers is'
            ' logged, see the metrics of the route',
        )
    for line in selected:
        write_line(render_line(line))
    return 0


def read_log(path: str) -> Iterator[LogLine]:
    """Read the numbered events of a log.

    :param path: log file; other columns may precede the JSON of a line.
    :yields: a line for each event; other lines are skipped.
    """
    for text in Path(path).read_text(encoding='utf-8').splitlines():
        start = text.find('{')
        try:
            fields = msgspec.json.decode(text[max(start, 0) :])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and 'event' in fields:
            yield LogLine(
                str(fields.get('timestamp', '')),
                str(fields.get('process', '')),
                str(fields['event']),
                fields,
                text,
            )


def select_lines(lines: list[LogLine], identity: str) -> list[LogLine]:
    """Choose the lines that explain an id.

    :param lines: all lines, sorted by time.
    :param identity: id of a request, job or batch item.
    :returns: lines that name it, and earlier state changes of the upstreams and
        processes in these lines, including failures of the store.
    """
    quoted = f'"{identity}"'
    named = [line for line in lines if quoted in line.text]
    if not named:
        return []
    components = set(_list_components(named))
    earliest = _read_seconds(named[0].timestamp) - LOOKBACK_SECONDS
    latest = named[-1].timestamp
    changes = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and line.timestamp <= latest
        and _read_seconds(line.timestamp) >= earliest
        and _affects(line, components)
    ]
    chosen = {id(line) for line in (*named, *changes)}
    return [line for line in lines if id(line) in chosen]


def render_line(line: LogLine) -> str:
    """Format one line for the terminal.

    :param line: the line.
    :returns: time, process, event and fields.
    """
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS
    )
    return f'{line.timestamp} {line.process:<18} {line.event:<22} {fields}'


def _list_components(named: Iterable[LogLine]) -> Iterator[str]:
    for line in named:
        yield line.process
        yield str(line.fields.get('upstream', line.process))
        for send in line.fields.get('sends', ()):
            yield str(send['upstream'])


def _affects(line: LogLine, components: set[str]) -> bool:
    own = {line.process, str(line.fields.get('upstream', ''))}
    if line.event.startswith('upstream_'):
        return str(line.fields.get('upstream', '')) in components
    return bool(own & components)


def _read_seconds(timestamp: str) -> float:
    try:
        return datetime.fromisoformat(timestamp).timestamp()
    except ValueError:
        return 0
