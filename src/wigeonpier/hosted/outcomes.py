"""Reports to workers how their upstreams handled the requests of an entry.

An upstream that fails requests at once shows little load and attracts more of
them, so failures are sent at once, in a call that no caller waits for.
Of successes only their number is sent, with the next reservation call or the
next failure: where an entry sends a request to each of hundreds of upstreams
every 14 s, a limit on the number or age of kept successes would drop most of
them, and an ordinary upstream would look as if it failed many requests.
"""

from __future__ import annotations

import math
import time
from collections import deque
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok

from wigeonpier.hosted.failures import (
    MAX_SAFE_IDLE_SECONDS,
    SendFailure,
    shows_fault,
)
from wigeonpier.hosted.news import SendOutcome, SendReport, SendReports
from wigeonpier.policy import silence
from wigeonpier.policy.incarnation import name_start
from wigeonpier.policy.route import record_outcome
from wigeonpier.reports import HealthState
from wigeonpier.served import RouteKind
from wigeonpier.settings.process import split_address
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.models import HostSettings
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.pool import ConnectionPool

OUTCOMES_PATH = '/outcomes'
POST_TIMEOUT_SECONDS = 0.4
# A worker of an earlier build answers 404; it is updated within minutes.
MUTE_SECONDS = 30.0
# Failures that wait for a reservation call to carry them because a call with
# them was lost or refused.  A worker does not use older ones.
MAX_KEPT = 16
KEEP_SECONDS = 10.0
MAX_STARTS = 1024
# Without a queue an answer begins within some 0.06 s, and within 0.3 s at an
# upstream that is slow for a moment.
SILENT_OBJECTIVES = 2
# Longest pause between two events of a stream, with a margin.  A stream that may
# continue elsewhere is left before; one that may run only once is not.
STALL_MARGIN_SECONDS = 0.3
STALL_SECONDS = silence.BETWEEN_EVENTS_SECONDS + STALL_MARGIN_SECONDS
CHECK_SECONDS = 0.25
FINGERPRINT_DIGITS = 16
MILLISECONDS = 1000


@dataclass(slots=True)
class TrackedSend:
    """One send whose outcome is to be reported.

    :param upstream: the upstream.
    :param incarnation: its start, 0 where it is unknown.
    :param address: ``host:port`` of its worker.
    :param is_trial: whether the upstream was on trial.
    :param idle_seconds: how long the connection had been idle.
    :param sent_at: when it was sent, seconds of the monotonic clock.
    :param is_silent: whether it was reported as silent.
    :param timer: reports it as silent later.
    :param waits_since: when the entry began to wait for the next event of its
        answer, seconds of the monotonic clock; 0 while it does not wait.
    """

    upstream: UpstreamState
    incarnation: int
    address: str
    is_trial: bool
    idle_seconds: float
    sent_at: float = field(default_factory=time.monotonic)
    is_silent: bool = False
    timer: gevent.Greenlet[..., None] | None = None
    waits_since: float = 0

    @property
    def start(self) -> str:
        """Identify the start of the upstream."""
        return name_start(self.upstream.name, self.incarnation)

    def stop_timer(self) -> None:
        """Report no silence any more."""
        if self.timer is not None:
            self.timer.kill(block=False)
            self.timer = None


# A report and the time of its outcome, seconds.
_Timed = tuple[float, SendReport]


