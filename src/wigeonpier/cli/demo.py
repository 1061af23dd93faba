"""Runs a complete demo site on loopback in this process."""

from __future__ import annotations

import random
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.arrivals import LoadPlan, draw_arrivals
from wigeonpier.bench.load import FINAL, Answer, Client, make_lines
from wigeonpier.bench.quantiles import find_quantile
from wigeonpier.bench.site import PEER_KEY, PLANS, SitePlan, StandInSite
from wigeonpier.process import watch_signals
from wigeonpier.telemetry.logs import configure_logs

if TYPE_CHECKING:
    import argparse

PHASE_SECONDS = 10.0
REQUESTS_PER_SECOND = 12.0
BATCH_ITEMS = 600
BATCH_ITEM_TOKENS = 24
BATCH_TIMEOUT_SECONDS = 40.0
MS_PER_SECOND = 1000
NAME_WIDTH = 24
CELL_WIDTH = 12
QUANTILES = (
    ('first token p50, ms', 0.5),
    ('first token p95, ms', 0.95),
    ('first token p99, ms', 0.99),
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the sub-command.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--site',
        choices=sorted(PLANS),
        default='koro',
        help='deployment to run (default: %(default)s)',
    )
    parser.add_argument(
        '--seed',
        type=int,
        default=1,
        help='seed of the random load (default: %(default)s)',
    )
    parser.add_argument(
        '--hold',
        action='store_true',
        help='serve until interrupted instead of running a load',
    )
    parser.add_argument(
        '--port',
        type=int,
        default=0,
        help='port of the first entry, 0 for a free one (default: %(default)s)',
    )
    parser.set_defaults(run=run_demo)


def run_demo(parsed: argparse.Namespace) -> int:
    """Run the sub-command.

    :param parsed: its options.
    :returns: exit status, 0 if all answers are right and each item has exactly
        one result.
    """
    configure_logs('demo', 'error')
    plan = PLANS[parsed.site]
    with tempfile.TemporaryDirectory() as folder:
        site = StandInSite(plan, Path(folder), parsed.seed)
        with ExitStack() as stack:
            stack.callback(site.stop)
            site.start(parsed.port)
            if parsed.hold:
                return _serve(site)
            return _run_load(site, parsed.seed)


def _serve(site: StandInSite) -> int:
    entry = site.find_entry().app
    public_address, admin_address = entry.server.address, entry.admin.address
    key = site.plan.key
    _print_line(f'ready http://{public_address} key={key}')
    _print_line(f'operators: --admin {admin_address} --key {PEER_KEY}')
    watch_signals().wait()
    return 0


@dataclass(slots=True)
class LoadResults:
    """Measurements of one run of the demo load.

    :param online_only: answers while no batch job ran.
    :param with_batch: answers while a batch job ran.
    :param status: final status of the batch job.
    :param seconds: duration of the batch job.
    :param result_count: number of result lines.
    :param unique_count: items with exactly one result.
    """

    online_only: list[Answer]
    with_batch: list[Answer]
    status: str = ''
    seconds: float = 0
    result_count: int = 0
    unique_count: int = 0


def _run_load(site: StandInSite, seed: int) -> int:
    plan = site.plan
    client = Client(site.list_addresses(), plan.key, plan.service)
    rng = random.Random(seed)
    load = LoadPlan(PHASE_SECONDS, REQUESTS_PER_SECOND)
    results = LoadResults(client.ask_all(draw_arrivals(load, rng)), [])
    concurrent = gevent.spawn(client.ask_all, draw_arrivals(load, rng))
    _run_batch(client, results)
    results.with_batch = concurrent.get()
    return _report(plan, results)


def _run_batch(client: Client, results: LoadResults) -> None:
    prompts = [f'corner {number}' for number in range(BATCH_ITEMS)]
    file_id = client.upload(
        make_lines(client.model, prompts, BATCH_ITEM_TOKENS)
    )
    started_at = time.monotonic()
    job = client.create_batch(file_id)['id']
    batch = client.await_batch(job, BATCH_TIMEOUT_SECONDS)
    results.seconds = time.monotonic() - started_at
    results.status = batch['status']
    lines = client.read_results(batch) if results.status in FINAL else []
    counts = Counter(line['custom_id'] for line in lines)
    results.result_count = len(lines)
    results.unique_count = sum(count == 1 for count in counts.values())


def _report(plan: SitePlan, results: LoadResults) -> int:
    online_only, with_batch = results.online_only, results.with_batch
    _print_line(f'{plan.name}: {plan.replicas} replicas of {plan.service}')
    _print_row('', 'online only', 'with batch')
    _print_row('requests', len(online_only), len(with_batch))
    _print_row(
        'complete right answers',
        _count_right(online_only),
        _count_right(with_batch),
    )
    for name, fraction in QUANTILES:
        _print_row(
            name,
            _measure_first_token(online_only, fraction),
            _measure_first_token(with_batch, fraction),
        )
    seconds = round(results.seconds, 1)
    _print_line(f'batch job: {results.status} in {seconds} s')
    _print_line(
        f'items: {BATCH_ITEMS}, with exactly one result: {results.unique_count}'
    )
    is_right = _count_right(online_only + with_batch) == len(
        online_only + with_batch
    )
    is_unique = results.unique_count == BATCH_ITEMS == results.result_count
    return 0 if is_right and is_unique else 1


def _count_right(answers: list[Answer]) -> int:
    return sum(answer.is_right for answer in answers)


def _measure_first_token(answers: list[Answer], fraction: float) -> int:
    times = [answer.first_token for answer in answers if answer.first_token]
    return round(find_quantile(times, fraction) * MS_PER_SECOND)


def _print_row(name: str, *cells: object) -> None:
    texts = [str(cell).rjust(CELL_WIDTH) for cell in cells]
    _print_line(''.join((name.ljust(NAME_WIDTH), *texts)))


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
