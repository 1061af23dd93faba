"""Refusals by an entry that does not know of another entry's lost write."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from result import Err

from tests.hosted.builders import wait_for
from tests.hosted.test_refused_jobs import (
    REFUSED,
    count_late_runs,
    start,
    submit,
    submit_late,
)
from wigeonpier.hosted import acceptance
from wigeonpier.platform import wire
from wigeonpier.platform.port import Failure
from wigeonpier.web.client import CallFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest
    from result import Result

    from tests.hosted.builders import HostedSite
    from wigeonpier.platform.calls import Call, StoreCalls
    from wigeonpier.web.client import Reply

UNSURE = 502
NOT_FOUND = 404
# The second answer arrives before the write takes effect.
GIVEN_UP_SECONDS = 0.3
REFUSALS = 3


def submit_unfenced(site: HostedSite, monkeypatch: pytest.MonkeyPatch) -> int:
    """Submit a late job at an entry that gives it up without a fence."""
    monkeypatch.setattr(
        acceptance, 'UNCERTAIN_TIMEOUT_SECONDS', GIVEN_UP_SECONDS
    )
    refuse_fences(site, monkeypatch, entry=0)
    return submit_late(site)


def refuse_fences(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch, entry: int
) -> None:
    """Let an entry write no fence."""
    monkeypatch.setattr(
        site.entries[entry]._jobs._acceptor._ledger.fences,
        'write',
        lambda *_given: Err(Failure.unavailable),
    )


def test_a_refusal_is_true_although_another_entry_lost_a_write(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second entry answered 429, and the job ran after that."""
    start(site)
    assert submit_unfenced(site, monkeypatch) == UNSURE
    assert submit(site, 'late', entry=1) == REFUSED
    assert not count_late_runs(site)
    assert site.call('GET', '/-/lots/late?after=0').status == NOT_FOUND


def test_an_entry_that_is_not_sure_promises_nothing(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It answered 429 although the store executed no write for it."""
    start(site)
    monkeypatch.setattr(acceptance, 'ACCEPT_TIMEOUT_SECONDS', GIVEN_UP_SECONDS)
    assert submit_unfenced(site, monkeypatch) == UNSURE
    refuse_fences(site, monkeypatch, entry=1)
    assert submit(site, 'late', entry=1) == UNSURE
    assert count_late_runs(site) == 1


def test_a_refusal_costs_as_many_calls_as_before(site: HostedSite) -> None:
    """A refusal reads the board and makes one more call."""
    start(site)
    assert submit(site, 'other', entry=1) == 202
    # This one reads the items of other jobs as well.
    assert submit(site, 'more', entry=1) == REFUSED
    site.store.calls.clear()
    for number in range(REFUSALS):
        assert submit(site, f'more{number}', entry=1) == REFUSED
    calls = site.store.calls
    assert calls[wire.COMMIT_PATH] + calls[wire.KEY_PATH] <= REFUSALS
    assert not calls[wire.LEASE_PATH]


def test_a_job_that_has_ended_is_not_refused_at_a_full_route(
    site: HostedSite,
) -> None:
    """A repeat of an accepted job is answered 202, however full the route is."""
    start(site)
    assert submit(site, 'other', entry=1) == 202
    assert site.call('DELETE', '/-/lots/other').status == 200
    assert submit(site, 'next') == 202
    assert submit(site, 'other', entry=1) == 202


def test_an_ended_job_does_not_run_after_a_late_write(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its end was answered 404, and it ran once the write took effect."""
    start(site)
    assert submit_unfenced(site, monkeypatch) == UNSURE
    ended = site.call('DELETE', '/-/lots/late', entry=1)
    assert ended.status == NOT_FOUND
    assert not count_late_runs(site)


def test_an_entry_that_lost_the_store_fences_through_a_worker(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing that it sends to the store itself is answered after the write."""
    start(site)
    assert submit_late(site, lambda: lose_path(site, monkeypatch)) == REFUSED
    assert submit(site, 'late', entry=1) == REFUSED
    assert not count_late_runs(site)


def test_a_write_that_is_lost_behind_a_worker_is_fenced(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The worker waits for its answer; the entry must not take it for undone."""
    start(site)
    lose_path(site, monkeypatch)
    store = site.entries[0]._context.store_health
    store.record_call(time.monotonic(), is_answered=False)
    wait_for(store.find_relay_path, 'a worker carries the calls')
    assert submit_late(site) == REFUSED
    assert not count_late_runs(site)


def lose_path(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch, entry: int = 0
) -> None:
    """Let the store answer no call that an entry sends to it itself."""
    calls = site.entries[entry]._context.store.calls
    monkeypatch.setattr(calls, 'send_directly', make_lost_path(calls))


def make_lost_path(
    calls: StoreCalls,
) -> Callable[[Call, float], Result[Reply, CallFailure]]:
    """Make a path to the store on which no call is answered."""

    def lose(_call: Call, timeout: float) -> Result[Reply, CallFailure]:
        started_at = time.monotonic()
        gevent.sleep(timeout)
        assert calls.on_outcome is not None
        calls.on_outcome(started_at, is_answered=False)
        return Err(CallFailure.lost)

    return lose
