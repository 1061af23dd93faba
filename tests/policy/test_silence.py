"""How long an upstream may be silent."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.silence import (
    BETWEEN_EVENTS_SECONDS,
    FIRST_EVENT_SECONDS,
    limit_silence,
)

CALLER_LEAVES_SECONDS = 2.4


def test_a_dark_upstream_is_left_before_the_caller_leaves() -> None:
    """Two silent upstreams in a row still leave the caller time to wait."""
    first = limit_silence(5, may_go_elsewhere=True, has_events=False)
    later = limit_silence(4, may_go_elsewhere=True, has_events=True)
    assert first == FIRST_EVENT_SECONDS
    assert later == BETWEEN_EVENTS_SECONDS
    assert first + later < CALLER_LEAVES_SECONDS


@given(st.floats(-1, 60), st.booleans())
def test_silence_alone_ends_nothing_that_cannot_go_on(left, events) -> None:
    limit = limit_silence(left, may_go_elsewhere=False, has_events=events)
    assert limit >= left
    assert limit > 0
