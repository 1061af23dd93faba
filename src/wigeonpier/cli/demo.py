"""The demo: a whole site on loopback in this process."""

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
QUESTION_RATE = 12.0
SWEEP_ITEMS = 600
SWEEP_TOKENS = 24
SWEEP_SECONDS = 40.0
MILLISECONDS = 1000
NAME_WIDTH = 24
CELL_WIDTH = 12
SHARES = (
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
        with ExitStack() as stack:
            stack.callback(site.stop)
            site.start(parsed.port)
            if parsed.hold:
                return _hold(site)
            return _run_load(site, parsed.seed)


def _hold(site: StandInSite) -> int:
    entry = site.find_entry().app
    callers, operators = entry.server.address, entry.admin.address
    key = site.plan.key
    _write(f'ready http://{callers} key={key}')
    _write(f'operators: --admin {operators} --key {PEER_KEY}')
    watch_signals().wait()
    return 0


@dataclass(slots=True)
class Findings:
    """What a run of the demo found.

    :param alone: answers without a sweep beside them.
    :param shared: answers with one.
    :param status: how the sweep ended.
    :param seconds: how long it took.
    :param found: result lines.
    :param once: items with exactly one result.
    """

    alone: list[Answer]
    shared: list[Answer]
    status: str = ''
    seconds: float = 0
    found: int = 0
    once: int = 0


def _run_load(site: StandInSite, seed: int) -> int:
    plan = site.plan
    client = Client(site.list_addresses(), plan.key, plan.service)
    draw = random.Random(seed)
    load = LoadPlan(PHASE_SECONDS, QUESTION_RATE)
    findings = Findings(client.ask_all(draw_arrivals(load, draw)), [])
    beside = gevent.spawn(client.ask_all, draw_arrivals(load, draw))
    _run_sweep(client, findings)
    findings.shared = beside.get()
    return _report(plan, findings)


def _run_sweep(client: Client, findings: Findings) -> None:
    prompts = [f'corner {number}' for number in range(SWEEP_ITEMS)]
    file_id = client.upload(make_lines(client.model, prompts, SWEEP_TOKENS))
    started = time.monotonic()
    job = client.create_batch(file_id)['id']
    batch = client.await_batch(job, SWEEP_SECONDS)
    findings.seconds = time.monotonic() - started
    findings.status = batch['status']
    lines = client.read_results(batch) if findings.status in FINAL else []
    counts = Counter(line['custom_id'] for line in lines)
    findings.found = len(lines)
    findings.once = sum(count == 1 for count in counts.values())


def _report(plan: SitePlan, findings: Findings) -> int:
    alone, shared = findings.alone, findings.shared
    _write(f'{plan.name}: {plan.replicas} replicas of {plan.service}')
    _write_row('', 'alone', 'with sweep')
    _write_row('questions', len(alone), len(shared))
    _write_row('whole right answers', _count_right(alone), _count_right(shared))
    for name, share in SHARES:
        _write_row(name, _find_first(alone, share), _find_first(shared, share))
    seconds = round(findings.seconds, 1)
    _write(f'sweep: {findings.status} in {seconds} s')
    _write(f'items: {SWEEP_ITEMS}, with exactly one result: {findings.once}')
    is_right = _count_right(alone + shared) == len(alone + shared)
    is_once = findings.once == SWEEP_ITEMS == findings.found
    return 0 if is_right and is_once else 1


def _count_right(answers: list[Answer]) -> int:
    return sum(answer.is_right for answer in answers)


def _find_first(answers: list[Answer], share: float) -> int:
    times = [answer.first_token for answer in answers if answer.first_token]
    return round(find_quantile(times, share) * MILLISECONDS)


def _write_row(name: str, *cells: object) -> None:
    texts = [str(cell).rjust(CELL_WIDTH) for cell in cells]
    _write(''.join((name.ljust(NAME_WIDTH), *texts)))


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
