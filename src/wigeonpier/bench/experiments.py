"""Experiments of the bench: what each measures, and its options."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from wigeonpier.bench.batchcost import measure_batch
from wigeonpier.bench.faultsoak import SoakParts, run_fault_soak
from wigeonpier.bench.largefile import measure_uploads
from wigeonpier.bench.mix import run_mix
from wigeonpier.bench.overhead import measure_overhead
from wigeonpier.bench.quotamodel import list_outcomes
from wigeonpier.bench.site import PLANS
from wigeonpier.bench.slopes import measure_slopes
from wigeonpier.bench.soak import run_soak

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable
    from pathlib import Path

    MakeFolder = Callable[[str], Path]

DEFAULT_SITE = 'koro'
OVERHEAD_SECONDS = 5.0
MIX_SECONDS = 20.0
SOAK_SECONDS = 15.0
LIMIT_SEEDS = 4
FAULT_SOAK_SECONDS = 20.0
SLOPE_SECONDS = 8.0
BATCH_ITEMS = 4000
TAKEOVERS = 5
SLOPE_SIZES = '4,16,48,96'
UPLOAD_SIZES = '10000,100000,530000'


@dataclass(frozen=True, slots=True)
class Option:
    """One option of an experiment.

    :param name: name without dashes.
    :param default: its default, of the option's type.
    :param help_text: what it sets.
    :param choices: what it may be, ``None`` for anything.
    """

    name: str
    default: Any
    help_text: str
    choices: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment.

    :param name: its sub-command.
    :param help_text: what it measures.
    :param options: its options.
    :param run: runs it, given the options and a maker of empty folders, and
        gives a report; one that says ``is_good`` decides the exit status.
    """

    name: str
    help_text: str
    options: tuple[Option, ...]
    run: Callable[[argparse.Namespace, MakeFolder], Any]


def parse_sizes(text: str) -> tuple[int, ...]:
    """Read a list of sizes.

    :param text: whole numbers with commas between.
    :returns: the numbers.
    """
    return tuple(map(int, text.split(',')))


def _run_overhead(parsed: argparse.Namespace, make_folder: MakeFolder) -> Any:
    return measure_overhead(make_folder('fleet'), parsed.seconds)


def _run_mix(parsed: argparse.Namespace, make_folder: MakeFolder) -> Any:
    return run_mix(parsed.site, parsed.seed, parsed.seconds, make_folder)


def _run_soak(parsed: argparse.Namespace, make_folder: MakeFolder) -> Any:
    return run_soak(parsed.seed, parsed.seconds, make_folder('site'))


def _run_fault_soak(
    parsed: argparse.Namespace,
    make_folder: MakeFolder,
) -> Any:
    return run_fault_soak(
        parsed.seed,
        parsed.seconds,
        make_folder('hosted'),
        parsed.processes,
        SoakParts(
            bool(parsed.crashes),
            bool(parsed.keys),
            bool(parsed.versions),
            bool(parsed.parts),
            bool(parsed.late),
            bool(parsed.limits),
        ),
    )


def _run_batch(parsed: argparse.Namespace, make_folder: MakeFolder) -> Any:
    return measure_batch(parsed.items, parsed.takeovers, make_folder)


def _run_slopes(parsed: argparse.Namespace, make_folder: MakeFolder) -> Any:
    sizes = parse_sizes(parsed.locals)
    return measure_slopes(make_folder, sizes, parsed.seconds)


def _run_upload(parsed: argparse.Namespace, make_folder: MakeFolder) -> Any:
    return measure_uploads(parse_sizes(parsed.items), make_folder)


def _run_limits(parsed: argparse.Namespace, _make_folder: MakeFolder) -> Any:
    return list_outcomes(parsed.seeds)


_SEED = Option('seed', 1, 'draws load and faults')

EXPERIMENTS = (
    Experiment(
        'mix',
        'online and batch under four policies',
        (
            Option('site', DEFAULT_SITE, 'deployment', tuple(sorted(PLANS))),
            _SEED,
            Option('seconds', MIX_SECONDS, 'measured length of each run'),
        ),
        _run_mix,
    ),
    Experiment(
        'soak',
        'load under drawn faults; fails where a promise does',
        (_SEED, Option('seconds', SOAK_SECONDS, 'time with faults')),
        _run_soak,
    ),
    Experiment(
        'faultsoak',
        'hosted daemons as processes, harmed from outside',
        (
            _SEED,
            Option('seconds', FAULT_SOAK_SECONDS, 'time with faults'),
            Option('processes', 0, 'daemons to start, 0 for a small site'),
            Option('crashes', 0, '1 where replicas end as well'),
            Option('keys', 0, '1 where customers have keys and limits'),
            Option('versions', 0, '1 where two software versions serve'),
            Option('parts', 0, '1 where parts of prompts crash replicas'),
            Option('late', 0, '1 where answers and writes come late'),
            Option('limits', 0, '1 where jobs are large and watches get lost'),
        ),
        _run_fault_soak,
    ),
    Experiment(
        'batch',
        'what a batch item costs, beside a write per item',
        (
            Option('items', BATCH_ITEMS, 'items of each run'),
            Option('takeovers', TAKEOVERS, 'how often an owner is lost'),
        ),
        _run_batch,
    ),
    Experiment(
        'slopes',
        'what control alone costs by size',
        (
            Option('locals', SLOPE_SIZES, 'numbers of local processes'),
            Option('seconds', SLOPE_SECONDS, 'length of each measurement'),
        ),
        _run_slopes,
    ),
    Experiment(
        'upload',
        'memory of an entry that takes in large files',
        (Option('items', UPLOAD_SIZES, 'lines of each file'),),
        _run_upload,
    ),
    Experiment(
        'limits',
        'ways to hold a customer to its limit, in a model',
        (Option('seeds', LIMIT_SEEDS, 'runs of each'),),
        _run_limits,
    ),
    Experiment(
        'overhead',
        'what the processes add to a direct call',
        (Option('seconds', OVERHEAD_SECONDS, 'length of each part'),),
        _run_overhead,
    ),
)
