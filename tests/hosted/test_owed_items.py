"""Batch items under which upstreams crashed are placed again once it is calm.

An item was refused for an hour after the third crash under it, although
upstreams crash for other reasons as well.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import msgspec
import pytest

from tests.hosted.builders import wait_for
from wigeonpier.bench.replica import DEADLY_MARK
from wigeonpier.membership.updates import SuspicionUpdate
from wigeonpier.platform import storekeys
from wigeonpier.policy.fingerprint import digest_request

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

# Crashes of one item in a row until it is held back.
BURST = 3
# From the last crash to the result, with a run and two reads of the store.
OWED_SECONDS = 10.0
PART = 'bad'
PART_OWED_SECONDS = 30.0
PART_ITEMS = 6


def start(site: HostedSite, replicas: int = 3) -> None:
    """Start a site whose replicas restart soon after a crash."""
    site.start(replicas=replicas)
    for replica in site.replicas:
        replica.restart_seconds = 0.4
        replica.lapse_seconds = 0.6


def end_burst(site: HostedSite) -> None:
    """Let replicas run from now on what crashed them."""
    for replica in site.replicas:
        replica.faults.is_cured = True


def count_crashes(site: HostedSite) -> int:
    """Count the crashes of all replicas."""
    return sum(len(replica.ended_by) for replica in site.replicas)


def crash_under_item(site: HostedSite) -> None:
    """Submit a job with one item, under which upstreams crash for a while."""
    site.submit_job('j', 1, bodies={0: DEADLY_MARK})
    wait_for(lambda: count_crashes(site) == BURST, 'upstreams have crashed')
    gevent.sleep(0.5)
    end_burst(site)


def wait_for_item(site: HostedSite, seconds: float, count: int = 1) -> None:
    """Check that the items of the job complete in time."""
    deadline = time.monotonic() + seconds
    while len(site.read_results('j')['results']) < count:
        assert time.monotonic() < deadline, 'items were not placed again'
        gevent.sleep(0.1)
    states = {result['state'] for result in site.read_results('j')['results']}
    assert states == {'completed'}


def test_an_item_under_which_upstreams_crashed_is_placed_again(
    site: HostedSite,
) -> None:
    start(site)
    crash_under_item(site)
    wait_for_item(site, OWED_SECONDS)


def test_workers_that_lose_their_memory_keep_to_the_pause(
    site: HostedSite,
) -> None:
    """A restart of all workers must not crash all upstreams once more."""
    start(site)
    site.submit_job('j', 1, bodies={0: DEADLY_MARK})
    wait_for(lambda: count_crashes(site) == BURST, 'upstreams have crashed')
    gevent.sleep(0.5)
    for worker in site.workers:
        worker._trials.suspicions.suspects.clear()
        worker._trials.suspicions.parts.__init__()
    # As for each worker that an entry connects to.
    for replica in site.replicas:
        site.entries[0]._publisher.publish_all(replica.address)
    gevent.sleep(3)
    assert count_crashes(site) == BURST
    end_burst(site)
    wait_for_item(site, OWED_SECONDS)


@pytest.mark.parametrize('is_stored', [True, False])
def test_a_refusal_of_an_equal_request_does_not_hold_an_item(
    site: HostedSite, is_stored: bool
) -> None:
    """The refusal is in the store, or comes from a process, of before."""
    fingerprint = digest_request(
        'site.example', 'POST', '/jobs/j/0', DEADLY_MARK, ''
    )
    update = {
        'ends': [
            {
                'fingerprint': fingerprint,
                'upstream': f'gone-{number}',
                'version': 'v1',
                'age': 60.0,
                'was_alone': True,
            }
            for number in range(BURST)
        ]
    }
    if is_stored:
        key = storekeys.name_key(storekeys.REFUSED, fingerprint)
        site.store.put(key, update | {'kept_at': time.time()})
    start(site)
    end_burst(site)
    if not is_stored:
        send_update(site, update | {'condemned': [fingerprint]})
    wait_for(
        lambda: all(
            worker._trials.suspicions.is_refused(fingerprint)
            for worker in site.workers
        ),
        'workers know the refusal',
    )
    site.submit_job('j', 1, bodies={0: DEADLY_MARK})
    wait_for_item(site, OWED_SECONDS)


def send_update(site: HostedSite, update: dict[str, object]) -> None:
    """Send an update on suspected requests to all workers."""
    raw = msgspec.json.encode(update)
    for worker in site.workers:
        worker._trials.suspicions.merge(
            msgspec.json.decode(raw, type=SuspicionUpdate)
        )


def test_items_with_a_crashing_part_complete_once_it_crashes_nothing(
    site: HostedSite,
) -> None:
    """Until then few upstreams crash: the part is tried rarely and alone."""
    start(site)
    for replica in site.replicas:
        replica.faults.deadly_parts = {PART}
    bodies = {number: b'item %d' % number for number in range(PART_ITEMS)}
    headers = {'X-Prompt-Prefix': f'a:10,{PART}:10,own:10'}
    site.submit_job('j', PART_ITEMS, bodies=bodies, item_headers=headers)
    gevent.sleep(8)
    assert count_crashes(site) <= 5
    end_burst(site)
    wait_for_item(site, PART_OWED_SECONDS, PART_ITEMS)
    assert count_crashes(site) <= 5
