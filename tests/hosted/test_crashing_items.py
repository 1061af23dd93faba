"""Batch items that crash the upstream.

A run lost in an upstream crash counts neither as failed nor as impossible, so
an item that caused the crash was restarted endlessly: within some 5 s, seven
starts of three replicas crashed, each with the online requests there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from tests.hosted.builders import wait_for
from wigeonpier.bench.replica import DEADLY_MARK

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

MAX_CRASHES = 3
# The rules allow five until a part of a prompt must be known.
MAX_PART_CRASHES = 5
ITEMS = 6
CRASHING_ITEM = 2


def count_crashes(site: HostedSite) -> int:
    """Count the crashes of all replicas."""
    return sum(len(replica.ended_by) for replica in site.replicas)


def test_an_item_that_crashes_upstreams_is_not_restarted_endlessly(
    site: HostedSite,
) -> None:
    """The other items have results; the crashing one has none yet."""
    site.start(replicas=3)
    for replica in site.replicas:
        replica.restart_seconds = 0.4
        replica.lapse_seconds = 0.6
    bodies = {CRASHING_ITEM: DEADLY_MARK}
    assert site.submit_job('j', ITEMS, bodies=bodies).status == 202
    results = site.wait_for_results('j', ITEMS - 1)
    assert {result['id'] for result in results} == {
        f'j{number}' for number in range(ITEMS) if number != CRASHING_ITEM
    }
    assert {result['state'] for result in results} == {'completed'}
    wait_for(
        lambda: count_crashes(site) == MAX_CRASHES,
        'three replicas have crashed',
    )
    gevent.sleep(3)
    assert count_crashes(site) == MAX_CRASHES
    assert len(site.read_results('j')['results']) == ITEMS - 1


def test_items_lost_in_the_crash_of_another_one_are_completed(
    site: HostedSite,
) -> None:
    """All items of a job run at one replica and are lost in its crash."""
    site.start(replicas=1, event_seconds=0.03)
    site.replicas[0].restart_seconds = 0.4
    site.replicas[0].lapse_seconds = 0.6
    site.submit_job('j', ITEMS, bodies={CRASHING_ITEM: DEADLY_MARK})
    assert len(site.wait_for_results('j', ITEMS - 1)) == ITEMS - 1
    wait_for(
        lambda: count_crashes(site) == MAX_CRASHES,
        'three replicas have crashed',
    )
    known = site.workers[0]._trials.suspicions
    assert len(known.suspects) == 1


def test_items_with_a_crashing_part_do_not_run_on(site: HostedSite) -> None:
    """No two items are alike, and one part of their prompts crashes upstreams.

    Each item used to crash upstreams anew.
    """
    site.start(replicas=3)
    for replica in site.replicas:
        replica.restart_seconds = 0.4
        replica.lapse_seconds = 0.6
        replica.faults.deadly_parts = {'bad'}
    bodies = {number: b'item %d' % number for number in range(ITEMS)}
    headers = {'X-Prompt-Prefix': 'a:10,bad:10,own:10'}
    site.submit_job('j', ITEMS, bodies=bodies, item_headers=headers)
    site.submit_job('sound', ITEMS, bodies=bodies)
    gevent.sleep(6)
    assert count_crashes(site) <= MAX_PART_CRASHES
    assert len(site.read_results('sound')['results']) == ITEMS
