"""Tests of ``explain``."""

from __future__ import annotations

import json

import pytest

from wigeonpier.cli.main import main

SENDS = [{'upstream': 'i-1', 'outcome': 'silent'}]


def write_log(path, *events: tuple[int, str, str, dict]) -> str:
    """Write a log whose lines have a leading column, as some collectors add."""
    with path.open('w') as log:
        for seconds, process, event, fields in events:
            line = {
                'event': event,
                'process': process,
                'timestamp': f'2026-12-02T20:00:{seconds:02}.0Z',
            }
            log.write(f' {seconds}.0 {process} {json.dumps(line | fields)}\n')
        log.write('not a JSON line\n')
    return str(path)


@pytest.fixture
def logs(tmp_path) -> list[str]:
    """Write the logs of two processes around one failed request."""
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


def test_lines_of_an_id_and_related_state_changes_are_shown(
    logs, capsys
) -> None:
    assert main(['explain', 'q', *logs]) == 0
    shown = [line.split()[2] for line in capsys.readouterr().out.splitlines()]
    assert shown == ['upstream_added', 'request_retried', 'request_done']


def test_an_unknown_id_is_refused_with_a_hint(logs, capsys) -> None:
    assert main(['explain', 'unknown', *logs]) == 1
    assert 'metrics' in capsys.readouterr().err
