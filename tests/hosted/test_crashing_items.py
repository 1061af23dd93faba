"""Batch items that crash the upstream.

A run lost in an upstream crash counts neither as failed nor as impossible, so
an item that caused the crash was restarted endlessly: within some 5 s, seven
starts of three replicas crashed, each with the online requests there.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

import gevent
import msgspec

from tests.hosted.builders import wait_for
from wigeonpier.bench.replica import DEADLY_MARK
from wigeonpier.hosted.suspicionhandler import NEWS_PATH
from wigeonpier.membership.updates import (
    CrashReport,
    CulpritReport,
    PartUpdate,
    SuspicionUpdate,
)
from wigeonpier.policy.trial import IsolationLevel
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

MAX_CRASHES = 3
# The rules allow five until a part of a prompt must be known.
MAX_PART_CRASHES = 5
ITEMS = 6
CRASHING_ITEM = 2
PARTS = ('assistant/a', 'assistant/bad')
STORED_PREFIX = 'wigeonpier/hosted/board/refused/'


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


def test_a_culprit_that_an_entry_confirms_is_stored(site: HostedSite) -> None:
    """The next worker found nothing in the store, and tried an item alone."""
    site.start(replicas=1)
    trials = site.workers[0]._trials
    elsewhere = CrashReport('9' * 32, 'i-9', 'v1', 0, was_alone=False)
    trials.suspicions.merge(SuspicionUpdate(ends=(elsewhere,)))
    for number in range(MAX_CRASHES):
        is_last = number == MAX_CRASHES - 1
        work = SimpleNamespace(
            fingerprint=f'{number}' * 32,
            part_keys=PARTS,
            isolation=IsolationLevel.exclusive.value if is_last else '',
            has_new_events=False,
        )
        trials._record_crash(work, f'i-0.{number}', 'v1')
    # It knows of a crash that nothing explains.
    assert not trials.suspicions.parts.culprits.by_name
    culprit = CulpritReport('c' * 32, PARTS, ('v1',))
    update = SuspicionUpdate(parts=PartUpdate(culprits=(culprit,)))
    address = f'127.0.0.2:{site.peer_port}'
    raw = make_request(
        'POST', NEWS_PATH, [('Host', address)], msgspec.json.encode(update)
    )
    assert site.pool.call(address, raw, 1).unwrap().status == 200
    wait_for(lambda: site.store.list_keys(STORED_PREFIX), 'the store has it')
