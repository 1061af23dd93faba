"""Follows the results of jobs that callers read."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Signal

from wigeonpier.hosted.views import make_unreadable_refusal

if TYPE_CHECKING:
    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.views import JobView, JobViews

# Callers read about twice a second; a job that is not read for so long is no
# longer followed.
IDLE_SECONDS = 4.0
# The store answers the initial call in 4 ms, and within 0.3 s when it is slow.
INITIAL_READ_SECONDS = 0.4
# Batches results that finish within a short time.
GATHER_SECONDS = 0.5


@dataclass(slots=True)
class _FollowedJob:
    """One job that is followed.

    :param view: the job.
    :param last_read_at: when a caller last read it, seconds of the monotonic
        clock.
    :param updated: set when results are added, and then replaced.
    :param is_current: set once the view was updated from the store.
    :param called_at: when the current call was started, seconds of the
        monotonic clock.
    """

    view: JobView
    last_read_at: float
    updated: Signal = field(default_factory=Signal)
    is_current: Signal = field(default_factory=Signal)
    called_at: float = 0


class FollowedJobs:
    """Keeps the views of jobs up to date as long as they are read."""

    def __init__(
        self, views: JobViews, store_health: StoreHealth, wait: float
    ) -> None:
        """Start without followed jobs.

        :param views: reads the jobs.
        :param store_health: tracks whether the store answers.
        :param wait: longest wait of one call for the next result, seconds.
        """
        self._wait = wait
        self._views = views
        self._store_health = store_health
        self._follows: dict[str, _FollowedJob] = {}

    def find(self, name: str) -> JobView:
        """Find a job, and follow it from now on.

        :param name: id of the job.
        :returns: its view.
        :raises Refusal: if there is none, or if the store cannot be read.
        """
        follow = self._follows.get(name)
        if follow is None:
            view = self._views.find(name)
            follow = self._follows.get(name)
            if follow is None and not view.is_finished:
                follow = _FollowedJob(view, time.monotonic())
                self._follows[name] = follow
                gevent.spawn(self._run, follow)
            if follow is None:
                return view
        follow.last_read_at = time.monotonic()
        return follow.view

    def await_results(self, view: JobView, known: int, wait: float) -> None:
        """Wait until there are results that a reader does not have.

        :param view: the job.
        :param known: number of results that the reader has.
        :param wait: longest wait, seconds.
        :raises Refusal: if there may be results that could not be read.
        """
        deadline = time.monotonic() + wait
        while len(view.results) <= known and not view.is_finished:
            follow = self._get_current(view.name)
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                self._check_current(follow)
                return
            follow.updated.wait(remaining)

    def _get_current(self, name: str) -> _FollowedJob:
        follow = self._follows.get(name)
        if follow is None or not follow.is_current.wait(INITIAL_READ_SECONDS):
            raise make_unreadable_refusal()
        return follow

    def _check_current(self, follow: _FollowedJob) -> None:
        """Check that the waiting call would have reported new results.

        A call whose answer was due during an outage of the store is never
        answered.

        :raises Refusal: if there was an outage since the call was started.
        """
        if not self._store_health.has_been_reachable_since(follow.called_at):
            raise make_unreadable_refusal()

    def _run(self, follow: _FollowedJob) -> None:
        with ExitStack() as stack:
            stack.callback(self._stop, follow)
            wait: float = 0
            is_certain = True
            while is_certain and self._is_wanted(follow):
                follow.called_at = time.monotonic()
                is_certain = self._views.read_new_results(follow.view, wait)
                wait = self._wait
                if is_certain:
                    follow.is_current.set()
                    follow.updated.set()
                    follow.updated = Signal()
                    gevent.sleep(GATHER_SECONDS)

    def _is_wanted(self, follow: _FollowedJob) -> bool:
        idle_seconds = time.monotonic() - follow.last_read_at
        return idle_seconds < IDLE_SECONDS and not follow.view.is_finished

    def _stop(self, follow: _FollowedJob) -> None:
        self._follows.pop(follow.view.name)
        follow.is_current.set()
        follow.updated.set()
