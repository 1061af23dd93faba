"""Owed batch items of the own interface, with daemons as real processes."""

from __future__ import annotations

import subprocess
import time
from typing import TYPE_CHECKING, Any

import gevent
import pytest
from result import Err

from tests.builders import wait_for
from wigeonpier.bench.answers import make_answer
from wigeonpier.bench.batching import EngineShape
from wigeonpier.bench.engine import COUNTS_PATH, EngineCount
from wigeonpier.bench.fleet import ProcessFleet
from wigeonpier.bench.load import Client, make_lines
from wigeonpier.bench.site import KORO

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SHAPE = EngineShape(step_seconds=0.02)
TOKENS = 100
PROMPT = 'what is R1?'
# The first one beside other items, three while the item ran alone.
LOSSES = 4
RESTART_SECONDS = 0.5
OWED_SECONDS = 30.0
READY_SECONDS = 30.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[ProcessFleet]:
    """Start two entries, and two local processes with an engine each."""
    with ProcessFleet(tmp_path, SHAPE, most_engines=2) as fleet:
        fleet.start(2, 2, disks=2)
        yield fleet


def count_tokens(fleet: ProcessFleet) -> int:
    """Count the tokens of batch items that the present engines have made."""
    tokens = 0
    for engine in fleet.engines:
        called = fleet.client.call(engine.address, 'GET', COUNTS_PATH)
        if not isinstance(called, Err):
            tokens += called.ok_value.decode(EngineCount).batch_tokens
    return tokens


def crash_engines(fleet: ProcessFleet) -> None:
    """Kill all engines at once, and start them again."""
    for engine in fleet.engines:
        engine.process.kill()
    for engine in fleet.engines:
        engine.process.wait()
    gevent.sleep(RESTART_SECONDS)
    for engine in fleet.engines:
        engine.process = subprocess.Popen(engine.process.args)


def submit(client: Client) -> str:
    """Submit a job of one item, once enough data folders are known."""
    deadline = time.monotonic() + READY_SECONDS
    while True:
        try:
            file_id = client.upload(make_lines(KORO.service, [PROMPT], TOKENS))
            return str(client.create_batch(file_id)['id'])
        except RuntimeError:
            assert time.monotonic() < deadline, 'no job is accepted'
            gevent.sleep(RESTART_SECONDS)


def read_answers(client: Client, job: str) -> list[Any]:
    """Wait for the results of a job and return its answers or errors."""
    batch = client.await_batch(job, OWED_SECONDS)
    return [
        line['response']['body']['choices'][0]['message']['content']
        if line['response']
        else line['error']
        for line in client.read_results(batch)
    ]


def test_an_item_under_which_engines_crashed_runs_once_all_is_calm(
    fleet: ProcessFleet,
) -> None:
    """It got an error as its result after two losses while it ran alone."""
    addresses = [entry.address for entry in fleet.entries.values()]
    client = Client(addresses, KORO.key, KORO.service)
    job = submit(client)
    for _ in range(LOSSES):
        wait_for(lambda: count_tokens(fleet), OWED_SECONDS)
        crash_engines(fleet)
    assert read_answers(client, job) == [
        make_answer(KORO.service, PROMPT, TOKENS)
    ]
