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
from wigeonpier.platform import storekeys
from wigeonpier.policy.fingerprint import digest_request
from wigeonpier.web.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.web.client import Reply

READY_SECONDS = 60.0
BURST = 3
# The users' bound, from the last crash or restart.
OWED_SECONDS = 18.0
# A part is blamed on less proof, so its pauses are longer.
PART_OWED_SECONDS = 30.0
# Long enough to crash an upstream during a run that has given output.
SLOW_EVENT_SECONDS = 0.1
JOB = 'owed'
ITEM = f'{JOB}0'
PATH = f'/jobs/{JOB}'
ONLINE_PATH = f'/ask/{JOB}'
PART = 'bad'
PROMPT = f'{PART}:10,own:10'
BAD_REQUEST = 400


@pytest.fixture
def site(tmp_path) -> Iterator[SoakSite]:
    """Make entries, disks, and three replicas with their workers."""
    site = SoakSite(tmp_path)
    with ExitStack() as stack:
        stack.callback(site.stop)
        yield site


def start(site: SoakSite) -> None:
    """Start all processes and wait until they are ready."""
    site.start()
    for replica in site.replicas:
        replica.restart_seconds = 0.4
        replica.lapse_seconds = 0.6
    callers = SoakCallers(site.entries, random.Random(0))
    deadline = time.monotonic() + READY_SECONDS
    while not callers.is_ready():
        assert time.monotonic() < deadline, 'the daemons are not ready'
        gevent.sleep(0.1)


def call(
    site: SoakSite, method: str, path: str, body: bytes = b'', **headers: str
) -> Reply:
    """Call the first entry."""
    headers = {'host': HOST, 'x-attempt-id': JOB} | headers
    return (
        HttpClient()
        .call(site.entries[0].callers, method, path, body, headers=headers)
        .unwrap()
    )


def submit(site: SoakSite, path: str = PATH, prompt: str = '') -> None:
    """Submit a job of one item that crashes replicas until they are cured."""
    item = {
        'id': ITEM,
        'path': path,
        'headers': {'X-Prompt-Prefix': prompt} if prompt else {},
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


def set_cured(site: SoakSite, is_cured: bool = True) -> None:
    """Set whether replicas run what crashes them otherwise."""
    for replica in site.replicas:
        replica.faults.is_cured = is_cured


def wait_for_item(site: SoakSite, seconds: float = OWED_SECONDS) -> None:
    """Check that the item completes in time."""
    deadline = time.monotonic() + seconds
    while not list_states(site):
        assert time.monotonic() < deadline, 'the item was not placed again'
        gevent.sleep(0.2)
    assert list_states(site) == ['completed']


@pytest.mark.parametrize('has_restart', [False, True])
def test_an_item_under_which_upstreams_crashed_runs_once_all_is_calm(
    site: SoakSite, has_restart: bool
) -> None:
    """It was held for an hour, also after the workers had started again."""
    start(site)
    submit(site)
    wait_for(lambda: count_crashes(site) >= BURST, 'upstreams have crashed')
    set_cured(site)
    if has_restart:
        restart_workers(site)
    wait_for_item(site)


def has_begun(site: SoakSite) -> bool:
    """Check whether a replica runs the item and has made some output."""
    return any(replica.running for replica in site.replicas)


def test_an_item_that_had_given_output_before_crashes_is_completed(
    site: SoakSite,
) -> None:
    """Its first run is lost midway, the next ones before their first event."""
    start(site)
    set_cured(site)
    for replica in site.replicas:
        replica.event_seconds = SLOW_EVENT_SECONDS
    submit(site)
    wait_for(lambda: has_begun(site), 'the item runs')
    gevent.sleep(5 * SLOW_EVENT_SECONDS)
    set_cured(site, is_cured=False)
    for replica in site.replicas:
        if replica.running:
            replica.end()
    wait_for(lambda: count_crashes(site) > BURST, 'upstreams have crashed')
    set_cured(site)
    wait_for_item(site)
    page = msgspec.json.decode(call(site, 'GET', f'/-/lots/{JOB}?after=0').body)
    assert page['results'][0]['output'] == site.replicas[0].make_output(ITEM)
    last = [run.headers.get('last-event-id') for run in site.list_received()]
    assert any(last), 'no run went on after its last event'


@pytest.mark.parametrize('has_part', [False, True])
def test_an_item_like_refused_online_requests_is_completed(
    site: SoakSite, has_part: bool
) -> None:
    """An equal one, or some with a part of its prompt, crashed upstreams."""
    start(site)
    for replica in site.replicas:
        replica.faults.deadly_parts = {PART} if has_part else set()
    prompt = {'x-prompt-prefix': PROMPT} if has_part else {}
    sent = 0

    def is_refused() -> bool:
        nonlocal sent
        sent += has_part
        body = DEADLY_MARK if not has_part else b'%d' % sent
        path = ONLINE_PATH
        return call(site, 'POST', path, body, **prompt).status == BAD_REQUEST

    wait_for(is_refused, 'online requests are refused')
    assert count_crashes(site) >= BURST
    set_cured(site)
    assert is_refused()
    submit(site, ONLINE_PATH, PROMPT if has_part else '')
    wait_for_item(site, PART_OWED_SECONDS if has_part else OWED_SECONDS)


@pytest.mark.parametrize('place', ['store', 'disk', 'process'])
def test_a_refusal_of_an_earlier_build_does_not_hold_an_item(
    site: SoakSite, place: str
) -> None:
    """It does not say under which runs the upstreams crashed."""
    fingerprint = digest_request(HOST, 'POST', PATH, DEADLY_MARK)
    crashes = [
        {
            'fingerprint': fingerprint,
            'upstream': f'gone-{number}',
            'version': 'v1',
            'age': 60.0,
            'was_alone': True,
            'had_output': False,
        }
        for number in range(BURST)
    ]
    stored = {'ends': crashes, 'kept_at': time.time()}
    key = storekeys.name_key(storekeys.REFUSED, fingerprint)
    if place == 'store':
        site.store.put(key, stored)
    start(site)
    if place == 'disk':
        plant_on_disk(site, fingerprint, msgspec.json.encode(stored))
        wait_for(lambda: site.store.list_keys(key), 'the store has it')
        restart_workers(site)
    if place == 'process':
        update = {'ends': crashes, 'condemned': [fingerprint]}
        send_to_workers(site, msgspec.json.encode(update))
    set_cured(site)
    submit(site)
    wait_for_item(site)


def plant_on_disk(site: SoakSite, fingerprint: str, raw: bytes) -> None:
    """Start a process with a disk that has stored a refused request."""
    disk = next(one for one in site.processes if one.role == 'storage')
    disk.kill()
    (disk.disk / 'refusals' / fingerprint).write_bytes(raw)
    disk.start()


def send_to_workers(site: SoakSite, raw: bytes) -> None:
    """Send an update on suspected requests to all workers."""
    for worker in site.processes:
        if worker.role == 'worker':
            address = f'{worker.ip}:{worker.peers}'
            sent = HttpClient().call(address, 'POST', '/suspicions', raw)
            assert sent.unwrap().status == 200
