"""Large jobs, lost watches and odd entries in the fault soak.

The store keeps the limits of the pages.  Watches lose their answers while all
other calls are answered, and another writer leaves entries in the register that
describe no replica.
"""

from __future__ import annotations

import base64
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from result import Err

from wigeonpier.bench.soakcallers import HOST, SERVICE
from wigeonpier.platform import wire
from wigeonpier.web.exchange import make_request
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    import random

    from wigeonpier.bench.processes import HostedProcess
    from wigeonpier.bench.soaksite import SoakSite
    from wigeonpier.web.client import Reply

GAP_SECONDS = (0.5, 1.5)
JOB_GAP_SECONDS = (1.5, 3.0)
READ_SECONDS = 0.4
CALL_SECONDS = 6.0
MAX_SUBMISSIONS = 6
# Beyond a value of the store, once it is in base64.
ITEM_BYTES = (800_000, 1_400_000)
# A job is readable everywhere so long after it was accepted.
SETTLE_SECONDS = 1.0
DEPTH = 2000


def _make_entry(address: str, **changes: object) -> bytes:
    """Make an entry of the register."""
    sound = {
        'service': SERVICE,
        'address': address,
        'zone': 'z',
        'version': 'v',
        'slots': 8,
        'state': 'ready',
        'sequence': 1,
        'coldLeftMs': 0,
    }
    return msgspec.json.encode(sound | changes)


ODD_VALUES = (
    b'',
    b'[' * DEPTH,
    _make_entry('a\0b:1'),
    _make_entry('127.0.0.1:99999'),
    _make_entry('upstream.example:80'),
    _make_entry('127.0.0.1:9', slots='8'),
    _make_entry('127.0.0.1:9').replace(b':8', b':1e400'),
)


@dataclass
class LargeJob:
    """One job with a large item, from the view of its caller.

    :param name: id of the job.
    :param body: body of its item.
    :param accepted_at: when it was accepted, seconds of the monotonic clock,
        0 if it was not.
    :param results: number of results that were read.
    """

    name: str
    body: bytes
    accepted_at: float = 0
    results: int = 0


@dataclass
class SoakLimits:
    """Plays loads and faults at the limits of the store.

    :param site: site under test.
    :param rng: chooses entries, sizes and times.
    :param counts: number of injected faults by name.
    :param jobs: jobs that were submitted.
    :param broken: description of each violated invariant.
    """

    site: SoakSite
    rng: random.Random
    counts: Counter[str] = field(default_factory=Counter)
    jobs: list[LargeJob] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    _pool: ConnectionPool = field(default_factory=ConnectionPool)

    def run(self, seconds: float) -> None:
        """Submit jobs and inject faults.

        :param seconds: duration.
        """
        deadline = time.monotonic() + seconds
        loops = [
            gevent.spawn(self._submit_jobs, deadline),
            gevent.spawn(self._inject, deadline),
            gevent.spawn(self._read_until, deadline),
        ]
        gevent.joinall(loops, raise_error=True)

    def finish(self, seconds: float) -> None:
        """Read until all accepted jobs have their result.

        :param seconds: longest time.
        """
        deadline = time.monotonic() + seconds
        while self._list_unfinished() and time.monotonic() < deadline:
            self._read_until(time.monotonic() + READ_SECONDS)

    def find_violations(self) -> list[str]:
        """Check the jobs.

        :returns: description of each violated invariant.
        """
        lost = [
            f'{job.name}: {len(job.body)} bytes were accepted and are lost'
            for job in self._list_unfinished()
        ]
        return self.broken + lost

    def _list_unfinished(self) -> list[LargeJob]:
        return [job for job in self.jobs if job.accepted_at and not job.results]

    def _submit_jobs(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            size = self.rng.randint(*ITEM_BYTES)
            job = LargeJob(f'large{len(self.jobs)}', b'x' * size)
            self.jobs.append(job)
            self.counts['large jobs'] += 1
            tries = 0
            while tries < MAX_SUBMISSIONS and not job.accepted_at:
                tries += 1
                self._submit(job)
            gevent.sleep(self.rng.uniform(*JOB_GAP_SECONDS))

    def _submit(self, job: LargeJob) -> None:
        item = {
            'id': f'{job.name}-0',
            'path': f'/jobs/{job.name}',
            'body': base64.b64encode(job.body).decode(),
            'tokens': 10,
        }
        body = msgspec.json.encode({'items': [item]})
        reply = self._call('POST', '/jobs/x', job.name, body)
        if reply is not None and reply.status == HTTPStatus.ACCEPTED:
            job.accepted_at = time.monotonic()

    def _inject(self, deadline: float) -> None:
        store = self.site.store
        while time.monotonic() < deadline:
            gevent.sleep(self.rng.uniform(*GAP_SECONDS))
            store.faults.lose_watches()
            self.counts['watches lost'] += 1
            number = self.counts['odd entries'] % len(ODD_VALUES)
            store.put(f'{wire.REGISTER}odd-{number}', ODD_VALUES[number])
            self.counts['odd entries'] += 1

    def _read_until(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            gevent.sleep(READ_SECONDS)
            for job in self._list_unfinished():
                self._read(job)

    def _read(self, job: LargeJob) -> None:
        asked_at = time.monotonic()
        target = f'{wire.JOB_PATH}{job.name}?after=0'
        reply = self._call('GET', target)
        if reply is None:
            return
        is_settled = asked_at - job.accepted_at > SETTLE_SECONDS
        if reply.status == HTTPStatus.NOT_FOUND and is_settled:
            self.broken.append(f'{job.name}: accepted, and then not found')
        if reply.status == HTTPStatus.OK:
            page = msgspec.json.decode(reply.body)
            job.results = len(page['results'])

    def _call(
        self, method: str, target: str, name: str = '', body: bytes = b''
    ) -> Reply | None:
        entry: HostedProcess = self.rng.choice(self.site.entries)
        headers = [('Host', HOST)]
        if name:
            headers.append((wire.REQUEST_ID, name))
        raw = make_request(method, target, headers, body)
        called: Any = self._pool.call(entry.callers, raw, CALL_SECONDS)
        return None if isinstance(called, Err) else called.ok_value
