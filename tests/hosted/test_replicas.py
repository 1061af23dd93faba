"""Upstreams that may be routed to."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.hosted.builders import SERVICE, make_settings
from wigeonpier.hosted.common import DaemonContext
from wigeonpier.hosted.replicas import ReplicaRegister
from wigeonpier.models import OnlineLoad
from wigeonpier.platform.port import Change
from wigeonpier.policy.route import record_load
from wigeonpier.policy.streamorigin import UNKNOWN_VERSION

ENTRY = {
    'service': SERVICE,
    'address': '127.0.0.1:9',
    'zone': 'suva-a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 1,
    'coldLeftMs': 0,
}
FOREIGN_FIELDS = (
    st.none()
    | st.booleans()
    | st.integers(-9, 0)
    | st.text(max_size=3)
    | st.lists(st.integers(), max_size=2)
    | st.sampled_from((0.5, 1.5))
)


def build_change(
    name: str, revision: int, created: int = 0, **changes: Any
) -> Change:
    """Make a change of an entry of the register as a replica writes it."""
    raw = msgspec.json.encode(ENTRY | changes)
    return Change(f'servers/{name}', raw, revision, created or revision)


def build_register() -> ReplicaRegister:
    """Make a register that nothing watches."""
    context = DaemonContext(make_settings('edge-0', '127.0.0.1:1'))
    return ReplicaRegister(
        context.view,
        context.settings,
        context.store_health,
        lambda _address: None,
    )


@pytest.fixture
def register() -> ReplicaRegister:
    """Make a register that nothing watches."""
    return build_register()


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
def test_last_start_keeps_address(register, order) -> None:
    """A list is in order of ids, not of time.

    An older entry that was read second removed the newer one for good.
    """
    entries = [build_change('old', 5), build_change('new', 9)]
    for index in order:
        register._apply(entries[index])
    assert list(register.upstreams) == ['new']
    register._apply(Change('servers/old', None, 12))
    assert list(register.upstreams) == ['new']


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
def test_start_time_decides_owner_of_address(register, order) -> None:
    """A replica that restarts under its id keeps the old key."""
    entries = [
        build_change('reborn', 9, created=3, born=900),
        build_change('other', 7, born=500),
    ]
    for index in order:
        register._apply(entries[index])
    assert list(register.upstreams) == ['reborn']


def test_answering_instance_gets_address(register) -> None:
    """An entry of an earlier start was written after that of the next one.

    The later entry hid the replica until its own entry changed, which may
    never happen.
    """
    register.view._apply(build_change('current', 5))
    register.view._apply(build_change('stale', 9))
    register.record_replaced(register.upstreams['stale'], 'current')
    assert list(register.upstreams) == ['current']
    assert not register.upstreams['current'].is_leaving


@pytest.mark.parametrize('instance', ['', 'unlisted'])
def test_unknown_instance_gets_no_address(register, instance) -> None:
    register.view._apply(build_change('stale', 9))
    register.record_replaced(register.upstreams['stale'], instance)
    assert [state.is_leaving for state in register.upstreams.values()] == [True]


def test_expired_entry_restores_hidden_one(register) -> None:
    register.view._apply(build_change('current', 5))
    register.view._apply(build_change('stale', 9))
    register.view._apply(Change('servers/stale', None, 12))
    assert list(register.upstreams) == ['current']


def test_entries_at_other_addresses_stay(register) -> None:
    register._apply(build_change('x', 5, address='127.0.0.1:1'))
    register._apply(build_change('y', 6, address='127.0.0.1:2'))
    assert sorted(register.upstreams) == ['x', 'y']


def test_new_start_under_same_id_has_fresh_state(register) -> None:
    """It inherits neither ejection, load nor leaving."""
    register._apply(build_change('x', 5, born=500))
    first = register.upstreams['x']
    first.ejected_until = 1e9
    first.reported = 8
    register._apply(build_change('x', 6, 5, born=500, state='draining'))
    assert first.is_leaving
    register._apply(build_change('x', 7, 5, born=501))
    second = register.upstreams['x']
    assert (second.ejected_until, second.reported) == (0, 0)
    assert not second.is_leaving
    assert second.incarnation == 501


@pytest.mark.parametrize('is_gone', [True, False])
def test_late_writes_of_earlier_start_are_ignored(register, is_gone) -> None:
    """A write whose answer was lost may take effect seconds later."""
    register._apply(build_change('x', 5, born=500))
    register._apply(build_change('x', 6, 5, born=501))
    if is_gone:
        register._apply(Change('servers/x', None, 7))
    register._apply(build_change('x', 8, 5, born=500, state='draining'))
    states = list(register.upstreams.values())
    assert [state.is_leaving for state in states] == [False] * (not is_gone)


def test_changed_address_is_followed(register) -> None:
    register._apply(build_change('x', 5, address='127.0.0.1:1'))
    register._apply(build_change('x', 6, 5, address='127.0.0.1:2'))
    assert register.upstreams['x'].address == '127.0.0.1:2'


@pytest.mark.parametrize(
    'raw',
    [
        b'[]',
        b'\xff\xfe',
        b'',
        b'[' * 9000,
        msgspec.json.encode(ENTRY | {'state': 'retired'}),
        msgspec.json.encode(ENTRY | {'slots': '8'}),
        msgspec.json.encode(ENTRY | {'slots': 0}),
        msgspec.json.encode(ENTRY | {'address': '127.0.0.1'}),
        msgspec.json.encode(ENTRY | {'born': 'today'}),
        msgspec.json.encode({'service': SERVICE}),
    ],
)
def test_unreadable_entry_removes_its_replica(register, raw) -> None:
    """It removes the key's earlier replica, and no other one."""
    register._apply(build_change('x', 4, address='127.0.0.1:1'))
    register._apply(build_change('y', 5, address='127.0.0.1:2'))
    register._apply(Change('servers/x', raw, 6, 4))
    assert list(register.upstreams) == ['y']
    register._apply(build_change('x', 7, 4, address='127.0.0.1:1'))
    assert sorted(register.upstreams) == ['x', 'y']


