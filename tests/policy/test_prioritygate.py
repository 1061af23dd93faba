"""Which held requests of an entry may request a slot."""

from __future__ import annotations

import random

from wigeonpier.policy.prioritygate import PriorityGate


def test_lower_rank_is_not_admitted_before_a_higher_one() -> None:
    gate = PriorityGate()
    gate.add(2)
    gate.add(0)
    assert gate.is_admitted(0)
    assert not gate.is_admitted(2)
    gate.remove(0)
    assert gate.is_admitted(2)
    gate.remove(2)
    assert gate.is_admitted(5)


def test_all_requests_of_one_rank_are_admitted() -> None:
    gate = PriorityGate()
    for _request in range(5):
        gate.add(1)
    assert gate.is_admitted(1)
    gate.remove(1)
    assert gate.is_admitted(1)


def test_higher_rank_is_served_first_in_a_load_peak() -> None:
    """Requests of two ranks compete for one slot at a time."""
    gate = PriorityGate()
    rng = random.Random(1)
    held = [0] * 20 + [3] * 100
    for rank in held:
        gate.add(rank)
    served = []
    while held:
        admitted = [rank for rank in held if gate.is_admitted(rank)]
        rank = rng.choice(admitted)
        held.remove(rank)
        gate.remove(rank)
        served.append(rank)
    assert served == [0] * 20 + [3] * 100
