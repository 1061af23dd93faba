"""Tests the pace of upstreams from their reports to the entries."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING

import gevent
import msgspec

from tests.builders import build_upstream
from tests.hosted.builders import wait_for
from wigeonpier.hosted.loadfollower import FeedListeners, LoadFollower
from wigeonpier.hosted.news import FeedLine
from wigeonpier.hosted.pacemeter import LOGGED_SLOW_SECONDS, PaceMeter
from wigeonpier.models import OnlineLoad, UpstreamReport
from wigeonpier.policy.route import (
    RoutingCriteria,
    choose_upstream,
    count_requests,
    find_usual_pace,
)
from wigeonpier.reports import UpstreamPace
from wigeonpier.telemetry.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

    from tests.hosted.builders import HostedSite
    from wigeonpier.policy.route import UpstreamState

FAST_SECONDS = 0.002
SLOW_SECONDS = 0.005
POLL_SECONDS = 0.05
REQUESTS = 8
CHOICES = 50


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


def test_baseline_is_kept_while_no_runs_are_reported(site: HostedSite) -> None:
    """Guards against a choice by count after some seconds without requests."""
    _start(site)
    _wait_for_paces(site)
    known = [state.pace.event_seconds for state in _get_states(site)]
    for replica in site.replicas:
        replica.token_seconds = 0
    _ask(site)
    paces = [state.pace for state in _get_states(site)]
    assert [pace.event_seconds for pace in paces] == known
    assert [pace.slowdown for pace in paces] == [1, 1]


def _wait_until_idle(states: list[UpstreamState]) -> None:
    wait_for(
        lambda: (
            not any(count_requests(state, time.monotonic()) for state in states)
        ),
        'no request is counted',
    )


def _choose(states: list[UpstreamState]) -> list[str]:
    """Choose for many requests as an entry does; return the names."""
    criteria = RoutingCriteria(
        states[0].service, '', '', states[0].data_centre, states[0].region
    )
    now = time.monotonic()
    usual = find_usual_pace(states, criteria, now)
    chosen = [
        choose_upstream(states, criteria, now, random.Random(seed), usual)
        for seed in range(CHOICES)
    ]
    return [state.name for state in chosen if state]


def test_requests_are_served_by_count_without_a_worker(
    site: HostedSite,
) -> None:
    """Guards against a choice by paces that are no longer reported."""
    _start(site)
    _wait_for_paces(site)
    fast, slow = states = _get_states(site)
    _wait_until_idle(states)
    assert set(_choose(states)) == {fast.name}
    site.workers[1].leave(1)
    site.workers[1]._server.stop()
    _ask(site)
    wait_for(
        lambda: slow.load_fresh_until < time.monotonic(),
        'the load of the upstream is no longer fresh',
    )
    _wait_until_idle(states)
    assert slow.pace is not None
    without_paces = [replace(state, pace=None) for state in states]
    assert _choose(states) == _choose(without_paces)
    assert set(_choose(states)) == {fast.name, slow.name}
    _ask(site)


class _Feed:
    """A connection that delivers lines, and records the paces after each."""

    def __init__(self, upstreams: list[UpstreamState]) -> None:
        self.upstreams = upstreams
        self.paces: list[UpstreamPace | None] = []
        # Called after so many lines.
        self.on_line: dict[int, Callable[[], None]] = {}
        listeners = FeedListeners(
            *(lambda *_given: None for _field in FeedListeners.__slots__)
        )
        self._follower = LoadFollower(
            SimpleNamespace(peers='127.0.0.1:1'),
            SimpleNamespace(list_upstreams=lambda: self.upstreams),
            None,
            random.Random(1),
            listeners,
        )

    def deliver(self, *lines: FeedLine) -> list[UpstreamPace | None]:
        """Deliver lines on one connection; return the pace after each."""
        self.paces.clear()
        remaining = list(lines)
        self._follower._read(
            self.upstreams[0].address,
            SimpleNamespace(
                send=lambda *_given: None,
                read_line=lambda _timeout: self._read_line(remaining),
                abort=lambda: None,
                close=lambda: None,
            ),
        )
        return self.paces[1:]

    def _read_line(self, remaining: list[FeedLine]) -> bytes:
        self.paces.append(self.upstreams[0].pace)
        self.on_line.get(len(self.paces) - 1, lambda: None)()
        return msgspec.json.encode(remaining.pop(0)) if remaining else b''


def _make_line(incarnation: int, pace: UpstreamPace | None = None) -> FeedLine:
    load = OnlineLoad(1, takes_work=True, incarnation=incarnation)
    return FeedLine(load, pace=pace)


def test_pace_of_an_earlier_worker_is_dropped() -> None:
    """Guards against a pace that an older build, which sends none, leaves."""
    pace = UpstreamPace(FAST_SECONDS)
    feed = _Feed([build_upstream('vm-0', incarnation=5)])
    assert feed.deliver(_make_line(5, pace), _make_line(5)) == [pace, pace]
    assert feed.deliver(_make_line(5), _make_line(5)) == [None, None]


def test_pace_of_an_earlier_start_is_not_applied() -> None:
    """Guards against a line that was sent before an upstream restarted."""
    pace = UpstreamPace(FAST_SECONDS)
    feed = _Feed([build_upstream('vm-0', incarnation=6)])
    lines = [_make_line(5, pace), _make_line(6), _make_line(6, pace)]
    assert feed.deliver(*lines) == [None, None, pace]


def test_state_that_is_created_anew_gets_the_pace() -> None:
    """Guards against no pace until it changes, after an entry was re-read."""
    pace = UpstreamPace(FAST_SECONDS)
    feed = _Feed([build_upstream('vm-0', incarnation=5)])
    state = build_upstream('vm-0', incarnation=5)
    feed.on_line = {1: lambda: feed.upstreams.__setitem__(0, state)}
    assert feed.deliver(_make_line(5, pace), _make_line(5)) == [pace, pace]
    assert state.pace == pace


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
