"""Measures what control alone costs against the size of the deployment."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import gevent
import msgspec

from wigeonpier.bench.fleet import ProcessFleet
from wigeonpier.bench.load import Client, make_lines
from wigeonpier.bench.overhead import read_cpu_seconds, read_rss_mb
from wigeonpier.bench.site import KORO, read_example
from wigeonpier.settings.deployment import hash_key

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from wigeonpier.bench.fleet import Daemon

SETTLE_SECONDS = 5.0
KILOBYTE = 1024
PERCENT = 100
IDLE_MODEL = 'not-served'
IDLE_ITEMS = 128
FEW = 12
ENTRY_SIZES = (2, 4, 8)
CUSTOMER_SIZES = (2, 1000, 4000)
JOB_SIZES = (0, 50, 200)


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """One size to measure.

    :param varied: the number that is varied.
    :param entries: entry processes.
    :param locals: local processes.
    :param customers: client accounts.
    :param jobs: waiting jobs.
    """

    varied: int
    entries: int = 2
    locals: int = 4
    customers: int = 2
    jobs: int = 0


class RoleCost(msgspec.Struct):
    """What one process of a role costs, the mean of its processes.

    :param cpu_percent: per cent of one core.
    :param rss_mb: resident memory, megabytes.
    :param kb_per_second: bytes moved between processes, kilobytes a second.
    """

    cpu_percent: float
    rss_mb: float
    kb_per_second: float


class Point(msgspec.Struct):
    """One measured size.

    :param size: what was varied.
    :param entry: cost of an entry process.
    :param local: cost of a local process.
    :param kv_calls_per_second: calls to the key-value service, of all
        processes, the VM list included.
    """

    size: int
    entry: RoleCost
    local: RoleCost
    kv_calls_per_second: float


class Series(msgspec.Struct):
    """What was varied, and what came of it.

    :param name: what was varied.
    :param held: what stayed the same.
    :param points: one a size.
    """

    name: str
    held: str
    points: list[Point]


class SlopesFile(msgspec.Struct):
    """All series, as the capacity page quotes them.

    :param command: how they were measured.
    :param seconds: length of each measurement.
    :param series: by what was varied.
    """

    command: str
    seconds: float
    series: list[Series]


class Line(msgspec.Struct):
    """A straight line through points.

    :param base: value at size 0.
    :param slope: growth with each one more.
    :param spread: largest distance of a point from the line.
    """

    base: float
    slope: float
    spread: float


def measure_slopes(
    make_folder: Callable[[str], Path],
    locals_sizes: tuple[int, ...],
    seconds: float,
) -> SlopesFile:
    """Measure all series, one size after the other.

    :param make_folder: makes an empty folder for one fleet.
    :param locals_sizes: numbers of local processes.
    :param seconds: length of each measurement.
    :returns: the series.
    """
    sizes = ','.join(map(str, locals_sizes))
    return SlopesFile(
        command=f'wigeonpier-bench slopes --locals {sizes} --seconds {seconds}',
        seconds=seconds,
        series=[
            Series(
                'local processes',
                '3 entries, 2 customers, no jobs',
                [
                    _measure(make_folder, Size(size, 3, size), seconds)
                    for size in locals_sizes
                ],
            ),
            Series(
                'entry processes',
                '12 local processes, 2 customers, no jobs',
                [
                    _measure(make_folder, Size(size, size, FEW), seconds)
                    for size in ENTRY_SIZES
                ],
            ),
            Series(
                'customers',
                '2 entries, 4 local processes, no jobs',
                [
                    _measure(make_folder, Size(size, customers=size), seconds)
                    for size in CUSTOMER_SIZES
                ],
            ),
            Series(
                'waiting jobs of 8 chunks',
                '2 entries, 4 local processes, 2 customers',
                [
                    _measure(make_folder, Size(size, jobs=size), seconds)
                    for size in JOB_SIZES
                ],
            ),
        ],
    )


def fit_line(sizes: list[int], costs: list[float]) -> Line:
    """Fit a straight line by least squares.

    :param sizes: what was varied.
    :param costs: what was measured.
    :returns: the line.
    """
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_cost = sum(costs) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, costs, strict=True))
    joint = sum((size - mean_size) * (cost - mean_cost) for size, cost in pairs)
    slope = joint / spread
    base = mean_cost - slope * mean_size
    distances = [abs(cost - base - slope * size) for size, cost in pairs]
    return Line(base, slope, max(distances))


def _measure(
    make_folder: Callable[[str], Path],
    size: Size,
    seconds: float,
) -> Point:
    folder = make_folder('-'.join(map(str, dataclasses.astuple(size))))
    with ProcessFleet(folder) as fleet:
        base = _make_base(size.customers)
        fleet.start(size.entries, size.locals, 2, base)
        for number in range(size.jobs):
            _submit_idle_job(fleet, number)
        gevent.sleep(SETTLE_SECONDS)
        before = _read_costs(fleet)
        calls = fleet.platform.calls.total()
        gevent.sleep(seconds)
        after = _read_costs(fleet)
        made = fleet.platform.calls.total() - calls
    return Point(
        size=size.varied,
        entry=_compare(before, after, 'entry', seconds),
        local=_compare(before, after, 'replica', seconds),
        kv_calls_per_second=round(made / seconds, 2),
    )


def _read_costs(fleet: ProcessFleet) -> dict[str, RoleCost]:
    return {
        daemon.name: _read_cost(fleet, daemon)
        for daemon in fleet.list_daemons()
    }


def _read_cost(fleet: ProcessFleet, daemon: Daemon) -> RoleCost:
    process = daemon.process.pid
    return RoleCost(
        read_cpu_seconds(process),
        read_rss_mb(process),
        fleet.read_metric(daemon, 'peer_bytes_total') / KILOBYTE,
    )


def _compare(
    before: dict[str, RoleCost],
    after: dict[str, RoleCost],
    role: str,
    seconds: float,
) -> RoleCost:
    names = [name for name in before if name.startswith(role)]
    spent = [
        after[name].cpu_percent - before[name].cpu_percent for name in names
    ]
    moved = [
        after[name].kb_per_second - before[name].kb_per_second for name in names
    ]
    memory = [after[name].rss_mb for name in names]
    count = len(names)
    return RoleCost(
        cpu_percent=round(sum(spent) * PERCENT / seconds / count, 3),
        rss_mb=round(sum(memory) / count, 2),
        kb_per_second=round(sum(moved) / seconds / count, 3),
    )


def _make_base(customers: int) -> dict[str, Any]:
    base = read_example(KORO.name)
    service = base['services'][KORO.service]
    service['models'] = [KORO.service, IDLE_MODEL]
    for number in range(customers - len(base['customers'])):
        name = f'customer-{number}'
        base['customers'][name] = {'key_hashes': [hash_key(name)]}
    return base


def _submit_idle_job(fleet: ProcessFleet, number: int) -> None:
    """Submit a job that no upstream can run, so that it only waits."""
    client = Client(
        [entry.address for entry in fleet.entries.values()],
        KORO.key,
        IDLE_MODEL,
    )
    prompts = [f'job {number} corner {corner}' for corner in range(IDLE_ITEMS)]
    client.create_batch(client.upload(make_lines(IDLE_MODEL, prompts, 1)))
