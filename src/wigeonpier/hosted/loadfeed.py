"""Streams the load of the upstream on this VM to entries as it changes.

Entries that know only the loads reported with their own responses choose
upstreams from outdated data at load peaks: in a model of 25 entries and 28
upstreams, the share of late requests was 0.06 to 0.17 without this feed and
0.01 to 0.05 with a line every 0.1 s.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import msgspec

from wigeonpier.hosted.news import FeedLine
from wigeonpier.loops import spawn_loop
from wigeonpier.models import OnlineLoad
from wigeonpier.web.messages import JSON_LINES_TYPE, Request, Response
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.runner import ItemRunner
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.hosted.usagecounter import UsageCounter, UsageReport
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.reports import (
        ItemBacklog,
        UpstreamHealth,
        UpstreamPace,
    )

LOAD_PATH = '/load'
# A line costs an entry about 80 us; 48 upstreams at this rate stay below the
# 3.5 % of a core that a daemon may use for control traffic.
REPORT_INTERVAL_SECONDS = 0.1
# Repeats an unchanged load before followers consider it stale.
REPEAT_INTERVAL_SECONDS = 0.4

_Details = tuple[
    'UpstreamPace | None', 'UpstreamHealth | None', 'ItemBacklog | None'
]
NO_DETAILS: _Details = (None, None, None)


def count_none() -> int:
    """Count no waiting requests.

    :returns: 0.
    """
    return 0


def return_nothing() -> None:
    """Report nothing for a part of the feed that is not wired in."""


@dataclass(slots=True)
class FeedDetails:
    """Callbacks for the parts of a line that are sent when they change.

    Each returns ``None`` where nothing is known; a part that is not wired in
    is never sent.

    :param read_pace: how fast the upstream works.
    :param read_health: health of the upstream by the outcomes of requests.
    :param read_items: batch items at this worker.
    :param count_queued: counts the requests that wait for a slot, which is
        part of the load.
    """

    read_pace: Callable[[], UpstreamPace | None] = return_nothing
    read_health: Callable[[], UpstreamHealth | None] = return_nothing
    read_items: Callable[[], ItemBacklog | None] = return_nothing
    count_queued: Callable[[], int] = count_none

    def read(self) -> _Details:
        """Read all parts.

        :returns: pace, health and items.
        """
        return self.read_pace(), self.read_health(), self.read_items()


class LoadFeed:
    """Streams a line to each following entry whenever the load has changed."""

    def __init__(
        self,
        upstream: LocalUpstream,
        runner: ItemRunner,
        store_health: StoreHealth,
        suspicions: Suspicions,
        usage: UsageCounter,
        details: FeedDetails | None = None,
    ) -> None:
        """Create the feed.

        :param upstream: the upstream on this VM.
        :param runner: runs batch items, which the load leaves out as far as
            they can be preempted.
        :param store_health: state of the connection to the store.
        :param suspicions: suspected requests, whose updates are streamed.
        :param usage: request counts of customers, which are streamed.
        :param details: further parts of a line.
        """
        self.details = details or FeedDetails()
        self._usage = usage
        self._suspicions = suspicions
        self._store_health = store_health
        self.is_closed = False
        self._upstream = upstream
        self._runner = runner
        self._followers = 0

    def start(self) -> None:
        """Begin to poll the upstream while any entry follows."""
        spawn_loop('load', self._poll)

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes.
        """
        return [make_route('GET', LOAD_PATH, self._answer)]

    def measure(self) -> OnlineLoad:
        """Measure the load without batch items that requests may preempt.

        :returns: the load.
        """
        report = self._upstream.report
        if report is None:
            return OnlineLoad(
                0,
                takes_work=False,
                has_store=not self._store_health.is_unreachable,
            )
        total = report.running + report.waiting
        return OnlineLoad(
            max(0, total - self._runner.count_preemptible()),
            takes_work=not report.is_leaving,
            incarnation=report.incarnation,
            has_store=not self._store_health.is_unreachable,
            queued=self.details.count_queued(),
        )

    def _answer(self, _request: Request) -> Response:
        self._followers += 1
        response = Response(HTTPStatus.OK, self._iterate(), JSON_LINES_TYPE)
        response.on_close.append(self._release)
        return response

    def _release(self) -> None:
        self._followers -= 1

    def _iterate(self) -> Iterator[bytes]:
        position = 0
        follower = _Follower(self._usage.describe_all())
        while not self.is_closed:
            position, updates = self._suspicions.read_log(position)
            for update in updates:
                yield _encode(FeedLine(news=update))
            line = follower.make_line(
                self.measure(), self.details.read(), self._usage
            )
            if line is not None:
                yield _encode(line)
            # Updates on suspected requests are sent at once.
            self._suspicions.changed.wait(REPORT_INTERVAL_SECONDS)

    def _poll(self) -> None:
        age = time.monotonic() - self._upstream.polled_at
        if self._followers and age > REPORT_INTERVAL_SECONDS / 2:
            self._upstream.poll()
        gevent.sleep(REPORT_INTERVAL_SECONDS / 2)


class _Follower:
    """What one entry that follows the feed has been sent."""

    def __init__(self, usage: UsageReport) -> None:
        """Begin with the counts of customers that the first line carries."""
        self._usage: UsageReport | None = usage
        self._totals = usage.totals
        self._load: OnlineLoad | None = None
        self._details = NO_DETAILS
        self._sent_at: float = 0

    def make_line(
        self, load: OnlineLoad, details: _Details, counter: UsageCounter
    ) -> FeedLine | None:
        """Make the next line.

        :param load: load of the upstream now.
        :param details: further parts as they are now.
        :param counter: counts the requests of customers.
        :returns: the line, ``None`` while nothing has changed.
        """
        now = time.monotonic()
        usage = self._usage or counter.describe_changes(self._totals)
        is_repeated = now - self._sent_at > REPEAT_INTERVAL_SECONDS
        has_changed = load != self._load or details != self._details
        if not (usage or is_repeated or has_changed):
            return None
        pace, health, backlog = details
        line = FeedLine(
            load,
            usage=usage,
            pace=None if pace == self._details[0] else pace,
            health=None if health == self._details[1] else health,
            items=None if backlog == self._details[2] else backlog,
        )
        self._usage = None
        self._load = load
        self._details = details
        self._sent_at = now
        return line


def _encode(line: FeedLine) -> bytes:
    return b'%s\n' % msgspec.json.encode(line)
