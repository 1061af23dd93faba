"""Which upstreams may be routed to."""

from __future__ import annotations

import random

import msgspec
import pytest

from tests.hosted.builders import SERVICE, make_settings
from wigeonpier.hosted.replicas import ReplicaRegister
from wigeonpier.platform.port import Change


def build_change(name: str, address: str, created: int) -> Change:
    """Make an entry of the register."""
    entry = {'service': SERVICE, 'address': address, 'zone': 'suva-a'}
    return Change(
        f'servers/{name}', msgspec.json.encode(entry), created, created
    )


@pytest.fixture
def register() -> ReplicaRegister:
    """Make a register that nothing watches."""
    settings = make_settings('edge-0', '127.0.0.1:1')
    return ReplicaRegister(
        None, settings, random.Random(1), lambda _address: None
    )


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
def test_the_last_start_keeps_an_address(register, order) -> None:
    """A list is in order of ids, which says nothing of time.

    An older entry that came second had put the newer one out for good.
    """
    entries = [build_change('old', 'a:1', 5), build_change('new', 'a:1', 9)]
    for index in order:
        register._apply(entries[index])
    assert list(register.upstreams) == ['new']
    register._apply(Change('servers/old', None, 12))
    assert list(register.upstreams) == ['new']


def test_entries_at_other_addresses_stay(register) -> None:
    register._apply(build_change('x', 'a:1', 5))
    register._apply(build_change('y', 'a:2', 6))
    assert sorted(register.upstreams) == ['x', 'y']


def test_what_is_no_entry_is_left(register) -> None:
    register._apply(Change('servers/x', b'[]', 5, 5))
    assert not register.upstreams
