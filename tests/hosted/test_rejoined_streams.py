"""Streams that callers take up after entries were killed or out of step.

They name no attempt: the same request comes with the last event that they have.
"""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import TYPE_CHECKING

import gevent
import pytest
from result import Err

from tests.hosted.builders import wait_for
from tests.hosted.streams import RefusedError, StreamCaller, find_versions
from wigeonpier.hosted.announcedversions import AnnouncedVersions
from wigeonpier.hosted.originkeepers import COPIES
from wigeonpier.hosted.origintable import OriginTable
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Failure
from wigeonpier.platform.register import name_replica

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

STREAMS = 12
EVENTS = 10
HAD = 3
OLD_REPLICAS = 3


def begin(caller: StreamCaller, entry: int = 0) -> dict[int, list[str]]:
    """Begin streams, each with a request of its own, and leave them."""
    return {
        number: caller.read(f'q{number}', entry, HAD, target=f'/ask/{number}')
        for number in range(STREAMS)
    }


def take_up(
    caller: StreamCaller, begun: dict[int, list[str]], entry: int
) -> list[str]:
    """Take up all streams; none may be joined of two versions.

    :returns: why streams were refused.
    """
    refusals = []
    for number, texts in begun.items():
        try:
            texts += caller.read(
                f'r{number}',
                entry,
                target=f'/ask/{number}',
                Last_Event_Id=str(len(texts)),
            )
        except RefusedError as error:
            refusals.append(error.error['type'])
            continue
        assert len(find_versions(texts)) == 1
        assert len(texts) == EVENTS
    return refusals


def replace_entries(site: HostedSite) -> int:
    """Kill all entries, and start one that knows nothing of before."""
    for app in site.entries:
        app._callers.stop()
    site.add_entry('edge-new')
    wait_for(lambda: site.entries[-1].is_ready, 'the new entry is ready')
    return len(site.entries) - 1


def add_new_version(site: HostedSite) -> None:
    """Start replicas of a second version, and wait until they are known."""
    for number in range(2):
        site.add_replica(f'i-new-{number}', version='v2', event_seconds=0.02)
    wait_for(
        lambda: all(
            len(app._replicas.list_upstreams()) == len(site.replicas)
            for app in site.entries
        ),
        'entries know all replicas',
    )
    wait_for(
        lambda: (
            len(site.store.list_keys(storekeys.VERSIONS)) == len(site.replicas)
        ),
        'all versions are announced',
    )


def remove_old_version(site: HostedSite) -> None:
    """Let the replicas of the first version leave with their machines."""
    for replica in site.replicas[:OLD_REPLICAS]:
        replica.announce(is_leaving=True)
    gevent.sleep(0.5)
    for number in range(OLD_REPLICAS):
        site.workers[number]._server.stop()
        site.workers[number]._origins.table = OriginTable()
        site.replicas[number].stop()
        site.store.remove(name_replica(f'i-{number}'))
    wait_for(
        lambda: all(len(app._replicas.upstreams) == 2 for app in site.entries),
        'entries know that they are gone',
    )


def forget_records(site: HostedSite) -> None:
    """Lose the records of all workers."""
    for worker in site.workers:
        worker._origins.table = OriginTable()


@pytest.mark.parametrize('has_records', [True, False])
def test_streams_of_a_version_that_has_left_are_not_joined(
    site: HostedSite, *, has_records: bool
) -> None:
    """All entries are killed once its replicas have left.

    The new ones knew a single version, and joined its text to that of the old
    one with status 200.
    """
    site.start(replicas=OLD_REPLICAS, event_seconds=0.02)
    caller = StreamCaller(site)
    begun = begin(caller)
    add_new_version(site)
    remove_old_version(site)
    if not has_records:
        forget_records(site)
    entry = replace_entries(site)
    refusals = take_up(caller, begun, entry)
    expected = 'version_gone' if has_records else 'origin_unknown'
    assert refusals == [expected] * STREAMS


