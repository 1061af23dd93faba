"""Where online requests go while load peaks take nearly all slots."""

from __future__ import annotations

import pytest

from tests.builders import build_upstream
from tests.policy.crests import CRITERIA, PeakModel
from wigeonpier.models import OnlineLoad
from wigeonpier.policy.route import estimate_cost, find_usable, record_load


@pytest.mark.parametrize(('rate', 'most'), [(125, 0.03), (145, 0.09)])
def test_load_feed_keeps_requests_in_time(rate: float, most: float) -> None:
    """Without the feed, 0.07 and 0.15 of the requests are late."""
    with_feed = PeakModel(rate, has_feed=True).run()
    without_feed = PeakModel(rate, has_feed=False).run()
    assert with_feed < most
    assert with_feed < without_feed / 2


def test_requests_sent_since_the_report_count() -> None:
    state = build_upstream('vm-1', in_flight=5)
    record_load(state, OnlineLoad(2, takes_work=True), 10.0)
    before = estimate_cost(state, CRITERIA, now=10.0)
    state.sent_since_report += 1
    assert before == 3 / 8
    assert estimate_cost(state, CRITERIA, now=10.0) == 4 / 8


def test_outdated_feed_load_is_ignored() -> None:
    state = build_upstream('vm-1')
    record_load(state, OnlineLoad(7, takes_work=False), 10.0)
    other = build_upstream('vm-2')
    assert find_usable([state, other], CRITERIA, 10.5) == [other]
    assert find_usable([state, other], CRITERIA, 12.0) == [state, other]


def test_half_of_all_upstreams_stay_usable_if_all_report_unhealthy() -> None:
    states = [build_upstream(f'vm-{number}') for number in range(4)]
    for state in states:
        record_load(state, OnlineLoad(0, takes_work=False), 10.0)
    assert len(find_usable(states, CRITERIA, 10.5)) == 2
