"""Order of batch jobs, placement of copies, and page sizes."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_disk
from wigeonpier.policy.copies import MIN_FREE_BYTES, choose_copies
from wigeonpier.policy.paging import FULL_PAGE_LINES, choose_page_size
from wigeonpier.policy.ranking import choose_subset, rank_by_key
from wigeonpier.policy.schedule import JobView, order_jobs

DAY = 86_400.0


def _view(job: str, customer: str, **changes) -> JobView:
    parts = {
        'accepted': 0.0,
        'deadline': DAY,
        'items_left': 1000,
        'items_running': 0,
    }
    return JobView(job=job, customer=customer, **(parts | changes))


def test_large_and_small_jobs_share_the_capacity() -> None:
    items_left = {'large': 530_000, 'small': 2_000}
    started: Counter[str] = Counter()
    for _ in range(60):
        views = [
            _view(job, job, items_left=count, items_running=started[job])
            for job, count in items_left.items()
        ]
        started[order_jobs(views, {}, 0, 1000)[0]] += 1000
    assert started == {'large': 30_000, 'small': 30_000}


def test_job_that_would_be_late_goes_first() -> None:
    views = [
        _view('busy', 'a'),
        _view('late', 'b', items_left=80_000, items_running=90_000),
    ]
    assert order_jobs(views, {}, 0, 1.0)[0] == 'late'


def test_weights_share_the_capacity() -> None:
    started: Counter[str] = Counter()
    for _ in range(90):
        views = [
            _view(name, name, items_running=started[name])
            for name in ('double', 'single')
        ]
        started[order_jobs(views, {'double': 2}, 0, 1000)[0]] += 10
    assert started['double'] == 2 * started['single']


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=9))
def test_copies_are_spread_over_data_centres(parts) -> None:
    disks = [
        build_disk(f'd{number}', f'dc{centre}', (1 << 40) if has_space else 0)
        for number, (centre, has_space) in enumerate(parts)
    ]
    chosen = choose_copies(disks, 'key', 3)
    with_room = [disk for disk in disks if disk.free_bytes >= MIN_FREE_BYTES]
    centres = {disk.data_centre for disk in with_room}
    assert len(chosen) == min(3, len(with_room))
    assert len({disk.incarnation for disk in chosen}) == len(chosen)
    assert len({disk.data_centre for disk in chosen}) == min(3, len(centres))


@given(st.sets(st.text(min_size=1, max_size=5), min_size=2, max_size=9))
def test_removing_a_name_moves_only_its_own_keys(names) -> None:
    ordered = sorted(names)
    removed = ordered[0]
    for key in ('a', 'b', 'c', 'd'):
        before = rank_by_key(ordered, key)
        after = rank_by_key(ordered[1:], key)
        assert after == [name for name in before if name != removed]
        assert choose_subset(ordered, key, 2) == before[:2]


def test_pages_start_small_and_grow_to_full_size() -> None:
    sizes = [choose_page_size(index) for index in range(100)]
    assert sizes == sorted(sizes)
    assert sizes[-1] == FULL_PAGE_LINES
    assert sum(sizes[:16]) < 2000
