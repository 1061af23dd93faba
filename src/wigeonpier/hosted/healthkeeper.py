"""Keeps the health of the upstream on this VM by the outcomes of requests."""

from __future__ import annotations

import time
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING

from wigeonpier.hosted.news import SendOutcome, SendReport, SendReports
from wigeonpier.hosted.outcomes import OUTCOMES_PATH
from wigeonpier.policy import ejection
from wigeonpier.policy.failuretest import Evidence
from wigeonpier.reports import HealthState, UpstreamHealth
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import Request, Response, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.hosted.items import ItemWork
    from wigeonpier.hosted.upstream import LocalUpstream
    from wigeonpier.models import HostSettings
    from wigeonpier.telemetry.metrics import Metrics

# An entry sends what has failed within some milliseconds.
MAX_REPORT_BYTES = 64_000
# Items that wait are checked every 0.05 s.
ITEMS_KNOWN_SECONDS = 0.3
_EVENTS = MappingProxyType(
    {
        HealthState.ejected: Event.upstream_ejected,
        HealthState.on_trial: Event.upstream_on_trial,
        HealthState.healthy: Event.upstream_returned,
    }
)


class HealthKeeper:
    """Decides whether the upstream is healthy, ejected or on trial."""

    def __init__(
        self,
        settings: HostSettings,
        upstream: LocalUpstream,
        metrics: Metrics,
    ) -> None:
        """Create the keeper.

        :param settings: settings of the process; the upstream always counts as
            healthy unless they say that upstreams are unreliable.
        :param upstream: the upstream on this VM.
        :param metrics: metrics of this process.
        """
        self._settings = settings
        self._upstream = upstream
        self._metrics = metrics
        self._record = ejection.HealthRecord()
        # Changes of state that were logged.
        self._reported_changes = 0
        self._items_seen_at: float = -ITEMS_KNOWN_SECONDS
        # The item that runs on trial, and the last one that did.
        self._trial_item: ItemWork | None = None
        self._tried_item: ItemWork | None = None
        if self.is_active:
            metrics.add_gauge('upstream_ejected', self._count_ejected)

    @property
    def is_active(self) -> bool:
        """Tell whether outcomes are taken into account."""
        return self._settings.has_unreliable_upstreams

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes; none while outcomes are not taken into account.
        """
        if not self.is_active:
            return []
        return [make_route('POST', OUTCOMES_PATH, self._answer)]

    def receive(self, reports: SendReports | None) -> None:
        """Take the reports of an entry into account.

        :param reports: the reports, ``None`` if it has sent none.
        """
        if reports is None or not self._update():
            return
        known = self._record.incarnation
        # A report on an earlier start says nothing about this one.
        if known and reports.incarnation and known != reports.incarnation:
            return
        if reports.succeeded > 0:
            self._record_successes(reports.entry, reports.succeeded)
        for report in reports.reports:
            self._metrics.count('outcomes_total', outcome=report.outcome.value)
            ejection.record_evidence(
                self._record, self._make_evidence(reports.entry, report)
            )
            self._report_change()

    def read_health(self) -> UpstreamHealth | None:
        """Read the health for the load feed.

        :returns: the health, ``None`` while it is not known.
        """
        if not self._update():
            return None
        return UpstreamHealth(
            self._record.state, self._record.reason, self._record.incarnation
        )

    def may_reserve(self) -> bool:
        """Check whether a request may get a slot.

        :returns: false while the upstream is ejected or runs a trial.
        """
        if not self._update():
            return True
        return ejection.may_reserve(self._record, time.monotonic())

    def record_grant(self) -> None:
        """Record that a request has got a slot."""
        ejection.record_grant(self._record, time.monotonic())

    def may_start_item(self) -> bool:
        """Check whether a waiting batch item may be started.

        :returns: false if it has to wait until the upstream has returned.
        """
        # Each of some hundred waiting items is checked every 0.05 s.
        if self._record.state is HealthState.healthy or not self._update():
            return True
        now = time.monotonic()
        self._items_seen_at = now
        limit = ejection.limit_items(self._record, now)
        return limit is None or (limit > 0 and self._trial_item is None)

    def start_item(self, work: ItemWork) -> None:
        """Record that a batch item starts.

        :param work: the item.
        """
        if self._record.state is not HealthState.healthy:
            self._trial_item = work
            self._tried_item = work
            self._record.tried_at = time.monotonic()

    def end_item(self, work: ItemWork) -> None:
        """Record that a batch item has stopped running.

        :param work: the item.
        """
        if self._trial_item is work:
            self._trial_item = None

    def record_item(self, work: ItemWork, *, went_well: bool) -> None:
        """Take the outcome of a batch item into account.

        :param work: the item.
        :param went_well: whether the upstream completed it.
        """
        if not self._update():
            return
        outcome = SendOutcome.succeeded if went_well else SendOutcome.failed
        ejection.record_item(
            self._record,
            self._make_evidence(
                self._settings.name, SendReport(work.fingerprint, outcome)
            ),
            is_trial=self._tried_item is work,
        )
        self._report_change()

    def _record_successes(self, entry: str, count: int) -> None:
        self._metrics.count(
            'outcomes_total', count, outcome=SendOutcome.succeeded.value
        )
        successes = Evidence(
            time.monotonic(), entry, '', has_failed=False, count=count
        )
        ejection.record_successes(self._record, successes)

    def _answer(self, request: Request) -> Response:
        request.body_limit = MAX_REPORT_BYTES
        self.receive(decode_body(request.read_body(), SendReports))
        return Response(HTTPStatus.OK, b'{}')

    def _update(self) -> bool:
        """Follow the start of the upstream, and begin a trial that is due.

        :returns: whether outcomes are taken into account now.
        """
        if not self.is_active:
            return False
        report = self._upstream.report
        if report is None:
            # Without known starts it may have restarted meanwhile.
            if not self._record.incarnation:
                self._forget(0)
            return False
        if report.is_leaving:
            return False
        if report.incarnation != self._record.incarnation:
            self._forget(report.incarnation)
        now = time.monotonic()
        has_items = (
            self._trial_item is not None
            or now - self._items_seen_at < ITEMS_KNOWN_SECONDS
        )
        ejection.advance(self._record, now, has_items=has_items)
        self._report_change()
        return True

    def _forget(self, incarnation: int) -> None:
        self._record = ejection.HealthRecord(incarnation)
        self._reported_changes = 0
        self._trial_item = None
        self._tried_item = None

    def _report_change(self) -> None:
        state = self._record.state
        if self._record.changes == self._reported_changes:
            return
        self._reported_changes = self._record.changes
        if state is not HealthState.on_trial:
            # What started before says nothing about a later trial.
            self._trial_item = None
            self._tried_item = None
        self._metrics.count('health_changes_total', state=state.value)
        log_event(
            _EVENTS[state],
            upstream=self._upstream.address,
            incarnation=self._record.incarnation,
            ejections=self._record.ejections,
            pause=round(max(0, self._record.trial_at - time.monotonic()), 3),
            why=self._record.reason,
        )

    def _make_evidence(self, entry: str, report: SendReport) -> Evidence:
        return Evidence(
            time.monotonic() - max(0, report.age),
            entry,
            report.fingerprint,
            has_failed=report.outcome is not SendOutcome.succeeded,
            is_silent=report.outcome is SendOutcome.silent,
            is_trial=report.is_trial,
            took=max(0, report.took),
        )

    def _count_ejected(self) -> float:
        return float(self._record.state is not HealthState.healthy)
