"""A job is refused with 429 while an earlier write of it may still take effect.

See claim.txt.
"""

from __future__ import annotations

import base64
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.event import Event as Signal  # noqa: E402

from wigeonpier.platform.messages import CommitBody  # noqa: E402

from standins import (  # noqa: E402
    BOARD,
    BROKEN,
    HELD,
    HOST,
    Replica,
    Site,
    StandInStore,
    ask,
    is_troubled,
    new_id,
    run,
)

ITEMS = 10
MOST_TOKENS = 1_300_000
# More than half of the limit waits already; then each of two jobs fits alone.
FIRST_SHARE = 0.6
OTHER_SHARE = 0.3
# "done 1 to 6 s later"
LATE_SECONDS = 5.5
# Retry-After, of which clients honour a third of the time that they have left.
RETRY_SECONDS = 1.0
RUN_SECONDS = 8.0
# Statuses that promise that no part of the job runs.
PROMISES = {408, 421, 429, 503}


class LateStore(StandInStore):
    """Loses the answer of one write, and executes it seconds later."""

    late_job = ''

    def watch_for(self, record, job, on_write) -> None:
        """Call back at the first write of a job; with trouble, lose it."""
        self.record = record
        self.late_job = job
        self.on_write = on_write

    def _commit(self, request):
        raw = request.read_body()
        body = msgspec.json.decode(raw, type=CommitBody)
        key = f'{BOARD}jobs/{self.late_job}'
        if self.late_job and key in {write.key for write in body.writes}:
            self.late_job = ''
            self.on_write()
            if is_troubled():
                self.record.note('the answer to the write of the job is lost')
                gevent.spawn_later(LATE_SECONDS, self._execute, body)
                # The channel returns nothing further.
                Signal().wait()
        request.stream = _Raw(raw)
        return super()._commit(request)

    def _execute(self, body) -> None:
        for guard in body.guards:
            cell = self._cells.get(guard.key)
            if (cell.revision if cell else 0) != guard.revision:
                self.record.note('the late write meets its condition no longer')
                return
        self._apply(body.writes, body.deletes)
        self.record.note('the late write of the job is executed')


class _Raw:
    """A body that was read already."""

    def __init__(self, raw: bytes) -> None:
        self._raw = raw

    def read(self, size: int) -> bytes:
        part, self._raw = self._raw[:size], self._raw[size:]
        return part


def play(record) -> int:
    """Submit jobs that fill the limit of their route."""
    site = Site(record, LateStore())
    try:
        return play_at(site, record)
    finally:
        site.stop()


def play_at(site, record) -> int:
    site.configure(
        [
            {
                'name': 'r-jobs',
                'host': HOST,
                'pathPrefix': '/jobs/',
                'kind': 'batch_run',
                'timeoutMs': 15000,
                'targetLatencyMs': 400,
                'priority': 2,
                'service': standins.SERVICE,
                'maxAttempts': 3,
                'sessionAffinity': True,
                'resumable': True,
                'gapAimMs': 400,
                'runAimMs': 18000,
                'retentionS': 60,
                'maxCount': MOST_TOKENS,
            }
        ]
    )
    entries = [site.add('entry', f'edge-{number}') for number in (1, 2)]
    for number in (1, 2, 3):
        site.add('storage', f'storage-{number}')
    for number in (1, 2):
        worker = site.add('worker', f'side-{number}')
        # An item runs for 10 s, so that tokens stay on the route.
        replica = Replica(
            f'i-{number}',
            worker.ip,
            site.ports['app'],
            record,
            events=200,
            event_seconds=0.05,
        )
        site.replicas.append(replica)
        site.register(replica.name, replica.address)
    site.start()
    first, late, other = new_id(), new_id(), new_id()
    if submit(site, record, entries[0], first, make_job(FIRST_SHARE)) != 202:
        raise RuntimeError('the first job was not accepted')
    gevent.sleep(1)
    body = make_job(OTHER_SHARE)

    def submit_other() -> None:
        gevent.spawn(
            submit, site, record, entries[1], other, make_job(OTHER_SHARE)
        )

    site.store.watch_for(record, late, submit_other)
    answers = [submit(site, record, entries[0], late, body)]
    if answers[0] != 202:
        gevent.sleep(RETRY_SECONDS)
        answers.append(submit(site, record, entries[1], late, body))
    gevent.sleep(LATE_SECONDS + RUN_SECONDS)
    names = {item['id'] for item in json.loads(body)['items']}
    began = {identity for one in site.replicas for identity, _at in one.runs}
    record.note(
        f'job {late} was answered {answers},'
        f' {len(names & began)} of its {ITEMS} items have run'
    )
    is_refused = set(answers) <= PROMISES
    return BROKEN if is_refused and names & began else HELD


def make_job(share: float) -> bytes:
    """Make the body of a job that takes a share of the limit."""
    items = [
        {
            'id': new_id(),
            'path': '/jobs/item',
            'headers': {'X-Model': 'm', 'X-Token-Counts': '350,100'},
            'body': base64.b64encode(b'prompt ' * 100).decode(),
            'tokens': int(MOST_TOKENS * share / ITEMS),
        }
        for _ in range(ITEMS)
    ]
    return json.dumps({'items': items}).encode()


def submit(site, record, entry, job, body) -> int:
    headers = {
        'Host': HOST,
        'X-Attempt-Id': job,
        'Content-Type': 'application/json',
    }
    port = site.ports['frontend']
    record.note(f'job {job} is sent to {entry.name}')
    status, answer = ask(entry.ip, port, 'POST', f'/jobs/{job}', headers, body)
    record.note(f'job {job}, sent to {entry.name}, is answered {status}')
    if status != 202:
        record.note(f'{answer!r}')
    return status


run(__file__, play)