FOREIGN = st.binary(max_size=40) | st.builds(
    lambda name, content: msgspec.json.encode(ENTRY | {name: content}),
    st.sampled_from(
        ('service', 'address', 'zone', 'version', 'slots', 'state')
    ),
    FOREIGN_FIELDS.filter(lambda content: not isinstance(content, str)),
)


@given(st.lists(st.tuples(st.integers(0, 3), FOREIGN | st.none()), max_size=12))
def test_foreign_entries_do_not_affect_valid_ones(
    writes,
) -> None:
    """Mixes any bytes under any key with entries of replicas."""
    mixed, clean = build_register(), build_register()
    expected: dict[int, bool] = {}
    for revision, (number, raw) in enumerate(writes, 1):
        address = f'127.0.0.1:{number + 1}'
        valid = build_change(f'i-{number}', revision, 1, address=address)
        change = (
            valid
            if raw is None
            else Change(f'servers/i-{number}', raw, revision, 1)
        )
        mixed._apply(change)
        expected[number] = raw is None
    for number in sorted(expected):
        if expected[number]:
            address = f'127.0.0.1:{number + 1}'
            clean._apply(build_change(f'i-{number}', 99, 1, address=address))
    assert sorted(mixed.upstreams) == sorted(clean.upstreams)
    for name, state in clean.upstreams.items():
        assert mixed.upstreams[name] == state


def test_another_version_under_the_same_id_is_another_start(register) -> None:
    register._apply(build_change('i', 5))
    first = register.upstreams['i']
    register._apply(build_change('i', 9, created=5, version='v2'))
    assert register.upstreams['i'] is not first
    assert register.upstreams['i'].version == 'v2'


def test_a_start_that_only_a_load_shows_has_no_version(register) -> None:
    register._apply(build_change('i', 5, born=900))
    state = register.upstreams['i']
    load = OnlineLoad(0, takes_work=True, incarnation=950)
    record_load(state, load, time.monotonic())
    assert state.version == UNKNOWN_VERSION
    register._apply(build_change('i', 9, created=5, born=950, version='v2'))
    assert register.upstreams['i'] is state
    assert state.version == 'v2'


def test_only_upstreams_that_come_leave_or_go_are_changes(register) -> None:
    """The ring of keepers is built anew with each change."""
    changes = []
    for number, changed in enumerate(
        ({}, {'coldLeftMs': 5}, {'sequence': 2}, {'state': 'draining'})
    ):
        register._apply(build_change('i', 5 + number, created=5, **changed))
        changes.append(register.changes)
    register._apply(Change('servers/i', None, 9))
    register._remove('i')
    assert changes == [1, 1, 1, 2]
    assert register.changes == 3
