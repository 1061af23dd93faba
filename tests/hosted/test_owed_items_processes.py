"""Owed batch items, seen from outside the daemons, which are real processes."""

from __future__ import annotations

import base64
import random
import signal
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING

import gevent
import msgspec
import pytest

from tests.hosted.builders import wait_for
from wigeonpier.bench.replica import DEADLY_MARK
from wigeonpier.bench.soakcallers import HOST, SoakCallers
from wigeonpier.bench.soaksite import SoakSite
from wigeonpier.web.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.web.client import Reply

READY_SECONDS = 60.0
BURST = 3
# The users' bound, from the last crash or restart.
OWED_SECONDS = 18.0
JOB = 'owed'


@pytest.fixture
def site(tmp_path) -> Iterator[SoakSite]:
    """Start entries, disks, and three replicas with their workers."""
    site = SoakSite(tmp_path)
    with ExitStack() as stack:
        stack.callback(site.stop)
        site.start()
        for replica in site.replicas:
            replica.restart_seconds = 0.4
            replica.lapse_seconds = 0.6
        callers = SoakCallers(site.entries, random.Random(0))
        deadline = time.monotonic() + READY_SECONDS
        while not callers.is_ready():
            assert time.monotonic() < deadline, 'the daemons are not ready'
            gevent.sleep(0.1)
        yield site


def call(site: SoakSite, method: str, path: str, body: bytes = b'') -> Reply:
    """Call the first entry."""
    headers = {'host': HOST, 'x-attempt-id': JOB}
    return (
        HttpClient()
        .call(site.entries[0].callers, method, path, body, headers=headers)
        .unwrap()
    )


def submit(site: SoakSite) -> None:
    """Submit a job of one item that crashes replicas until they are cured."""
    item = {
        'id': f'{JOB}0',
        'path': f'/jobs/{JOB}',
        'headers': {},
        'body': base64.b64encode(DEADLY_MARK).decode(),
        'tokens': 1,
    }
    body = msgspec.json.encode({'items': [item]})
    assert call(site, 'POST', '/jobs/x', body).status == 202


def count_crashes(site: SoakSite) -> int:
    """Count the crashes of all replicas."""
    return sum(len(replica.ended_by) for replica in site.replicas)


def list_states(site: SoakSite) -> list[str]:
    """List the states of the results of the job."""
    page = msgspec.json.decode(call(site, 'GET', f'/-/lots/{JOB}?after=0').body)
    return [result['state'] for result in page['results']]


def restart_workers(site: SoakSite) -> None:
    """Kill all workers at once and start them again."""
    workers = [one for one in site.processes if one.role == 'worker']
    for worker in workers:
        worker.send(signal.SIGKILL)
    for worker in workers:
        worker.kill()
        worker.start()


@pytest.mark.parametrize('has_restart', [False, True])
def test_an_item_under_which_upstreams_crashed_runs_once_all_is_calm(
    site: SoakSite, has_restart: bool
) -> None:
    """It was held for an hour, also after the workers had started again."""
    submit(site)
    wait_for(lambda: count_crashes(site) >= BURST, 'upstreams have crashed')
    for replica in site.replicas:
        replica.faults.is_cured = True
    if has_restart:
        restart_workers(site)
    deadline = time.monotonic() + OWED_SECONDS
    while not list_states(site):
        assert time.monotonic() < deadline, 'the item was not placed again'
        gevent.sleep(0.2)
    assert list_states(site) == ['completed']
