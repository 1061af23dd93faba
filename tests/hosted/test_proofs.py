"""Tests that no request runs with a key revoked longer ago than the bound.

A key is revoked at the moment that the store confirms.  The bound must hold
even if the process that reads the store, the entry, or the network between
them stalls at any point.
"""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from wigeonpier.hosted import knowledge, newest, proofs
from wigeonpier.platform.port import Entry, Failure
from wigeonpier.policy import freshness
from wigeonpier.web.client import Reply

if TYPE_CHECKING:
    from collections.abc import Iterator

BOUND = 5.0
TAKEN_AWAY_AT = 100.0
OLD, NEW = 7, 8
# Most steps take no time; a stalled one takes seconds.
delays = st.sampled_from([0, 0, 0, 0.01, 0.3, 1, 2, 4, 5, 9])


class World:
    """A clock, a store whose key changes once, and a delay at each step."""

    def __init__(self, steps: list[float]) -> None:
        self.now = TAKEN_AWAY_AT - 6
        self.steps: Iterator[float] = iter(steps)
        self.readings = 0

    def read_clock(self) -> float:
        return self.now

    def pass_time(self) -> None:
        self.now += next(self.steps, 0)

    def read_revision(self, _key: str):
        self.readings += 1
        self.pass_time()
        revision = NEW if self.now >= TAKEN_AWAY_AT else OLD
        self.pass_time()
        return Ok(revision)

    def get(self, key: str):
        return self.read_revision(key).map(
            lambda revision: Entry(key, b'', revision),
        )


class Configuration:
    """Configuration of an entry whose watch delivers nothing."""

    revision = OLD

    def take(self, entry: Entry) -> None:
        self.revision = max(self.revision, entry.revision)


@pytest.fixture
def patched(monkeypatch: pytest.MonkeyPatch):
    """Provide a function that makes all modules use the clock of a world."""

    def patch(world: World) -> None:
        for module in (knowledge, newest, proofs):
            monkeypatch.setattr(module, 'read_clock', world.read_clock)

    return patch


def make_entry(world: World, configuration: Configuration, handler):
    def call(_address: str, _raw: bytes, _patience: float):
        world.pass_time()
        reply = Reply(200, handler._answer(None).body)
        world.pass_time()
        return Ok(reply)

    prover = proofs.FreshnessProver(
        world,
        configuration,
        SimpleNamespace(call=call),
        lambda: ['reader:1'],
        random.Random(1),
    )
    return knowledge.ConfigurationFreshness(
        configuration, BOUND, prover.confirm
    )


# The store responds late, and the reading is forwarded at once.
@example([0, 0, 9, 0, 0, 0, 0, 0, 4])
@settings(max_examples=1000)
@given(st.lists(delays, min_size=20, max_size=40))
def test_no_key_is_accepted_beyond_the_bound(steps) -> None:
    world = World(steps)
    with pytest.MonkeyPatch.context() as patching:
        for module in (knowledge, newest, proofs):
            patching.setattr(module, 'read_clock', world.read_clock)
        configuration = Configuration()
        handler = newest.NewestRevisionHandler(world, BOUND)
        entry = make_entry(world, configuration, handler)
        for _round in range(8):
            entry._take(entry._confirm())
            world.pass_time()
            sent_at = world.now
            # The process may stall before it checks the request.
            world.pass_time()
            knows_key = configuration.revision == OLD
            may_run = knows_key and freshness.may_authorize(
                entry.measure().age,
                BOUND,
            )
            assert not may_run or sent_at <= TAKEN_AWAY_AT + BOUND


def test_concurrent_entries_share_one_reading(patched) -> None:
    world = World([])
    patched(world)
    handler = newest.NewestRevisionHandler(world, BOUND)
    entries = [make_entry(world, Configuration(), handler) for _ in range(50)]
    for entry in entries:
        entry._take(entry._confirm())
        world.now += 0.01
    assert world.readings == 1
    assert all(entry.measure().age < BOUND / 4 for entry in entries)


def test_a_revision_newer_than_the_watch_is_read_at_once(patched) -> None:
    world = World([])
    patched(world)
    world.now = TAKEN_AWAY_AT + 0.1
    configuration = Configuration()
    entry = make_entry(
        world, configuration, newest.NewestRevisionHandler(world, BOUND)
    )
    entry._take(entry._confirm())
    assert configuration.revision == NEW
    assert entry.measure().age < 0.1


def test_a_reader_without_the_store_gives_no_reading(patched) -> None:
    world = World([])
    patched(world)
    world.get = lambda _key: Err(Failure.unavailable)
    pool = SimpleNamespace(call=lambda *_given: Ok(Reply(503, b'{}')))
    prover = proofs.FreshnessProver(
        world,
        Configuration(),
        pool,
        lambda: ['reader:1'],
        random.Random(1),
    )
    assert prover.confirm() is None


def test_a_reading_message_contains_no_key(patched) -> None:
    world = World([])
    patched(world)
    message = msgspec.json.decode(
        newest.NewestRevisionHandler(world, BOUND)._answer(None).body
    )
    assert set(message) == {'revision', 'age'}
