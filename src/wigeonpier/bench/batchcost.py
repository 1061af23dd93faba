"""Measures what a batch item costs, beside a write per item."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.pool import Pool

from wigeonpier.bench.batching import EngineShape
from wigeonpier.bench.load import Client, make_lines
from wigeonpier.bench.platform import StandInPlatform
from wigeonpier.bench.site import KORO, StandInSite
from wigeonpier.platform.gateway import GatewayPlatform
from wigeonpier.web.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

INSTANT = EngineShape(step_seconds=0, step_per_stream=0, prefill_per_token=0)
THOUSAND = 1000
WAIT_SECONDS = 120.0
STEP_SECONDS = 0.01
SLOW_TOKENS = 200
BASELINE_STREAMS = 64


class BatchCost(msgspec.Struct):
    """What items cost.

    :param items: items of the run.
    :param items_per_second: through one owner and one pair of folders.
    :param kv_calls_per_thousand: from the upload to the last result.
    :param bytes_per_item: of the journals, on one folder.
    :param takeover_seconds: from losing an owner until one of its items
        runs again, a time a run.
    :param baseline_items_per_second: with two writes an item to the service.
    :param baseline_kv_calls_per_thousand: likewise.
    """

    items: int
    items_per_second: float
    kv_calls_per_thousand: float
    bytes_per_item: float
    takeover_seconds: list[float]
    baseline_items_per_second: float
    baseline_kv_calls_per_thousand: float


def measure_batch(
    items: int,
    takeovers: int,
    make_folder: Callable[[str], Path],
) -> BatchCost:
    """Measure our way and the baseline in one run.

    :param items: items of each run.
    :param takeovers: how often an owner is lost.
    :param make_folder: makes an empty folder for one site.
    :returns: the costs.
    """
    folder = make_folder('owner')
    site = StandInSite(replace(KORO, replicas=1), folder, shape=INSTANT)
    site.start()
    calls = site.platform.calls.total()
    seconds = _run_job(site, items)
    # What heartbeats and watches call anyway is not the items' cost.
    idle = _count_idle_calls(site, seconds)
    made = site.platform.calls.total() - calls - 2 * idle
    site.stop()
    times = [
        _measure_takeover(make_folder(f'takeover-{number}'))
        for number in range(takeovers)
    ]
    baseline_seconds, baseline_calls = _run_baseline(items)
    return BatchCost(
        items=items,
        items_per_second=round(items / seconds, 1),
        kv_calls_per_thousand=round(made * THOUSAND / items, 2),
        bytes_per_item=round(_measure_journals(folder) / items, 1),
        takeover_seconds=times,
        baseline_items_per_second=round(items / baseline_seconds, 1),
        baseline_kv_calls_per_thousand=round(
            baseline_calls * THOUSAND / items,
            2,
        ),
    )


def _run_job(site: StandInSite, items: int) -> float:
    plan = site.plan
    client = Client(site.list_addresses(), plan.key, plan.service)
    prompts = [f'corner {number}' for number in range(items)]
    file_id = client.upload(make_lines(plan.service, prompts, 1))
    started = time.monotonic()
    job = client.create_batch(file_id)['id']
    batch = client.await_batch(job, WAIT_SECONDS)
    if batch['request_counts']['completed'] != items:
        raise RuntimeError(f'the job did not end well: {batch}')
    return time.monotonic() - started


def _count_idle_calls(site: StandInSite, seconds: float) -> int:
    before = site.platform.calls.total()
    gevent.sleep(seconds)
    return site.platform.calls.total() - before


def _measure_journals(folder: Path) -> int:
    paths = (folder / 'entry-1' / 'segments').rglob('*')
    return sum(path.stat().st_size for path in paths if path.is_file())


def _measure_takeover(folder: Path) -> float:
    site = StandInSite(replace(KORO, replicas=2), folder)
    site.start()
    plan = site.plan
    client = Client(site.list_addresses(), plan.key, plan.service)
    prompts = [f'corner {number}' for number in range(8)]
    lines = make_lines(plan.service, prompts, SLOW_TOKENS)
    client.create_batch(client.upload(lines))
    while not _find_owner(site):
        gevent.sleep(STEP_SECONDS)
    busy = _find_owner(site)
    lost = site.replicas[busy].engine
    started = time.monotonic()
    site.crash_replica(busy)
    known = set(lost.prompt_starts) if lost else set()
    while not _runs_any(site, known):
        gevent.sleep(STEP_SECONDS)
    seconds = time.monotonic() - started
    site.stop()
    return round(seconds, 2)


def _find_owner(site: StandInSite) -> str:
    for name, replica in site.replicas.items():
        if replica.engine and replica.engine.batcher.work.tokens:
            return name
    return ''


def _runs_any(site: StandInSite, prompts: set[str]) -> bool:
    return any(
        prompts & set(replica.engine.prompt_starts)
        for replica in site.replicas.values()
        if replica.engine
    )


def _run_baseline(items: int) -> tuple[float, int]:
    """Write each begin and each result to the service, as one owner would."""
    stand_in = StandInPlatform()
    server = stand_in.serve()
    port = GatewayPlatform(HttpClient(), server.address)
    pool = Pool(BASELINE_STREAMS)
    started = time.monotonic()
    for number in range(items):
        pool.spawn(_write_item, port, number)
    pool.join()
    seconds = time.monotonic() - started
    server.stop()
    return seconds, stand_in.calls.total()


def _write_item(port: GatewayPlatform, number: int) -> None:
    key = f'items/{number}'
    begun = port.swap(key, b'begin', 0)
    port.swap(key, b'outcome', begun.unwrap())
