"""Tests the reservation of slots for requests that are about to be sent."""

from __future__ import annotations

import time

import gevent
import pytest

from tests.hosted.builders import HostedSite, wait_for
from wigeonpier.hosted import runner
from wigeonpier.hosted.reservations import SlotTable
from wigeonpier.policy.reservation import ARRIVAL_SECONDS


def _wait_until_fed(site: HostedSite) -> None:
    states = site.entries[0]._replicas.list_upstreams
    wait_for(
        lambda: states() and all(state.load_fresh_until for state in states()),
        'the load of each upstream is reported',
    )


@pytest.mark.parametrize('path', ['/ask/', '/once/'])
def test_a_waiting_request_gets_the_slot_of_a_new_upstream(
    site: HostedSite, path: str
) -> None:
    """It was not sent before, so it runs once on either kind of route."""
    site.start(replicas=1, slots=1, event_seconds=0.2)
    _wait_until_fed(site)
    calls = [
        gevent.spawn(site.call, 'POST', f'{path}{number}', f'q{number}')
        for number in range(2)
    ]
    wait_for(lambda: site.replicas[0].running == 1, 'one runs')
    site.add_replica('i-1', slots=1, event_seconds=0.2)
    replies = [greenlet.get() for greenlet in calls]
    assert [reply.body.count(b'data') for reply in replies] == [10, 10]
    assert sum(site.replicas[0].runs.values()) == 1
    assert sum(site.replicas[1].runs.values()) == 1


def test_a_reservation_preempts_an_item_at_once(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next tick of the item runner is 4 s away here."""
    site.start(replicas=1, slots=1, event_seconds=0.1)
    _wait_until_fed(site)
    site.submit_job('j', 1)
    wait_for(lambda: site.replicas[0].running == 1, 'the item runs')
    monkeypatch.setattr(runner, 'STEP_SECONDS', 4.0)
    gevent.sleep(0.1)
    started_at = time.monotonic()
    assert site.call('POST', '/once/1', 'q1').status == 200
    # Time for its ten events, but not for the rest of the item or of the tick.
    assert time.monotonic() - started_at < 1.4


def test_a_worker_that_does_not_respond_is_not_waited_for(
    site: HostedSite,
) -> None:
    """Its last reported load still counts as fresh."""
    site.start(replicas=1)
    _wait_until_fed(site)
    site.workers[0]._server.stop()
    started_at = time.monotonic()
    assert site.call('POST', '/ask/1', 'q1').status == 200
    assert time.monotonic() - started_at < 0.5


def test_a_reservation_expires_once_the_load_includes_its_request() -> None:
    slots = SlotTable()
    slots.add(10.0)
    assert slots.count(polled_at=10.0 + ARRIVAL_SECONDS / 2) == 1
    assert slots.count(polled_at=10.0 + ARRIVAL_SECONDS) == 0
