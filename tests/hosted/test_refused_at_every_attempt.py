"""Jobs that are refused with a promise at every attempt of their caller.

An entry that the store does not answer says 503 for a job that it has sent
nowhere.  What another entry has sent was answered there, without a promise
unless it is fenced off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.hosted.builders import wait_for
from tests.hosted.test_overlapping_attempts import PROMISES, send
from tests.hosted.test_refusals_elsewhere import (
    GIVEN_UP_SECONDS,
    UNSURE,
    lose_path,
    submit_unfenced,
)
from tests.hosted.test_refused_jobs import (
    REFUSED,
    count_late_runs,
    delay_write,
    start,
    submit,
    submit_late,
)
from wigeonpier.hosted import acceptance
from wigeonpier.platform import storekeys

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.hosted.builders import HostedSite

UNREACHABLE = 503
NO_ANSWER = 0


def submit_fenced(site: HostedSite, _monkeypatch: pytest.MonkeyPatch) -> int:
    """Submit a job at an entry that loses its write and fences it off."""
    return submit_late(site)


def submit_and_leave(site: HostedSite, _monkeypatch: pytest.MonkeyPatch) -> int:
    """Submit a job, and leave before its write is answered."""
    delay_write(site, f'{storekeys.OPEN_JOBS}late')
    caller = send(site, 'late')
    wait_for(lambda: not site.store.faults.late_writes, 'the write was sent')
    caller.close()
    assert submit(site, 'other', entry=1) == 202
    return NO_ANSWER


def cut_off(site: HostedSite, monkeypatch: pytest.MonkeyPatch) -> None:
    """Cut the second entry off from the store, also by way of workers."""
    health = site.entries[1]._context.store_health
    monkeypatch.setattr(health, 'find_relay', lambda: None)
    lose_path(site, monkeypatch, entry=1)
    monkeypatch.setattr(acceptance, 'ACCEPT_TIMEOUT_SECONDS', GIVEN_UP_SECONDS)


@pytest.mark.parametrize(
    ('submit_first', 'answer', 'runs'),
    [
        (submit_unfenced, UNSURE, 1),
        (submit_and_leave, NO_ANSWER, 1),
        (submit_fenced, REFUSED, 0),
    ],
)
def test_no_job_runs_that_was_refused_at_every_attempt(
    site: HostedSite,
    monkeypatch: pytest.MonkeyPatch,
    submit_first: Callable[[HostedSite, pytest.MonkeyPatch], int],
    answer: int,
    runs: int,
) -> None:
    start(site)
    first = submit_first(site, monkeypatch)
    cut_off(site, monkeypatch)
    second = submit(site, 'late', entry=1)
    assert (first, second) == (answer, UNREACHABLE)
    assert count_late_runs(site) == runs
    assert not (runs and {first, second} <= set(PROMISES))
