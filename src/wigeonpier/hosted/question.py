"""Holds the state of one online request while the entry processes it."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.hosted.failures import SendFailure
from wigeonpier.policy.claimwait import SlotSearch
from wigeonpier.policy.fingerprint import digest_request
from wigeonpier.policy.promptparts import make_part_keys
from wigeonpier.policy.silence import choose_read_timeout
from wigeonpier.policy.waiting import QueueTime
from wigeonpier.served import RouteKind

if TYPE_CHECKING:
    import gevent

    from wigeonpier.hosted.outcomes import TrackedSend
    from wigeonpier.platform.ingress import RequestHead
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.policy.streamorigin import StreamOrigin
    from wigeonpier.served import (
        ServedRoute,
    )
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.messages import Request

# A caller that reads as fast as events arrive makes each wait shorter.
MIN_CALLER_WAIT_SECONDS = 0.05
# A caller that reads slowly keeps a stream at most this long after its time.
MAX_CALLER_SECONDS = 30.0


@dataclass(slots=True)
class SendRecord:
    """One send as it is logged: the data it was based on and its outcome.

    :param upstream: name of the upstream.
    :param in_hand: requests that this entry had in flight there.
    :param reported: load that the upstream had last reported.
    :param report_age: age of that report, seconds.
    :param at: when it was sent, seconds after the request was received.
    :param company: which other suspected requests were allowed at the
        upstream, empty if the request was not suspected itself.
    :param outcome: how it ended.
    :param status: status of its answer, 0 for none.
    :param claims_not_run: whether the answer states that it has not run.
    :param problem: error of its connection, empty for none.
    :param instance: id of the instance that responded instead of the upstream.
    :param had_output: whether an event with id or data has arrived.
    :param version: software version of the upstream.
    :param trial: what excludes other runs of the same cause at the upstream,
        empty if the request was not suspected itself.
    :param sent_at: when it was sent, seconds of the monotonic clock.
    :param first_event_at: when its first event arrived, likewise; 0 before.
    :param is_proven: whether the parts of its prompt are recorded as sound.
    """

    upstream: str
    in_hand: int
    reported: int
    report_age: float
    at: float
    company: str = ''
    outcome: str = 'answered'
    status: int = 0
    claims_not_run: bool = False
    problem: str = ''
    instance: str = ''
    had_output: bool = False
    version: str = ''
    trial: str = ''
    sent_at: float = 0
    first_event_at: float = 0
    is_proven: bool = False


@dataclass(slots=True)
class OnlineRequest:
    """One online request, from its arrival to the end of its response.

    :param http_request: the HTTP request.
    :param head: its parsed headers.
    :param route: its route.
    :param service: service that was drawn for it.
    :param body: its body.
    :param received_at: when it was received, seconds of the monotonic clock.
    :param deadline: the caller's deadline or the route's time-out, whichever
        is earlier, seconds of the monotonic clock.
    :param resume_after: id of the last event that the caller has, or empty.
    :param tried: names of the upstreams that it was sent to.
    :param runs: sends that may have run.
    :param upstream: upstream that processes it now.
    :param next_upstream: upstream chosen for the next send, if any.
    :param isolation: which other suspected requests are allowed at the next
        upstream, empty if the request is not suspected itself.
    :param trial: what excludes other runs of the same cause there.
    :param exchange: exchange with the current upstream.
    :param sends: its sends, for the log.
    :param reservation_attempts: number of slot reservations requested for it.
    :param first_event_at: when the first event was forwarded, seconds of the
        monotonic clock; 0 before.
    :param is_abandoned: whether the caller has disconnected.
    :param is_retry_blocked: whether it may not run again until the cause of
        its last failure is known.
    :param priority: rank among waiting requests, 0 is the highest.
    :param watcher: detects that the caller closes its connection.
    :param tracked: current or last send if its outcome is to be reported.
    :param weight: weight of its customer, 0 if it makes no claim for slots.
    :param search: its search for a slot.
    :param slot_call: reservation call that waits at a worker, if any.
    :param slot_wait: time that such calls have taken, seconds.
    :param origin: what wrote the first event that the caller has, ``None`` if
        it has none.
    :param caller_seconds: time that the caller took to read events.
    """

    http_request: Request
    head: RequestHead
    route: ServedRoute
    service: str
    body: bytes
    received_at: float
    deadline: float
    resume_after: str
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    upstream: UpstreamState | None = None
    next_upstream: UpstreamState | None = None
    isolation: str = ''
    trial: str = ''
    exchange: Exchange | None = None
    sends: list[SendRecord] = field(default_factory=list)
    reservation_attempts: int = 0
    first_event_at: float = 0
    is_abandoned: bool = False
    is_retry_blocked: bool = False
    priority: int = 0
    watcher: gevent.Greenlet[..., None] | None = None
    tracked: TrackedSend | None = None
    weight: float = 0
    search: SlotSearch = field(default_factory=SlotSearch)
    slot_call: Exchange | None = None
    slot_wait: float = 0
    origin: StreamOrigin | None = None
    caller_seconds: float = 0
    _fingerprint: str = ''
    _part_keys: tuple[str, ...] | None = None

    @property
    def last_send(self) -> SendRecord:
        """Return its last send; there is one."""
        return self.sends[-1]

    @property
    def part_keys(self) -> tuple[str, ...]:
        """Return the keys of the shared parts of its prompt, in order."""
        if self._part_keys is None:
            self._part_keys = make_part_keys(
                self.service, self.head.shared_parts
            )
        return self._part_keys

    @property
    def fingerprint(self) -> str:
        """Give a digest of the content, which is the same for its repeats."""
        if not self._fingerprint:
            self._fingerprint = digest_request(
                self.head.host,
                self.http_request.method,
                self.http_request.target,
                self.body,
                self.http_request.customer,
            )
        return self._fingerprint

    @property
    def is_resumption(self) -> bool:
        """Tell whether the caller has received events of the stream already."""
        if self.route.kind is not RouteKind.stream:
            return False
        return self.head.is_resumption

    @property
    def seconds_left(self) -> float:
        """Give the time left until ``deadline``, in seconds."""
        return self.deadline - time.monotonic()

    @property
    def is_unplaced(self) -> bool:
        """Tell whether it is refused since no slot becomes free in time."""
        return self.search.is_hopeless and not self.runs

    @property
    def is_last_attempt(self) -> bool:
        """Tell whether the next run is the last one that is allowed."""
        return not self.route.is_idempotent or self.runs + 1 >= self.route.tries

    @property
    def may_run_again(self) -> bool:
        """Tell whether one more upstream may run it."""
        if self.is_retry_blocked:
            return False
        if self.runs == 0:
            return True
        return self.route.is_idempotent and self.runs < self.route.tries

    def count_losses(self) -> int:
        """Count the sends whose connection was lost.

        :returns: sends that may have run and got no response.
        """
        lost = SendFailure.lost.value
        return sum(send.outcome == lost for send in self.sends)

    def choose_read_timeout(self, *, has_events: bool) -> float:
        """Limit how long the next byte of the response is waited for.

        :param has_events: whether an event of the current send has arrived.
        :returns: seconds.
        """
        return choose_read_timeout(
            self.seconds_left,
            may_go_elsewhere=self.may_run_again,
            has_events=has_events,
        )

    def record_caller_wait(self, seconds: float) -> None:
        """Record how long the caller took to read an event.

        :param seconds: time of the write.
        """
        if seconds > MIN_CALLER_WAIT_SECONDS:
            self.caller_seconds = min(
                MAX_CALLER_SECONDS, self.caller_seconds + seconds
            )

    def measure_wait(self, now: float) -> QueueTime:
        """Measure how long the request has waited.

        :param now: seconds of the monotonic clock.
        :returns: waiting times as shares of the route's latency objective.
        """
        total = now - self.received_at
        here = total - self.sends[-1].at
        objective = self.route.objective
        return QueueTime(total / objective, here / objective)

    def record_send(self, upstream: UpstreamState) -> None:
        """Record that the request is sent.

        :param upstream: the upstream that it is sent to.
        """
        now = time.monotonic()
        self.tried.add(upstream.name)
        upstream.sent_since_report += 1
        self.sends.append(
            SendRecord(
                upstream.name,
                upstream.in_flight,
                upstream.reported,
                round(now - upstream.reported_at, 3),
                round(now - self.received_at, 3),
                self.isolation,
                version=upstream.version,
                trial=self.trial if self.isolation else '',
                sent_at=now,
            ),
        )

    def attach(self, upstream: UpstreamState, exchange: Exchange) -> None:
        """Record that the request may run at an upstream from now on.

        :param upstream: the upstream.
        :param exchange: the exchange with it.
        """
        upstream.in_flight += 1
        self.runs += 1
        self.upstream = upstream
        self.exchange = exchange

    def release(self, *, is_broken: bool = False) -> None:
        """Release the current upstream and the connection to it.

        :param is_broken: whether to abort the connection, which cancels the
            request at the upstream.
        """
        if self.tracked is not None:
            self.tracked.stop_timer()
        if self.upstream is not None:
            self.upstream.in_flight -= 1
            self.upstream = None
        if self.exchange is not None:
            if is_broken or not self.exchange.is_whole:
                self.exchange.abort()
            self.exchange.close()
            self.exchange = None

    def begin_slot_call(self, exchange: Exchange) -> None:
        """Record a reservation call that may wait at a worker.

        :param exchange: the exchange with the worker.
        """
        self.slot_call = exchange
        if self.is_abandoned:
            exchange.abort()

    def end_slot_call(self, began_at: float) -> None:
        """Record that a reservation call has ended.

        :param began_at: when it began, seconds of the monotonic clock.
        """
        self.slot_call = None
        self.slot_wait += time.monotonic() - began_at

    def abandon(self) -> None:
        """Cancel the request at the upstream after the caller disconnected."""
        self.is_abandoned = True
        if self.slot_call is not None:
            self.slot_call.abort()
        if self.exchange is not None:
            self.exchange.abort()
