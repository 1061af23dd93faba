"""Watches whose answers are lost while all other calls are answered."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from tests.hosted.builders import (
    DATA_CENTRE,
    HostedSite,
    make_configuration,
    make_route_entry,
    wait_for,
)
from wigeonpier.platform import storekeys

if TYPE_CHECKING:
    from collections.abc import Callable

# Time that an answer and the following read of the store take at most.
SLACK_SECONDS = 0.2


def _measure(condition: Callable[[], object], what: str) -> float:
    """Wait for a condition, and return the seconds that it took."""
    started_at = time.monotonic()
    wait_for(condition, what)
    return time.monotonic() - started_at


def _get_contact(site: HostedSite) -> float:
    return site.contexts[0].settings.bounds.contact + SLACK_SECONDS


def test_configuration_applies_in_time_after_a_lost_watch(
    site: HostedSite,
) -> None:
    """An entry must not route by an outdated configuration.

    Nothing else of the entry fails: it makes no other call to the store.
    """
    site.start(replicas=1)
    gevent.sleep(0.5)
    site.store.faults.lose_watches()
    site.store.put(
        'op/config',
        make_configuration(
            2, routes=[make_route_entry('streaming', '/added/')]
        ),
    )
    seconds = _measure(
        lambda: site.entries[0]._configuration.get_version() == 2,
        'the new version is in force',
    )
    assert seconds < _get_contact(site)


def test_a_leaving_replica_is_left_in_time_after_a_lost_watch(
    site: HostedSite,
) -> None:
    """An entry must not send to a replica that has reported that it leaves."""
    site.start(replicas=2)
    gevent.sleep(0.5)
    site.store.faults.lose_watches()
    site.replicas[0].is_leaving = True
    site.replicas[0].register(DATA_CENTRE)
    known = site.entries[0]._replicas.upstreams
    seconds = _measure(
        lambda: known['i-0'].is_leaving, 'the entry knows that it leaves'
    )
    assert seconds < _get_contact(site)


def test_items_of_an_ended_job_stop_in_time_after_a_lost_watch(
    site: HostedSite,
) -> None:
    """A worker started items of an ended job until its watch timed out."""
    site.start(replicas=1, event_seconds=0.3)
    assert site.submit_job('j', 30).status == 202
    wait_for(lambda: site.replicas[0].running, 'items run')
    gevent.sleep(0.5)
    site.store.faults.lose_watches()
    assert site.call('DELETE', '/-/lots/j').status == 200
    seconds = _measure(
        lambda: not site.workers[0]._runner.work,
        'the worker has dropped the job',
    )
    assert seconds < _get_contact(site)


def test_results_are_read_in_time_after_a_lost_watch(site: HostedSite) -> None:
    """A result that one entry has returned was missing at another one."""
    site.start(replicas=1, event_seconds=0.3)
    assert site.submit_job('j', 2).status == 202
    wait_for(lambda: site.replicas[0].running, 'items run')
    # The process that follows the job waits for its results.
    for _read in range(3):
        assert not site.read_results('j')['results']
        gevent.sleep(0.2)
    site.store.faults.lose_watches()
    wait_for(
        lambda: len(_list_result_keys(site)) == 2, 'both results are written'
    )
    seconds = _measure(
        lambda: len(site.read_results('j')['results']) == 2,
        'both results are read',
    )
    assert seconds < _get_contact(site)


def _list_result_keys(site: HostedSite) -> list[str]:
    prefix = storekeys.name_prefix(storekeys.RESULTS, 'j')
    return [
        key
        for key in site.store.list_keys(prefix)
        if not storekeys.is_head(key)
    ]
