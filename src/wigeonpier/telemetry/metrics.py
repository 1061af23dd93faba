"""Counters, gauges and HDR histograms in the Prometheus text format."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_US = 1
MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0, 99.9)
MICROSECONDS = 1_000_000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._counters: defaultdict[tuple[str, Labels], float] = defaultdict(
            float,
        )
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: name without prefix.
        :param amount: increment.
        :param labels: label values.
        """
        self._counters[name, _sort_labels(labels)] += amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram.

        :param name: name without prefix or unit.
        :param seconds: measured duration.
        :param labels: label values.
        """
        key = (name, _sort_labels(labels))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(max(MIN_US, int(seconds * MICROSECONDS)))

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when the metrics are rendered.

        :param name: name without prefix.
        :param read: returns the value.
        """
        self._gauges[name] = read

    def get_counter(self, name: str, **labels: str) -> float:
        """Read one counter.

        :param name: name without prefix.
        :param labels: label values.
        :returns: its value, 0 if it was never incremented.
        """
        return self._counters.get((name, _sort_labels(labels)), 0)

    def get_quantile(
        self, name: str, percentile: float, **labels: str
    ) -> float:
        """Read one quantile of a histogram.

        :param name: name without prefix or unit.
        :param percentile: percentile, 0 to 100.
        :param labels: label values.
        :returns: seconds, 0 if nothing was observed.
        """
        histogram = self._histograms.get((name, _sort_labels(labels)))
        if histogram is None:
            return 0
        return (
            float(histogram.get_value_at_percentile(percentile)) / MICROSECONDS
        )

    def render(self) -> str:
        """Render all metrics in the Prometheus text format.

        :returns: the text.
        """
        lines = [
            _render_line(name, labels, count)
            for (name, labels), count in sorted(self._counters.items())
        ]
        for gauge, read in sorted(self._gauges.items()):
            lines.append(_render_line(gauge, (), read()))
        for key in sorted(self._histograms):
            lines.extend(_render_histogram(*key, self._histograms[key]))
        return '\n'.join((*lines, ''))


def _sort_labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(f'{name}="{value}"' for name, value in labels)
    return f'{{{pairs}}}'


def _render_line(name: str, labels: Labels, value: float) -> str:
    return f'wigeonpier_{name}{_render_labels(labels)} {value}'


def _render_histogram(
    name: str,
    labels: Labels,
    histogram: HdrHistogram,
) -> list[str]:
    lines = [
        _render_line(
            f'{name}_seconds',
            (*labels, ('quantile', str(percentile / 100))),
            histogram.get_value_at_percentile(percentile) / MICROSECONDS,
        )
        for percentile in QUANTILES
    ]
    total = histogram.get_total_count()
    lines.append(_render_line(f'{name}_seconds_count', labels, total))
    return lines
