"""Tests that a stream goes on only at the software version that began it.

Several versions of an upstream serve side by side, and callers resume their
streams at any entry.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import pytest

from tests.hosted.builders import DATA_CENTRE, wait_for
from tests.hosted.streams import RefusedError, StreamCaller, find_versions
from wigeonpier.hosted.origintable import OriginTable

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

ENTRIES = 4
STREAMS = 16
MIN_BROKEN_STREAMS = 3
MAX_STREAMS = 200
EVENTS = 10
EVENTS_BEFORE_LEAVING = 3
UNAVAILABLE = 503
# A quarter of the latency objective earns the caller half of its next attempt.
MAX_REFUSAL_SECONDS = 0.3


@pytest.fixture
def caller(site: HostedSite) -> StreamCaller:
    """Start a site with replicas of two versions, and a caller of streams."""
    site.start(replicas=2, entries=ENTRIES, event_seconds=0.02)
    for number in range(2):
        site.add_replica(f'i-new-{number}', version='v2', event_seconds=0.02)
    wait_for(
        lambda: all(
            len(app._replicas.list_upstreams()) == len(site.replicas)
            for app in site.entries
        ),
        'entries know all replicas',
    )
    return StreamCaller(site)


def test_an_entry_continues_a_stream_at_the_version_that_began_it(
    site: HostedSite, caller: StreamCaller
) -> None:
    """Broken streams continued at any upstream of the service."""
    breaking = site.replicas[0]
    breaking.faults.break_after = STREAMS
    texts: list[list[str]] = []
    while len(breaking.runs) < MIN_BROKEN_STREAMS:
        assert len(texts) < MAX_STREAMS, 'an upstream gets no streams'
        texts.append(caller.read_all(f'q{len(texts)}'))
    assert [len(find_versions(text)) for text in texts] == [1] * len(texts)
    assert [len(text) for text in texts] == [EVENTS] * len(texts)


def test_a_stream_continues_at_the_only_upstream_of_its_version(
    site: HostedSite,
) -> None:
    """Its connection broke, and no other upstream may continue it."""
    site.start(replicas=1)
    site.add_replica('i-new', version='v2')
    wait_for(
        lambda: len(site.entries[0]._replicas.list_upstreams()) > 1,
        'the entry knows both',
    )
    caller = StreamCaller(site)
    for number in range(STREAMS):
        site.replicas[number % 2].faults.break_after = 1
        text = caller.read_all(f'q{number}')
        assert len(text) == EVENTS
        assert len(find_versions(text)) == 1


def test_callers_resume_streams_at_the_version_that_began_them(
    caller: StreamCaller,
) -> None:
    """The other entry treated them like new requests."""
    outcomes = gevent.joinall(
        [
            gevent.spawn(caller.leave_and_resume, number, EVENTS_BEFORE_LEAVING)
            for number in range(STREAMS)
        ]
    )
    texts = [outcome.value for outcome in outcomes]
    assert [len(find_versions(text)) for text in texts] == [1] * STREAMS
    assert [len(text) for text in texts] == [EVENTS] * STREAMS


def test_streams_go_on_without_the_store_and_their_first_entry(
    site: HostedSite, caller: StreamCaller
) -> None:
    parts = caller.begin(STREAMS, EVENTS_BEFORE_LEAVING)
    site.store.faults.is_down = True
    site.entries[0]._callers.stop()
    for number, (name, part) in enumerate(parts.items()):
        entry = 1 + number % (ENTRIES - 1)
        part += caller.resume(f'{name}-again', name, len(part), entry)
        assert len(part) == EVENTS
        assert len(find_versions(part)) == 1


def test_streams_are_known_to_workers_that_have_restarted(
    site: HostedSite, caller: StreamCaller
) -> None:
    """Entries send them again to each worker that they begin to follow."""
    parts = caller.begin(STREAMS, EVENTS_BEFORE_LEAVING)
    for worker in site.workers:
        worker._origins.table = OriginTable()
    for state in site.entries[0]._replicas.list_upstreams():
        site.entries[0]._origins.resend(state.address)
    gevent.sleep(0.1)
    for name, part in parts.items():
        part += caller.resume(f'{name}-again', name, len(part), 1)
        assert len(part) == EVENTS


def test_a_stream_is_resumed_several_times(caller: StreamCaller) -> None:
    """Each attempt names the first one, at another entry each time."""
    for number in range(STREAMS):
        texts = caller.read(f'q{number}', 0, 2)
        for entry in range(1, ENTRIES):
            texts += caller.read(
                f'q{number}-{entry}',
                entry,
                2,
                Last_Event_Id=str(len(texts)),
                Resumes=f'q{number}',
            )
        assert len(texts) == 2 * ENTRIES
        assert len(find_versions(texts)) == 1


def test_a_stream_of_which_nothing_is_known_is_refused_at_once(
    caller: StreamCaller,
) -> None:
    began_at = time.monotonic()
    with pytest.raises(RefusedError) as refused:
        caller.resume('q1', 'never-seen', 3, 1)
    assert time.monotonic() - began_at < MAX_REFUSAL_SECONDS
    assert refused.value.status == UNAVAILABLE
    assert refused.value.error['type'] == 'origin_unknown'
    assert refused.value.error['ran'] == 'no'
    assert 0 < float(refused.value.retry_after) < 1
    assert not any('q1' in one.runs for one in caller.site.replicas)


def test_a_stream_whose_version_is_gone_is_refused_at_once(
    site: HostedSite, caller: StreamCaller
) -> None:
    """It can go on nowhere, so the caller is not told to come again."""
    parts = caller.begin(STREAMS, EVENTS_BEFORE_LEAVING)
    old = [
        name for name, part in parts.items() if find_versions(part) == {'v1'}
    ]
    assert old
    for replica in site.replicas:
        if replica.version == 'v1':
            replica.announce(is_leaving=True)
    gevent.sleep(0.5)
    began_at = time.monotonic()
    with pytest.raises(RefusedError) as refused:
        caller.resume('r1', old[0], EVENTS_BEFORE_LEAVING, 1)
    assert time.monotonic() - began_at < MAX_REFUSAL_SECONDS
    assert refused.value.status == UNAVAILABLE
    assert refused.value.error['type'] == 'version_gone'
    assert refused.value.error['ran'] == 'no'
    assert not refused.value.retry_after


def test_a_stream_whose_upstreams_have_crashed_may_come_again(
    site: HostedSite, caller: StreamCaller
) -> None:
    """They may be back in a second, so the version is not gone."""
    texts = caller.read('q1', 0, EVENTS_BEFORE_LEAVING)
    version = next(iter(find_versions(texts)))
    for replica in site.replicas:
        if replica.version == version:
            replica.lapse_seconds = 9
            replica.restart_seconds = 9
            replica.end()
    with pytest.raises(RefusedError) as refused:
        caller.resume('r1', 'q1', len(texts), 1)
    assert refused.value.error['type'] == 'no_upstream'
    assert refused.value.error['ran'] == 'no'
    assert float(refused.value.retry_after) == pytest.approx(1)


def test_an_upstream_reborn_as_another_version_continues_no_stream(
    site: HostedSite, caller: StreamCaller
) -> None:
    """It restarts under its id, so that requests still reach it."""
    parts = caller.begin(STREAMS, EVENTS_BEFORE_LEAVING)
    for replica in site.replicas[:2]:
        replica.keeps_name = True
        replica.incarnation = 1
        replica.register(DATA_CENTRE)
    gevent.sleep(0.5)
    for replica in site.replicas[:2]:
        replica.version = 'v3'
        replica.restart_seconds = 0.1
        replica.end()
    for name, part in parts.items():
        try:
            part += caller.resume(f'{name}-again', name, len(part), 1)
        except RefusedError as error:
            assert error.error['type'] in {'version_gone', 'no_upstream'}
        assert len(find_versions(part)) == 1


def test_callers_that_name_no_attempt_resume_where_one_version_serves(
    site: HostedSite,
) -> None:
    site.start(entries=2)
    caller = StreamCaller(site)
    texts = caller.read('q1', 0, EVENTS_BEFORE_LEAVING)
    texts += caller.read('q2', 1, Last_Event_Id=str(len(texts)))
    assert len(texts) == EVENTS


def test_callers_that_name_no_attempt_resume_at_the_version_that_began(
    caller: StreamCaller,
) -> None:
    """The same request is sent again, so that its record is found."""
    for number in range(STREAMS):
        target = f'/ask/{number}'
        texts = caller.read(
            f'q{number}', 0, EVENTS_BEFORE_LEAVING, target=target
        )
        texts += caller.read(
            f'r{number}', 1, target=target, Last_Event_Id=str(len(texts))
        )
        assert len(texts) == EVENTS
        assert len(find_versions(texts)) == 1


def test_equal_requests_at_two_versions_are_refused_without_an_attempt(
    caller: StreamCaller,
) -> None:
    """Nothing tells which of both the caller resumes."""
    versions: set[str] = set()
    while len(versions) < 2:
        texts = caller.read(f'q{len(versions)}', 0, EVENTS_BEFORE_LEAVING)
        versions |= find_versions(texts)
    with pytest.raises(RefusedError) as refused:
        caller.read('r', 1, Last_Event_Id=str(len(texts)))
    assert refused.value.error['type'] == 'origin_unknown'
