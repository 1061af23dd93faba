"""Jobs that are refused although a write of them may still take effect."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import gevent
import msgspec
import pytest

from tests.hosted.builders import (
    make_open_job,
    make_route_entry,
    wait_for,
)
from wigeonpier.hosted.intake import INTAKE_PATH
from wigeonpier.models import DiskJob, JobItem
from wigeonpier.platform import storekeys
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.hosted.builders import HostedSite

MOST_TOKENS = 100
# More than half of the limit, so that the disks accept no job unchecked.
FIRST_TOKENS = 60
OTHER_TOKENS = 30
LATE_SECONDS = 1.0
# Until the items of a job on the board have begun to run.
RUN_SECONDS = 1.0
REFUSED = 429


def start(site: HostedSite, tokens: int = FIRST_TOKENS) -> None:
    """Start a site with a token limit, most of which is used."""
    site.configuration['routes'][-1] = make_route_entry(
        'batch_run', '/jobs/', maxAttempts=3, maxCount=MOST_TOKENS
    )
    site.start(replicas=1, entries=2, event_seconds=0.3)
    assert submit(site, 'first', tokens) == 202


def submit(
    site: HostedSite, job: str, tokens: int = OTHER_TOKENS, entry: int = 0
) -> int:
    """Submit a job of one item with this number of tokens."""
    body = make_body(job, tokens)
    return site.call('POST', '/jobs/x', job, body, entry=entry).status


def make_body(job: str, tokens: int = OTHER_TOKENS) -> bytes:
    """Make the body of a job of one item with this number of tokens."""
    item = {
        'id': f'{job}0',
        'path': f'/jobs/{job}',
        'headers': {},
        'body': base64.b64encode(b'{}').decode(),
        'tokens': tokens,
    }
    return msgspec.json.encode({'items': [item]})


def delay_write(site: HostedSite, prefix: str, count: int = 1) -> None:
    """Execute the next writes of these keys late, without an answer."""
    faults = site.store.faults
    faults.late_seconds = LATE_SECONDS
    faults.late_prefix = prefix
    faults.late_writes = count


def submit_late(
    site: HostedSite, after_write: Callable[[], object] = lambda: None
) -> int:
    """Submit a job whose write is late while another one takes the room.

    :param after_write: called once the write was sent.
    :returns: the answer.
    """
    delay_write(site, f'{storekeys.OPEN_JOBS}late')
    late = gevent.spawn(submit, site, 'late')
    wait_for(lambda: not site.store.faults.late_writes, 'the write was sent')
    after_write()
    assert submit(site, 'other', entry=1) == 202
    return late.get()


def count_runs(site: HostedSite, job: str) -> int:
    """Count the runs of a job's item."""
    return sum(replica.runs[f'{job}0'] for replica in site.replicas)


def count_late_runs(site: HostedSite) -> int:
    """Count the runs of the late job once its write has taken effect."""
    gevent.sleep(LATE_SECONDS + RUN_SECONDS)
    return count_runs(site, 'late')


def test_a_refused_job_does_not_run_after_a_late_write(
    site: HostedSite,
) -> None:
    """It was answered 429 and ran once the first write took effect."""
    start(site)
    assert submit_late(site) == REFUSED
    assert submit(site, 'late', entry=1) == REFUSED
    assert not count_late_runs(site)
    assert site.call('GET', '/-/lots/late?after=0').status == 404


def test_a_job_that_was_refused_is_accepted_once_there_is_room(
    site: HostedSite,
) -> None:
    start(site)
    assert submit_late(site) == REFUSED
    site.call('DELETE', '/-/lots/first')
    assert submit(site, 'late', entry=1) == 202
    site.wait_for_results('late', 1)
    gevent.sleep(LATE_SECONDS)
    assert count_runs(site, 'late') == 1


def test_a_refusal_is_true_although_its_record_is_late(
    site: HostedSite,
) -> None:
    """The record that makes it true may take effect without an answer too."""
    start(site)
    delay_write(site, storekeys.BOARD, count=2)
    late = gevent.spawn(submit, site, 'late')
    wait_for(lambda: site.store.faults.late_writes < 2, 'the write was sent')
    site.store.faults.late_prefix = storekeys.FENCES
    assert submit(site, 'other', entry=1) == 202
    assert late.get() == REFUSED
    assert not site.store.faults.late_writes
    assert not count_late_runs(site)


def test_a_job_whose_late_write_took_effect_is_not_refused(
    site: HostedSite,
) -> None:
    """The limit is full with the job itself."""
    start(site)
    faults = site.store.faults
    delay_write(site, f'{storekeys.OPEN_JOBS}late')
    faults.late_seconds = 0.1
    assert submit(site, 'late') == 202
    site.wait_for_results('late', 1)
    assert count_runs(site, 'late') == 1


@pytest.mark.parametrize(
    ('copies', 'runs'),
    [
        ([('refused',)], 0),
        # Another attempt has stored it too, and may have been accepted.
        ([('refused',), ('other',)], 1),
        ([('other',), ('refused',)], 1),
        # An earlier build names no attempt.
        ([()], 1),
    ],
)
def test_a_copy_on_a_disk_is_dropped_if_its_job_was_refused(
    site: HostedSite, copies: list[tuple[str, ...]], runs: int
) -> None:
    """It was put on the board after the caller had been answered 429."""
    site.start(replicas=1)
    fence = storekeys.name_key(storekeys.FENCES, 'kept')
    site.store.put(fence, ['refused'])
    site.store.faults.is_down = True
    for attempts in copies:
        store_copy(site, attempts)
    site.store.faults.is_down = False
    wait_for(lambda: site.disks[0]._intake.is_empty, 'the copy is gone')
    gevent.sleep(RUN_SECONDS)
    assert count_runs(site, 'kept') == runs


def store_copy(site: HostedSite, attempts: tuple[str, ...]) -> None:
    """Store a job on a disk as an entry does."""
    item = JobItem('kept0', '/jobs/kept', {}, b'{}', 1)
    job = make_open_job('kept', owners=('',))
    body = msgspec.json.encode(DiskJob(job, (item,), attempts))
    address = site.disks[0]._server.address
    raw = make_request('PUT', f'{INTAKE_PATH}kept', [('Host', 'd')], body)
    assert site.pool.call(address, raw, 1).unwrap().is_good
