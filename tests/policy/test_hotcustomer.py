"""How long requests wait while one customer sends many times its usual load."""

from __future__ import annotations

import pytest

from tests.policy.hotcustomer import (
    CLAIMS,
    ENTRY_QUEUES,
    ENTRY_SHARES,
    HOT,
    USUAL,
    HotModel,
)

SEEDS = (1, 2, 3)
MOST_GROWTH = 1.2
MOST_CALLS = 4.0


def run_all(
    factor: float, usual: dict[str, float] = USUAL, method: str = CLAIMS
) -> list[HotModel]:
    return [
        HotModel(factor=factor, usual=usual, method=method, seed=seed).run()
        for seed in SEEDS
    ]


def find_p99(runs: list[HotModel], customer: str = '') -> float:
    """Find the wait of one customer, or of all but the hot one."""
    waits = sorted(
        ask.wait
        for run in runs
        for ask in run.asks
        if ask.wait is not None
        and (ask.customer == customer if customer else ask.customer != HOT)
    )
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
    assert fair.count_started() >= 0.95 * queues.count_started()


def test_a_large_customer_at_its_usual_load_is_served_as_before() -> None:
    """Guards against a customer that exceeds its share by chance."""
    usual = run_all(1)
    before = run_all(1, method=ENTRY_QUEUES)
    assert find_p99(usual) <= MOST_GROWTH * find_p99(before)
    assert find_p99(usual, HOT) <= MOST_GROWTH * find_p99(before, HOT)


def test_a_customer_larger_than_the_hot_one_waits_no_longer() -> None:
    """Guards against shares that follow the load and not the weight."""
    usual = {name: rate for name, rate in USUAL.items() if name != 'm1'}
    usual |= {'large': USUAL[HOT], HOT: USUAL['m1']}
    without = run_all(0, usual)
    hot = run_all(7.5, usual)
    assert find_p99(hot) <= MOST_GROWTH * find_p99(without)
