"""Command line of the experiments and stand-ins; no daemon imports it."""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from wigeonpier.bench.capacity import load_slopes, render_figures, update_page
from wigeonpier.bench.engine import StandInEngine
from wigeonpier.bench.experiments import EXPERIMENTS, Experiment, Option
from wigeonpier.bench.fleet import EngineSettings
from wigeonpier.process import watch_signals
from wigeonpier.settings.process import split_address
from wigeonpier.telemetry.logs import configure_logs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SLOPES_FILE = 'docs/capacity/slopes.json'
PAGE_FILE = 'docs/CAPACITY.md'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one experiment or tool.

    :param arguments: command line, that of the process by default.
    :returns: exit status.
    """
    # Injected crashes of owners and upstreams would fill the log.
    configure_logs('bench', 'critical')
    parsed = make_parser().parse_args(arguments)
    return int(parsed.run(parsed))


def make_parser() -> argparse.ArgumentParser:
    """Make the parser with all subcommands.

    :returns: the parser.
    """
    parser = argparse.ArgumentParser('wigeonpier-bench', description=__doc__)
    commands = parser.add_subparsers(required=True, metavar='experiment')
    for experiment in EXPERIMENTS:
        text = experiment.help_text
        command = commands.add_parser(
            experiment.name,
            help=text,
            description=text,
        )
        for option in experiment.options:
            _add_option(command, option)
        command.add_argument(
            '--json', action='store_true', help='print JSON (always on)'
        )
        command.set_defaults(run=_bind_experiment(experiment))
    _add_capacity(commands.add_parser('capacity', help="the page's figures"))
    _add_engine(commands.add_parser('engine', help='a stand-in engine'))
    return parser


def _add_option(command: argparse.ArgumentParser, option: Option) -> None:
    command.add_argument(
        f'--{option.name}',
        type=type(option.default),
        default=option.default,
        choices=option.choices,
        help=f'{option.help_text} (default: %(default)s)',
    )


def _bind_experiment(
    experiment: Experiment,
) -> Callable[[argparse.Namespace], int]:
    def run(parsed: argparse.Namespace) -> int:
        with tempfile.TemporaryDirectory() as folder:
            report = experiment.run(
                parsed,
                lambda name: _make_folder(Path(folder) / name),
            )
        _write_json(report)
        return 0 if getattr(report, 'is_good', True) else 1

    return run


def _add_capacity(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--slopes',
        default=SLOPES_FILE,
        help='measured series (default: %(default)s)',
    )
    command.add_argument(
        '--page',
        default=PAGE_FILE,
        help='page with the figures (default: %(default)s)',
    )
    command.add_argument(
        '--check',
        action='store_true',
        help='fail where the page does not match the series',
    )
    command.set_defaults(run=_run_capacity)


def _run_capacity(parsed: argparse.Namespace) -> int:
    path = Path(parsed.page)
    page = path.read_text(encoding='utf-8')
    updated = update_page(page, render_figures(load_slopes(parsed.slopes)))
    if not parsed.check:
        path.write_text(updated, encoding='utf-8')
        return 0
    if updated != page:
        sys.stderr.write(f'{path} is stale; run wigeonpier-bench capacity\n')
    return int(updated != page)


def _add_engine(command: argparse.ArgumentParser) -> None:
    command.add_argument('settings', help='JSON of EngineSettings')
    command.set_defaults(run=_run_engine)


def _run_engine(parsed: argparse.Namespace) -> int:
    """Serve one stand-in engine until a signal stops it."""
    settings = msgspec.json.decode(parsed.settings, type=EngineSettings)
    engine = StandInEngine(
        (settings.model,), settings.shape, seed=settings.seed
    )
    engine.serve(*split_address(settings.address))
    watch_signals().wait()
    return 0


def _make_folder(path: Path) -> Path:
    path.mkdir()
    return path


def _write_json(report: Any) -> None:
    sys.stdout.write(msgspec.json.encode(report).decode())
    sys.stdout.write('\n')


if __name__ == '__main__':
    sys.exit(main())
