"""Tests that the text of a batch item comes from one software version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.hosted.builders import make_open_job, wait_for
from tests.hosted.streams import find_versions
from wigeonpier.hosted.items import ItemWork
from wigeonpier.models import JobItem
from wigeonpier.policy.streamorigin import UNKNOWN_VERSION

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

EVENTS = 60


def wait_for_item(site: HostedSite) -> int:
    """Wait until an item has events; return the number of its worker."""

    def list_owners() -> list[int]:
        return [
            number
            for number, worker in enumerate(site.workers)
            if any(len(one.texts) > 5 for one in worker._runner.work.values())
        ]

    wait_for(list_owners, 'the item has events')
    return list_owners()[0]


def test_an_item_begins_anew_when_its_upstream_is_updated(
    site: HostedSite,
) -> None:
    """Its result had the text of both versions."""
    site.start(
        replicas=1, events=EVENTS, event_seconds=0.02, restart_seconds=0.1
    )
    replica = site.replicas[0]
    assert site.submit_job('j', 1).status == 202
    wait_for_item(site)
    replica.version = 'v2'
    replica.end()
    results = site.wait_for_results('j', 1)
    texts = results[0]['output'].split('\n')
    assert len(texts) == EVENTS
    assert find_versions(texts) == {'v2'}


@pytest.mark.parametrize(
    ('wrote', 'serves', 'left'),
    [
        ('v1', 'v1', ['a', 'b']),
        ('v1', 'v2', []),
        ('v1', UNKNOWN_VERSION, []),
        # Saved by an earlier build, which did not know the version.
        (UNKNOWN_VERSION, 'v1', []),
        (UNKNOWN_VERSION, UNKNOWN_VERSION, []),
    ],
)
def test_text_is_continued_by_the_version_that_wrote_it(
    wrote, serves, left
) -> None:
    item = JobItem('i', '/p', {}, b'', 1)
    work = ItemWork(make_open_job(), 0, item, 9, 9, ['a', 'b'], '2')
    work.version = wrote
    work.saved_events = 2
    assert work.count_events(serves) == len(left)
    assert work.bind_version(serves) == (not left)
    assert work.texts == left
    assert work.last_event == ('2' if left else '')
    assert work.saved_events == len(left)
    assert work.version == serves


def test_saved_text_has_the_version_that_wrote_it(site: HostedSite) -> None:
    site.start(replicas=2, events=EVENTS, event_seconds=0.02)
    assert site.submit_job('j', 1).status == 202
    worker = site.workers[wait_for_item(site)]
    worker._progress.save_all()
    saved = worker._progress._ledger.read_progress('j').unwrap()[0]
    assert saved.version == 'v1'
    assert find_versions(saved.texts) == {'v1'}
