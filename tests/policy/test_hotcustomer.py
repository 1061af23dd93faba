"""How long requests wait while one customer sends many times its usual load."""

from __future__ import annotations

import pytest

from tests.policy.hotcustomer import (
    CLAIMS,
    ENTRY_QUEUES,
    ENTRY_SHARES,
    HOT,
    OBJECTIVE,
    HotModel,
)
from wigeonpier.policy.waiting import MIN_QUEUE_SHARE

SEEDS = (1, 2, 3)
MOST_GROWTH = 1.2
MOST_CALLS = 4.0


def run_all(factor: float, method: str = CLAIMS) -> list[HotModel]:
    return [
        HotModel(factor=factor, method=method, seed=seed).run()
        for seed in SEEDS
    ]


def find_p99(runs: list[HotModel]) -> float:
    waits = sorted(wait for run in runs for wait in run.list_waits())
    return waits[int(len(waits) * 0.99)]


@pytest.fixture(scope='module')
def usual_p99() -> float:
    """Give the 99th percentile of the wait without the hot customer."""
    return find_p99(run_all(0))


@pytest.mark.parametrize('factor', [3, 5, 7.5])
def test_other_customers_wait_no_longer(
    factor: float, usual_p99: float
) -> None:
    """Guards against a customer whose load makes the others wait."""
    runs = run_all(factor)
    assert find_p99(runs) <= MOST_GROWTH * usual_p99
    others = [ask for run in runs for ask in run.asks if ask.customer != HOT]
    assert not any(ask.is_refused for ask in others)
    asks = [ask for run in runs for ask in run.asks]
    assert sum(ask.calls for ask in asks) / len(asks) <= MOST_CALLS


@pytest.mark.parametrize('method', [ENTRY_QUEUES, ENTRY_SHARES])
def test_entries_alone_cannot_share_slots(
    method: str, usual_p99: float
) -> None:
    """Shows that the replay has the load which the claims are for."""
    runs = [HotModel(factor=7.5, method=method, seconds=11.6).run()]
    assert find_p99(runs) > MOST_GROWTH * usual_p99
    assert sum(one.calls for one in runs[0].asks) > MOST_CALLS * len(
        runs[0].asks
    )


def test_a_customer_alone_gets_all_slots() -> None:
    """Guards against slots kept free for customers that ask for none."""
    alone = {HOT: 30.0}
    fair, queues = (
        HotModel(factor=7.5, method=method, usual=alone, seconds=5.8).run()
        for method in (CLAIMS, ENTRY_QUEUES)
    )
    started = len(fair.list_waits(of_hot=True))
    assert started >= 0.95 * len(queues.list_waits(of_hot=True))


def test_a_large_customer_at_its_usual_load_is_in_time() -> None:
    """Guards against slots kept from a customer below its share."""
    fair, queues = (
        HotModel(factor=1, method=method).run()
        for method in (CLAIMS, ENTRY_QUEUES)
    )
    waits = fair.list_waits()
    before = queues.list_waits()
    assert waits[int(len(waits) * 0.99)] <= (
        MOST_GROWTH * before[int(len(before) * 0.99)]
    )
    # It is above its share at some workers by chance and asks another one.
    assert fair.list_waits(of_hot=True)[-1] < OBJECTIVE * MIN_QUEUE_SHARE
    assert not any(ask.is_refused for ask in fair.asks)
