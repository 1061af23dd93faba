"""Which batch items move to another worker, and a replay of their load."""

from __future__ import annotations

import random

import pytest

from tests.hosted.builders import make_open_job
from tests.policy import itemreplay
from tests.policy.itemreplay import Replay
from wigeonpier.policy import handover
from wigeonpier.policy.backlog import (
    SlotAverage,
    predict_queue,
    report_backlog,
)
from wigeonpier.policy.pacing import ItemView, UpstreamView
from wigeonpier.policy.placement import (
    CONFIRM_SECONDS,
    RunComparison,
    assign_by_completion,
    find_idle,
    select_backlogs,
)
from wigeonpier.policy.runlengths import RunLengths
from wigeonpier.reports import ItemBacklog

UNEQUAL = (0.55, 1.2, 1.2, 1.2)
# Late items, as a share of those by number under the same load.
MAX_SHARE_OF_NUMBER = 0.2
# Below this share of late items by number, the load would be no hard one.
HARD_LATE_SHARE = 0.1
SEEDS = (1, 2, 3)


def build_upstream(run_seconds: float = 5.0) -> UpstreamView:
    """Build the view of an upstream whose items all have the same length."""
    return UpstreamView(8, 0, 0, run_seconds, 0)


def build_items(count: int, seconds_left: float = 18.0, job: str = 'j') -> list:
    """Build items that have not run yet."""
    return [ItemView((job, n), seconds_left, 0) for n in range(count)]


def build_backlogs(**runs: float) -> dict[str, ItemBacklog]:
    """Build backlogs without waiting items, by run time."""
    return {name: ItemBacklog(name, run) for name, run in runs.items()}


@pytest.mark.parametrize('seed', SEEDS)
def test_few_items_are_late_at_unequal_upstreams(seed) -> None:
    """By number, slow workers got as many items as fast ones.

    Of the items, 4 to 18 in 100 were late.
    """
    by_number = Replay(UNEQUAL, seed=seed).run()
    assigned = Replay(UNEQUAL, by_completion=True, seed=seed).run()
    moved = Replay(
        UNEQUAL, by_completion=True, with_handover=True, seed=seed
    ).run()
    assert assigned.done == moved.done == by_number.done
    assert by_number.late
    assert assigned.late <= MAX_SHARE_OF_NUMBER * by_number.late
    assert moved.late <= MAX_SHARE_OF_NUMBER * by_number.late


@pytest.mark.parametrize('seed', SEEDS)
def test_late_items_move_when_the_forecast_fails(monkeypatch, seed) -> None:
    """Workers are restarted in quick succession at a higher load."""
    monkeypatch.setattr(itemreplay, 'RESTART_INTERVAL', 2.5)
    monkeypatch.setattr(itemreplay, 'JOBS_PER_SECOND', 1.5)
    by_number = Replay(UNEQUAL, seed=seed).run()
    moved_alone = Replay(UNEQUAL, with_handover=True, seed=seed).run()
    assigned = Replay(UNEQUAL, by_completion=True, seed=seed).run()
    moved = Replay(
        UNEQUAL, by_completion=True, with_handover=True, seed=seed
    ).run()
    assert assigned.done == moved.done == moved_alone.done == by_number.done
    assert by_number.late > HARD_LATE_SHARE * by_number.done
    assert moved_alone.late <= MAX_SHARE_OF_NUMBER * by_number.late
    assert assigned.late <= MAX_SHARE_OF_NUMBER * by_number.late
    assert moved.late <= assigned.late
    assert moved.late <= MAX_SHARE_OF_NUMBER * by_number.late
    assert max(moved.most_moves, moved_alone.most_moves) <= handover.MAX_MOVES


@pytest.mark.parametrize('seed', SEEDS)
def test_items_at_equal_upstreams_get_the_same_owners(seed) -> None:
    """A deployment of equal upstreams is served as before."""
    by_number = Replay((1.0,), seed=seed).run()
    replay = Replay(
        (1.0,), by_completion=True, with_handover=True, seed=seed
    ).run()
    assert replay.placed == by_number.placed
    assert replay.moves == 0


def test_items_go_by_number_while_too_few_workers_report() -> None:
    """An entry that is cut off knows none of the others' backlogs."""
    backlogs = build_backlogs(a=2.6, b=5.6)
    assert select_backlogs(['a', 'b'], backlogs) == backlogs
    assert not select_backlogs(['a', 'b', 'c'], backlogs)
    assert not select_backlogs([], {})
    assert not select_backlogs(['a', 'b'], build_backlogs(a=0, b=0))


def test_a_worker_without_completed_items_is_not_taken_for_slow() -> None:
    """The assumed initial length made a restarted worker seem slow."""
    lengths = RunLengths()
    assert lengths.measured_seconds == 0
    for _ in range(3):
        lengths.record(2.6, 141)
    assert lengths.measured_seconds == pytest.approx(2.6)
    assert not select_backlogs(['a', 'b'], build_backlogs(a=0, b=5.6))


