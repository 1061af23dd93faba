"""Batch items that are refused by their upstream, mostly as another instance.

The entry of an earlier start may outlive it, by a write that took effect late
or an outage of the store when the entry should have expired.  The worker sent
items to the earlier start, all of which were refused, without a limit and for
as long as that entry existed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from tests.hosted.builders import DATA_CENTRE, wait_for
from wigeonpier.platform.register import name_replica

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite
    from wigeonpier.bench.replica import StandInReplica

ITEMS = 6
MANY_ITEMS = 60
SECONDS = 2.0
# Five rounds of one attempt for each slot.
MAX_REFUSALS = 40


def leave_stale_entry(site: HostedSite, replica: StandInReplica) -> None:
    """Replace the register's entry by that of an earlier start."""
    site.store.remove(name_replica(replica.name))
    replica.name = 'earlier'
    replica.register(DATA_CENTRE)
    wait_for(
        lambda: (
            site.workers[0]._upstream.replica
            and site.workers[0]._upstream.replica.name == 'earlier'
        ),
        'the worker follows the earlier start',
    )


def test_items_run_at_answering_start(site: HostedSite) -> None:
    site.start(replicas=1)
    replica = site.replicas[0]
    leave_stale_entry(site, replica)
    replica.name = 'current'
    replica.register(DATA_CENTRE)
    assert site.submit_job('j', ITEMS).status == 202
    results = site.wait_for_results('j', ITEMS)
    assert {found['state'] for found in results} == {'completed'}


def test_items_move_if_register_lists_no_other_start(
    site: HostedSite,
) -> None:
    """The items of one upstream move to the other."""
    site.start(replicas=2)
    replica = site.replicas[0]
    leave_stale_entry(site, replica)
    # It answers, but the register does not know its id.
    replica.name = 'unlisted'
    assert site.submit_job('j', ITEMS).status == 202
    results = site.wait_for_results('j', ITEMS)
    assert {found['state'] for found in results} == {'completed'}


def test_refused_items_do_not_flood_the_upstream(site: HostedSite) -> None:
    """No other upstream can run them."""
    site.start(replicas=1)
    replica = site.replicas[0]
    replica.faults.turn_away = 1_000_000
    assert site.submit_job('j', MANY_ITEMS).status == 202
    gevent.sleep(SECONDS)
    assert 1_000_000 - replica.faults.turn_away < MAX_REFUSALS
    replica.faults.turn_away = 0
    assert len(site.wait_for_results('j', MANY_ITEMS)) == MANY_ITEMS


def test_items_move_from_upstream_that_refuses_all(
    site: HostedSite,
) -> None:
    """It reports free slots, and answers 503 to all requests."""
    site.start(replicas=2)
    site.replicas[0].faults.turn_away = 1_000_000
    assert site.submit_job('j', MANY_ITEMS).status == 202
    assert len(site.wait_for_results('j', MANY_ITEMS)) == MANY_ITEMS


def test_full_upstream_keeps_its_items(site: HostedSite) -> None:
    """Its report shows that online requests occupy the slots."""
    site.start(replicas=2)
    replica = site.replicas[0]
    replica.faults.turn_away = 1_000_000
    replica._life.running = replica.slots
    assert site.submit_job('j', MANY_ITEMS).status == 202
    gevent.sleep(2 * SECONDS)
    assert len(site.list_members()) == 2
