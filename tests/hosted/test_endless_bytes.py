"""Replicas that send bytes without end, seen from outside the daemons."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
import pytest
from gevent import socket

from wigeonpier.bench.endless import Endless
from wigeonpier.bench.soakcallers import HOST
from wigeonpier.bench.soaksite import SoakSite, SoakSize
from wigeonpier.web.exchange import make_request
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.bench.processes import HostedProcess

CALLERS = 6
DEADLINE_SECONDS = 3.0
FAULT_SECONDS = 3.0
KEPT_BYTES = 200
ITEM_SECONDS = 6.0
READY_SECONDS = 30.0
# After the deadline, on a busy machine.
SLACK_SECONDS = 1.0
MAX_GROWTH_BYTES = 50_000_000
# Of the machine of a worker.
MAX_WORKER_BYTES = 232_000_000


@dataclass
class Caller:
    """Sends requests one after another and records how they end."""

    address: str
    path: str
    name: str
    statuses: list[int] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Send for a while."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.send()

    def send(self) -> None:
        """Send a request and wait for its end."""
        began = time.monotonic()
        self.statuses.append(self._exchange(f'{self.name}-{began}'))
        self.seconds.append(time.monotonic() - began)

    def _exchange(self, identity: str) -> int:
        """Send a request, and give up 3 s after its deadline.

        :returns: its status, 0 for a truncated answer.
        """
        host, _colon, port = self.address.rpartition(':')
        headers = [
            ('Host', HOST),
            ('X-Attempt-Id', identity),
            ('X-Deadline-Ms', str(int(DEADLINE_SECONDS * 1000))),
            ('Connection', 'close'),
        ]
        sock = socket.create_connection((host, int(port)))
        start = b''
        end = b''
        with gevent.Timeout(DEADLINE_SECONDS + 3, False):
            try:
                sock.sendall(make_request('POST', self.path, headers, b'{}'))
                while part := sock.recv(65_536):
                    start = (start + part)[:KEPT_BYTES]
                    end = (end + part)[-KEPT_BYTES:]
            except OSError:
                end = b''
        sock.close()
        is_whole = end.endswith(b'0\r\n\r\n') or b'-Length:' in start
        return int(start[9:12]) if is_whole and end else 0


@pytest.fixture(scope='module')
def soak_site(tmp_path_factory) -> Iterator[SoakSite]:
    """Start an entry, two replicas with workers, and disks."""
    site = SoakSite(tmp_path_factory.mktemp('site'), SoakSize(1, 2))
    with ExitStack() as stack:
        stack.callback(site.stop)
        site.start()
        caller = Caller(site.entries[0].callers, '/ask/q', 'ready')
        deadline = time.monotonic() + READY_SECONDS
        while caller.statuses[-8:] != [200] * 8:
            assert time.monotonic() < deadline
            try:
                caller.send()
            except OSError:
                gevent.sleep(0.1)
        yield site


@pytest.fixture
def site(soak_site: SoakSite) -> Iterator[SoakSite]:
    """Wait until the first replica is used, and heal it after the test."""
    faults = soak_site.replicas[0].faults
    faults.endless.count = 0
    faults.endless_report.count = 0
    # A new start is not ejected for what the one before did.
    soak_site.restart_replica(soak_site.replicas[0])
    caller = Caller(soak_site.entries[0].callers, '/ask/q', 'before')
    before = soak_site.replicas[0].runs.total()
    deadline = time.monotonic() + READY_SECONDS
    while soak_site.replicas[0].runs.total() == before:
        assert time.monotonic() < deadline
        caller.send()
    yield soak_site
    soak_site.heal()


def watch_memory(process: HostedProcess, peaks: list[int]) -> Any:
    """Record the highest memory of a process."""

    def watch() -> None:
        while True:
            peaks[0] = max(peaks[0], process.measure_memory())
            gevent.sleep(0.05)

    return gevent.spawn(watch)


def call_all(site: SoakSite, path: str, name: str) -> tuple[list[Caller], int]:
    """Let all callers send; returns them and the entry's growth in bytes."""
    entry = site.entries[0]
    before = entry.measure_memory()
    peaks = [before]
    watcher = watch_memory(entry, peaks)
    callers = [
        Caller(entry.callers, path, f'{name}{number}')
        for number in range(CALLERS)
    ]
    gevent.joinall(
        [gevent.spawn(one.run, FAULT_SECONDS) for one in callers],
        raise_error=True,
    )
    watcher.kill()
    return callers, peaks[0] - before