def test_streams_go_on_where_both_versions_serve(site: HostedSite) -> None:
    """All entries are killed; the workers know what began each stream."""
    site.start(replicas=OLD_REPLICAS, event_seconds=0.02)
    add_new_version(site)
    caller = StreamCaller(site)
    begun = begin(caller)
    assert len(find_versions(sum(begun.values(), []))) == 2
    entry = replace_entries(site)
    assert not take_up(caller, begun, entry)


@pytest.mark.parametrize('has_records', [True, False])
def test_streams_go_on_where_one_version_serves(
    site: HostedSite, *, has_records: bool
) -> None:
    """What is refused is no more than what cannot be known."""
    site.start(replicas=2, event_seconds=0.02)
    wait_for(
        lambda: len(site.store.list_keys(storekeys.VERSIONS)) == 2,
        'the version is announced',
    )
    caller = StreamCaller(site)
    begun = begin(caller)
    if not has_records:
        forget_records(site)
    entry = replace_entries(site)
    assert not take_up(caller, begun, entry)


def test_an_entry_out_of_step_joins_no_versions(site: HostedSite) -> None:
    """A replica of a new version joined while it was cut off from the others.

    It took up streams that had begun there at the version that it knew.
    """
    site.start(replicas=OLD_REPLICAS, entries=2, event_seconds=0.02)
    add_new_version(site)
    caller = StreamCaller(site)
    begun = begin(caller)
    forget_records(site)
    register = site.entries[1]._replicas
    for name in ('i-new-0', 'i-new-1'):
        register.upstreams.pop(name)
        register.view.entries.pop(name_replica(name))
    register._routed = None
    refusals = take_up(caller, begun, 1)
    assert refusals == ['origin_unknown'] * STREAMS


def test_nothing_is_inferred_without_the_store(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    site.start(replicas=2, entries=2, event_seconds=0.02)
    caller = StreamCaller(site)
    begun = begin(caller)
    forget_records(site)
    announcements = site.entries[1]._origins._announcements
    monkeypatch.setattr(
        announcements._store,
        'list_prefix',
        lambda *_given: Err(Failure.unavailable),
    )
    assert take_up(caller, begun, 1) == ['origin_unknown'] * STREAMS


def test_callers_share_an_attempt_to_read_the_versions() -> None:
    """While the store was away, each of them waited for all before it."""
    calls: list[str] = []

    def list_prefix(prefix: str, timeout: float) -> Err:
        calls.append(prefix)
        gevent.sleep(timeout)
        return Err(Failure.unavailable)

    announcements = AnnouncedVersions(SimpleNamespace(list_prefix=list_prefix))
    now = time.monotonic()
    reads = [
        gevent.spawn(announcements.read, 'assistant', now)
        for _caller in range(STREAMS)
    ]
    gevent.joinall(reads)
    assert len(calls) == 1
    assert [read.value for read in reads] == [None] * STREAMS


def test_records_move_before_their_keepers_leave(site: HostedSite) -> None:
    """Both keepers of a record left with the version that had begun it."""
    site.start(replicas=OLD_REPLICAS, event_seconds=0.02)
    caller = StreamCaller(site)
    begin(caller)
    add_new_version(site)
    remove_old_version(site)
    tables = [worker._origins.table for worker in site.workers[OLD_REPLICAS:]]
    # Each stream has a record for its content and one for its attempt.
    wait_for(
        lambda: sum(map(len, tables)) == COPIES * 2 * STREAMS,
        'the new keepers have all records',
    )


def test_a_version_stays_announced_after_its_worker(site: HostedSite) -> None:
    site.start(replicas=1)
    wait_for(
        lambda: site.store.list_keys(storekeys.VERSIONS), 'it is announced'
    )
    site.replicas[0].stop()
    site.store.remove(name_replica('i-0'))
    wait_for(
        lambda: site.workers[0]._upstream.replica is None, 'its replica is gone'
    )
    gevent.sleep(0.5)
    assert site.store.list_keys(storekeys.VERSIONS)
    read = site.entries[0]._origins._announcements.read('assistant', 0)
    assert read == frozenset(('v1',))