@pytest.mark.parametrize('seed', SEEDS)
def test_equal_upstreams_do_not_differ_by_chance(seed) -> None:
    """After a restart, means of 3 items made them seem to differ by 20 %."""
    rng = random.Random(seed)
    workers = {f'vm-{number}': RunLengths() for number in range(40)}
    comparison = RunComparison()
    has_seemed_unequal = False
    for run in range(200):
        for lengths in workers.values():
            length = rng.gauss(1, 0.1)
            lengths.record(4.7 * length, round(140 * length))
        backlogs = build_backlogs(
            **{
                name: lengths.measured_seconds
                for name, lengths in workers.items()
            }
        )
        selected = select_backlogs(list(backlogs), backlogs)
        has_seemed_unequal |= bool(selected)
        # A worker completes an item in 2 s under the usual load.
        assert not comparison.confirm(selected, run * 2)
    assert has_seemed_unequal


def test_a_clear_difference_counts_at_once() -> None:
    comparison = RunComparison()
    backlogs = build_backlogs(a=2.6, b=5.6)
    assert comparison.confirm(backlogs, 10) == backlogs


def test_a_small_difference_counts_from_its_beginning() -> None:
    comparison = RunComparison()
    backlogs = build_backlogs(a=4.0, b=5.2)
    assert not comparison.confirm(backlogs, 10)
    assert not comparison.confirm({}, 20)
    assert not comparison.confirm(backlogs, 30)
    assert not comparison.confirm(backlogs, 29.9 + CONFIRM_SECONDS)
    assert comparison.confirm(backlogs, 30 + CONFIRM_SECONDS) == backlogs


def test_jobs_accepted_at_the_same_moment_count_before_they_are_reported() -> (
    None
):
    backlogs = build_backlogs(a=2.6, b=2.6, c=5.6, d=5.6)
    first = assign_by_completion('j', 3, backlogs, [], 10)
    accepted = make_open_job('j', owners=first, sent_at=9.9)
    second = assign_by_completion('j', 3, backlogs, [accepted], 10)
    assert set(first) != set(second)


def test_only_a_worker_with_late_items_is_told_of_a_sooner_one() -> None:
    backlogs = build_backlogs(fast=2.6, slow=5.6)
    assert find_idle('slow', backlogs) is None
    backlogs['slow'] = ItemBacklog('slow', 5.6, 9.0, late=1)
    assert find_idle('slow', backlogs) == ('fast', 2.6)
    backlogs['fast'] = ItemBacklog('fast', 2.6, 11.5)
    assert find_idle('slow', backlogs) is None
    assert find_idle('unknown', backlogs) is None


def test_late_items_of_one_job_are_offered() -> None:
    items = [*build_items(4, 8.0, 'a'), *build_items(4, 9.0, 'b')]
    outlook = predict_queue(build_upstream(), items, slots=2)
    moves = dict.fromkeys((item.key for item in items), 0)
    offered = handover.choose_offers(outlook, 2.0, moves)
    assert [found.item.key for found in offered] == [('a', 2), ('a', 3)]


@pytest.mark.parametrize(
    ('ready_seconds', 'moves'), [(8.0, 0), (2.0, handover.MAX_MOVES)]
)
def test_an_item_stays_where_a_move_does_not_help(ready_seconds, moves) -> None:
    """It would be late there as well, or it has moved twice already."""
    items = build_items(4, 8.0)
    outlook = predict_queue(build_upstream(), items, slots=2)
    known = dict.fromkeys((item.key for item in items), moves)
    assert not handover.choose_offers(outlook, ready_seconds, known)


def test_an_item_near_its_end_stays() -> None:
    item = ItemView(('j', 0), 0.4, 0.9)
    outlook = predict_queue(build_upstream(), [item], slots=1)
    assert outlook.late
    assert not handover.choose_offers(outlook, 0.1, {item.key: 0})


def test_no_more_is_claimed_than_completes_in_time() -> None:
    """Twenty workers may offer items to the same one at once."""
    upstream = build_upstream(2.5)
    own = build_items(2, 6.0, 'own')
    offered = build_items(6, 6.5)
    claimed = handover.choose_claims(upstream, own, offered, slots=2)
    assert [item.key for item in claimed] == [('j', 0), ('j', 1)]


def test_a_claim_makes_no_own_item_late() -> None:
    upstream = build_upstream(2.5)
    own = build_items(2, 5.5, 'own')
    offered = build_items(1, 4.0)
    assert not handover.choose_claims(upstream, own, offered, slots=1)


def test_a_small_change_is_not_reported() -> None:
    """Each change is a line to each of 20 entries."""
    outlook = predict_queue(build_upstream(), build_items(5), slots=2)
    first = report_backlog('vm', outlook, 5.0, None)
    assert first == ItemBacklog('vm', 5.0, 10.0)
    assert report_backlog('vm', outlook, 5.2, first) is first
    longer = predict_queue(build_upstream(), build_items(7), slots=2)
    assert report_backlog('vm', longer, 5.0, first).waiting_seconds == 15


def test_the_average_of_slots_covers_a_period_of_the_load() -> None:
    average = SlotAverage()
    for step in range(1000):
        now = step * 0.1
        average.record(1 if now % 5.8 > 3.4 else 7, now)
    assert average.slots == pytest.approx(4.5, abs=1)
