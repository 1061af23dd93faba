"""How long an upstream may be unresponsive."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.silence import (
    BETWEEN_EVENTS_SECONDS,
    FIRST_EVENT_SECONDS,
    choose_read_timeout,
)

CALLER_TIMEOUT_SECONDS = 2.4


def test_unresponsive_upstreams_time_out_before_the_caller() -> None:
    """Two unresponsive upstreams in a row leave the caller time to wait."""
    first = choose_read_timeout(5, may_go_elsewhere=True, has_events=False)
    later = choose_read_timeout(4, may_go_elsewhere=True, has_events=True)
    assert first == FIRST_EVENT_SECONDS
    assert later == BETWEEN_EVENTS_SECONDS
    assert first + later < CALLER_TIMEOUT_SECONDS


@given(st.floats(-1, 60), st.booleans())
def test_timeout_is_all_that_is_left_without_another_upstream(
    seconds_left, has_events
) -> None:
    limit = choose_read_timeout(
        seconds_left, may_go_elsewhere=False, has_events=has_events
    )
    assert limit >= seconds_left
    assert limit > 0
