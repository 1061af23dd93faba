"""Tests that a stream goes on only at the software version that began it.

Several versions of an upstream serve side by side, and callers resume their
streams at any entry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

from tests.hosted.builders import wait_for
from tests.hosted.streams import StreamCaller, find_versions

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

ENTRIES = 4
STREAMS = 16
EVENTS = 10
EVENTS_BEFORE_LEAVING = 3


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
    site.replicas[0].faults.break_after = STREAMS
    texts = [caller.read_all(f'q{number}') for number in range(STREAMS)]
    assert len(site.replicas[0].runs) > 1
    assert [len(find_versions(text)) for text in texts] == [1] * STREAMS
    assert [len(text) for text in texts] == [EVENTS] * STREAMS


def test_callers_resume_streams_at_the_version_that_began_them(
    caller: StreamCaller,
) -> None:
    outcomes = gevent.joinall(
        [
            gevent.spawn(caller.leave_and_resume, number, EVENTS_BEFORE_LEAVING)
            for number in range(STREAMS)
        ]
    )
    texts = [outcome.value for outcome in outcomes]
    assert [len(find_versions(text)) for text in texts] == [1] * STREAMS
