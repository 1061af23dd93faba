"""Counts the requests of customers at a worker and reports them to entries.

Entries report the requests that they have admitted along with their slot
reservations.  The counter sends the totals to all entries on the load feed.
The counts survive a restart of entries, and the totals that entries have
received survive a restart of the worker.
"""

from __future__ import annotations

import secrets
import time
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.policy.window import Window, spend, sum_spent
from wigeonpier.web.messages import Request, Response, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from collections.abc import Mapping

USAGE_PATH = '/usage'
MAX_USAGE_BYTES = 500_000
START_ID_BYTES = 6


class UsageReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report of a worker on the requests of customers.

    :param start: id of the worker's current start.
    :param totals: requests since that start, of each customer whose number has
        changed since the last report.
    :param recent: requests of each customer within the quota window, in the
        first report only.
    :param age: seconds since the start, in the first report only.
    """

    start: str
    totals: dict[str, int]
    recent: dict[str, int] = {}
    age: float = 0


class UsageCounter:
    """Counts the requests of customers that entries report."""

    def __init__(self, span: float) -> None:
        """Create the counter.

        :param span: length of the quota window, seconds.
        """
        self._span = span
        self._start = secrets.token_hex(START_ID_BYTES)
        self._started_at = time.monotonic()
        self._totals: Counter[str] = Counter()
        self._windows: dict[str, Window] = {}

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes.
        """
        return [make_route('POST', USAGE_PATH, self._add_reported)]

    def add(self, admitted: Mapping[str, int]) -> None:
        """Count requests that an entry has admitted.

        :param admitted: number by customer, negative for requests that were
            admitted earlier and did not run.
        """
        now = time.monotonic()
        for customer, count in admitted.items():
            self._totals[customer] += count
            window = self._windows.setdefault(customer, Window(self._span))
            spend(window, count, now)

    def describe_all(self) -> UsageReport:
        """Make the first report for a follower.

        :returns: the report, with all counts.
        """
        now = time.monotonic()
        recent = {
            customer: int(sum_spent(window, now))
            for customer, window in self._windows.items()
        }
        return UsageReport(
            self._start,
            dict(self._totals),
            {customer: count for customer, count in recent.items() if count},
            round(now - self._started_at, 3),
        )

    def describe_changes(self, known: dict[str, int]) -> UsageReport | None:
        """Make a report of what has changed since a follower's last one.

        :param known: totals that the follower has; they are updated.
        :returns: the report, ``None`` if nothing has changed.
        """
        if known == self._totals:
            return None
        changed = {
            customer: total
            for customer, total in self._totals.items()
            if total != known.get(customer)
        }
        known |= changed
        return UsageReport(self._start, changed)

    def _add_reported(self, request: Request) -> Response:
        request.body_limit = MAX_USAGE_BYTES
        self.add(decode_body(request.read_body(), dict[str, int]))
        return Response(HTTPStatus.OK, b'{}')
