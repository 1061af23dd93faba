"""Admission of batch and online streams at an upstream."""

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
    record_gap,
)

OCCUPANCIES = st.builds(
    lambda online, waiting, batch, run_once: Occupancy(
        online,
        waiting,
        batch,
        min(run_once, batch),
    ),
    st.integers(0, 40),
    st.integers(0, 5),
    st.integers(0, 40),
    st.integers(0, 40),
)


@given(OCCUPANCIES, st.integers(1, 64), st.booleans())
def test_no_batch_is_admitted_while_online_waits(
    occupancy, slots, run_once
) -> None:
    admitted = may_admit_batch(occupancy, slots, is_run_once=run_once)
    if admitted:
        assert not occupancy.online_waiting
        assert occupancy.online + occupancy.batch < slots


@given(OCCUPANCIES, st.integers(1, 64))
def test_preempts_as_many_batch_streams_as_exceed_the_slots(
    occupancy, slots
) -> None:
    count = count_to_preempt(occupancy, slots)
    remaining = (
        occupancy.online + occupancy.online_waiting + occupancy.batch - count
    )
    assert 0 <= count <= occupancy.batch - occupancy.run_once
    assert remaining <= slots or count == occupancy.batch - occupancy.run_once


@given(st.integers(0, 1000), st.floats(0.004, 0.02), st.floats(0.0003, 0.002))
def test_slots_are_learned_from_gaps(seed, base, slope) -> None:
    rng = random.Random(seed)
    model = make_model()
    for _ in range(1500):
        streams = rng.randint(1, 30)
        noise = rng.uniform(0.97, 1.03)
        record_gap(model, streams, (base + slope * streams) * noise)
    # Extrapolation beyond the measured 1 to 30 streams is limited.
    expected = min((0.028 * 0.97 - base) / slope, 15.5 * 1.5 + 4)
    assert abs(count_slots(model, 0.028) - expected) <= max(2, expected * 0.1)


@given(st.integers(0, 1000), st.integers(8, 24))
def test_reading_prompts_does_not_inflate_the_slots(
    seed,
    streams,
) -> None:
    """Prompts that are read cause long gaps just while few streams run."""
    rng = random.Random(seed)
    model = make_model()
    for _ in range(3000):
        is_reading = rng.random() < 0.2
        running = streams // 2 if is_reading else streams
        gap = 0.030 if is_reading else 0.024
        record_gap(model, running, gap + rng.gauss(0, 0.0005))
    assert count_slots(model, 0.028) <= streams * 2
