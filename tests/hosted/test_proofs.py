"""What a told age may be trusted for, whatever delays it.

A key is taken away at a moment that the store confirms.  A request that was
sent later than the bound must not run, also where the process that reads, the
one that is told, or the way between them stands still at any point.
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
# Most steps take no time; what stands still does so for seconds.
delays = st.sampled_from([0, 0, 0, 0.01, 0.3, 1, 2, 4, 5, 9])


class World:
    """A clock, a store whose key changes once, and delays everywhere."""

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
    """What is in force at the entry; its watch is silent."""

    revision = OLD

    def take(self, entry: Entry) -> None:
        self.revision = max(self.revision, entry.revision)


@pytest.fixture
def patched(monkeypatch: pytest.MonkeyPatch):
    """Give a function that has all modules use one clock."""

    def patch(world: World) -> None:
        for module in (knowledge, newest, proofs):
            monkeypatch.setattr(module, 'read_clock', world.read_clock)

    return patch


def make_entry(world: World, configuration: Configuration, desk):
    def call(_address: str, _raw: bytes, _patience: float):
        world.pass_time()
        reply = Reply(200, desk._answer(None).body)
        world.pass_time()
        return Ok(reply)

    told = proofs.FreshnessProver(
        world,
        configuration,
        SimpleNamespace(call=call),
        lambda: ['reader:1'],
        random.Random(1),
    )
    return knowledge.ConfigurationKnowledge(configuration, BOUND, told.prove)


# The store answers late, and the reading is told on at once.
@example([0, 0, 9, 0, 0, 0, 0, 0, 4])
@settings(max_examples=1000)
@given(st.lists(delays, min_size=20, max_size=40))
def test_nothing_is_judged_by_knowledge_beyond_the_bound(steps) -> None:
    world = World(steps)
    with pytest.MonkeyPatch.context() as patching:
        for module in (knowledge, newest, proofs):
            patching.setattr(module, 'read_clock', world.read_clock)
        configuration = Configuration()
        desk = newest.NewestHandler(world, BOUND)
        entry = make_entry(world, configuration, desk)
        for _round in range(8):
            entry._take(entry._prove())
            world.pass_time()
            sent_at = world.now
            # The process may stand still before it looks at the request.
            world.pass_time()
            knows_key = configuration.revision == OLD
            may_run = knows_key and freshness.may_judge(
                entry.measure().age,
                BOUND,
            )
            assert not may_run or sent_at <= TAKEN_AWAY_AT + BOUND


def test_one_reading_serves_all_who_ask_soon(patched) -> None:
    world = World([])
    patched(world)
    desk = newest.NewestHandler(world, BOUND)
    entries = [make_entry(world, Configuration(), desk) for _ in range(50)]
    for entry in entries:
        entry._take(entry._prove())
        world.now += 0.01
    assert world.readings == 1
    assert all(entry.measure().age < BOUND / 4 for entry in entries)


def test_what_is_newer_than_the_watch_is_read_at_once(patched) -> None:
    world = World([])
    patched(world)
    world.now = TAKEN_AWAY_AT + 0.1
    configuration = Configuration()
    entry = make_entry(world, configuration, newest.NewestHandler(world, BOUND))
    entry._take(entry._prove())
    assert configuration.revision == NEW
    assert entry.measure().age < 0.1


def test_a_reader_that_lost_the_store_proves_nothing(patched) -> None:
    world = World([])
    patched(world)
    world.get = lambda _key: Err(Failure.unavailable)
    pool = SimpleNamespace(call=lambda *_given: Ok(Reply(503, b'{}')))
    told = proofs.FreshnessProver(
        world,
        Configuration(),
        pool,
        lambda: ['reader:1'],
        random.Random(1),
    )
    assert told.prove() is None


def test_a_told_reading_bears_no_key(patched) -> None:
    world = World([])
    patched(world)
    told = msgspec.json.decode(
        newest.NewestHandler(world, BOUND)._answer(None).body
    )
    assert set(told) == {'revision', 'age'}
