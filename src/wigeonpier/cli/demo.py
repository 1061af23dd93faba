"""The demo: a whole site on loopback in this process."""

from __future__ import annotations

import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event as Signal

from wigeonpier.bench.arrivals import LoadPlan, draw_arrivals
from wigeonpier.bench.load import Answer, Client, make_lines
from wigeonpier.bench.quantiles import find_quantile
from wigeonpier.bench.site import PLANS, SitePlan, StandInSite
from wigeonpier.telemetry.logs import configure_logs

if TYPE_CHECKING:
    import argparse

PHASE_SECONDS = 10.0
QUESTION_RATE = 12.0
SWEEP_ITEMS = 600
SWEEP_TOKENS = 24
SWEEP_SECONDS = 40.0
MILLISECONDS = 1000


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
        help='draws the load (default: %(default)s)',
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
    :returns: exit status; 0 where each item has exactly one right result.
    """
    configure_logs('demo', 'error')
    plan = PLANS[parsed.site]
    with tempfile.TemporaryDirectory() as folder:
        site = StandInSite(plan, Path(folder), parsed.seed)
        site.start(parsed.port)
        try:
            if parsed.hold:
                return _hold(site)
            return _run_load(site, parsed.seed)
        finally:
            site.stop()


def _hold(site: StandInSite) -> int:
    address = site.find_entry().app.server.address
    _write(f'ready http://{address} key={site.plan.key}')
    try:
        Signal().wait()
    except KeyboardInterrupt:
        return 0
    return 0


def _run_load(site: StandInSite, seed: int) -> int:
    plan = site.plan
    client = Client(site.list_addresses(), plan.key, plan.service)
    draw = random.Random(seed)
    load = LoadPlan(PHASE_SECONDS, QUESTION_RATE)
    alone = client.ask_all(draw_arrivals(load, draw))
    prompts = [f'corner {number}' for number in range(SWEEP_ITEMS)]
    file_id = client.upload(make_lines(plan.service, prompts, SWEEP_TOKENS))
    started = time.monotonic()
    job = client.create_batch(file_id)['id']
    beside = gevent.spawn(client.ask_all, draw_arrivals(load, draw))
    batch = client.await_batch(job, SWEEP_SECONDS)
    seconds = time.monotonic() - started
    shared = beside.get()
    return _report(plan, alone, shared, batch, client, seconds)


def _report(
    plan: SitePlan,
    alone: list[Answer],
    shared: list[Answer],
    batch: dict[str, Any],
    client: Client,
    seconds: float,
) -> int:
    ended = batch['status'] == 'completed'
    found = client.read_results(batch) if ended else []
    counts = Counter(line['custom_id'] for line in found)
    once = sum(count == 1 for count in counts.values())
    _write(f'{plan.name}: {plan.replicas} replicas of {plan.service}')
    _write(f'{"":24}{"alone":>12}{"with sweep":>12}')
    _write_row('questions', len(alone), len(shared))
    _write_row('whole right answers', _count_right(alone), _count_right(shared))
    for share in (0.5, 0.95, 0.99):
        _write_row(
            f'first token p{share * 100:.0f}, ms',
            _find_first(alone, share),
            _find_first(shared, share),
        )
    _write(f'sweep: {batch["status"]} in {seconds:.1f} s')
    _write(f'items: {SWEEP_ITEMS}, with exactly one result: {once}')
    is_right = _count_right(alone + shared) == len(alone + shared)
    return 0 if is_right and once == SWEEP_ITEMS == len(found) else 1


def _count_right(answers: list[Answer]) -> int:
    return sum(answer.is_right for answer in answers)


def _find_first(answers: list[Answer], share: float) -> int:
    times = [answer.first_token for answer in answers if answer.first_token]
    return round(find_quantile(times, share) * MILLISECONDS)


def _write_row(name: str, first: int, second: int) -> None:
    _write(f'{name:24}{first:>12}{second:>12}')


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
