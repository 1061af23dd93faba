"""The gate before an upstream."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.gate import (
    Occupancy,
    count_slots,
    count_to_preempt,
    make_model,
    may_admit_batch,
    note_gap,
)

SEEN = st.builds(
    lambda online, waiting, batch, one_run: Occupancy(
        online,
        waiting,
        batch,
        min(one_run, batch),
    ),
    st.integers(0, 40),
    st.integers(0, 5),
    st.integers(0, 40),
    st.integers(0, 40),
)


@given(SEEN, st.integers(1, 64), st.booleans())
def test_no_batch_is_admitted_while_online_waits(
    occupancy, slots, one_run
) -> None:
    admitted = may_admit_batch(occupancy, slots, is_one_run=one_run)
    if admitted:
        assert not occupancy.online_waiting
        assert occupancy.online + occupancy.batch < slots


@given(SEEN, st.integers(1, 64))
def test_as_many_give_way_as_are_in_the_way(occupancy, slots) -> None:
    count = count_to_preempt(occupancy, slots)
    left = occupancy.online + occupancy.online_waiting + occupancy.batch - count
    assert 0 <= count <= occupancy.batch - occupancy.one_run
    assert left <= slots or count == occupancy.batch - occupancy.one_run


@given(st.integers(0, 1000), st.floats(0.004, 0.02), st.floats(0.0003, 0.002))
def test_the_slots_of_an_engine_are_learned(seed, base, slope) -> None:
    draw = random.Random(seed)
    model = make_model()
    for _ in range(1500):
        streams = draw.randint(1, 30)
        noise = draw.uniform(0.97, 1.03)
        note_gap(model, streams, (base + slope * streams) * noise)
    # It is followed only so far beyond what was seen, 1 to 30 streams.
    right = min((0.028 * 0.97 - base) / slope, 15.5 * 1.5 + 4)
    assert abs(count_slots(model, 0.028) - right) <= max(2, right * 0.1)


@given(st.integers(0, 1000), st.integers(8, 24))
def test_prompts_that_are_read_do_not_make_the_slots_endless(
    seed,
    streams,
) -> None:
    """Reading prompts makes long gaps just while few streams run."""
    draw = random.Random(seed)
    model = make_model()
    for _ in range(3000):
        arrives = draw.random() < 0.2
        running = streams // 2 if arrives else streams
        gap = 0.030 if arrives else 0.024
        note_gap(model, running, gap + draw.gauss(0, 0.0005))
    assert count_slots(model, 0.028) <= streams * 2
