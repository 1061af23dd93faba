"""Requests and jobs through the real daemons, over loopback."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from tests.hosted.builders import (
    DATA_CENTRE,
    HOST,
    make_configuration,
    make_route_entry,
    wait_for,
)
from wigeonpier.hosted import dealer
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    import pytest

    from tests.hosted.builders import HostedSite


def test_answer_is_streamed_completely(site: HostedSite) -> None:
    site.start()
    reply = site.call('POST', '/ask/1', 'q1', b'{}')
    assert reply.status == 200
    assert reply.body.count(b'data: q1-') == 10


def test_unknown_route_is_404_and_no_configuration_503(
    site: HostedSite,
) -> None:
    site.start()
    assert site.call('POST', '/nowhere/1', 'q1').status == 404
    site.entries[0]._configuration.current = None
    assert site.call('POST', '/nowhere/1', 'q2').status == 503


def test_resumable_stream_resumes_at_other_upstream(site: HostedSite) -> None:
    site.start()
    for replica in site.replicas:
        replica.faults.break_after = 1
    site.replicas[1].faults.break_after = 0
    site.replicas[1].faults.turn_away = 0
    for number in range(4):
        reply = site.call('POST', '/ask/1', f'q{number}', b'{}')
        texts = [line for line in reply.body.splitlines() if b'data' in line]
        assert texts == [
            f'data: q{number}-{event}@v1'.encode() for event in range(1, 11)
        ]


def test_unrepeatable_request_never_runs_twice(site: HostedSite) -> None:
    site.start()
    for replica in site.replicas:
        replica.faults.fail = 1
    reply = site.call('POST', '/once/1', 'q1', b'{}')
    assert reply.status == 500
    assert sum(replica.runs['q1'] for replica in site.replicas) == 1


def test_refused_request_runs_at_other_upstream(site: HostedSite) -> None:
    site.start()
    site.replicas[0].faults.turn_away = 1
    site.replicas[1].faults.turn_away = 0
    for number in range(3):
        assert site.call('POST', '/once/1', f'q{number}').status == 200


def test_request_refused_by_all_is_not_run(site: HostedSite) -> None:
    site.start()
    for replica in site.replicas:
        replica.faults.turn_away = 9
    assert site.call('POST', '/once/1', 'q1', b'{}').status == 503
    assert not any(replica.runs['q1'] for replica in site.replicas)


def test_plain_answer_is_forwarded_unchanged(site: HostedSite) -> None:
    """Not every answer of an upstream is an event stream."""
    site.start()
    site.replicas[0].faults.impossible.add('q1')
    site.replicas[1].faults.impossible.add('q1')
    reply = site.call('POST', '/once/1', 'q1', b'{}')
    assert (reply.status, reply.body) == (422, b'{}')


def test_leaving_upstream_gets_no_new_requests(site: HostedSite) -> None:
    site.start()
    site.replicas[0].is_leaving = True
    site.replicas[0].register('suva-a')
    gevent.sleep(0.1)
    for number in range(6):
        assert site.call('POST', '/ask/1', f'q{number}').status == 200
    assert not site.replicas[0].runs


def test_older_configuration_is_not_applied(site: HostedSite) -> None:
    site.start()
    newer = make_configuration(
        3, routes=[make_route_entry('streaming', '/new/')]
    )
    site.store.put('op/config', newer)
    wait_for(
        lambda: site.call('POST', '/new/1', 'q1').status == 200,
        'the new route is in force',
    )
    site.store.put('op/config', make_configuration(2))
    gevent.sleep(0.2)
    assert site.call('POST', '/new/1', 'q2').status == 200


def test_job_runs_each_item_and_keeps_positions(site: HostedSite) -> None:
    site.start(entries=2)
    assert site.submit_job('j', 7).status == 202
    results = site.wait_for_results('j', 7)
    assert {found['id'] for found in results} == {f'j{n}' for n in range(7)}
    for found in results:
        assert found['state'] == 'completed'
        expected = site.replicas[0].make_output(found['id'])
        assert found['output'] == expected
    assert site.read_results('j', entry=1)['results'] == results


def test_resent_job_is_accepted_once(site: HostedSite) -> None:
    site.start(entries=2)
    assert site.submit_job('j').status == 202
    assert site.submit_job('j', entry=1).status == 202
    site.wait_for_results('j', 4)
    runs = sum(
        count for replica in site.replicas for count in replica.runs.values()
    )
    assert runs == 4


def test_job_is_accepted_once_despite_lost_store_answer(
    site: HostedSite,
) -> None:
    site.start()
    site.store.faults.lost_writes = 1
    assert site.submit_job('j').status == 202
    assert len(site.wait_for_results('j', 4)) == 4


def test_job_is_accepted_while_store_is_down(site: HostedSite) -> None:
    site.start(entries=2)
    site.store.faults.is_down = True
    assert site.submit_job('j').status == 202
    assert site.submit_job('j', entry=1).status == 202
    assert site.call('GET', '/-/lots/j?after=0').status == 503
    site.store.faults.is_down = False
    wait_for(
        lambda: site.call('GET', '/-/lots/j?after=0').status == 200,
        'the job is in the store',
    )
    assert len(site.wait_for_results('j', 4)) == 4
    runs = sum(
        count for replica in site.replicas for count in replica.runs.values()
    )
    assert runs == 4


def test_job_is_refused_and_not_stored_on_too_few_disks(
    site: HostedSite,
) -> None:
    site.start()
    site.entries[0]._disk_job_writer.board.disks.clear()
    site.store.faults.is_down = True
    assert site.submit_job('j').status == 503
    site.store.faults.is_down = False
    assert site.call('GET', '/-/lots/j?after=0').status == 404


def test_single_copy_is_answered_as_unknown_outcome(
    site: HostedSite,
) -> None:
    site.start()
    for disk in site.disks[1:]:
        disk._intake.is_closed = True
    site.store.faults.is_down = True
    assert site.submit_job('j').status == 502


def test_disk_is_emptied_before_it_is_retired(site: HostedSite) -> None:
    site.start()
    site.store.faults.is_down = True
    assert site.submit_job('j').status == 202
    assert not site.disks[0]._intake.is_empty
    site.store.faults.is_down = False
    site.store.put('op/retire/storage-0', {'durationS': 9})
    wait_for(
        lambda: site.store.list_keys('status/retire/storage-0'),
        'the disk is retired',
    )
    assert site.disks[0]._intake.is_empty
    assert len(site.wait_for_results('j', 4)) == 4


def test_body_is_returned_and_unknown_job_is_404(site: HostedSite) -> None:
    site.start()
    site.submit_job('j')
    assert site.call('GET', '/-/items/j?id=j1').body == b'{}'
    assert site.call('GET', '/-/items/j?id=none').status == 404
    assert site.call('GET', '/-/lots/none?after=0').status == 404


def test_cancelled_job_stops(site: HostedSite) -> None:
    site.start(event_seconds=0.3)
    site.submit_job('j', 4)
    wait_for(
        lambda: any(replica.running for replica in site.replicas),
        'items run',
    )
    assert site.call('DELETE', '/-/lots/j').status == 200
    assert site.call('DELETE', '/-/lots/j').status == 200
    wait_for(
        lambda: not any(replica.running for replica in site.replicas),
        'items have stopped',
    )
    assert not site.store.list_keys('wigeonpier/hosted/work/')


def test_impossible_item_is_abandoned(site: HostedSite) -> None:
    site.start()
    for replica in site.replicas:
        replica.faults.impossible.add('j0')
    site.submit_job('j', 2)
    results = site.wait_for_results('j', 2)
    states = {found['id']: found['state'] for found in results}
    assert states == {'j0': 'abandoned', 'j1': 'completed'}
    assert sum(replica.runs['j0'] for replica in site.replicas) == 1


def test_failing_item_is_abandoned_after_its_attempts(
    site: HostedSite,
) -> None:
    site.start(replicas=1)
    site.replicas[0].faults.fail = 9
    site.submit_job('j', 1)
    results = site.wait_for_results('j', 1)
    assert results[0]['state'] == 'abandoned'
    assert site.replicas[0].runs['j0'] == 3


def test_items_of_lost_worker_run_at_other_upstream(site: HostedSite) -> None:
    site.start(event_seconds=0.2)
    site.submit_job('j', 6)
    wait_for(
        lambda: all(replica.running for replica in site.replicas),
        'items run at both',
    )
    site.replicas[0].stop()
    site.store.remove('servers/i-0')
    results = site.wait_for_results('j', 6)
    assert {found['state'] for found in results} == {'completed'}


def test_quota_refuses_excess_items(site: HostedSite) -> None:
    site.start(event_seconds=0.2)
    routes = [make_route_entry('batch_run', '/jobs/', maxCount=200)]
    site.store.put('op/config', make_configuration(2, routes=routes))
    gevent.sleep(0.1)
    assert site.submit_job('j', 4).status == 202
    assert site.submit_job('k', 4).status == 429
    assert site.submit_job('j', 4).status == 202
    site.wait_for_results('j', 4)
    assert site.submit_job('k', 4).status == 202


def test_compacted_history_loses_no_results(site: HostedSite) -> None:
    site.start()
    site.submit_job('j', 4)
    site.store.compact()
    site.wait_for_results('j', 4)
    site.submit_job('k', 4)
    site.wait_for_results('k', 4)


def test_leaving_entry_refuses_requests_it_cannot_finish(
    site: HostedSite,
) -> None:
    """Keep-alive connections send requests after the listener is closed."""
    site.start(event_seconds=0.3)
    pool = site.pool
    assert site.call('POST', '/ask/0', 'q0').status == 200
    leaving = gevent.spawn(site.entries[0].leave, 8)
    gevent.sleep(2.2)
    in_hand = gevent.spawn(site.call, 'POST', '/ask/1', 'q1')
    opened = pool.begin(site.addresses[0], 1).unwrap()
    gevent.sleep(0.8)
    request = make_request(
        'POST', '/ask/2', [('Host', HOST), ('X-Attempt-Id', 'q2')]
    )
    opened.send(request, 5)
    assert opened.status == 503
    assert opened.get_header('Connection') == 'close'
    assert in_hand.get().body.count(b'data') == 10
    assert leaving.get() == 0
    assert not any(replica.runs['q2'] for replica in site.replicas)


def test_address_of_another_instance_is_not_retried(
    site: HostedSite,
) -> None:
    """Replicas restart faster than the register shows."""
    site.start(replicas=1)
    site.replicas[0].name = 'i-9'
    assert site.call('POST', '/once/1', 'q1').status == 503
    upstream = site.entries[0]._replicas.upstreams['i-0']
    assert upstream.is_leaving
    site.replicas[0].register('suva-a')
    wait_for(
        lambda: list(site.entries[0]._replicas.upstreams) == ['i-9'],
        'the older one is gone',
    )
    assert site.call('POST', '/once/1', 'q2').status == 200


def test_only_old_jobs_are_removed(site: HostedSite) -> None:
    site.start()
    site.submit_job('old', 4)
    site.wait_for_results('old', 4)
    janitor = site.disks[0]._janitor
    # A VM whose wall clock was ahead removed each job that it read.
    ahead = 2 * time.time()
    janitor.scan(ahead)
    janitor.scan(ahead + 60)
    assert site.call('GET', '/-/lots/old?after=0').status == 200
    janitor.scan(ahead + 3600)
    assert not [
        key
        for key in site.store.list_keys('wigeonpier/hosted/')
        if 'old' in key
    ]


def test_body_missing_in_stale_read_is_found(
    site: HostedSite,
) -> None:
    """Items never change, so that a stale read that has them is enough."""
    site.start()
    site.store.keep_old()
    assert site.submit_job('j').status == 202
    assert site.call('GET', '/-/items/j?id=j1').body == b'{}'
    site.wait_for_results('j', 4)


def test_member_missing_in_stale_read_keeps_its_items(
    site: HostedSite,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The members are read again before items move."""
    monkeypatch.setattr(dealer, 'SCAN_INTERVAL_SECONDS', 0.01)
    monkeypatch.setattr(dealer, 'REJOIN_SECONDS', 0)
    site.start(replicas=1)
    site.store.keep_old()
    site.add_replica('i-1', event_seconds=0.3)
    wait_for(lambda: len(site.list_members()) == 2, 'it is a member')
    site.replicas[0].is_leaving = True
    site.replicas[0].register(DATA_CENTRE)
    wait_for(lambda: len(site.list_members()) == 1, 'the first one left')
    assert site.submit_job('j').status == 202
    site.store.keep_old(without='wigeonpier/hosted/board/members/')
    gevent.sleep(0.5)
    board = site.disks[0]._reassigner._ledger.read_board().unwrap()
    assert set(board.jobs['j'].owners) == {'side-i-1'}
    site.wait_for_results('j', 4)
