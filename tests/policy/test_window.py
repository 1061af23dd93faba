"""Limits hold over any span of the window's length."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.window import (
    Window,
    spend,
    sum_spent,
    time_until_available,
)

SECONDS = 5.0
LIMIT = 12


def sort_by_time(
    arrivals: list[tuple[float, float | None]],
) -> list[tuple[float, float | None]]:
    """Sort arrivals, each with the delay until it is given back."""
    return sorted(arrivals, key=lambda arrival: arrival[0])


def admit(arrivals: list[float]) -> list[float]:
    """Admit arrivals that fit, and return their times."""
    window = Window(SECONDS)
    admitted = []
    for now in arrivals:
        if not time_until_available([window], LIMIT, 1, now):
            spend(window, 1, now)
            admitted.append(now)
    return admitted


@given(st.lists(st.floats(0, 20), max_size=200).map(sorted))
def test_no_span_holds_more_than_the_limit(arrivals: list[float]) -> None:
    admitted = admit(arrivals)
    for started_at in admitted:
        end = started_at + SECONDS
        assert sum(started_at <= at < end for at in admitted) <= LIMIT


@given(st.lists(st.floats(0, 20), min_size=20, max_size=200).map(sorted))
def test_retry_after_the_given_wait_is_admitted(arrivals: list[float]) -> None:
    window = Window(SECONDS)
    for now in arrivals:
        wait = time_until_available([window], LIMIT, 1, now)
        if not wait:
            spend(window, 1, now)
    wait = time_until_available([window], LIMIT, 1, arrivals[-1])
    assert not time_until_available(
        [window], LIMIT, 1, arrivals[-1] + wait + 1e-9
    )


def test_customer_below_its_limit_is_never_refused() -> None:
    arrivals = [number / 2.3 for number in range(200)]
    assert admit(arrivals) == arrivals


def test_unused_amount_is_given_back() -> None:
    window = Window(SECONDS)
    spend(window, 1, 1)
    spend(window, -1, 1.2)
    assert sum_spent(window, 1.3) == 0
    assert sum_spent(window, 30) == 0


def test_busy_customer_needs_little_memory() -> None:
    window = Window(SECONDS)
    for number in range(10_000):
        spend(window, 1, number / 1000)
    assert len(window.spent) < 70


@given(
    st.lists(
        st.tuples(st.floats(0, 20), st.none() | st.floats(0.01, 4)),
        max_size=200,
    ).map(sort_by_time),
)
def test_refund_frees_no_more_than_was_spent(arrivals) -> None:
    """Some requests are given back seconds after they were admitted.

    When each was recorded as a negative amount, it freed room for later
    requests once its own amount had left the window.
    """
    window = Window(SECONDS)
    returns: list[float] = []
    kept = []
    for now, given_back_after in arrivals:
        for at in sorted(at for at in returns if at <= now):
            spend(window, -1, at)
        returns = [at for at in returns if at > now]
        if time_until_available([window], LIMIT, 1, now):
            continue
        spend(window, 1, now)
        if given_back_after is None:
            kept.append(now)
        else:
            returns.append(now + given_back_after)
    for started_at in kept:
        assert (
            sum(started_at <= at < started_at + SECONDS for at in kept) <= LIMIT
        )


def test_refund_frees_room_at_once() -> None:
    window = Window(SECONDS)
    spend(window, LIMIT, 0.0)
    assert time_until_available([window], LIMIT, 1, 1.0)
    spend(window, -1, 1.0)
    assert not time_until_available([window], LIMIT, 1, 1.0)
    assert sum_spent(window, SECONDS * 2) == 0


def test_refund_does_not_free_room_twice() -> None:
    window = Window(SECONDS)
    spend(window, LIMIT, 0.0)
    spend(window, -LIMIT, 2.0)
    spend(window, LIMIT, 3.0)
    # The first twelve have left the window; those spent at 3.0 have not.
    assert time_until_available([window], LIMIT, 1, 5.5)
    assert sum_spent(window, 5.5) == LIMIT
