"""Tests the pace of upstreams from their reports to the entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from tests.hosted.builders import wait_for
from wigeonpier.hosted.pacemeter import LOGGED_SLOW_SECONDS, PaceMeter
from wigeonpier.models import UpstreamReport
from wigeonpier.telemetry.metrics import Metrics

if TYPE_CHECKING:
    import pytest

    from tests.hosted.builders import HostedSite
    from wigeonpier.policy.route import UpstreamState

FAST_SECONDS = 0.002
SLOW_SECONDS = 0.005
POLL_SECONDS = 0.05
REQUESTS = 8


def _get_states(site: HostedSite) -> list[UpstreamState]:
    upstreams = site.entries[0]._replicas.upstreams
    return [upstreams[replica.name] for replica in site.replicas]


def _start(site: HostedSite) -> None:
    site.start(replicas=2, event_seconds=0.1, token_seconds=FAST_SECONDS)
    site.replicas[1].token_seconds = SLOW_SECONDS


def _ask(site: HostedSite) -> None:
    calls = [
        gevent.spawn(site.call, 'POST', f'/ask/{number}', f'q{number}')
        for number in range(REQUESTS)
    ]
    for call in calls:
        assert call.get().body.count(b'data') == 10


def _wait_for_paces(site: HostedSite) -> None:
    wait_for(
        lambda: all(state.load_fresh_until for state in _get_states(site)),
        'the load of each upstream is reported',
    )
    for _ in range(3):
        _ask(site)
        if all(state.pace for state in _get_states(site)):
            return
    raise AssertionError('the pace of an upstream is not known')


def test_entry_knows_the_paces_of_upstreams(site: HostedSite) -> None:
    """Guards against paces that are measured and not used."""
    _start(site)
    _wait_for_paces(site)
    fast, slow = _get_states(site)
    ratio = slow.pace.event_seconds / fast.pace.event_seconds
    assert 1.8 < ratio < 3.5


def test_pace_is_discarded_with_its_start(site: HostedSite) -> None:
    """Guards against judging a new start by the speed of the earlier one."""
    _start(site)
    _wait_for_paces(site)
    replica = site.replicas[1]
    replica.incarnation = 7
    replica.end()
    address = replica.address
    states = site.entries[0]._replicas.list_upstreams
    wait_for(
        lambda: [
            state
            for state in states()
            if state.address == address
            and state.incarnation == 7
            and state.pace is None
        ],
        'the pace of the earlier start is dropped',
    )
    _ask(site)


def test_requests_are_served_by_count_without_measurements(
    site: HostedSite,
) -> None:
    """Runs are no longer reported, then the worker of one upstream dies."""
    _start(site)
    _wait_for_paces(site)
    known = [state.pace.event_seconds for state in _get_states(site)]
    for replica in site.replicas:
        replica.token_seconds = 0
    _ask(site)
    paces = [state.pace for state in _get_states(site)]
    assert [pace.event_seconds for pace in paces] == known
    assert [pace.slowdown for pace in paces] == [1, 1]
    site.workers[1].leave(1)
    site.workers[1]._server.stop()
    _ask(site)


def test_long_slow_period_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a line for each of the frequent short slow periods."""
    events: list[str] = []
    monkeypatch.setattr(
        'wigeonpier.hosted.pacemeter.log_event',
        lambda event, **_fields: events.append(event.name),
    )
    metrics = Metrics()
    meter = PaceMeter('127.0.0.1:1', metrics)
    now = 0.0
    tokens = 1.0
    for factor, seconds in (
        (1, 2.0),
        (2.5, LOGGED_SLOW_SECONDS / 2),
        (1, 2.0),
        (2.5, LOGGED_SLOW_SECONDS * 1.5),
    ):
        for _ in range(round(seconds / POLL_SECONDS)):
            now += POLL_SECONDS
            tokens += POLL_SECONDS / (SLOW_SECONDS * factor)
            meter.record(UpstreamReport(1, 0, tokens={'a': int(tokens)}), now)
    assert events == ['upstream_pace_known', 'upstream_slow']
    assert metrics.get_counter('upstream_slow_periods_total') == 2
    meter.record(None, now)
    assert meter.read() is None
