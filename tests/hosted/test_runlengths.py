"""Which runs count for the run time that a worker reports."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from tests.hosted.builders import make_open_job
from wigeonpier.hosted import runner
from wigeonpier.hosted.items import ItemWork, RunOutcome
from wigeonpier.models import JobItem
from wigeonpier.telemetry.metrics import Metrics


@pytest.mark.parametrize(('inherited', 'runs'), [(0, 1), (90, 0)])
def test_an_item_that_began_elsewhere_does_not_count(
    monkeypatch: pytest.MonkeyPatch, inherited, runs
) -> None:
    """The rest of a moved item made its new worker seem faster than it is."""
    monkeypatch.setattr(runner, 'run_item', lambda *_given: RunOutcome.whole)
    upstream = SimpleNamespace(replica=object(), report=None, version='v1')
    trials = SimpleNamespace(
        finish=lambda _work, **_given: None,
        record_completion=lambda _work: None,
        health=SimpleNamespace(record_item=lambda _work, **_given: None),
    )
    writer = SimpleNamespace(add=lambda _key, _result: None)
    parts = (upstream, writer, None, Metrics(), None, trials)
    made = runner.ItemRunner(*parts)
    work = ItemWork(
        make_open_job(), 0, JobItem('i', '/p', {}, b'', 1), 9, 9, ['a'] * 100
    )
    work.version = upstream.version
    work.run_seconds = 0.4
    work.inherited_events = inherited
    made._run(work)
    assert made._lengths.runs == runs
