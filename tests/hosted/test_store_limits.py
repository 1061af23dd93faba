"""Jobs and results beyond the limits that the store sets to one write."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from tests.hosted.builders import HostedSite, make_open_job, wait_for
from wigeonpier.hosted.intake import FOLDER_NAME, Intake
from wigeonpier.hosted.jobparts import (
    MAX_PARTS,
    PartsIncompleteError,
    join_items,
    split_items,
)
from wigeonpier.hosted.ledger import JobLedger
from wigeonpier.hosted.results import ResultWriter
from wigeonpier.models import (
    DiskJob,
    ItemProgress,
    ItemResult,
    ItemState,
    JobItem,
)
from wigeonpier.platform.port import Commit, Failure

if TYPE_CHECKING:
    from pathlib import Path

    from wigeonpier.platform.store import KeyValueStore

LARGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576
LONG_TEXT = 'ä]"\n' * 600_000


def make_item(name: str, body: bytes = b'{}') -> JobItem:
    """Make an item."""
    return JobItem(name, f'/jobs/{name}', {}, body, 30)


def get_store(site: HostedSite) -> KeyValueStore:
    """Get the client of one process."""
    return site.contexts[0].store


@given(
    sizes=st.lists(st.integers(0, 90), max_size=12),
    limit=st.integers(64, 400),
)
def test_items_are_joined_as_they_were_split(
    sizes: list[int], limit: int
) -> None:
    items = [
        make_item(f'i{number}"]', b']' * size)
        for number, size in enumerate(sizes)
    ]
    parts = split_items(items, limit)
    assert join_items(parts) == items
    assert all(len(part) <= limit for part in parts)
    if len(parts) > 1:
        with pytest.raises(PartsIncompleteError):
            join_items(parts[:-1])


def test_a_job_with_an_item_beyond_a_value_is_kept(site: HostedSite) -> None:
    """It was answered 202 and could never be read."""
    site.start(entries=2)
    large = bytes(range(256)) * (LARGE_BYTES // 256)
    assert site.submit_job('j', 3, bodies={1: large}).status == 202
    assert site.call('GET', '/-/items/j?id=j1', entry=1).body == large
    results = site.wait_for_results('j', 3)
    assert {found['state'] for found in results} == {'completed'}


def test_an_incomplete_stale_read_is_read_again(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its pages may be of different states."""
    site.start()
    large = b'x' * 2 * LARGE_BYTES
    assert site.submit_job('j', 2, bodies={0: large}).status == 202
    store = site.entries[0]._context.store
    list_prefix = store.list_prefix

    def list_first(prefix: str, *given, **named) -> object:
        listed = list_prefix(prefix, *given, **named)
        return listed.map(
            lambda found: replace(found, entries=found.entries[:1])
        )

    monkeypatch.setattr(store, 'list_prefix', list_first)
    ledger = site.entries[0]._jobs._ledger
    assert ledger.list_items('j') == Ok([])
    monkeypatch.undo()
    assert site.call('GET', '/-/items/j?id=j0').body == large


def test_a_large_job_of_an_outage_does_not_block_others(
    site: HostedSite,
) -> None:
    """Jobs that sorted behind it stayed on the disks for good."""
    site.start()
    site.store.faults.is_down = True
    large = b'x' * LARGE_BYTES
    assert site.submit_job('a', 1, bodies={0: large}).status == 202
    assert site.submit_job('b').status == 202
    site.store.faults.is_down = False
    for job, count in (('b', 4), ('a', 1)):
        wait_for(
            lambda job=job: (
                site.call('GET', f'/-/lots/{job}?after=0').status == 200
            ),
            f'{job} is in the store',
        )
        assert len(site.wait_for_results(job, count)) == count


@pytest.mark.parametrize('is_down', [False, True])
def test_a_job_that_can_never_be_kept_is_refused_at_once(
    site: HostedSite, *, is_down: bool
) -> None:
    site.start()
    site.store.faults.is_down = is_down
    assert site.submit_job('j' * 150).status == 413
    assert all(disk._intake.is_empty for disk in site.disks)
    assert site.submit_job('k').status == 202


def write_copy(folder: Path, name: str, items: list[JobItem]) -> None:
    """Write a job to a disk as an earlier build accepted it."""
    job = make_open_job(name, owners=('-',) * len(items))
    content = msgspec.json.encode(DiskJob(job, tuple(items), ('attempt',)))
    (folder / name).write_bytes(content)


def test_a_job_that_the_store_rejects_stays_and_blocks_no_others(
    site: HostedSite, tmp_path: Path
) -> None:
    """Copies of an earlier build are neither lost nor in the way."""
    site.start(replicas=1)
    folder = tmp_path / FOLDER_NAME
    folder.mkdir()
    write_copy(folder, 'a', [make_item('n' * 2 * VALUE_BYTES)])
    write_copy(folder, 'b', [make_item('b0')])
    context = site.contexts[0]
    intake = Intake(str(tmp_path), JobLedger(context.store), context.rng)
    intake.start()
    wait_for(lambda: not (folder / 'b').exists(), 'the other one is written')
    wait_for(intake.count_rejected, 'it is counted')
    assert (folder / 'a').exists()
    assert not intake.is_empty
    assert len(site.wait_for_results('b', 1)) == 1


