"""Follows the results of jobs that somebody reads."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Signal

from wigeonpier.hosted.views import refuse_unread

if TYPE_CHECKING:
    from wigeonpier.hosted.views import JobView, JobViews

# Callers read about twice a second; a job that nobody reads is left.
IDLE_SECONDS = 4.0
# One call waits so long for the next result, well within the store's history.
WATCH_SECONDS = 8.0
# What ends soon after a result is heard with it.  Callers read each 0.5 s.
GATHER_SECONDS = 0.2


@dataclass(slots=True)
class _Follow:
    """One job that is followed.

    :param view: the job.
    :param asked_at: when somebody read it last, seconds of the steady clock.
    :param news: set when there are results beyond those known now.
    """

    view: JobView
    asked_at: float
    news: Signal = field(default_factory=Signal)


class FollowedJobs:
    """Keeps the views of jobs fresh as long as they are read."""

    def __init__(self, views: JobViews) -> None:
        """Follow none yet."""
        self._views = views
        self._follows: dict[str, _Follow] = {}

    def find(self, name: str) -> JobView:
        """Find a job, and follow it from now on.

        :param name: id of the job.
        :returns: its view.
        :raises Refusal: where there is none, or that cannot be known.
        """
        follow = self._follows.get(name)
        if follow is None:
            view = self._views.find(name)
            follow = self._follows.get(name)
            if follow is None and not view.is_finished:
                follow = _Follow(view, time.monotonic())
                self._follows[name] = follow
                gevent.spawn(self._run, follow)
            if follow is None:
                return view
        follow.asked_at = time.monotonic()
        return follow.view

    def await_news(self, view: JobView, known: int, wait: float) -> None:
        """Wait until there are results that a reader does not have.

        :param view: the job.
        :param known: results that the reader has.
        :param wait: longest wait, seconds.
        :raises Refusal: where the job is not followed any more, so that it is
            not certain that there are none.
        """
        give_up = time.monotonic() + wait
        while len(view.results) <= known and not view.is_finished:
            follow = self._follows.get(view.name)
            if follow is None:
                raise refuse_unread()
            left = give_up - time.monotonic()
            if left <= 0:
                return
            follow.news.wait(left)

    def _run(self, follow: _Follow) -> None:
        with ExitStack() as stack:
            stack.callback(self._end, follow)
            while self._is_wanted(follow):
                if not self._views.read_on(follow.view, WATCH_SECONDS):
                    break
                follow.news.set()
                follow.news = Signal()
                gevent.sleep(GATHER_SECONDS)

    def _is_wanted(self, follow: _Follow) -> bool:
        idle = time.monotonic() - follow.asked_at
        return idle < IDLE_SECONDS and not follow.view.is_finished

    def _end(self, follow: _Follow) -> None:
        self._follows.pop(follow.view.name)
        follow.news.set()
