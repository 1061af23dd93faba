"""In which order claims get the slots of an upstream."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_upstream
from wigeonpier.models import OnlineLoad
from wigeonpier.policy.claimwait import (
    HOPELESS_WORKERS,
    MAX_WAIT_SECONDS,
    RETRY_BOUNDS,
    RETRY_SPREAD,
    SlotSearch,
    compute_retry,
)
from wigeonpier.policy.fairqueue import (
    RANK_FACTOR,
    FairQueue,
    QueuedClaim,
    get_rank,
    is_hopeless,
    weigh_customer,
)
from wigeonpier.policy.reservation import SlotUse
from wigeonpier.policy.route import count_requests, record_load

SLOTS = 8
FULL = SlotUse(SLOTS, SLOTS, 0)
ONE_FREE = SlotUse(SLOTS, SLOTS - 1, 0)
NOW = 100.0


def make_claim(
    customer: str = 'c',
    rate: float = 10,
    rank: int = 0,
    left: float = 2.5,
    *,
    is_late: bool = False,
) -> QueuedClaim:
    weight = weigh_customer(rate, rank)
    return QueuedClaim(customer, weight, NOW + left, is_late, NOW)


def add_all(queue: FairQueue, *claims: QueuedClaim) -> None:
    for claim in claims:
        queue.add(claim, SLOTS, NOW)


def test_the_earliest_deadline_of_a_customer_goes_first() -> None:
    """Guards against a retry of a refused caller that waits behind new ones."""
    queue = FairQueue()
    new, retried = make_claim(left=2.5), make_claim(left=1.5)
    add_all(queue, new, retried)
    assert queue.grant_next(ONE_FREE, NOW) is retried
    assert queue.grant_next(ONE_FREE, NOW) is new
    assert queue.grant_next(ONE_FREE, NOW) is None


def test_a_higher_rank_goes_first_whatever_the_share() -> None:
    queue = FairQueue()
    low = make_claim('low', rate=4000, rank=1)
    high = make_claim('high', rate=0.1, rank=0)
    add_all(queue, low, high)
    assert queue.grant_next(ONE_FREE, NOW) is high
    assert queue.grant_next(ONE_FREE, NOW) is low


@given(rate=st.floats(0, 1e6), rank=st.integers(0, 60))
def test_a_weight_tells_the_rank(rate: float, rank: int) -> None:
    weight = weigh_customer(rate, rank)
    assert get_rank(weight) == rank
    claim = QueuedClaim('c', weight, NOW)
    assert 1 <= claim.share < RANK_FACTOR


def test_a_weight_of_nothing_does_no_harm() -> None:
    """Guards against an error by a message without a valid weight."""
    queue = FairQueue()
    claim = QueuedClaim('c', 0, NOW)
    add_all(queue, claim)
    assert queue.estimate_wait(claim, FULL, NOW) > 0
    assert queue.grant_next(ONE_FREE, NOW) is claim


@given(st.lists(st.integers(1, 40), min_size=2, max_size=6))
def test_customers_that_wait_get_slots_by_weight(rates: list[int]) -> None:
    """Guards against a share that depends on the number of claims."""
    queue = FairQueue()
    for number, rate in enumerate(rates):
        for _ in range(250):
            add_all(queue, make_claim(str(number), rate))
    counts = dict.fromkeys(range(len(rates)), 0)
    for place in range(200):
        claim = queue.grant_next(SlotUse(100, 0, 0), NOW)
        assert claim is not None
        # Each customer first uses its credit, whatever its weight.
        counts[int(claim.customer)] += place >= 80
    for number, rate in enumerate(rates):
        fair = 120 * rate / sum(rates)
        assert abs(counts[number] - fair) <= len(rates) + 1


def test_a_customer_with_many_claims_does_not_delay_another() -> None:
    queue = FairQueue()
    for _ in range(30):
        add_all(queue, make_claim('hot'))
    for _ in range(10):
        queue.grant_next(ONE_FREE, NOW)
    other = make_claim('other')
    add_all(queue, other)
    assert queue.grant_next(ONE_FREE, NOW) is other


def test_a_late_claim_leaves_the_last_slot_to_others() -> None:
    queue = FairQueue()
    late, timely = make_claim('a', is_late=True), make_claim('b')
    add_all(queue, late, timely)
    assert queue.grant_next(ONE_FREE, NOW) is timely
    assert queue.grant_next(ONE_FREE, NOW) is None
    assert queue.grant_next(SlotUse(SLOTS, SLOTS - 2, 0), NOW) is late


def test_a_full_upstream_grants_nothing() -> None:
    queue = FairQueue()
    add_all(queue, make_claim())
    assert queue.grant_next(FULL, NOW) is None
    assert len(queue) == 1


def test_a_removed_claim_gets_no_slot() -> None:
    """Guards against a slot for a request that its entry has refused."""
    queue = FairQueue()
    claim = make_claim()
    add_all(queue, claim)
    queue.remove(claim)
    queue.remove(claim)
    assert queue.grant_next(ONE_FREE, NOW) is None


def test_the_expected_wait_counts_who_is_served_before() -> None:
    queue = FairQueue()
    claims = [make_claim('hot', left=2 + place / 100) for place in range(40)]
    add_all(queue, *claims)
    waits = [queue.estimate_wait(claim, FULL, NOW) for claim in claims]
    assert waits == sorted(waits)
    other = make_claim('other')
    add_all(queue, other)
    assert queue.estimate_wait(other, FULL, NOW) < waits[2]
    assert is_hopeless(waits[-1], 2.5)
    assert not is_hopeless(waits[0], 2.5)


def test_no_slot_is_kept_while_nobody_else_asks() -> None:
    queue = FairQueue()
    for taken in range(SLOTS):
        add_all(queue, make_claim('hot'))
        assert queue.grant_next(SlotUse(SLOTS, taken, 0), NOW) is not None


def test_slots_are_kept_for_customers_that_ask() -> None:
    """Guards against a customer whose requests take all slots at once."""
    queue = FairQueue()
    for number in range(6):
        add_all(queue, make_claim(f'c{number}'))
        assert queue.grant_next(SlotUse(SLOTS, number, 0), NOW) is not None
    # By then their requests have ended.
    later = NOW + 0.6
    granted = 0
    for _ in range(SLOTS):
        queue.add(make_claim('hot'), SLOTS, later)
        use = SlotUse(SLOTS, granted, 0)
        granted += queue.grant_next(use, later) is not None
    assert 3 <= granted < SLOTS
    queue.add(make_claim('other'), SLOTS, later)
    claim = queue.grant_next(SlotUse(SLOTS, granted, 0), later)
    assert claim is not None
    assert claim.customer == 'other'


def test_slots_kept_by_a_higher_rank_go_to_a_lower_one() -> None:
    """Guards against free slots while a hot customer of a high rank waits."""
    queue = FairQueue()
    for number in range(6):
        add_all(queue, make_claim(f'c{number}'))
        assert queue.grant_next(SlotUse(SLOTS, number, 0), NOW) is not None
    later = NOW + 0.6
    granted = 0
    for _ in range(2 * SLOTS):
        queue.add(make_claim('hot'), SLOTS, later)
        use = SlotUse(SLOTS, granted, 0)
        granted += queue.grant_next(use, later) is not None
    assert granted < SLOTS
    low = make_claim('low', rank=1)
    queue.add(low, SLOTS, later)
    assert queue.grant_next(SlotUse(SLOTS, granted, 0), later) is low


def test_a_late_claim_of_a_higher_rank_is_not_overtaken() -> None:
    queue = FairQueue()
    add_all(queue, make_claim('a', is_late=True), make_claim('b', rank=1))
    assert queue.grant_next(ONE_FREE, NOW) is None


def test_the_memory_of_many_customers_is_bounded() -> None:
    queue = FairQueue()
    for number in range(5000):
        claim = make_claim(f'c{number}')
        queue.add(claim, SLOTS, NOW + number / 100)
        queue.grant_next(SlotUse(SLOTS, 0, 0), NOW + number / 100)
    assert len(queue.demand.customers) <= 1024
    assert len(queue.ranks[0].finishes) <= 512


def test_a_refused_request_waits_once_no_upstream_has_room() -> None:
    states = [build_upstream(f'vm-{number}') for number in range(3)]
    for state in states:
        record_load(state, OnlineLoad(SLOTS, takes_work=True), NOW)
    search = SlotSearch()
    given = (states, states[0], 2.0, NOW)
    assert search.choose_max_wait(*given) == MAX_WAIT_SECONDS
    record_load(states[1], OnlineLoad(2, takes_work=True), NOW)
    assert search.choose_max_wait(*given) == 0
    assert search.list_excluded(states, NOW) == {'vm-0', 'vm-2'}


def test_free_slots_that_are_kept_for_others_are_not_asked_for() -> None:
    """Guards against many calls of a customer above its share."""
    states = [build_upstream(f'vm-{number}') for number in range(3)]
    for state in states:
        load = OnlineLoad(SLOTS - 3, takes_work=True, queued=4)
        record_load(state, load, NOW)
    search = SlotSearch()
    search.record_refusal(states[0], 0.4, 2.0, NOW)
    assert search.is_above_share
    given = (states, states[1], 2.0, NOW)
    assert search.choose_max_wait(*given) == MAX_WAIT_SECONDS


def test_a_refused_request_asks_near_upstreams_first() -> None:
    """Guards against several calls to other data centres for one request."""
    states = [
        build_upstream(f'vm-{number}', data_centre='ab'[number % 2])
        for number in range(4)
    ]
    search = SlotSearch('a')
    assert search.list_excluded(states, NOW) == set()
    search.calls = 1
    assert search.list_excluded(states, NOW) == {'vm-1', 'vm-3'}
    for state in states[::2]:
        record_load(state, OnlineLoad(SLOTS, takes_work=True), NOW)
    assert search.list_excluded(states, NOW) == {'vm-0', 'vm-2'}


def test_a_request_is_refused_if_workers_expect_no_slot_in_time() -> None:
    states = [build_upstream(f'vm-{number}') for number in range(3)]
    search = SlotSearch()
    for state in states[:HOPELESS_WORKERS]:
        assert not search.is_hopeless
        search.record_refusal(state, 3.0, 2.0, NOW)
    assert search.is_hopeless


def test_one_worker_alone_does_not_lead_to_a_refusal() -> None:
    """Guards against a refusal by one worker that is asked several times."""
    search = SlotSearch()
    for _ in range(HOPELESS_WORKERS + 2):
        search.record_refusal(build_upstream('vm-1'), 3.0, 2.0, NOW)
    assert not search.is_hopeless


def test_a_request_whose_hold_has_ended_is_not_refused() -> None:
    """Guards against a refusal of a resumed stream, which is not held."""
    search = SlotSearch()
    for number in range(3):
        search.record_refusal(build_upstream(f'vm-{number}'), 0.1, 0.0, NOW)
    assert not search.is_hopeless


def test_workers_without_an_estimate_never_lead_to_a_refusal() -> None:
    """Guards against a refusal by workers of an earlier build."""
    search = SlotSearch()
    for number in range(50):
        search.record_refusal(build_upstream(f'vm-{number}'), 0, 0.0, NOW)
    assert not search.is_hopeless
    assert not search.is_above_share


@pytest.mark.parametrize('wait', [0, 0.7, 60])
def test_retries_are_spread_within_bounds(wait: float) -> None:
    delays = [compute_retry(wait, draw / 10) for draw in range(11)]
    assert delays[0] >= RETRY_BOUNDS[0] * RETRY_SPREAD[0]
    assert delays[-1] <= RETRY_BOUNDS[1] * RETRY_SPREAD[1]
    assert delays[-1] > 2 * delays[0]


def test_a_load_without_waiting_requests_counts_as_before() -> None:
    state = build_upstream('vm-1')
    record_load(state, OnlineLoad(5, takes_work=True), NOW)
    assert count_requests(state, NOW) == 5
    record_load(state, OnlineLoad(5, takes_work=True, queued=3), NOW)
    assert 5 < count_requests(state, NOW) < 6
