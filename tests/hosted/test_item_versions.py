"""Tests that the text of a batch item comes from one software version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.hosted.builders import wait_for
from tests.hosted.streams import find_versions

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

EVENTS = 60


def test_an_item_begins_anew_when_its_upstream_is_updated(
    site: HostedSite,
) -> None:
    site.start(
        replicas=1, events=EVENTS, event_seconds=0.02, restart_seconds=0.1
    )
    replica = site.replicas[0]
    assert site.submit_job('j', 1).status == 202
    work = site.workers[0]._runner.work
    wait_for(
        lambda: any(len(one.texts) > 5 for one in work.values()),
        'the item has events',
    )
    replica.version = 'v2'
    replica.end()
    results = site.wait_for_results('j', 1)
    texts = results[0]['output'].split('\n')
    assert len(texts) == EVENTS
    assert find_versions(texts) == {'v2'}
