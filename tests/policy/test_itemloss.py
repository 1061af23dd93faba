"""Losses of items that ran alone."""

from __future__ import annotations

import pytest

from wigeonpier.policy.itemloss import (
    CALM_SECONDS,
    LoneLoss,
    UpstreamLoss,
    is_evidence,
)

LONE = LoneLoss('vm-1', started_at=100, lost_at=101)
LATER = 200


def test_a_loss_in_calm_is_evidence() -> None:
    losses = [
        UpstreamLoss('vm-1', LONE.lost_at + 0.1),
        UpstreamLoss('vm-2', LONE.started_at - CALM_SECONDS - 1),
        UpstreamLoss('vm-2', LONE.lost_at + CALM_SECONDS + 1),
    ]
    assert is_evidence(LONE, losses, LATER)


@pytest.mark.parametrize(
    'loss',
    [
        UpstreamLoss('vm-2', LONE.started_at - CALM_SECONDS + 1),
        UpstreamLoss('vm-2', LONE.lost_at),
        UpstreamLoss('vm-2', LONE.lost_at + CALM_SECONDS - 1),
        UpstreamLoss('vm-1', LONE.started_at - 1),
        UpstreamLoss('vm-1', LONE.lost_at + 2),
    ],
)
def test_a_loss_beside_other_crashes_is_no_evidence(
    loss: UpstreamLoss,
) -> None:
    assert not is_evidence(LONE, [loss], LATER)


def test_a_loss_is_no_evidence_where_nobody_could_report_others() -> None:
    assert not is_evidence(LONE, [], LONE.lost_at)
