"""Stand-ins, load and experiments; the daemons never need this."""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from gevent.event import Event as Signal

from wigeonpier.bench.batchcost import measure_batch
from wigeonpier.bench.capacity import load_slopes, render_figures, update_page
from wigeonpier.bench.engine import StandInEngine
from wigeonpier.bench.fleet import EngineSettings
from wigeonpier.bench.largefile import measure_uploads
from wigeonpier.bench.mix import run_mix
from wigeonpier.bench.overhead import measure_overhead
from wigeonpier.bench.site import PLANS
from wigeonpier.bench.slopes import measure_slopes
from wigeonpier.bench.soak import run_soak
from wigeonpier.settings.process import split_address
from wigeonpier.telemetry.logs import configure_logs

if TYPE_CHECKING:
    from collections.abc import Sequence

MIX_SECONDS = 20
SOAK_SECONDS = 15
SLOPE_SECONDS = 8
BATCH_ITEMS = 4000


def add_overhead(parser: argparse.ArgumentParser) -> None:
    """Declare ``overhead``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--seconds',
        type=float,
        default=5,
        help='length of each part (default: %(default)s)',
    )
    parser.set_defaults(run=run_overhead)


def run_overhead(parsed: argparse.Namespace) -> int:
    """Measure what both processes add to a direct call.

    :param parsed: options.
    :returns: exit status.
    """
    with tempfile.TemporaryDirectory() as folder:
        write_json(measure_overhead(Path(folder), parsed.seconds))
    return 0


def add_engine(parser: argparse.ArgumentParser) -> None:
    """Declare ``engine``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument('settings', help='JSON of EngineSettings')
    parser.set_defaults(run=run_engine)


def run_engine(parsed: argparse.Namespace) -> int:
    """Serve one stand-in engine until it is told to stop.

    :param parsed: options.
    :returns: exit status.
    """
    told = msgspec.json.decode(parsed.settings, type=EngineSettings)
    engine = StandInEngine((told.model,), told.shape, seed=told.seed)
    engine.serve(*split_address(told.address))
    wanted = Signal()
    gevent.signal_handler(signal.SIGTERM, wanted.set)
    wanted.wait()
    return 0


def add_soak(parser: argparse.ArgumentParser) -> None:
    """Declare ``soak``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--seed',
        type=int,
        default=1,
        help='draws load and faults (default: %(default)s)',
    )
    parser.add_argument(
        '--seconds',
        type=float,
        default=SOAK_SECONDS,
        help='length of the time with faults (default: %(default)s)',
    )
    parser.set_defaults(run=run_soak_command)


def run_soak_command(parsed: argparse.Namespace) -> int:
    """Run load under drawn faults, and check every promise.

    :param parsed: options.
    :returns: exit status; 0 only if all is well.
    """
    configure_logs('soak', 'critical')
    with tempfile.TemporaryDirectory() as folder:
        report = run_soak(parsed.seed, parsed.seconds, Path(folder))
    write_json(report)
    return 0 if report.is_good else 1


def add_slopes(parser: argparse.ArgumentParser) -> None:
    """Declare ``slopes``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--locals',
        default='4,16,48,96',
        help='numbers of local processes (default: %(default)s)',
    )
    parser.add_argument(
        '--seconds',
        type=float,
        default=SLOPE_SECONDS,
        help='length of each measurement (default: %(default)s)',
    )
    parser.add_argument('--json', action='store_true', help='the only format')
    parser.set_defaults(run=run_slopes)


def run_slopes(parsed: argparse.Namespace) -> int:
    """Measure what control alone costs against the deployment's size.

    :param parsed: options.
    :returns: exit status.
    """
    sizes = tuple(map(int, parsed.locals.split(',')))
    with tempfile.TemporaryDirectory() as folder:
        write_json(
            measure_slopes(
                lambda name: _make_folder(Path(folder) / name),
                sizes,
                parsed.seconds,
            ),
        )
    return 0


