"""Retries within a budget."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.retry import (
    BUDGET_PER_REQUEST,
    MAX_BUDGET,
    ExecutionState,
    FailedAttempt,
    RetryBudget,
    may_retry,
)


@given(st.integers(1, 5), st.floats(-1, 10), st.floats(0, 10))
def test_non_idempotent_request_that_may_have_run_is_not_retried(
    number,
    seconds,
    tokens,
) -> None:
    last = FailedAttempt(
        number,
        ExecutionState.may_have_run,
        idempotent=False,
        seconds_left=seconds,
    )
    assert not may_retry(last, RetryBudget(tokens))


@given(st.lists(st.booleans(), max_size=400))
def test_retries_are_limited_to_a_share_of_requests(failures) -> None:
    budget = RetryBudget()
    retries = 0
    for failed in failures:
        budget.record_request()
        last = FailedAttempt(
            1, ExecutionState.not_run, idempotent=True, seconds_left=1
        )
        if failed and may_retry(last, budget):
            budget.record_retry()
            retries += 1
    assert retries <= MAX_BUDGET + BUDGET_PER_REQUEST * len(failures)


def test_no_retry_after_the_deadline() -> None:
    last = FailedAttempt(
        1, ExecutionState.not_run, idempotent=True, seconds_left=0
    )
    assert not may_retry(last, RetryBudget())
