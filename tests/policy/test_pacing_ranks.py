"""Items of a higher priority go before others with a similar deadline."""

from __future__ import annotations

from wigeonpier.policy.pacing import ItemView, UpstreamView, decide_pace


def test_the_higher_priority_starts_first_and_pauses_last() -> None:
    upstream = UpstreamView(3, running=0, waiting=0, run_seconds=1)
    low = ItemView('low', seconds_left=10, done_share=0, priority=2)
    high = ItemView('high', seconds_left=12, done_share=0, priority=0)
    assert decide_pace(upstream, [], [low, high]).start[0] == 'high'
    full = UpstreamView(3, running=4, waiting=1, run_seconds=1)
    assert decide_pace(full, [low, high], []).pause[-1] == 'low'


def test_late_items_do_not_delay_others() -> None:
    upstream = UpstreamView(2, running=0, waiting=0, run_seconds=5)
    late = ItemView('late', seconds_left=1, done_share=0, priority=0)
    punctual = ItemView('sound', seconds_left=20, done_share=0, priority=2)
    assert decide_pace(upstream, [], [late, punctual]).start[0] == 'sound'
