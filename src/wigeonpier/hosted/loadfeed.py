"""Streams the load of the upstream on this VM to entries as it changes.

Entries that know only the loads reported with their own responses choose
upstreams from outdated data at load peaks: in a model of 25 entries and 28
upstreams, the share of late requests was 0.06 to 0.17 without this feed and
0.01 to 0.05 with a line every 0.1 s.
"""

from __future__ import annotations

import time
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
    from collections.abc import Iterator

    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.runner import ItemRunner
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.hosted.usagecounter import UsageCounter, UsageReport
    from wigeonpier.membership.suspicions import Suspicions

LOAD_PATH = '/load'
# A line costs an entry about 80 us; 48 upstreams at this rate stay below the
# 3.5 % of a core that a daemon may use for control traffic.
REPORT_INTERVAL_SECONDS = 0.1
# Repeats an unchanged load before followers consider it stale.
REPEAT_INTERVAL_SECONDS = 0.4


class LoadFeed:
    """Streams a line to each following entry whenever the load has changed."""

    def __init__(
        self,
        upstream: LocalUpstream,
        runner: ItemRunner,
        store_health: StoreHealth,
        suspicions: Suspicions,
        usage: UsageCounter,
    ) -> None:
        """Create the feed.

        :param upstream: the upstream on this VM.
        :param runner: runs batch items, which the load leaves out as far as
            they can be preempted.
        :param store_health: state of the connection to the store.
        :param suspicions: suspected requests, whose updates are streamed.
        :param usage: request counts of customers, which are streamed.
        """
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
        )

    def _answer(self, _request: Request) -> Response:
        self._followers += 1
        response = Response(HTTPStatus.OK, self._iterate(), JSON_LINES_TYPE)
        response.on_close.append(self._release)
        return response

    def _release(self) -> None:
        self._followers -= 1

    def _iterate(self) -> Iterator[bytes]:
        sent: OnlineLoad | None = None
        sent_at: float = 0
        position = 0
        first_report = self._usage.describe_all()
        known_totals = first_report.totals
        usage: UsageReport | None = first_report
        while not self.is_closed:
            position, changes = self._suspicions.read_log(position)
            for update in changes:
                yield _encode(FeedLine(news=update))
            load = self.measure()
            now = time.monotonic()
            usage = usage or self._usage.describe_changes(known_totals)
            if usage or load != sent or now - sent_at > REPEAT_INTERVAL_SECONDS:
                sent = load
                sent_at = now
                yield _encode(FeedLine(load, usage=usage))
                usage = None
            # Updates on suspected requests are sent at once.
            self._suspicions.changed.wait(REPORT_INTERVAL_SECONDS)

    def _poll(self) -> None:
        age = time.monotonic() - self._upstream.polled_at
        if self._followers and age > REPORT_INTERVAL_SECONDS / 2:
            self._upstream.poll()
        gevent.sleep(REPORT_INTERVAL_SECONDS / 2)


def _encode(line: FeedLine) -> bytes:
    return b'%s\n' % msgspec.json.encode(line)
