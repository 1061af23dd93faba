"""Odd entries of another writer among those that processes read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import msgspec
import pytest
from result import Err

from tests.hosted.builders import HostedSite, wait_for
from wigeonpier.hosted.board import Board
from wigeonpier.platform import storekeys
from wigeonpier.platform.decoding import OddValueError
from wigeonpier.platform.port import Change, Entry
from wigeonpier.platform.register import (
    ForeignEntryError,
    decode_replica,
    decode_report,
    name_replica,
)
from wigeonpier.platform.view import PrefixWatcher
from wigeonpier.web.client import CallFailure
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    from typing import Any

SOUND = {
    'service': 'assistant',
    'address': '127.0.0.9:9',
    'zone': 'suva-a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 1,
    'coldLeftMs': 0,
}
DEEP = b'[' * 100_000 + b']' * 100_000
HOSTS = (
    'a\x00b',
    'a..b',
    'x' * 300,
    'upstream.example',
    '127.0.0.1 ',
    '127.0.0.01',
    '256.0.0.1',
    '١.٠.٠.١',
    '',
)
REQUESTS = 30


def make_entry(**changes: Any) -> bytes:
    """Make an entry of the register."""
    return msgspec.json.encode(SOUND | changes)


ODD_ENTRIES = (
    *(make_entry(address=f'{host}:9') for host in HOSTS),
    make_entry(address='127.0.0.9:65536'),
    make_entry(address='127.0.0.9:0'),
    make_entry(address='127.0.0.9'),
    make_entry(slots=10**9),
    make_entry(slots=0),
    make_entry(version='v' * 100_000),
    make_entry(version='v\x00'),
    make_entry(zone='z' * 100_000),
    make_entry(service='s\n'),
    make_entry(coldLeftMs=0).replace(b'"coldLeftMs":0', b'"coldLeftMs":1e400'),
    make_entry().replace(b'"slots":8', b'"slots":' + b'9' * 5000),
    make_entry().replace(b'"zone":"suva-a"', b'"zone":' + DEEP),
    make_entry() + DEEP,
    b'{"service":"\xff"}',
    DEEP,
    b'',
)


def test_a_sound_entry_is_a_replica() -> None:
    assert decode_replica('servers/i-0', make_entry()).name == 'i-0'


@pytest.mark.parametrize('raw', ODD_ENTRIES, ids=range(len(ODD_ENTRIES)))
def test_an_odd_entry_names_no_replica(raw: bytes) -> None:
    with pytest.raises(ForeignEntryError):
        decode_replica('servers/i-0', raw)


@pytest.mark.parametrize('name', ['a\r\nX-Tenant: t', 'a b', 'ä', ''])
def test_an_id_that_no_header_can_carry_names_no_replica(name: str) -> None:
    """It would be sent to the replica in a header."""
    with pytest.raises(ForeignEntryError):
        decode_replica(name_replica(name), make_entry())


@pytest.mark.parametrize('host', HOSTS)
def test_a_call_to_an_odd_address_is_not_sent(host: str) -> None:
    """It raised an error that no caller expects."""
    outcome = ConnectionPool().call(f'{host}:9', b'GET / HTTP/1.1\r\n\r\n', 0.2)
    assert outcome == Err(CallFailure.not_sent)


def test_requests_are_served_beside_odd_entries(site: HostedSite) -> None:
    """A third of them failed, and loops of all processes ended again and again."""
    site.start(replicas=2, entries=2)
    known = [set(app._replicas.upstreams) for app in site.entries]
    for number, raw in enumerate(ODD_ENTRIES):
        site.store.put(f'servers/odd-{number}', raw)
    gevent.sleep(0.5)
    for number in range(REQUESTS):
        reply = site.call('POST', '/ask/1', f'q{number}', entry=number % 2)
        assert reply.status == 200
    assert [set(app._replicas.upstreams) for app in site.entries] == known
    # Changes behind them are still followed.
    site.replicas[0].is_leaving = True
    site.replicas[0].register('suva-a')
    wait_for(
        lambda: all(
            app._replicas.upstreams['i-0'].is_leaving for app in site.entries
        ),
        'the entries follow the register',
    )
    assert site.submit_job('j').status == 202
    assert len(site.wait_for_results('j', 4)) == 4


def test_an_entry_that_cannot_be_applied_stops_no_view() -> None:
    """The view read all keys again and again, and followed none."""
    applied: list[str] = []

    def apply(change: Change) -> None:
        if change.key == 'a/odd':
            raise ValueError(change.key)
        applied.append(change.key)

    view = PrefixWatcher(None, 'a/', apply, None)
    for key in ('a/1', 'a/odd', 'a/2', 'a/odd'):
        view._apply(Change(key, b'', 1))
    assert applied == ['a/1', 'a/2']


@pytest.mark.parametrize(
    'space',
    [
        storekeys.OPEN_JOBS,
        storekeys.MEMBERS,
        storekeys.DISKS,
        storekeys.HOMES,
        storekeys.REFUSED,
        storekeys.FENCES,
    ],
)
@pytest.mark.parametrize('raw', [b'{}', DEEP, b'"\xff"', b'{"name":1e400}'])
def test_an_odd_key_hides_nothing_else_of_the_board(
    space: str, raw: bytes
) -> None:
    board = Board()
    board.put(Entry(f'{space}odd', raw, 1))
    sound = {'name': 'vm', 'service': 's', 'data_centre': 'a'}
    key = f'{storekeys.MEMBERS}vm'
    board.put(Entry(key, msgspec.json.encode(sound), 2))
    assert list(board.members) == ['vm']
    assert not board.jobs


def test_jobs_are_kept_beside_odd_keys_of_the_system(site: HostedSite) -> None:
    for space in (storekeys.BOARD + 'jobs/', storekeys.REFUSED):
        site.store.put(f'{space}odd', DEEP)
    site.start(replicas=1)
    site.store.put(f'{storekeys.ASSIGNMENTS}side-i-0/odd', DEEP)
    site.store.put(f'{storekeys.VERSIONS}odd', DEEP)
    site.store.put('op/retire/' + 'x' * 150, DEEP)
    assert site.submit_job('j').status == 202
    assert len(site.wait_for_results('j', 4)) == 4


@pytest.mark.parametrize('field', [b'running', b'runs', b'other'])
def test_a_deep_report_is_no_report(field: bytes) -> None:
    with pytest.raises(OddValueError):
        decode_report(b'{"%s":%s}' % (field, DEEP))
