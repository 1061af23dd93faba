"""Batch items under which upstreams crash are owed to their callers."""

from __future__ import annotations

from errno import ECONNRESET
from typing import TYPE_CHECKING

import pytest

from tests.builders import Bench, wait_for
from wigeonpier.bench.answers import make_answer
from wigeonpier.bench.batching import EngineGoneError
from wigeonpier.bench.engine import StandInEngine

if TYPE_CHECKING:
    from collections.abc import Iterator

REPLICAS = 3
ITEMS = 12
TOKENS = 8
UNLUCKY = 'corner 5'
# The first one beside other items, three while the item ran alone.
CRASHES = 4


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Start a site in this process."""
    bench = Bench()
    bench.start(replicas=REPLICAS)
    yield bench
    bench.close()


def test_an_item_under_which_engines_crash_in_a_burst_is_completed(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It got an error as its result after two losses while it ran alone."""
    apply_marks = StandInEngine._apply_marks
    crashes = []

    def crash_in_burst(engine: StandInEngine, prompt: str) -> None:
        apply_marks(engine, prompt)
        if prompt == UNLUCKY and len(crashes) < CRASHES:
            crashes.append(engine)
            for replica in bench.site.replicas.values():
                if replica.engine:
                    replica.engine.crash()
            raise EngineGoneError(ECONNRESET, 'the engine crashed')

    monkeypatch.setattr(StandInEngine, '_apply_marks', crash_in_burst)
    bench.submit(ITEMS, TOKENS)
    bench.finish()
    assert len(crashes) == CRASHES
    assert bench.batch['status'] == 'completed'
    answers = {
        line['custom_id']: line['response']['body']['choices'][0]['message'][
            'content'
        ]
        for line in bench.results
        if line['response']
    }
    model = bench.site.plan.service
    assert answers == {
        f'item-{number}': make_answer(model, f'corner {number}', TOKENS)
        for number in range(ITEMS)
    }


def test_all_local_processes_know_of_a_crash(bench: Bench) -> None:
    """Items that run alone elsewhere are not blamed for crashes meanwhile."""
    replicas = bench.site.replicas.values()
    first = next(replica for replica in replicas if replica.engine)
    first.engine.crash(2)
    wait_for(
        lambda: all(
            [
                loss.upstream
                for loss in replica.app.components.losses.losses.values()
            ]
            == [first.settings.name]
            for replica in replicas
        )
    )