class OutcomeReporter:
    """Collects the outcomes of requests and sends them to the workers."""

    def __init__(
        self, settings: HostSettings, pool: ConnectionPool, metrics: Metrics
    ) -> None:
        """Create the reporter.

        :param settings: settings of the process; nothing is reported unless
            they say that upstreams are unreliable.
        :param pool: connections to the workers.
        :param metrics: metrics of this process.
        """
        self._settings = settings
        self._pool = pool
        self._metrics = metrics
        # Reports that wait for a reservation call, by start.
        self._kept: dict[str, deque[_Timed]] = {}
        # Reports that a greenlet is sending, by start.
        self._urgent: dict[str, deque[_Timed]] = {}
        self._muted_until: dict[str, float] = {}

    def track(
        self, request: OnlineRequest, upstream: UpstreamState, idle: float
    ) -> None:
        """Begin to track a send.

        :param request: the request, just about to be sent.
        :param upstream: the upstream that it is sent to.
        :param idle: how long the connection had been idle, seconds.
        """
        request.tracked = None
        if not self._settings.has_unreliable_upstreams:
            return
        host = split_address(upstream.address)[0]
        port = split_address(self._settings.peers)[1]
        health = upstream.health
        tracked = TrackedSend(
            upstream,
            upstream.incarnation,
            f'{host}:{port}',
            health is not None and health.state is HealthState.on_trial,
            idle,
        )
        request.tracked = tracked
        # The head of any other answer may come with its end.
        is_stream = request.route.kind is RouteKind.stream
        if is_stream and request.route.objective:
            tracked.timer = gevent.spawn_later(
                request.route.objective * SILENT_OBJECTIVES,
                self._report_silence,
                request,
                upstream,
            )

    def record_answer(
        self,
        request: OnlineRequest,
        exchange: Exchange,
        failure: SendFailure | None,
    ) -> None:
        """Report an answer that shows a fault of the upstream.

        An error that is passed on to the caller also counts at this entry,
        which may be the only one that uses the upstream.

        :param request: the request.
        :param exchange: the exchange with its response head read.
        :param failure: why the answer is not forwarded, if so.
        """
        is_error = shows_fault(exchange.status) and failure in {
            None,
            SendFailure.failed,
            SendFailure.unfounded,
        }
        if is_error or failure is SendFailure.foreign_answer:
            self._record(request, SendOutcome.failed)
        tracked = request.tracked
        if tracked is not None and is_error and failure is None:
            # A failure that is not forwarded is counted by the sender.
            record_outcome(
                tracked.upstream, went_well=False, now=time.monotonic()
            )

    def record_failure(
        self,
        request: OnlineRequest,
        upstream: UpstreamState,
        failure: SendFailure,
        *,
        has_crashed: bool,
    ) -> None:
        """Report a broken answer, unless the upstream has ended.

        :param request: the request.
        :param upstream: the upstream that it was sent to.
        :param failure: what went wrong.
        :param has_crashed: whether the process of the upstream has crashed.
        """
        tracked = request.tracked
        if tracked is None or has_crashed or upstream.is_leaving:
            return
        outcome = _judge_failure(request, tracked, upstream, failure)
        if outcome is not None:
            self._record(request, outcome)

    def record_success(self, request: OnlineRequest) -> None:
        """Record a complete answer.

        :param request: the request.
        """
        self._record(request, SendOutcome.succeeded)
        tracked = request.tracked
        if tracked is not None:
            record_outcome(
                tracked.upstream, went_well=True, now=time.monotonic()
            )

    def take(self, upstream: UpstreamState) -> SendReports | None:
        """Take the reports that a reservation call carries.

        :param upstream: the upstream.
        :returns: the reports, ``None`` if there are none.
        """
        kept = self._kept.pop(upstream.start, ())
        reports = _make_reports(kept)
        succeeded = upstream.unreported_successes
        if not reports and not succeeded:
            return None
        upstream.unreported_successes = 0
        self._count(len(reports) + succeeded, 'carried')
        return SendReports(
            self._settings.name, upstream.incarnation, reports, succeeded
        )

    def restore(
        self,
        upstream: UpstreamState,
        reports: SendReports | None,
        age: float = 0,
    ) -> None:
        """Keep the outcomes of a call that was lost for the next one.

        Failures without the successes of the same time would make an ordinary
        upstream look like a failing one.

        :param upstream: the upstream.
        :param reports: what the call carried.
        :param age: time since the call was made, seconds.
        """
        if reports is None:
            return
        now = time.monotonic()
        for report in reports.reports:
            self._keep(upstream.start, (now - age - report.age, report))
        if reports.incarnation == upstream.incarnation:
            upstream.unreported_successes += reports.succeeded

    def _record(self, request: OnlineRequest, outcome: SendOutcome) -> None:
        tracked = request.tracked
        if tracked is None:
            return
        if outcome is not SendOutcome.silent:
            tracked.stop_timer()
        now = time.monotonic()
        has_failed = outcome is SendOutcome.failed
        report = SendReport(
            request.fingerprint[:FINGERPRINT_DIGITS],
            outcome,
            is_trial=tracked.is_trial,
            took=_round_down(now - tracked.sent_at) if has_failed else 0,
        )
        is_urgent = tracked.is_trial or tracked.is_silent
        if outcome is SendOutcome.succeeded and not is_urgent:
            # The upstream may have restarted meanwhile.
            if tracked.incarnation == tracked.upstream.incarnation:
                tracked.upstream.unreported_successes += 1
            return
        timed = (now, report)
        if now < self._muted_until.get(tracked.address, 0):
            self._keep(tracked.start, timed)
            return
        is_sending = tracked.start in self._urgent
        self._urgent.setdefault(tracked.start, deque(maxlen=MAX_KEPT)).append(
            timed
        )
        if not is_sending:
            gevent.spawn(self._post_all, tracked)

    def _report_silence(
        self, request: OnlineRequest, upstream: UpstreamState
    ) -> None:
        """Report a send without an event for long although nothing waits."""
        tracked = request.tracked
        if tracked is None or request.is_abandoned:
            return
        has_no_event = not request.sends[-1].had_output
        # ``stop_timer`` ends this greenlet when the send has ended.
        while request.upstream is upstream:
            is_silent = has_no_event or _is_stalled(tracked)
            if is_silent and _has_no_queue(upstream):
                tracked.timer = None
                tracked.is_silent = True
                self._record(request, SendOutcome.silent)
                return
            # It may have left a queue just now.
            has_no_event = False
            gevent.sleep(CHECK_SECONDS)

    def _post_all(self, tracked: TrackedSend) -> None:
        """Send the urgent reports on one start until none is left."""
        with ExitStack() as stack:
            stack.callback(self._urgent.pop, tracked.start)
            while self._urgent[tracked.start]:
                timed = self._urgent[tracked.start]
                self._urgent[tracked.start] = deque(maxlen=MAX_KEPT)
                self._post(tracked, _make_reports(timed))

    def _post(
        self, tracked: TrackedSend, reports: tuple[SendReport, ...]
    ) -> None:
        upstream = tracked.upstream
        succeeded = 0
        if tracked.incarnation == upstream.incarnation:
            succeeded = upstream.unreported_successes
            upstream.unreported_successes = 0
        sent = SendReports(
            self._settings.name, tracked.incarnation, reports, succeeded
        )
        body = msgspec.json.encode(sent)
        headers = [('Host', tracked.address)]
        raw = make_request('POST', OUTCOMES_PATH, headers, body)
        began = time.monotonic()
        called = self._pool.call(tracked.address, raw, POST_TIMEOUT_SECONDS)
        if isinstance(called, Ok) and called.ok_value.is_good:
            self._count(len(reports) + succeeded, 'sent')
            return
        # Counts restored after a call whose answer was lost may be reported
        # twice, which speaks for the upstream; a failure counts once.
        self.restore(upstream, sent, age=time.monotonic() - began)
        how = 'lost' if isinstance(called, Err) else 'refused'
        self._count(len(reports) + succeeded, how)
        if (
            isinstance(called, Ok)
            and called.ok_value.status == HTTPStatus.NOT_FOUND
        ):
            muted_until = time.monotonic() + MUTE_SECONDS
            self._muted_until[tracked.address] = muted_until

    def _keep(self, start: str, timed: _Timed) -> None:
        kept = self._kept.setdefault(start, deque(maxlen=MAX_KEPT))
        kept.append(timed)
        while len(self._kept) > MAX_STARTS:
            self._kept.pop(next(iter(self._kept)))

    def _count(self, outcomes: int, how: str) -> None:
        self._metrics.count('outcome_reports_total', outcomes, how=how)


