"""Jobs that are submitted while the store is down and a disk is full."""

from __future__ import annotations

import errno
import time
from typing import TYPE_CHECKING

import pytest

from tests.hosted.builders import wait_for
from wigeonpier.disk import storage as disk_storage
from wigeonpier.hosted import intake as disk_intake
from wigeonpier.hosted.holder import DISK_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from pathlib import Path

    from tests.hosted.builders import HostedSite


def _make_disks_full(
    monkeypatch: pytest.MonkeyPatch, site: HostedSite, *numbers: int
) -> None:
    """Make every write to the given disks fail."""
    full = {site.disks[number]._intake._root for number in numbers}
    write = disk_storage.replace_file

    def write_unless_full(path: Path, content: bytes) -> None:
        if path.parent in full:
            raise OSError(errno.ENOSPC, 'No space left on device')
        write(path, content)

    monkeypatch.setattr(
        'wigeonpier.hosted.intake.replace_file', write_unless_full
    )


def test_other_disks_store_the_job(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    site.start()
    _make_disks_full(monkeypatch, site, 0)
    site.store.faults.is_down = True
    assert site.submit_job('j', 2).status == 202
    site.store.faults.is_down = False
    wait_for(
        lambda: site.call('GET', '/-/lots/j?after=0').status == 200,
        'the job is written to the store',
    )
    assert len(site.wait_for_results('j', 2)) == 2


def test_job_is_refused_as_not_kept_if_all_disks_are_full(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No disk has a copy, so the answer must say that the job is not kept."""
    site.start()
    _make_disks_full(monkeypatch, site, 0, 1, 2)
    # On a busy machine the answers may exceed the usual time-out.
    monkeypatch.setattr('wigeonpier.hosted.holder.DISK_TIMEOUT_SECONDS', 2.0)
    site.store.faults.is_down = True
    reply = site.submit_job('j', 2)
    assert reply.status == 503
    assert all(disk._intake.is_empty for disk in site.disks)


def test_outcome_is_unknown_if_a_full_disk_answers_late(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk may have stored the job, so the answer must not deny it."""
    site.start()
    _make_disks_full(monkeypatch, site, 0, 1, 2)
    write_when_full = disk_intake.replace_file

    def write_late(path: Path, content: bytes) -> None:
        time.sleep(2 * DISK_TIMEOUT_SECONDS)
        write_when_full(path, content)

    monkeypatch.setattr('wigeonpier.hosted.intake.replace_file', write_late)
    site.store.faults.is_down = True
    reply = site.submit_job('j', 2)
    assert reply.status == 502
    assert b'"ran":"unknown"' in reply.body


def test_a_disk_with_free_space_again_accepts_jobs(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    site.start()
    _make_disks_full(monkeypatch, site, 0, 1, 2)
    monkeypatch.undo()
    site.store.faults.is_down = True
    assert site.submit_job('j', 2).status == 202


def test_a_partial_file_on_a_full_disk_is_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def write_when_full(_descriptor: int, _content: bytes) -> None:
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr(disk_storage, '_write_and_sync', write_when_full)
    with pytest.raises(OSError, match='No space'):
        disk_storage.replace_file(tmp_path / 'j', b'text')
    assert not list(tmp_path.iterdir())
