"""Tests the load that workers report to entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

from tests.hosted.builders import (
    HostedSite,
    make_configuration,
    make_route_entry,
    wait_for,
)
from wigeonpier.hosted import loadfollower, reservations

if TYPE_CHECKING:
    from wigeonpier.policy.route import UpstreamState


def _get_state(site: HostedSite, number: int) -> UpstreamState:
    return site.entries[0]._replicas.upstreams[f'i-{number}']


def _wait_until_fed(site: HostedSite) -> None:
    wait_for(
        lambda: all(
            state.load_fresh_until
            for state in site.entries[0]._replicas.list_upstreams()
        ),
        'the load of each upstream is reported',
    )


def test_the_load_includes_requests_and_no_items(site: HostedSite) -> None:
    site.start(replicas=1, event_seconds=0.1)
    _wait_until_fed(site)
    site.submit_job('j', 3)
    wait_for(lambda: site.replicas[0].running == 3, 'items run')
    calls = [
        gevent.spawn(site.call, 'POST', '/ask/1', f'q{number}')
        for number in range(2)
    ]
    wait_for(lambda: _get_state(site, 0).reported == 2, 'two requests')
    gevent.joinall(calls)
    wait_for(lambda: _get_state(site, 0).reported == 0, 'no request')


def test_an_unresponsive_upstream_is_avoided_before_requests_fail(
    site: HostedSite,
) -> None:
    site.start()
    _wait_until_fed(site)
    site.replicas[0].faults.is_dark = True
    wait_for(lambda: not _get_state(site, 0).takes_work, 'it gets no work')
    for number in range(6):
        assert site.call('POST', '/once/1', f'q{number}').status == 200


@pytest.mark.parametrize(('path', 'moves'), [('/ask/', 1), ('/once/', 0)])
def test_a_request_leaves_a_queue_for_a_free_slot(
    site: HostedSite,
    path: str,
    moves: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only on a route with retries: it may start to run just as it leaves."""
    # A reserved slot may be taken by the time that its request arrives.
    monkeypatch.setattr(reservations, 'may_reserve', lambda *_a, **_n: True)
    site.start(replicas=2, slots=1, event_seconds=0.2)
    _wait_until_fed(site)
    # Both upstreams run from the start, since starting one on a busy machine
    # takes longer than a request waits.
    site.replicas[1].announce(is_leaving=True)
    wait_for(lambda: _get_state(site, 1).is_leaving, 'only one gets requests')
    calls = [
        gevent.spawn(site.call, 'POST', f'{path}{number}', f'q{number}')
        for number in range(2)
    ]
    wait_for(lambda: site.replicas[0].waiting == 1, 'one waits')
    monkeypatch.undo()
    site.replicas[1].announce(is_leaving=False)
    replies = [greenlet.get() for greenlet in calls]
    assert [reply.body.count(b'data') for reply in replies] == [10, 10]
    assert sum(site.replicas[1].runs.values()) == moves


def test_requests_wait_on_a_route_without_an_objective(
    site: HostedSite,
) -> None:
    site.start(slots=1, event_seconds=0.05)
    _wait_until_fed(site)
    routes = [make_route_entry('streaming', '/free/', targetLatencyMs=0)]
    site.store.put('op/config', make_configuration(2, routes=routes))
    gevent.sleep(0.1)
    calls = [
        gevent.spawn(site.call, 'POST', f'/free/{number}', f'q{number}')
        for number in range(4)
    ]
    replies = [greenlet.get() for greenlet in calls]
    assert [reply.body.count(b'data') for reply in replies] == [10] * 4


def test_a_late_request_steps_back_and_is_answered(
    site: HostedSite,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A reserved slot may be taken by the time that its request arrives.
    monkeypatch.setattr(reservations, 'may_reserve', lambda *_a, **_n: True)
    site.start(replicas=2, slots=1, event_seconds=0.06)
    _wait_until_fed(site)
    calls = []
    for number in range(6):
        calls.append(
            gevent.spawn(site.call, 'POST', f'/ask/{number}', f'q{number}'),
        )
        gevent.sleep(0.02)
    replies = [greenlet.get() for greenlet in calls]
    assert [reply.body.count(b'data') for reply in replies] == [10] * 6
    runs = [
        replica.runs[f'q{n}'] for replica in site.replicas for n in range(6)
    ]
    assert sum(runs) > 6


def test_an_upstream_without_its_worker_serves_requests(
    site: HostedSite,
) -> None:
    site.start(replicas=1)
    _wait_until_fed(site)
    site.workers[0].leave(1)
    site.workers[0]._server.stop()
    gevent.sleep(1.2)
    assert site.call('POST', '/ask/1', 'q1').status == 200


def test_the_loss_of_a_load_feed_is_logged_once(
    site: HostedSite,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    losses: list[str] = []
    monkeypatch.setattr(
        loadfollower,
        'log_event',
        lambda event, **_fields: losses.append(event.name),
    )
    site.start(replicas=1)
    _wait_until_fed(site)
    site.workers[0].leave(1)
    site.workers[0]._server.stop()
    wait_for(lambda: 'load_lost' in losses, 'the loss is logged')
    gevent.sleep(2)
    assert losses == ['load_followed', 'load_lost']