def _make_reports(kept: Iterable[_Timed]) -> tuple[SendReport, ...]:
    """Set the ages of reports, and leave out those that are too old."""
    now = time.monotonic()
    return tuple(
        msgspec.structs.replace(report, age=_round_down(now - at))
        for at, report in kept
        if now - at < KEEP_SECONDS
    )


def _round_down(seconds: float) -> float:
    """Round to milliseconds, so that no send precedes the grant of its slot."""
    return math.floor(seconds * MILLISECONDS) / MILLISECONDS


def _is_stalled(tracked: TrackedSend) -> bool:
    # While the caller reads slowly, events are not waited for.
    waited = time.monotonic() - tracked.waits_since
    return tracked.waits_since > 0 and waited > STALL_SECONDS


def _has_no_queue(upstream: UpstreamState) -> bool:
    """Check whether an upstream takes work and reports free slots."""
    return (
        upstream.load_fresh_until > time.monotonic()
        and upstream.takes_work
        and upstream.reported <= upstream.slots
    )


def _judge_failure(
    request: OnlineRequest,
    tracked: TrackedSend,
    upstream: UpstreamState,
    failure: SendFailure,
) -> SendOutcome | None:
    """Judge a broken answer.

    :returns: its outcome, ``None`` where it shows no fault of the upstream.
    """
    if failure is SendFailure.endless:
        return SendOutcome.failed
    had_output = request.sends[-1].had_output
    if failure is SendFailure.lost:
        # An idle connection may have been closed before any answer.
        has_answered = bool(request.sends[-1].status)
        is_fault = has_answered or tracked.idle_seconds < MAX_SAFE_IDLE_SECONDS
        return SendOutcome.failed if is_fault else None
    # An answer that pauses until the request's time is up may only be slow.
    if failure is not SendFailure.silent or request.seconds_left <= 0:
        return None
    if had_output:
        return SendOutcome.failed
    if request.route.kind is not RouteKind.stream:
        return None
    return SendOutcome.silent if _has_no_queue(upstream) else None
