"""Signals to the hosted daemon, run as a process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest

from wigeonpier.bench.processes import take_port

if TYPE_CHECKING:
    from collections.abc import Iterator

SETTINGS = """
node = "edge-1"
zone = "a"
region = "r"
ip = "127.0.0.1"
internalPorts = [{metrics}, {peers}]
[zones]
a = "r"
[listen]
frontend = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
[bounds]
graceS = 2
catchUpS = 4.7
[platform]
address = "127.0.0.1:1"
historyS = 20
"""
TIMEOUT_SECONDS = 10


@pytest.fixture
def entry(tmp_path) -> Iterator[subprocess.Popen[str]]:
    """Start an entry whose store is down."""
    path = tmp_path / 'settings.toml'
    ports = {
        name: take_port()
        for name in ('metrics', 'peers', 'callers', 'readiness')
    }
    path.write_text(SETTINGS.format(**ports))
    process = subprocess.Popen(
        (sys.executable, '-m', 'wigeonpier.hosted.main', 'entry'),
        env=os.environ | {'WIGEONPIER_NODE_FILE': str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    yield process
    process.kill()
    process.wait()


def await_line(process: subprocess.Popen[str], event: str) -> str:
    """Read log lines until one contains an event."""
    assert process.stdout is not None
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        line = process.stdout.readline()
        if event in line:
            return line
    raise AssertionError(f'no {event}')


def test_hup_reloads_settings_without_restart(entry, tmp_path) -> None:
    await_line(entry, 'process_started')
    path = tmp_path / 'settings.toml'
    path.write_text(path.read_text().replace('127.0.0.1:1"', '127.0.0.1:2"'))
    entry.send_signal(signal.SIGHUP)
    assert '"applied":["store"]' in await_line(entry, 'settings_reloaded')
    path.write_text('node = 1')
    entry.send_signal(signal.SIGHUP)
    await_line(entry, 'settings_refused')
    assert entry.poll() is None


def test_term_drains_and_exits_with_zero(entry) -> None:
    await_line(entry, 'process_started')
    entry.send_signal(signal.SIGTERM)
    await_line(entry, 'process_stopped')
    assert entry.wait(TIMEOUT_SECONDS) == 0
