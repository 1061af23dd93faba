"""Decides whether the crash of an upstream is evidence against a lone item.

Addresses bursts of crashes in which several upstreams are lost under the same
sound item.  A crash is evidence only if the item ran alone, and no other crash
is known shortly before its start or after its loss.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A service without a crash for this long is calm.
CALM_SECONDS = 4.0
# Runs lost in one crash fail shortly after each other, and no upstream starts
# and crashes again within this time.
SAME_CRASH_SECONDS = 1.0
# Reports of crashes arrive with the next heartbeat.
REPORT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class UpstreamLoss:
    """One crash of an upstream.

    :param upstream: name of its VM.
    :param at: when, seconds of the monotonic clock.
    """

    upstream: str
    at: float


@dataclass(frozen=True, slots=True)
class LoneLoss:
    """A run of an item alone at an upstream that was lost.

    :param upstream: name of the upstream's VM.
    :param started_at: start of the run, seconds of the monotonic clock.
    :param lost_at: when it was lost, seconds of that clock.
    """

    upstream: str
    started_at: float
    lost_at: float


def is_evidence(
    lone: LoneLoss, losses: Iterable[UpstreamLoss], informed_at: float
) -> bool:
    """Check whether a loss counts against the item that ran alone.

    :param lone: the loss.
    :param losses: crashes that are known here.
    :param informed_at: last report of other processes, seconds of the
        monotonic clock.
    :returns: false if another upstream crashed at about that time, or nobody
        could report it.
    """
    if informed_at < lone.lost_at + REPORT_SECONDS:
        return False
    return not any(_is_nearby(lone, loss) for loss in losses)


def _is_nearby(lone: LoneLoss, loss: UpstreamLoss) -> bool:
    is_same_crash = abs(loss.at - lone.lost_at) < SAME_CRASH_SECONDS
    if is_same_crash and loss.upstream == lone.upstream:
        return False
    earliest = lone.started_at - CALM_SECONDS
    return earliest <= loss.at <= lone.lost_at + CALM_SECONDS
