"""Decides which upstream a request goes to.

Addresses load peaks in which requests take nearly all slots of all upstreams,
while entries choose independently of each other.  The load that an entry
receives with its own answers is seconds old by then.  The load feed of each
upstream's local process arrives ten times a second, and the entry adds what it
has sent since the last report.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import TYPE_CHECKING

from wigeonpier.policy.incarnation import is_earlier, name_start
from wigeonpier.policy.pace import compare_time, find_reference
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.policy.streamorigin import UNKNOWN_VERSION, may_continue
from wigeonpier.reports import HealthState

if TYPE_CHECKING:
    import random

    from wigeonpier.models import OnlineLoad
    from wigeonpier.policy.streamorigin import StreamOrigin
    from wigeonpier.reports import UpstreamHealth, UpstreamPace

FAILURES_TO_EJECT = 3
INITIAL_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5
RAMP_SECONDS = 5.0
MIN_RAMP_SHARE = 0.1
DATA_CENTRE_PENALTY = 0.3
REGION_PENALTY = 2.0
AFFINITY_CANDIDATES = 2
AFFINITY_SLACK = 0.25
CANDIDATES = 2
# With paces that differ, two random upstreams are often both slow; with more
# than three, entries that decide at the same moment choose the same fast ones.
UNEQUAL_CANDIDATES = 3
MAX_REPORT_AGE_SECONDS = 5.0
# The feed sends ten lines a second; after a second without one, the process
# that sends it has exited or cannot be reached.
FEED_TIMEOUT_SECONDS = 1.0
# Weight of a request that waits at a worker.  Those that wait while slots are
# free belong to customers above their share and delay no others: with a weight
# of 1, the others met full upstreams and waited 0.3 s in the replay.
QUEUED_WEIGHT = 0.1
# An upstream restarts within some seconds.  After this time it has been
# reported again, or it is tried without a report.
CRASH_HOLD_SECONDS = 5.0
# A report that arrives this soon after a crash was sent before it.
LATE_REPORT_SECONDS = 0.5
_HEALTH_RANKS = MappingProxyType(
    {
        HealthState.healthy: 0,
        HealthState.on_trial: 1,
        HealthState.ejected: 2,
    }
)


@dataclass(slots=True)
class UpstreamState:
    """What an entry knows of one upstream.

    :param name: name of its VM.
    :param address: ``host:port`` of its local process.
    :param service: service that it is a replica of.
    :param models: models that it serves.
    :param data_centre: data centre that it runs in.
    :param region: region of its data centre.
    :param slots: streams that it can run within its latency target.
    :param in_flight: requests of this entry in progress there.
    :param reported: online requests in its last report.
    :param reported_at: when it reported, seconds.
    :param sent_since_report: requests of this entry that the report lacks.
    :param load_fresh_until: until when the report counts as fresh, seconds.
    :param takes_work: whether its local process reports it as healthy.
    :param is_leaving: whether it is draining and gets no new requests.
    :param failures: failed requests in a row.
    :param ejections: ejections since it last recovered.
    :param ejected_until: gets no requests before then, seconds.
    :param incarnation: grows with each start, 0 where it is unknown.
    :param version: version of its software, ``UNKNOWN_VERSION`` after a start
        that the register does not show yet.
    :param crashed_at: when it was last known to have crashed, seconds.
    :param queued: requests that wait at its worker for a slot.
    :param pace: how fast it works, ``None`` where its worker does not report
        that.
    :param health: its health by the outcomes of requests of all entries,
        ``None`` where its worker does not report that.
    :param unhealthy_since: when it was reported as ejected, seconds.
    :param unreported_successes: requests that it has completed since its worker
        was last sent.
    """

    name: str
    address: str
    service: str
    models: tuple[str, ...]
    data_centre: str
    region: str
    slots: int = 8
    in_flight: int = 0
    reported: int = 0
    reported_at: float = 0
    sent_since_report: int = 0
    load_fresh_until: float = 0
    takes_work: bool = True
    is_leaving: bool = False
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    incarnation: int = 0
    version: str = ''
    crashed_at: float = -CRASH_HOLD_SECONDS
    queued: int = 0
    pace: UpstreamPace | None = None
    health: UpstreamHealth | None = None
    unhealthy_since: float = 0
    unreported_successes: int = 0

    @property
    def start(self) -> str:
        """Identify the start that is known."""
        return name_start(self.name, self.incarnation)


@dataclass(frozen=True, slots=True)
class RoutingCriteria:
    """What a request requires of an upstream.

    :param service: service to reach.
    :param model: model to run, empty for any.
    :param affinity: hash of the prompt's start, empty for none.
    :param data_centre: data centre of the entry.
    :param region: region of the entry.
    :param excluded: upstreams that were tried already.
    :param is_repeatable: whether the request may run once more if the upstream
        fails it, and so may be sent to an upstream on trial.
    :param origin: what began the stream that the request continues, ``None``
        if it begins one.
    """

    service: str
    model: str
    affinity: str
    data_centre: str
    region: str
    excluded: frozenset[str] = field(default_factory=frozenset)
    is_repeatable: bool = True
    origin: StreamOrigin | None = None


def choose_upstream(
    upstreams: list[UpstreamState],
    criteria: RoutingCriteria,
    now: float,
    rng: random.Random,
    reference: float = 0,
) -> UpstreamState | None:
    """Choose the upstream of a request.

    Two candidates are drawn at random and the less loaded one is used.  Where
    baseline paces differ, three are drawn and the one with the least expected
    time is used.  If the start of the prompt was seen before, the upstreams that its
    hash ranks first are preferred as long as they are not much busier.

    :param upstreams: all upstreams that the entry knows.
    :param criteria: requirements of the request.
    :param now: seconds.
    :param rng: source of randomness.
    :param reference: usual baseline of the service (``find_usual_pace``),
        seconds; 0 where baselines are nearly equal.
    :returns: the upstream, ``None`` where none may be used.
    """
    usable = find_usable(upstreams, criteria, now)
    if not usable:
        return None
    candidates = UNEQUAL_CANDIDATES if reference else CANDIDATES
    best = min(
        rng.sample(usable, min(len(usable), candidates)),
        key=lambda state: estimate_cost(state, criteria, now, reference),
    )
    if not criteria.affinity:
        return best
    return _prefer_cached(usable, best, criteria, now, reference)


def find_usable(
    upstreams: list[UpstreamState],
    criteria: RoutingCriteria,
    now: float,
) -> list[UpstreamState]:
    """Find the upstreams that may get a request.

    At most half of the upstreams are left out because of failures or an
    unhealthy report.  If more were, those are used that are on trial, then
    those that were reported as ejected first, then those whose own ejection
    ends soonest.

    :param upstreams: all upstreams that the entry knows.
    :param criteria: requirements of the request.
    :param now: seconds.
    :returns: candidates, none of which is leaving.
    """
    serving = [
        state
        for state in upstreams
        if _may_serve(state, criteria)
        # Crashed upstreams do not count towards the share that may be ejected.
        and not is_down(state, now)
    ]
    remaining = [
        state for state in serving if state.name not in criteria.excluded
    ]
    healthy = [
        state
        for state in remaining
        if _is_healthy(state, now)
        and _rank_health(state, now) <= int(criteria.is_repeatable)
    ]
    min_usable = len(serving) - int(len(serving) * MAX_EJECTED_SHARE)
    if len(healthy) >= min(min_usable, len(remaining)):
        return healthy
    return sorted(
        remaining,
        key=lambda state: (
            _rank_health(state, now),
            state.unhealthy_since,
            state.ejected_until,
        ),
    )[:min_usable]


def find_usual_pace(
    upstreams: list[UpstreamState], criteria: RoutingCriteria, now: float
) -> float:
    """Find the pace that the upstreams of a request are compared with.

    Upstreams that the request was sent to already count as well, so that all
    requests of a service have the same reference.

    :param upstreams: all upstreams that the entry knows.
    :param criteria: requirements of the request.
    :param now: seconds.
    :returns: usual baseline, seconds; 0 where baselines are nearly equal.
    """
    every = replace(criteria, excluded=frozenset(), origin=None)
    return find_reference(
        [
            state.pace
            for state in find_usable(upstreams, every, now)
            if state.pace and state.load_fresh_until > now
        ],
    )


def estimate_cost(
    state: UpstreamState,
    criteria: RoutingCriteria,
    now: float,
    reference: float = 0,
) -> float:
    """Estimate how busy an upstream is, as a share of its slots.

    A fresh load from the feed is used as it is, plus the requests sent since.
    Otherwise the entry's own count is exact, and the last report only adds the
    requests of other entries, with a weight that falls as the report ages.

    Where paces differ or an upstream is slow, the load is scaled by the root of
    the time that a request takes relative to the others: the risk to wait for
    the last slots grows faster than in proportion to the load.

    :param state: the upstream.
    :param criteria: requirements of the request.
    :param now: seconds.
    :param reference: usual baseline of the service, seconds; 0 where baselines
        are nearly equal.
    :returns: load, with penalties for distance and for a recent ejection.
    """
    load = (count_requests(state, now) + 1) / max(1, state.slots)
    if state.pace and state.load_fresh_until > now:
        load *= math.sqrt(compare_time(state.pace, reference))
    since_return = now - state.ejected_until
    if state.ejections and since_return < RAMP_SECONDS:
        load /= max(MIN_RAMP_SHARE, since_return / RAMP_SECONDS)
    if state.region != criteria.region:
        return load + REGION_PENALTY
    if state.data_centre != criteria.data_centre:
        return load + DATA_CENTRE_PENALTY
    return load


def count_requests(state: UpstreamState, now: float) -> float:
    """Estimate the requests at an upstream.

    :param state: the upstream.
    :param now: seconds.
    :returns: requests there or waiting at its worker, without those that are
        preempted for others.
    """
    if state.load_fresh_until > now:
        waiting = state.queued * QUEUED_WEIGHT
        return state.reported + state.sent_since_report + waiting
    age = now - state.reported_at
    weight = max(0, 1 - age / MAX_REPORT_AGE_SECONDS)
    others = max(0, state.reported - state.in_flight) * weight
    return state.in_flight + others


def record_load(state: UpstreamState, load: OnlineLoad, now: float) -> None:
    """Update an upstream with a load from its local process.

    :param state: changed in place, unless the load is of an earlier start.
    :param load: the load.
    :param now: seconds.
    """
    if is_earlier(load.incarnation, state.incarnation):
        return
    if is_earlier(state.incarnation, load.incarnation):
        _clear_outcomes(state)
        state.incarnation = load.incarnation
        # Only the register can say what the new start runs.
        state.version = UNKNOWN_VERSION
    state.reported = load.questions
    state.reported_at = now
    state.queued = load.queued
    state.sent_since_report = 0
    state.load_fresh_until = now + FEED_TIMEOUT_SECONDS
    state.takes_work = load.takes_work
    if load.takes_work:
        record_return(state, now)


def record_crash(state: UpstreamState, now: float) -> None:
    """Record that the process of an upstream has crashed.

    It gets no requests until it is known to be back.

    :param state: changed in place.
    :param now: seconds.
    """
    state.crashed_at = now


def record_return(state: UpstreamState, now: float) -> None:
    """Record that an upstream was reported, which ends its time as crashed.

    :param state: changed in place, unless the report was sent before the crash.
    :param now: seconds.
    """
    if now - state.crashed_at >= LATE_REPORT_SECONDS:
        state.crashed_at = -CRASH_HOLD_SECONDS


def is_down(state: UpstreamState, now: float) -> bool:
    """Check whether an upstream has crashed and is not known to be back.

    :param state: the upstream.
    :param now: seconds.
    :returns: false again after a while; by then it is reported or removed.
    """
    return now - state.crashed_at < CRASH_HOLD_SECONDS


def record_health(
    state: UpstreamState, health: UpstreamHealth | None, now: float
) -> None:
    """Update the health of an upstream that its worker reports.

    :param state: changed in place.
    :param health: its health, ``None`` where the worker reports none.
    :param now: seconds.
    """
    state.health = health
    if health is None or health.state is HealthState.healthy:
        state.unhealthy_since = 0
    elif health.state is HealthState.ejected:
        state.unhealthy_since = now
        # Successes from before the ejection say nothing about the return.
        state.unreported_successes = 0


def is_ejected(state: UpstreamState, now: float) -> bool:
    """Check whether the worker of an upstream reports it as ejected.

    :param state: the upstream.
    :param now: seconds.
    :returns: false also where the report is no longer fresh.
    """
    return _rank_health(state, now) > 1


def record_outcome(state: UpstreamState, went_well: bool, now: float) -> None:
    """Eject an upstream after failures in a row, longer each time.

    :param state: changed in place.
    :param went_well: whether the upstream handled the request correctly.
    :param now: seconds.
    """
    if went_well:
        state.failures = 0
        if now - state.ejected_until > RAMP_SECONDS:
            state.ejections = 0
        return
    state.failures += 1
    if state.failures >= FAILURES_TO_EJECT:
        ejection_seconds = INITIAL_EJECTION_SECONDS * 2**state.ejections
        state.ejected_until = now + min(ejection_seconds, MAX_EJECTION_SECONDS)
        state.ejections += 1
        state.failures = 0


def _clear_outcomes(state: UpstreamState) -> None:
    """Clear what is known of the work of an earlier start.

    ``is_leaving`` stays: only the register can say that the new start accepts
    requests.
    """
    state.failures = 0
    state.ejections = 0
    state.ejected_until = 0
    state.pace = None
    state.health = None
    state.unhealthy_since = 0
    state.unreported_successes = 0


def _may_serve(state: UpstreamState, criteria: RoutingCriteria) -> bool:
    if state.service != criteria.service or state.is_leaving:
        return False
    if criteria.model and criteria.model not in state.models:
        return False
    return may_continue(state, criteria.origin)


def _is_healthy(state: UpstreamState, now: float) -> bool:
    reports_unhealthy = state.load_fresh_until > now and not state.takes_work
    return state.ejected_until <= now and not reports_unhealthy


def _rank_health(state: UpstreamState, now: float) -> int:
    """Rank by reported health: 0 healthy, 1 on trial, 2 ejected."""
    if state.health is None or state.load_fresh_until <= now:
        return 0
    return _HEALTH_RANKS[state.health.state]


def _prefer_cached(
    usable: list[UpstreamState],
    best: UpstreamState,
    criteria: RoutingCriteria,
    now: float,
    reference: float,
) -> UpstreamState:
    by_name = {state.name: state for state in usable}
    bound = estimate_cost(best, criteria, now, reference) + AFFINITY_SLACK
    for name in rank_by_key(list(by_name), criteria.affinity)[
        :AFFINITY_CANDIDATES
    ]:
        cost = estimate_cost(by_name[name], criteria, now, reference)
        if cost <= bound:
            return by_name[name]
    return best
