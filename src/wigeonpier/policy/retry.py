"""Decides whether a request is sent again, within a retry budget."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_ATTEMPTS = 3
BUDGET_PER_REQUEST = 0.1
MAX_BUDGET = 10.0


class ExecutionState(StrEnum):
    """What is known of an attempt without a good answer."""

    not_run = 'not_run'
    may_have_run = 'may_have_run'


@dataclass(slots=True)
class RetryBudget:
    """Retries that an entry may still make, as a share of its requests.

    :param tokens: retries that may be made now.
    """

    tokens: float = MAX_BUDGET

    def record_request(self) -> None:
        """Add a share of a retry."""
        self.tokens = min(MAX_BUDGET, self.tokens + BUDGET_PER_REQUEST)

    def record_retry(self) -> None:
        """Spend one retry."""
        self.tokens -= 1


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt.

    :param number: 1 for the first.
    :param execution_state: what is known of it.
    :param idempotent: whether the request may run more than once.
    :param seconds_left: until the request's deadline.
    """

    number: int
    execution_state: ExecutionState
    idempotent: bool
    seconds_left: float


def may_retry(last: FailedAttempt, budget: RetryBudget) -> bool:
    """Decide whether to try another upstream.

    :param last: the failed attempt.
    :param budget: retries that may be made.
    :returns: false where the caller gets its final answer now.
    """
    if last.number >= MAX_ATTEMPTS or last.seconds_left <= 0:
        return False
    if (
        last.execution_state is ExecutionState.may_have_run
        and not last.idempotent
    ):
        return False
    return budget.tokens >= 1
