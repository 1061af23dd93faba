"""Processes that lose the store, and their state after its return."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err

from tests.hosted.builders import (
    HostedSite,
    make_configuration,
    wait_for,
)
from wigeonpier.bench.processes import take_port
from wigeonpier.hosted.contact import SPREAD
from wigeonpier.platform import wire
from wigeonpier.platform.register import name_replica

if TYPE_CHECKING:
    from wigeonpier.hosted.contact import StoreHealth


def _lose_store(site: HostedSite) -> None:
    """Stop the store, and wait until the entry has detected it."""
    site.store.faults.is_down = True
    store_health = site.entries[0]._context.store_health
    store_health.probe()
    wait_for(lambda: store_health.is_unreachable, 'the loss is known')


def test_first_answer_wakes_all_views(site: HostedSite) -> None:
    """Changes during the outage are known within ``max_blind_seconds``.

    When each view paused by itself, it was outdated for up to 0.9 s, and for
    7.5 s after its pause had doubled to 5 s.
    """
    site.start(replicas=1)
    entry = site.entries[0]
    site.store.compact()
    _lose_store(site)
    gevent.sleep(2)
    site.store.remove(name_replica('i-0'))
    site.store.faults.is_down = False
    returned_at = time.monotonic()
    wait_for(
        lambda: not entry._replicas.view.entries,
        'the register is read again',
    )
    plan = entry._context.store_health.plan
    assert time.monotonic() - returned_at < plan.max_blind_seconds + 0.2


def test_replica_removed_during_outage_is_dropped_in_time(
    site: HostedSite,
) -> None:
    """The replica was removed from the register; its lease did not expire.

    When it was kept for 2.4 s after the register had been read again, it
    received requests 3.2 s after the store was back for the entry.
    """
    site.start(replicas=2)
    entry = site.entries[0]
    site.store.compact()
    _lose_store(site)
    gevent.sleep(1)
    site.store.remove(name_replica('i-0'))
    site.store.faults.is_down = False
    returned_at = time.monotonic()
    assert 'i-0' in entry._replicas.upstreams
    wait_for(
        lambda: 'i-0' not in entry._replicas.upstreams,
        'it is routed to no more',
    )
    kept_seconds = time.monotonic() - returned_at
    assert 2.0 < kept_seconds < entry._context.settings.bounds.contact


def _count_calls(site: HostedSite, path: str) -> float:
    """Count the calls to the store that the entry made on a path."""
    lines = site.entries[0]._context.metrics.render().splitlines()
    return sum(
        float(line.rpartition(' ')[2])
        for line in lines
        if 'store_calls_total{' in line and f'"{path}"' in line
    )


def test_outage_costs_one_probe_at_a_time(site: HostedSite) -> None:
    """All views wait for the same answer, and none makes calls itself."""
    site.start(replicas=1)
    site.store.compact()
    _lose_store(site)
    gevent.sleep(1)
    watched = (wire.RANGE_PATH, wire.WATCH_PATH)
    views = [_count_calls(site, path) for path in watched]
    calls_before = _count_calls(site, wire.KEY_PATH)
    gevent.sleep(1)
    assert [_count_calls(site, path) for path in watched] == views
    plan = site.entries[0]._context.store_health.plan
    most = 1 / (plan.pause * SPREAD[0]) + 1
    assert 1 <= _count_calls(site, wire.KEY_PATH) - calls_before <= most


def _close_worker_feeds(site: HostedSite) -> None:
    for worker in site.workers:
        worker._feed.is_closed = True


def _isolate_entry(site: HostedSite) -> None:
    """Isolate the entry from store and workers, and wait until it knows."""
    site.store.faults.is_down = True
    _close_worker_feeds(site)
    wait_for(
        lambda: not site.entries[0].is_ready, 'the entry leaves the rotation'
    )


def test_isolated_entry_refuses_at_once(site: HostedSite) -> None:
    """It tried four upstreams for 1.6 s, and to store jobs for 2 s.

    A caller that is refused at once has time to retry at another entry.
    """
    site.start()
    site.call('POST', '/once/1', 'q1')
    _isolate_entry(site)
    started_at = time.monotonic()
    answer = site.call('POST', '/once/2', 'q2')
    submitted = site.submit_job('j')
    assert (answer.status, submitted.status) == (503, 503)
    assert time.monotonic() - started_at < 0.3
    assert not any(replica.runs['q2'] for replica in site.replicas)
    for worker in site.workers:
        worker._feed.is_closed = False
    wait_for(lambda: site.entries[0].is_ready, 'the entry is back in rotation')
    assert site.call('POST', '/once/3', 'q3').status == 200


def test_store_outage_keeps_entries_in_rotation(
    site: HostedSite,
) -> None:
    """Otherwise all of them would leave at once."""
    site.start()
    site.store.faults.is_down = True
    gevent.sleep(2)
    assert site.entries[0].is_ready
    assert site.call('POST', '/once/1', 'q1').status == 200


def test_loss_of_workers_keeps_entries_in_rotation(
    site: HostedSite,
) -> None:
    """Their upstreams may be available, and the store answers."""
    site.start()
    _close_worker_feeds(site)
    gevent.sleep(2)
    assert site.entries[0].is_ready
    assert site.call('POST', '/once/1', 'q1').status == 200


def _cut_store_from_entry(site: HostedSite) -> StoreHealth:
    """Have only the entry lose the store, as a partition of its VM does."""
    context = site.entries[0]._context
    context.store.calls.address = f'127.0.0.1:{take_port()}'
    context.pool.forget(site.store_address)
    context.store_health.probe()
    wait_for(lambda: context.store_health.is_unreachable, 'the loss is known')
    wait_for(context.store_health.find_relay_path, 'a worker relays its calls')
    return context.store_health


def test_entry_that_alone_lost_store_accepts_job(
    site: HostedSite,
) -> None:
    """The job was refused for as long as the caller retried."""
    site.start()
    _cut_store_from_entry(site)
    started_at = time.monotonic()
    assert site.submit_job('j').status == 202
    assert time.monotonic() - started_at < 0.4
    assert len(site.wait_for_results('j', 4)) == 4


def test_configuration_reaches_entry_that_lost_store(
    site: HostedSite,
) -> None:
    site.start()
    store_health = _cut_store_from_entry(site)
    site.store.put('op/config', make_configuration(7))
    site.store.compact()
    entry = site.entries[0]
    wait_for(
        lambda: entry._configuration.get_version() == 7,
        'the configuration is in force',
    )
    assert store_health.is_unreachable


def test_no_worker_relays_calls_to_lost_store(
    site: HostedSite,
) -> None:
    site.start()
    site.store.faults.is_down = True
    store_health = site.entries[0]._context.store_health
    for context in [
        store_health,
        *(w._context.store_health for w in site.workers),
    ]:
        context.probe()
    wait_for(lambda: store_health.is_unreachable, 'the loss is known')
    wait_for(
        lambda: not store_health.find_relay_path(), 'no worker offers to relay'
    )


def test_aborted_watch_restarts_with_read(
    site: HostedSite,
) -> None:
    """Resumed at its revision, it waited for changes that were dropped."""
    site.start()
    context = site.entries[0]._context
    _cut_store_from_entry(site)
    context.store_health.record_call(time.monotonic(), is_answered=True)
    calls = site.store.calls.copy()
    result = context.store.await_changes('op/', 1, 0.1)
    assert isinstance(result, Err)
    assert context.store_health.find_relay_path()
    assert site.store.calls[wire.WATCH_PATH] == calls[wire.WATCH_PATH]


def test_watch_lost_in_outage_is_not_awaited(
    site: HostedSite,
) -> None:
    """A call that is never answered waits for 17 s, long after the return.

    A worker received the cancellation of a job 4.8 s late, and ran its items
    until then.
    """
    site.start(replicas=1)
    entry = site.entries[0]
    gevent.sleep(0.5)
    # The register's watch is requested again within 0.2 s of a change.
    site.store.put(name_replica('i-0'), b'not an entry')
    wait_for(
        lambda: not entry._replicas.upstreams,
        'the change is applied',
    )
    site.store.faults.is_deaf = True
    gevent.sleep(0.5)
    store_health = entry._context.store_health
    store_health.probe()
    wait_for(lambda: store_health.is_unreachable, 'the loss is known')
    gevent.sleep(0.5)
    site.store.faults.is_deaf = False
    returned_at = time.monotonic()
    wait_for(lambda: not store_health.is_unreachable, 'the return is known')
    site.replicas[0].register('suva-a')
    wait_for(lambda: entry._replicas.upstreams, 'the next change is applied')
    assert (
        time.monotonic() - returned_at
        < store_health.plan.max_blind_seconds + 0.5
    )
