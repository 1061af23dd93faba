"""How long a process may act on its previous knowledge after an outage."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.models import Bounds
from wigeonpier.policy.outage import (
    REWRITE_SECONDS,
    may_have_expired,
    plan_outage,
)


@given(st.floats(0.1, 60))
def test_plan_fits_into_the_time_that_the_site_allows(contact: float) -> None:
    plan = plan_outage(Bounds(grace=8, job_readable=120, contact=contact))
    assert plan.call > 0
    assert plan.pause > 0
    assert plan.keep >= 0
    assert plan.max_blind_seconds + plan.keep < contact


def test_expired_entries_have_time_to_be_written_again() -> None:
    plan = plan_outage(Bounds(grace=8, job_readable=120, contact=3))
    assert plan.keep >= REWRITE_SECONDS


def test_single_lost_call_is_no_outage() -> None:
    assert not may_have_expired(0.3)
    assert may_have_expired(2.0)
