"""Recomputes the figures of the capacity page from the slopes file."""

from __future__ import annotations

from itertools import repeat
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.bench.slopes import Line, Point, Series, SlopesFile, fit_line

if TYPE_CHECKING:
    from collections.abc import Callable

START = '<!-- figures: start -->'
END = '<!-- figures: end -->'
TARGET_LOCALS = 380
TARGET_ENTRIES = 8
TARGET_CUSTOMERS = 4000
TARGET_JOBS = 150
HEAD_COLUMNS = 4

COSTS: tuple[tuple[str, Callable[[Point], float]], ...] = (
    ('entry, % of a core', lambda point: point.entry.cpu_percent),
    ('entry, MB', lambda point: point.entry.rss_mb),
    ('entry, KB/s', lambda point: point.entry.kb_per_second),
    ('local, % of a core', lambda point: point.local.cpu_percent),
    ('local, MB', lambda point: point.local.rss_mb),
    ('local, KB/s', lambda point: point.local.kb_per_second),
    ('key-value calls/s, all', lambda point: point.kv_calls_per_second),
)
TARGETS = (
    TARGET_LOCALS,
    TARGET_ENTRIES,
    TARGET_CUSTOMERS,
    TARGET_JOBS,
)


def load_slopes(path: str) -> SlopesFile:
    """Read measured series.

    :param path: the file.
    :returns: the series.
    """
    return msgspec.json.decode(Path(path).read_bytes(), type=SlopesFile)


def render_figures(slopes: SlopesFile) -> str:
    """Render the tables of the page.

    :param slopes: measured series.
    :returns: text between the page's marks.
    """
    seconds = slopes.seconds
    parts = [f'Measured by `{slopes.command}`, {seconds} s a size.']
    for series, target in zip(slopes.series, TARGETS, strict=True):
        parts.append(_render_series(series, target))
    return '\n\n'.join(parts)


def update_page(page: str, figures: str) -> str:
    """Put figures between the marks of a page.

    :param page: the page.
    :param figures: what stands between the marks.
    :returns: the new page.
    """
    head, _, rest = page.partition(START)
    _old, _, tail = rest.partition(END)
    return f'{head}{START}\n\n{figures}\n\n{END}{tail}'


def _render_series(series: Series, target: int) -> str:
    sizes = [point.size for point in series.points]
    names = ', '.join(map(str, sizes))
    rows = [
        _join_cells(
            [
                'cost',
                *(f'at {size}' for size in sizes),
                'each more',
                'off the line by',
                f'at {target}, extrapolated',
            ]
        ),
        _join_cells(list(repeat('---', len(sizes) + HEAD_COLUMNS))),
    ]
    for name, read in COSTS:
        costs = list(map(read, series.points))
        line = fit_line(sizes, costs)
        cells = [name, *map(str, costs), *_show(line, target)]
        rows.append(_join_cells(cells))
    what, held = series.name, series.held
    head = f'**Against {what}** ({names}; {held})'
    return '\n'.join((head, '', *rows))


def _show(line: Line, target: int) -> list[str]:
    reached = line.base + line.slope * target
    return [
        _round_figure(line.slope),
        _round_figure(line.spread),
        _round_figure(reached),
    ]


def _round_figure(figure: float) -> str:
    return format(figure, '.3g')


def _join_cells(cells: list[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'