@pytest.mark.parametrize(
    ('kind', 'is_trickle'),
    [
        (Endless.head, False),
        (Endless.head, True),
        (Endless.sized_body, False),
        (Endless.chunked_body, False),
        (Endless.chunked_body, True),
        (Endless.event, False),
        (Endless.event, True),
        (Endless.extension, False),
        (Endless.informational, False),
        (Endless.foreign_body, False),
    ],
)
def test_requests_are_answered_in_time(
    site: SoakSite, kind: Endless, record_property, *, is_trickle: bool
) -> None:
    """The entry held all bytes, and callers had no answer."""
    faults = site.replicas[0].faults
    faults.endless.kind, faults.endless.is_trickle = kind, is_trickle
    name = f'{kind}{is_trickle}'.replace(' ', '')
    callers, growth = call_all(site, '/ask/q', name)
    seconds = [one for caller in callers for one in caller.seconds]
    record_property('growth', growth)
    record_property('seconds', max(seconds))
    assert faults.endless.count
    assert growth < MAX_GROWTH_BYTES
    assert max(seconds) < DEADLINE_SECONDS + SLACK_SECONDS
    # The other replica has room for all of them.  A long body is passed on, so
    # that it can only be broken off.
    is_passed_on = kind is Endless.chunked_body and not is_trickle
    statuses = {status for one in callers for status in one.statuses}
    assert statuses <= ({0, 200} if is_passed_on else {200})


def test_requests_that_run_once_are_answered_in_time(site: SoakSite) -> None:
    """They are answered with an error, and none runs again."""
    site.replicas[0].faults.endless.kind = Endless.sized_body
    callers, growth = call_all(site, '/once/q', 'once')
    assert growth < MAX_GROWTH_BYTES
    seconds = [one for caller in callers for one in caller.seconds]
    assert max(seconds) < DEADLINE_SECONDS + SLACK_SECONDS
    runs = sum(
        (replica.runs for replica in site.replicas[1:]), site.replicas[0].runs
    )
    assert not [
        name for name in runs if name.startswith('once') and runs[name] > 1
    ]


@pytest.mark.parametrize(
    'kind', [Endless.event, Endless.event_lines, Endless.sized_body]
)
def test_workers_hold_no_endless_items(
    site: SoakSite, kind: Endless, record_property
) -> None:
    """A worker held all bytes, over the memory of its machine."""
    for replica in site.replicas:
        replica.faults.endless.kind = kind
    worker = find_worker(site)
    peaks = [worker.measure_memory()]
    watcher = watch_memory(worker, peaks)
    submit(site, f'job{kind.name}')
    gevent.sleep(ITEM_SECONDS)
    watcher.kill()
    record_property('peak', peaks[0])
    assert site.replicas[0].faults.endless.count
    assert peaks[0] < MAX_WORKER_BYTES


def find_worker(site: SoakSite) -> HostedProcess:
    """Find the worker of the first replica."""
    return next(one for one in site.processes if one.upstream)


def submit(site: SoakSite, name: str) -> None:
    """Submit a job."""
    body = msgspec.json.encode(
        {
            'items': [
                {
                    'id': f'{name}-{number}',
                    'path': f'/jobs/{name}',
                    'headers': {'X-Token-Counts': '10,20'},
                    'body': 'e30=',
                    'tokens': 30,
                }
                for number in range(6)
            ],
        }
    )
    headers = [('Host', HOST), ('X-Attempt-Id', name)]
    raw = make_request('POST', '/jobs/x', headers, body)
    reply = ConnectionPool().call(site.entries[0].callers, raw, 5).unwrap()
    assert reply.status == 202, reply.body


@pytest.mark.parametrize('is_trickle', [False, True])
def test_reports_without_end_are_cut(
    site: SoakSite, record_property, *, is_trickle: bool
) -> None:
    """The worker grew by gigabytes; its upstream counts as down."""
    faults = site.replicas[0].faults
    faults.endless_report.kind = Endless.chunked_body
    faults.endless_report.is_trickle = is_trickle
    worker = find_worker(site)
    before = worker.measure_memory()
    peaks = [before]
    watcher = watch_memory(worker, peaks)
    gevent.sleep(FAULT_SECONDS)
    watcher.kill()
    record_property('growth', peaks[0] - before)
    assert faults.endless_report.count
    assert peaks[0] - before < MAX_GROWTH_BYTES
