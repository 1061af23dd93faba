"""Fleet state of an entry."""

from __future__ import annotations

import pytest

from wigeonpier.membership.directory import (
    FORGET_SECONDS,
    GONE_SECONDS,
    SILENT_SECONDS,
    Directory,
)
from wigeonpier.membership.messages import (
    DiskReport,
    Heartbeat,
    Role,
    UpstreamReport,
)
from wigeonpier.platform.port import Vm, VmState


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def directory(clock: Clock) -> Directory:
    return Directory(clock, lambda _name: 'r')


def _make_heartbeat(name: str, disk: str = '', **changes) -> Heartbeat:
    fields = {
        'name': name,
        'boot': 'b',
        'role': Role.entry,
        'address': f'{name}:1',
        'data_centre': 'a',
        'is_leaving': False,
        'version': 1,
    }
    if disk:
        fields['disk'] = DiskReport(disk, f'{name}:1', 'a', 1 << 40)
    return Heartbeat(**(fields | changes))


def test_a_new_start_of_a_process_that_was_not_leaving_is_a_restart(
    directory: Directory,
) -> None:
    first = _make_upstream_heartbeat('vm-1')
    second = _make_upstream_heartbeat('vm-1', boot='b2', is_leaving=True)
    assert not directory.is_restart(first)
    directory.record_heartbeat(first)
    assert not directory.is_restart(first)
    assert directory.is_restart(second)
    directory.record_heartbeat(second)
    assert not directory.is_restart(_make_upstream_heartbeat('vm-1'))
    assert not directory.is_restart(_make_heartbeat('entry-1', boot='b2'))


def _make_upstream_heartbeat(name: str, **changes) -> Heartbeat:
    report = UpstreamReport('s', ('m',), 8, 0, 0, is_well=True)
    return _make_heartbeat(name, role=Role.local, upstream=report, **changes)


def test_replaced_folder_is_gone_at_once(directory) -> None:
    directory.record_heartbeat(_make_heartbeat('vm-1', 'old'))
    assert directory.list_lost_folders() == ()
    directory.record_heartbeat(_make_heartbeat('vm-1', 'new'))
    assert directory.list_lost_folders() == ('old',)


def test_silent_folder_is_gone_once_its_vm_is_unlisted(
    directory,
    clock,
) -> None:
    directory.record_heartbeat(_make_heartbeat('vm-1', 'old'))
    directory.update_vms((Vm('vm-1', 'vm-1:1', 'a', VmState.live),))
    clock.now += GONE_SECONDS + 1
    assert directory.list_lost_folders() == ()
    directory.update_vms(())
    assert directory.list_lost_folders() == ('old',)


def test_gone_folders_of_peers_are_listed_unless_live(directory) -> None:
    directory.add_lost_folders(('old', 'there'))
    directory.record_heartbeat(_make_heartbeat('vm-1', 'there'))
    assert directory.list_lost_folders() == ('old',)


def test_silent_upstreams_are_skipped_while_others_are_live(
    directory,
    clock,
) -> None:
    directory.record_heartbeat(_make_upstream_heartbeat('vm-1'))
    clock.now += SILENT_SECONDS + 1
    directory.record_heartbeat(_make_upstream_heartbeat('vm-2'))
    names = [state.name for state in directory.list_upstreams()]
    assert names == ['vm-2']


def test_all_known_upstreams_are_listed_if_all_are_silent(
    directory,
    clock,
) -> None:
    directory.record_heartbeat(_make_upstream_heartbeat('vm-1'))
    directory.update_vms((Vm('vm-1', 'vm-1:1', 'a', VmState.live),))
    clock.now += FORGET_SECONDS + 1
    assert [state.name for state in directory.list_upstreams()] == ['vm-1']


def test_restart_resets_routing_state(directory) -> None:
    directory.record_heartbeat(_make_upstream_heartbeat('vm-1'))
    directory.upstreams['vm-1'].ejections = 4
    directory.record_heartbeat(_make_upstream_heartbeat('vm-1', boot='again'))
    assert directory.upstreams['vm-1'].ejections == 0


def test_drained_vm_stays_leaving_despite_heartbeats(directory) -> None:
    directory.record_heartbeat(_make_upstream_heartbeat('vm-1'))
    directory.mark_leaving('vm-1')
    directory.record_heartbeat(_make_upstream_heartbeat('vm-1'))
    assert directory.upstreams['vm-1'].is_leaving
    directory.unmark_leaving('vm-1')
    assert not directory.upstreams['vm-1'].is_leaving
