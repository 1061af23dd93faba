"""Upstreams that send an answer once more where the next one is expected."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent

from tests.hosted.callers import read_texts

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

REQUESTS = 60
CALLERS = 6
REPEATED = 100
ITEMS = 8
POLLS = 100
POLL_SECONDS = 0.02
# Statuses that promise that a request has not run.
PROMISES = frozenset((429, 503))


def start(site: HostedSite, replicas: int = 3) -> None:
    """Start a site whose replicas send each answer once more."""
    site.start(replicas)
    for replica in site.replicas:
        replica.faults.late.remaining = REPEATED


def count_runs(site: HostedSite) -> Counter[str]:
    """Count the runs of each request at all replicas."""
    runs: Counter[str] = Counter()
    for replica in site.replicas:
        runs.update(replica.runs)
    return runs


def test_a_refusal_of_another_request_sends_none_again(
    site: HostedSite,
) -> None:
    """A request that may run once ran twice, or was refused and had run."""
    start(site)
    statuses: dict[str, int] = {}

    def send(caller: int) -> None:
        for number in range(REQUESTS // CALLERS):
            replica = site.replicas[number % len(site.replicas)]
            replica.faults.turn_away += 1
            identity = f'once{caller}-{number}'
            reply = site.try_call('POST', '/once/a', identity)
            statuses[identity] = reply.unwrap().status

    gevent.joinall(
        [gevent.spawn(send, caller) for caller in range(CALLERS)],
        raise_error=True,
    )
    runs = count_runs(site)
    assert max(runs.values()) == 1
    assert not [
        identity
        for identity, status in statuses.items()
        if status in PROMISES and runs[identity]
    ]
    # The own answer, which follows the extra one, is awaited.
    assert 502 not in statuses.values()


def test_a_stream_behind_the_answer_to_another_request_is_whole(
    site: HostedSite,
) -> None:
    """The connection was closed, and the stream that was due was lost."""
    start(site, replicas=1)
    for number in range(REQUESTS):
        identity = f'once{number}'
        reply = site.call('POST', '/once/a', identity)
        expected = site.replicas[0].make_output(identity).split()
        assert read_texts(reply.body) == expected
    assert max(count_runs(site).values()) == 1


def test_load_reports_are_read_behind_refusals_of_items(
    site: HostedSite,
) -> None:
    """A refusal was taken for a failed report, and the upstream for down."""
    start(site, replicas=1)
    site.replicas[0].faults.turn_away = REPEATED
    site.submit_job('j', ITEMS)
    upstream = site.workers[0]._upstream
    for _poll in range(POLLS):
        upstream.poll()
        assert not upstream.has_failed_poll
        gevent.sleep(POLL_SECONDS)
    site.replicas[0].faults.turn_away = 0
    site.wait_for_results('j', ITEMS)
