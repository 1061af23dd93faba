"""A late extra answer to another request is taken for the answer to this one.

See claim.txt.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

import gevent  # noqa: E402

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    Replica,
    Site,
    StandInStore,
    ask,
    is_troubled,
    make_answer,
    new_id,
    run,
)

SECONDS = 10.0
CLIENTS = 12
# A replica may turn any request away with 429 and X-Not-Executed.
TURNED_AWAY_SHARE = 0.2
# Share of these answers that come twice: one in twenty of all answers.
EXTRA_SHARE = 0.25
# Both promise that the request has not run and never will.
PROMISES = (429, 503)


class BusyReplica(Replica):
    """Turns some requests away; with trouble, answers a few of these twice.

    The extra answer comes late, at the point where the next answer on the
    channel is expected, with the id of the request to which it belongs.
    """

    def __init__(self, *given, **named):
        # Extra answers by the channel on which they are due.
        self.late = {}
        super().__init__(*given, **named)

    def answer(self, channel, identity, headers, target, body):
        extra = self.late.pop(channel, None)
        if extra is not None:
            self.record.note(f'{self.name} sends a late extra answer')
            channel.send(extra)
        if random.random() < TURNED_AWAY_SHARE:
            own = {'X-Attempt-Id': identity, 'X-Not-Executed': '1'}
            raw = make_answer(429, own, b'{}')
            self.record.note(f'{self.name} turns {identity} away')
            channel.send(raw)
            if is_troubled() and random.random() < EXTRA_SHARE:
                self.late[channel] = raw
            return
        self.run(channel, identity, headers)


def play(record) -> int:
    """Send requests that may run once, and count how often each has run."""
    site = Site(record, StandInStore())
    try:
        return play_at(site, record)
    finally:
        site.stop()


def play_at(site, record) -> int:
    site.configure(
        [
            {
                'name': 'r-once',
                'host': HOST,
                'pathPrefix': '/once/',
                'kind': 'streaming',
                'timeoutMs': 5000,
                'targetLatencyMs': 300,
                'priority': 0,
                'service': standins.SERVICE,
                'maxAttempts': 1,
                'sessionAffinity': True,
                'resumable': False,
                'gapAimMs': 400,
            }
        ]
    )
    entry = site.add('entry', 'edge-1')
    for number in range(3):
        site.add('storage', f'storage-{number}')
    for number in range(3):
        worker = site.add('worker', f'side-{number}')
        replica = BusyReplica(
            f'i-{number}', worker.ip, site.ports['app'], record
        )
        site.replicas.append(replica)
        site.register(replica.name, replica.address)
    site.start()
    answers: dict[str, int] = {}
    until = time.monotonic() + SECONDS

    def send_all() -> None:
        while time.monotonic() < until:
            identity = new_id()
            headers = {
                'Host': HOST,
                'X-Attempt-Id': identity,
                'X-Model': 'm',
                'X-Token-Counts': '350,80',
                'X-Prompt-Prefix': f'5c1e07a2:100,{identity}:250',
                'X-Deadline-Ms': '5000',
            }
            record.note(f'{identity} is sent')
            status, _body = ask(
                entry.ip,
                site.ports['frontend'],
                'POST',
                f'/once/{identity}',
                headers,
                b'prompt',
            )
            answers[identity] = status
            record.note(f'{identity} is answered {status}')
            gevent.sleep(random.uniform(0, 0.2))

    gevent.joinall([gevent.spawn(send_all) for _ in range(CLIENTS)])
    # Runs that nobody waits for end by now.
    gevent.sleep(1)
    runs = Counter(
        identity for one in site.replicas for identity, _at in one.runs
    )
    twice = [identity for identity, count in runs.items() if count > 1]
    refused = [
        identity
        for identity, status in answers.items()
        if status in PROMISES and runs[identity]
    ]
    for identity in twice:
        record.note(f'TWICE: {identity} ran {runs[identity]} times')
    for identity in refused:
        record.note(f'REFUSED: {identity} got {answers[identity]} and has run')
    record.note(
        f'{len(answers)} requests, answers {dict(Counter(answers.values()))},'
        f' {len(twice)} ran twice, {len(refused)} were refused and ran'
    )
    if not any(status == 200 for status in answers.values()):
        raise RuntimeError('no request was served')
    return BROKEN if twice or refused else HELD


run(__file__, play)