def raise_error(_job: str) -> Err:
    """Fail in a way that nobody expects."""
    raise RuntimeError('a fault of this process')


@pytest.mark.parametrize(
    'fail', [lambda _job: Err(Failure.unknown), raise_error]
)
def test_a_failed_write_of_one_job_does_not_delay_others(
    site: HostedSite, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fail
) -> None:
    """For any reason that concerns one job only."""
    site.start(replicas=1)
    folder = tmp_path / FOLDER_NAME
    folder.mkdir()
    for name in ('a', 'b'):
        write_copy(folder, name, [make_item(f'{name}0')])
    context = site.contexts[0]
    ledger = JobLedger(context.store)
    create = ledger.create
    monkeypatch.setattr(
        ledger,
        'create',
        lambda job, *rest, **named: (
            fail(job.name) if job.name == 'a' else create(job, *rest, **named)
        ),
    )
    intake = Intake(str(tmp_path), ledger, context.rng)
    intake.start()
    wait_for(lambda: not (folder / 'b').exists(), 'the other one is written')
    assert (folder / 'a').exists()


def test_the_file_of_an_interrupted_write_is_no_job(
    site: HostedSite, tmp_path: Path
) -> None:
    """It was taken for a job, and those behind it stayed on the disk."""
    site.start(replicas=1)
    folder = tmp_path / FOLDER_NAME
    folder.mkdir()
    write_copy(folder, 'a.01ab45ef.new', [make_item('a0')])
    write_copy(folder, 'b', [make_item('b0')])
    context = site.contexts[0]
    intake = Intake(str(tmp_path), JobLedger(context.store), context.rng)
    assert intake._job_names == {'b'}
    assert [path.name for path in folder.iterdir()] == ['b']


def test_an_output_beyond_a_value_is_kept_whole(site: HostedSite) -> None:
    """The store rejected its result for good, and all results behind it."""
    site.start(replicas=1)
    ledger = JobLedger(get_store(site))
    writer = ResultWriter(ledger)
    items = [make_item('j0'), make_item('j1')]
    job = make_open_job('j', owners=('-', '-'))
    assert ledger.create(job, items).is_ok()
    results = [
        ItemResult('j0', ItemState.completed, LONG_TEXT),
        ItemResult('j1', ItemState.completed, 'short'),
    ]
    for index, result in enumerate(results):
        writer.add(('j', index), result)
    writer.start()
    wait_for(lambda: writer.is_idle, 'both are written')
    stored = ledger.read_job('j').unwrap()
    found = {placed.index: placed.result for placed in stored.results}
    assert found == dict(enumerate(results))
    assert ledger.remove('j').is_ok()
    assert not site.store.list_keys('wigeonpier/hosted/outputs/')


def test_a_rejected_result_does_not_block_others(site: HostedSite) -> None:
    site.start(replicas=1)
    ledger = JobLedger(get_store(site))
    writer = ResultWriter(ledger)
    too_long = 'j' * 300
    writer.add((too_long, 0), ItemResult('a', ItemState.completed, 'x'))
    writer.add(('k', 0), ItemResult('b', ItemState.completed, 'x'))
    writer.start()
    wait_for(
        lambda: site.store.list_keys('wigeonpier/hosted/results/k/'),
        'the other result is written',
    )
    wait_for(lambda: writer.rejected, 'the rejected one is put aside')


def test_a_long_text_does_not_keep_progress_from_being_saved(
    site: HostedSite,
) -> None:
    site.start(replicas=1)
    ledger = JobLedger(get_store(site))
    saved = {
        ('j', 0): ItemProgress((LONG_TEXT,), '1', 0),
        ('j', 1): ItemProgress(('a',), '1', 0),
    }
    assert ledger.write_progress(saved).is_ok()
    assert ledger.read_progress('j') == Ok({1: saved['j', 1]})


def test_a_write_beyond_a_limit_is_rejected_without_a_call(
    site: HostedSite,
) -> None:
    """It was taken for an outage and repeated for good."""
    site.start(replicas=1)
    store = get_store(site)
    calls = site.store.calls.copy()
    for change in (
        Commit(writes={f'k{number}': b'' for number in range(33)}),
        Commit(writes={'k': b'x' * (VALUE_BYTES + 1)}),
        Commit(writes={'k' * 201: b''}),
    ):
        assert store.commit(change) == Err(Failure.rejected)
    assert site.store.calls['/-/kv-txn'] == calls['/-/kv-txn']
    # The service itself rejects what this process does not know to exceed.
    context = site.contexts[0]
    store.limits = replace(store.limits, value_bytes=2 * VALUE_BYTES)
    too_long = Commit(writes={'k': b'x' * (VALUE_BYTES + 1)})
    assert store.commit(too_long) == Err(Failure.rejected)
    assert not context.store_health.is_unreachable


def test_the_largest_job_that_is_accepted_can_be_written(
    site: HostedSite,
) -> None:
    site.start(replicas=1)
    body = b'x' * (MAX_PARTS * VALUE_BYTES * 3 // 4 - 1000)
    ledger = JobLedger(get_store(site))
    job = make_open_job('j', owners=('-',))
    assert ledger.create(job, [make_item('j0', body)], 4.0).is_ok()