def add_capacity(parser: argparse.ArgumentParser) -> None:
    """Declare ``capacity``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--slopes',
        default='docs/capacity/slopes.json',
        help='measured series (default: %(default)s)',
    )
    parser.add_argument(
        '--page',
        default='docs/CAPACITY.md',
        help='page with the figures (default: %(default)s)',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='fail where the page does not match the series',
    )
    parser.set_defaults(run=run_capacity)


def run_capacity(parsed: argparse.Namespace) -> int:
    """Recompute the page's figures from the series, or check them.

    :param parsed: options.
    :returns: exit status.
    """
    path = Path(parsed.page)
    page = path.read_text(encoding='utf-8')
    fresh = update_page(page, render_figures(load_slopes(parsed.slopes)))
    if not parsed.check:
        path.write_text(fresh, encoding='utf-8')
        return 0
    if fresh != page:
        sys.stderr.write(f'{path} is stale; run wigeonpier-bench capacity\n')
    return int(fresh != page)


def add_batch(parser: argparse.ArgumentParser) -> None:
    """Declare ``batch``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--items',
        type=int,
        default=BATCH_ITEMS,
        help='items of each run (default: %(default)s)',
    )
    parser.add_argument(
        '--takeovers',
        type=int,
        default=5,
        help='how often an owner is lost (default: %(default)s)',
    )
    parser.set_defaults(run=run_batch)


def run_batch(parsed: argparse.Namespace) -> int:
    """Measure what a batch item costs, beside a write per item.

    :param parsed: options.
    :returns: exit status.
    """
    # Owners that were lost on purpose would fill the log.
    configure_logs('batch', 'critical')
    with tempfile.TemporaryDirectory() as folder:
        write_json(
            measure_batch(
                parsed.items,
                parsed.takeovers,
                lambda name: _make_folder(Path(folder) / name),
            ),
        )
    return 0


def add_upload(parser: argparse.ArgumentParser) -> None:
    """Declare ``upload``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--items',
        default='10000,100000,530000',
        help='lines of each file (default: %(default)s)',
    )
    parser.set_defaults(run=run_upload)


def run_upload(parsed: argparse.Namespace) -> int:
    """Measure an entry's memory while it takes in large files.

    :param parsed: options.
    :returns: exit status.
    """
    sizes = tuple(map(int, parsed.items.split(',')))
    with tempfile.TemporaryDirectory() as folder:
        write_json(
            measure_uploads(
                sizes,
                lambda name: _make_folder(Path(folder) / name),
            ),
        )
    return 0


def add_mix(parser: argparse.ArgumentParser) -> None:
    """Declare ``mix``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument(
        '--site',
        choices=sorted(PLANS),
        default='koro',
        help='deployment (default: %(default)s)',
    )
    parser.add_argument(
        '--seed',
        type=int,
        default=1,
        help='draws the arrivals (default: %(default)s)',
    )
    parser.add_argument(
        '--seconds',
        type=float,
        default=MIX_SECONDS,
        help='measured length of each run (default: %(default)s)',
    )
    parser.set_defaults(run=run_mix_command)


def run_mix_command(parsed: argparse.Namespace) -> int:
    """Run the same arrivals under each policy.

    :param parsed: options.
    :returns: exit status.
    """
    with tempfile.TemporaryDirectory() as folder:
        write_json(
            run_mix(
                parsed.site,
                parsed.seed,
                parsed.seconds,
                lambda name: _make_folder(Path(folder) / name),
            ),
        )
    return 0


def _make_folder(path: Path) -> Path:
    path.mkdir()
    return path


def write_json(content: Any) -> None:
    """Print one JSON line.

    :param content: what was found.
    """
    sys.stdout.write(msgspec.json.encode(content).decode())
    sys.stdout.write('\n')


COMMANDS = (
    ('engine', 'a stand-in engine', add_engine),
    ('mix', 'online and batch under four policies', add_mix),
    ('soak', 'load under drawn faults', add_soak),
    ('slopes', 'what control costs by size', add_slopes),
    ('capacity', 'figures of the capacity page', add_capacity),
    ('batch', 'what a batch item costs', add_batch),
    ('upload', 'memory of an entry and large files', add_upload),
    ('overhead', 'what the processes add to a direct call', add_overhead),
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one experiment.

    :param arguments: command line, the process's own by default.
    :returns: exit status.
    """
    parser = argparse.ArgumentParser('wigeonpier-bench', description=__doc__)
    commands = parser.add_subparsers(required=True, metavar='experiment')
    for name, help_text, add_arguments in COMMANDS:
        add_arguments(
            commands.add_parser(name, help=help_text, description=help_text),
        )
    parsed = parser.parse_args(arguments)
    configure_logs('bench', 'error')
    return int(parsed.run(parsed))


if __name__ == '__main__':
    sys.exit(main())
