"""Orders to empty the disk of a VM, and who may confirm them."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event as Signal
from result import Err

from tests.hosted.builders import HostedSite, wait_for
from wigeonpier.hosted import intake, retire
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Failure

ORDER = 'op/retire/storage-0'
STATE = 'status/retire/storage-0'
HOME = storekeys.name_key(storekeys.HOMES, 'storage-0')
# Others confirm after a delay of 2 s.
OTHERS_SECONDS = 3.0


@pytest.fixture(autouse=True)
def _check_often(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let other processes check an order more often."""
    monkeypatch.setattr(retire, 'OTHERS_INTERVAL_SECONDS', 0.2)


def test_no_other_process_confirms_for_a_disk_with_jobs(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was removed with them: it is off the board from the order on."""
    site.start(replicas=1)
    own = site.disks[0]._intake
    # The store does not take its jobs.
    ledger = SimpleNamespace(read_board=lambda: Err(Failure.unavailable))
    monkeypatch.setattr(own, '_ledger', ledger)
    site.store.faults.is_down = True
    assert site.submit_job('j').status == 202
    site.store.faults.is_down = False
    site.store.put(ORDER, {'durationS': 9})
    gevent.sleep(OTHERS_SECONDS)
    assert not own.is_empty
    assert not site.store.list_keys(STATE)
    monkeypatch.undo()
    wait_for(lambda: site.store.list_keys(STATE), 'the disk is empty')
    assert not site.store.list_keys(HOME)


def test_no_other_process_confirms_for_a_vm_that_stands_still(
    site: HostedSite,
) -> None:
    """Its lease has ended, and its jobs may be nowhere else."""
    site.start(replicas=1)
    stopped = site.disks[0]
    stopped._disk.is_wanted = False
    stopped._retire._confirm_own = lambda _order: None
    wait_for(
        lambda: len(site.store.list_keys(storekeys.DISKS)) == 2,
        'it is off the board',
    )
    site.store.put(ORDER, {'durationS': 9})
    gevent.sleep(OTHERS_SECONDS)
    assert not site.store.list_keys(STATE)


def test_others_confirm_for_a_vm_without_a_disk(site: HostedSite) -> None:
    """Else the order of a lost machine would never end."""
    site.start(replicas=1)
    site.store.put('op/retire/lost', {'durationS': 9})
    wait_for(
        lambda: site.store.list_keys('status/retire/lost'),
        'the order is confirmed',
    )


def test_a_write_in_progress_counts_as_a_job(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk was confirmed as empty, and the job accepted after it."""
    site.start(replicas=1)
    is_synced = Signal()
    write = intake.call_in_thread

    def write_late(*given: object) -> None:
        is_synced.wait()
        write(*given)

    monkeypatch.setattr(intake, 'call_in_thread', write_late)
    own = site.disks[0]._intake
    assert own.is_empty
    site.store.faults.is_down = True
    submitted = gevent.spawn(site.submit_job, 'j')
    wait_for(lambda: not own.is_empty, 'a write is in progress')
    is_synced.set()
    submitted.get()
    site.store.faults.is_down = False
    wait_for(lambda: own.is_empty, 'the job is handed over')
