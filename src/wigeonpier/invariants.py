"""Checks invariants of the system where they could be violated.

A violation raises in tests.  In production it is logged as a numbered event
and counted, because stopping would harm more callers than continuing.
"""

from __future__ import annotations

import os
from collections import Counter
from enum import StrEnum

from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

STRICT_VARIABLE = 'WIGEONPIER_STRICT'


class Invariant(StrEnum):
    """Invariants that the system guarantees at all times."""

    exactly_one_result = 'exactly_one_result'
    cancelled_job_stops = 'cancelled_job_stops'
    no_blocking_behind_batch = 'no_blocking_behind_batch'
    whole_answer_to_its_caller = 'whole_answer_to_its_caller'
    refused_means_not_run = 'refused_means_not_run'
    runs_at_most_once = 'runs_at_most_once'
    leaving_gets_no_work = 'leaving_gets_no_work'
    shutdown_cuts_nothing = 'shutdown_cuts_nothing'
    configuration_never_reverts = 'configuration_never_reverts'


class InvariantError(AssertionError):
    """An invariant was violated while checks are strict."""


violations: Counter[Invariant] = Counter()


def is_strict() -> bool:
    """Check whether a violation raises.

    :returns: true where the environment variable is set, as in tests.
    """
    return os.environ.get(STRICT_VARIABLE) == '1'


def check_invariant(holds: bool, invariant: Invariant, detail: str) -> None:
    """Record a violation, and raise where checks are strict.

    :param holds: whether the invariant holds.
    :param invariant: the invariant that is checked.
    :param detail: description of the violation, for the log.
    :raises InvariantError: when it does not hold and checks are strict.
    """
    if holds:
        return
    violations[invariant] += 1
    log_event(Event.promise_broken, promise=invariant.value, detail=detail)
    if is_strict():
        raise InvariantError(f'{invariant.value}: {detail}')
