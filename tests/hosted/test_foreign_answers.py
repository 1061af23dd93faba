"""Upstreams that send an answer once more where the next one is expected."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
import pytest

from tests.hosted.callers import read_texts
from wigeonpier.bench.lateanswers import CopyShape

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite
    from wigeonpier.web.client import Reply

REQUESTS = 60
CALLERS = 6
REPEATED = 100
ITEMS = 8
POLLS = 100
POLL_SECONDS = 0.02
# Statuses that promise that a request has not run.
PROMISES = frozenset((408, 421, 429, 503))
# The entry answered nothing, or that the own answer was lost.
LOST = frozenset((0, 502))
# More than are skipped in a row.
MANY_TIMES = 6
PIECE_SECONDS = 0.01


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


def send_once(site: HostedSite) -> dict[str, int]:
    """Send requests that may run once, and turn some of them away.

    :returns: the status of each answer, 0 for none.
    """
    statuses: dict[str, int] = {}

    def send(caller: int) -> None:
        for number in range(REQUESTS // CALLERS):
            replica = site.replicas[number % len(site.replicas)]
            replica.faults.turn_away += 1
            identity = f'once{caller}-{number}'
            reply = site.try_call('POST', '/once/a', identity)
            statuses[identity] = reply.map_or(0, _get_status)

    gevent.joinall(
        [gevent.spawn(send, caller) for caller in range(CALLERS)],
        raise_error=True,
    )
    return statuses


def _get_status(reply: Reply) -> int:
    return reply.status


def list_false_promises(
    site: HostedSite, statuses: dict[str, int]
) -> list[str]:
    """List the requests that were answered with a promise and have run."""
    runs = count_runs(site)
    return [
        identity
        for identity, status in statuses.items()
        if status in PROMISES and runs[identity]
    ]


def send_behind_refusals(site: HostedSite, shape: CopyShape) -> dict[str, int]:
    """Send requests that may run once, and check what the answers promise.

    :param shape: what the replicas send once more of each answer.
    :returns: the status of each answer, 0 for none.
    """
    start(site)
    for replica in site.replicas:
        replica.faults.late.shape = shape
    statuses = send_once(site)
    assert max(count_runs(site).values()) == 1
    assert not list_false_promises(site, statuses)
    assert 0 not in statuses.values()
    assert 200 in statuses.values()
    return statuses


@pytest.mark.parametrize(
    'shape',
    [
        pytest.param(CopyShape(), id='whole'),
        pytest.param(CopyShape(piece_seconds=PIECE_SECONDS), id='in pieces'),
    ],
)
def test_a_refusal_of_another_request_sends_none_again(
    site: HostedSite, shape: CopyShape
) -> None:
    """A request that may run once ran twice, or was refused and had run."""
    statuses = send_behind_refusals(site, shape)
    # The own answer, which follows the extra one, is awaited.
    assert not LOST & set(statuses.values())


@pytest.mark.parametrize(
    'shape',
    [
        pytest.param(CopyShape(cut_after=b'HTTP/1.1 503 '), id='status'),
        pytest.param(CopyShape(cut_after=b'X-Not-Executed: '), id='statement'),
        pytest.param(CopyShape(times=MANY_TIMES), id='many'),
    ],
)
def test_a_refusal_that_hides_the_own_answer_sends_none_again(
    site: HostedSite, shape: CopyShape
) -> None:
    """A part gave its status or its statement to the own answer behind it.

    An own answer that is joined to a part of another one, or follows more than
    are skipped, is lost: 502.
    """
    send_behind_refusals(site, shape)


@pytest.mark.parametrize('path', ['/once/a', '/ask/a'])
def test_a_promise_that_the_upstream_does_not_make_is_not_passed_on(
    site: HostedSite, path: str
) -> None:
    """A request ran, and its caller read that it had not run."""
    site.start(replicas=2)
    for replica in site.replicas:
        replica.faults.run_and_refuse = REPEATED
    reply = site.call('POST', path, 'q1')
    assert count_runs(site)['q1']
    assert reply.status == 502
    for replica in site.replicas:
        replica.faults.run_and_refuse = 0
    assert site.call('POST', path, 'q2').status == 200


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
