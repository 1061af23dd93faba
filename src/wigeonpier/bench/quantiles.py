"""Quantiles of measured times."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def find_quantile(times: Sequence[float], share: float) -> float:
    """Find a quantile by rank.

    :param times: measured values, in any order.
    :param share: between 0 and 1.
    :returns: the value, not a number where there are none.
    """
    if not times:
        return math.nan
    ranked = sorted(times)
    rank = max(0, math.ceil(share * len(ranked)) - 1)
    return ranked[rank]
