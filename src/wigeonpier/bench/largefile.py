"""Measures an entry's memory while it takes in a large batch file."""

from __future__ import annotations

import re
import time
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.bench.fleet import ProcessFleet
from wigeonpier.bench.load import Client, make_lines
from wigeonpier.bench.overhead import read_rss_mb
from wigeonpier.bench.site import KORO

if TYPE_CHECKING:
    from collections.abc import Callable

KILOBYTE = 1024
PEAK = re.compile(r'VmHWM:\s+(\d+)')


class LargeFile(msgspec.Struct):
    """What an upload took.

    :param items: lines of the file.
    :param megabytes: its size.
    :param seconds: until it was kept on both folders.
    :param rss_before_mb: memory of the entry before.
    :param rss_peak_mb: most memory that it ever had.
    """

    items: int
    megabytes: float
    seconds: float
    rss_before_mb: float
    rss_peak_mb: float


def measure_uploads(
    sizes: tuple[int, ...],
    make_folder: Callable[[str], Path],
) -> list[LargeFile]:
    """Upload files of growing size, each to a fresh entry.

    :param sizes: lines of each file.
    :param make_folder: makes an empty folder for one fleet.
    :returns: what each took.
    """
    return [_measure(size, make_folder(str(size))) for size in sizes]


def _measure(items: int, folder: Path) -> LargeFile:
    prompts = [f'corner {number}' for number in range(items)]
    lines = make_lines(KORO.service, prompts, 1)
    with ProcessFleet(folder) as fleet:
        fleet.start(2, 1, 2)
        entry = fleet.entries['entry-1']
        before = read_rss_mb(entry.process.pid)
        client = Client([entry.address], KORO.key, KORO.service)
        started = time.monotonic()
        client.upload(lines)
        seconds = time.monotonic() - started
        peak = read_peak_mb(entry.process.pid)
    megabytes = len(lines) / KILOBYTE / KILOBYTE
    return LargeFile(
        items, round(megabytes, 1), round(seconds, 2), before, peak
    )


def read_peak_mb(process: int) -> float:
    """Read the most memory that a process ever had.

    :param process: its id.
    :returns: megabytes.
    """
    text = Path(f'/proc/{process}/status').read_text(encoding='ascii')
    found = PEAK.search(text)
    return round(int(found.group(1)) / KILOBYTE, 1) if found else 0
