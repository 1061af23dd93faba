"""Jobs that are refused with a promise at every attempt of their caller.

An entry that the store does not answer says 503 for a job that it has sent
nowhere.  What another entry has sent was answered there, without a promise
unless it is fenced off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

from tests.hosted.builders import wait_for
from tests.hosted.test_overlapping_attempts import PROMISES, send
from tests.hosted.test_refusals_elsewhere import (
    GIVEN_UP_SECONDS,
    UNSURE,
    await_lost_write,
    lose_entry,
    make_lost_path,
)
from tests.hosted.test_refused_jobs import (
    LATE_SECONDS,
    REFUSED,
    RUN_SECONDS,
    count_runs,
    delay_write,
    start,
    submit,
)
from wigeonpier.hosted import acceptance
from wigeonpier.platform import storekeys

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.hosted.builders import HostedSite

UNREACHABLE = 503
NO_ANSWER = 0
OPEN_JOB = f'{storekeys.OPEN_JOBS}late'


def submit_unfenced(site: HostedSite, monkeypatch: pytest.MonkeyPatch) -> int:
    """Submit a job at an entry that loses its write and cannot fence it."""
    lose_entry(site, monkeypatch)
    late = gevent.spawn(submit, site, 'late')
    await_lost_write(site, late)
    return late.get()


def submit_fenced(site: HostedSite, _monkeypatch: pytest.MonkeyPatch) -> int:
    """Submit a job at an entry that loses its write and fences it off."""
    delay_write(site, OPEN_JOB)
    late = gevent.spawn(submit, site, 'late')
    wait_for(lambda: not site.store.faults.late_writes, 'the write was sent')
    assert submit(site, 'other', entry=1) == 202
    return late.get()


def submit_and_leave(site: HostedSite, _monkeypatch: pytest.MonkeyPatch) -> int:
    """Submit a job, and leave before its write is answered."""
    delay_write(site, OPEN_JOB)
    caller = send(site, 'late')
    wait_for(lambda: not site.store.faults.late_writes, 'the write was sent')
    caller.close()
    assert submit(site, 'other', entry=1) == 202
    return NO_ANSWER


def cut_off(site: HostedSite, monkeypatch: pytest.MonkeyPatch) -> None:
    """Cut the second entry off from the store, also by way of workers."""
    context = site.entries[1]._context
    calls = context.store.calls
    monkeypatch.setattr(context.store_health, 'find_relay', lambda: None)
    monkeypatch.setattr(calls, 'send_directly', make_lost_path(calls))
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
    gevent.sleep(LATE_SECONDS + RUN_SECONDS)
    assert count_runs(site, 'late') == runs
    assert not (runs and {first, second} <= set(PROMISES))
