"""What the logs tell of one request, job or item."""

from __future__ import annotations

import json

import pytest

from wigeonpier.cli.main import main

SENDS = [{'upstream': 'i-1', 'outcome': 'silent'}]


def write_log(path, *events: tuple[int, str, str, dict]) -> str:
    """Write a log, with a column before the lines as some collectors do."""
    with path.open('w') as log:
        for second, process, event, fields in events:
            line = {
                'event': event,
                'process': process,
                'timestamp': f'2026-12-02T20:00:{second:02}.0Z',
            }
            log.write(f' {second}.0 {process} {json.dumps(line | fields)}\n')
        log.write('not a line of ours\n')
    return str(path)


@pytest.fixture
def logs(tmp_path) -> list[str]:
    """Make the logs of two processes around one failed question."""
    return [
        write_log(
            tmp_path / 'edge-1',
            (1, 'edge-1', 'upstream_added', {'upstream': 'i-1'}),
            (2, 'edge-1', 'upstream_added', {'upstream': 'i-2'}),
            (
                3,
                'edge-1',
                'request_retried',
                {'request': 'q', 'upstream': 'i-1'},
            ),
            (4, 'edge-1', 'request_done', {'request': 'q', 'sends': SENDS}),
            (9, 'edge-1', 'upstream_removed', {'upstream': 'i-1'}),
        ),
        write_log(
            tmp_path / 'edge-2',
            (2, 'edge-2', 'platform_failed', {}),
            (3, 'edge-2', 'request_done', {'request': 'other', 'sends': []}),
        ),
    ]


def test_lines_of_an_id_and_its_beliefs_are_shown(logs, capsys) -> None:
    assert main(['explain', 'q', *logs]) == 0
    shown = [line.split()[2] for line in capsys.readouterr().out.splitlines()]
    assert shown == ['upstream_added', 'request_retried', 'request_done']


def test_an_unknown_id_says_where_else_to_look(logs, capsys) -> None:
    assert main(['explain', 'nobody', *logs]) == 1
    assert 'metrics' in capsys.readouterr().err
