"""Tests that quarantine entries on a disk survive the loss of processes."""

from __future__ import annotations

import time
from io import BytesIO
from types import SimpleNamespace

import gevent
import msgspec
import pytest
from result import Err, Ok

from wigeonpier.hosted.news import QuarantineEntry
from wigeonpier.hosted.quarantine.replica import (
    FOLDER,
    SUSPICION_TTL_SECONDS,
    QuarantineReplica,
)
from wigeonpier.hosted.quarantine.store import QuarantineStore
from wigeonpier.membership import suspicions as suspicions_module
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.membership.updates import (
    NO_PARTS,
    CrashReport,
    PartProof,
    PartUpdate,
)
from wigeonpier.platform.port import Failure
from wigeonpier.web.messages import Request

FINGERPRINT = 'a' * 32


class FakeStore:
    """Accepts commits while it is up."""

    def __init__(self) -> None:
        self.is_up = False
        self.keys: dict[str, bytes] = {}

    def commit(self, change):
        if not self.is_up:
            return Err(Failure.unavailable)
        self.keys |= change.writes
        return Ok(1)


def make_replica(folder, store, clock=time.monotonic) -> QuarantineReplica:
    return QuarantineReplica(
        str(folder), store, lambda _seconds: gevent.sleep(0.01), clock
    )


def put(
    replica: QuarantineReplica,
    fingerprint: str = FINGERPRINT,
    *,
    age: float = 0,
    is_proved: bool = True,
    parts: PartUpdate = NO_PARTS,
) -> None:
    entry = QuarantineEntry(
        (CrashReport(fingerprint, 'i-1', 'v1', 0.5, was_alone=True),),
        time.time() - age,
        is_proved,
        parts,
    )
    raw = msgspec.json.encode(entry)
    request = Request('PUT', '/', '', {}, BytesIO(raw))
    assert replica._put(request, fingerprint).status == 200


def test_a_refused_request_survives_a_restart_and_is_stored(tmp_path) -> None:
    store = FakeStore()
    put(make_replica(tmp_path, store))
    replica = make_replica(tmp_path, store)
    listed = msgspec.json.decode(replica._list(None).body)
    assert list(listed) == [FINGERPRINT]
    replica.start()
    gevent.sleep(0.05)
    assert not store.keys
    store.is_up = True
    gevent.sleep(0.05)
    assert list(store.keys) == [
        f'wigeonpier/hosted/board/refused/{FINGERPRINT}'
    ]
    assert not list((tmp_path / FOLDER).iterdir())


def test_a_restart_makes_no_proof_of_a_part_new(tmp_path) -> None:
    """It ended the refusal of a part that crashed upstreams since."""
    proof = PartProof('assistant/a', 'v1', 5.0)
    replica = make_replica(tmp_path, FakeStore())
    put(replica, is_proved=False, parts=PartUpdate(proofs=(proof,)))
    again = make_replica(tmp_path, FakeStore())
    lists = [
        msgspec.json.decode(one._list(None).body) for one in (replica, again)
    ]
    proofs = [
        one[FINGERPRINT].get('parts', {}).get('proofs', []) for one in lists
    ]
    assert [len(kept) for kept in proofs] == [1, 0]


def test_a_truncated_file_is_ignored(tmp_path) -> None:
    store = FakeStore()
    put(make_replica(tmp_path, store))
    content = (tmp_path / FOLDER / FINGERPRINT).read_bytes()
    (tmp_path / FOLDER / f'{FINGERPRINT}.0a.new').write_bytes(content)
    (tmp_path / FOLDER / FINGERPRINT).write_bytes(content[:9])
    replica = make_replica(tmp_path, store)
    assert not msgspec.json.decode(replica._list(None).body)


def test_a_suspicion_is_served_and_never_written_to_the_store(tmp_path) -> None:
    store = FakeStore()
    store.is_up = True
    put(make_replica(tmp_path, store), is_proved=False)
    replica = make_replica(tmp_path, store)
    replica.start()
    gevent.sleep(0.05)
    listed = msgspec.json.decode(replica._list(None).body)
    assert not listed[FINGERPRINT]['is_proved']
    assert not store.keys


def test_a_suspicion_expires(tmp_path) -> None:
    now = [100.0]
    replica = make_replica(tmp_path, FakeStore(), lambda: now[0])
    put(replica, is_proved=False)
    now[0] += SUSPICION_TTL_SECONDS - 1
    assert msgspec.json.decode(replica._list(None).body)
    now[0] += 2
    assert not msgspec.json.decode(replica._list(None).body)
    assert not list((tmp_path / FOLDER).iterdir())


@pytest.mark.parametrize('skew', [-600, 600, 4000, -4000])
def test_clock_skew_does_not_change_the_expiry_of_a_suspicion(
    tmp_path, skew, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The entry comes from a VM whose wall clock differs."""
    # The age is rounded to milliseconds, and a busy machine takes longer than
    # half of one between loading the entry and listing it.
    clock = SimpleNamespace(monotonic=lambda: 50.0)
    monkeypatch.setattr(suspicions_module, 'time', clock)
    now = [100.0]
    replica = make_replica(tmp_path, FakeStore(), lambda: now[0])
    put(replica, age=skew, is_proved=False)
    listed = msgspec.json.decode(
        replica._list(None).body, type=dict[str, QuarantineEntry]
    )
    suspicions = Suspicions()
    quarantine = QuarantineStore(FakeStore(), suspicions, lambda _seconds: None)
    quarantine.load(listed)
    assert [crash.age for crash in suspicions.list_crashes(FINGERPRINT)] == [
        0.5
    ]
    now[0] += SUSPICION_TTL_SECONDS + 1
    assert not msgspec.json.decode(replica._list(None).body)


def test_a_clock_that_is_ahead_does_not_delete_entries() -> None:
    store = FakeStore()
    quarantine = QuarantineStore(store, Suspicions(), lambda _seconds: None)
    deleted = []
    quarantine.forget = deleted.append
    quarantine.load({FINGERPRINT: QuarantineEntry((), time.time() - 4000)})
    gevent.sleep(0)
    assert not deleted
    quarantine.load({FINGERPRINT: QuarantineEntry((), time.time() - 100_000)})
    gevent.sleep(0)
    assert deleted == [FINGERPRINT]


def test_the_oldest_suspicions_are_evicted_first(tmp_path, monkeypatch) -> None:
    """Then the oldest refused requests: the newest crashes matter most."""
    monkeypatch.setattr('wigeonpier.hosted.quarantine.replica.MAX_ENTRIES', 3)
    now = [100.0]
    replica = make_replica(tmp_path, FakeStore(), lambda: now[0])
    for digit, is_proved in (('1', True), ('2', False), ('3', True)):
        now[0] += 1
        put(replica, digit * 32, is_proved=is_proved)
    now[0] += 1
    put(replica, '4' * 32)
    assert sorted(name[0] for name in replica._entries) == ['1', '3', '4']
    put(replica, '5' * 32, is_proved=False)
    assert sorted(name[0] for name in replica._entries) == ['3', '4', '5']
    assert len(list((tmp_path / FOLDER).iterdir())) == 3
