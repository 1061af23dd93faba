"""Chooses upstreams for requests from what this entry knows of them."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.hosted.failures import SendFailure
from wigeonpier.policy.route import (
    RoutingCriteria,
    choose_upstream,
    find_usable,
    find_usual_pace,
    is_down,
)
from wigeonpier.policy.streamorigin import may_continue

if TYPE_CHECKING:
    import random
    from collections.abc import Set

    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.models import HostSettings
    from wigeonpier.policy.route import UpstreamState

NONE_EXCLUDED: frozenset[str] = frozenset()
# Paces change with the lines of the load feed, ten times a second.
USUAL_PACE_SECONDS = 0.1
# More than the services of an entry; requests may name others.
MAX_USUAL_PACES = 256


@dataclass(slots=True)
class UsualPaces:
    """Keeps the usual pace of each service for a short time."""

    _found: dict[str, tuple[float, float]] = field(default_factory=dict)

    def find(
        self,
        upstreams: list[UpstreamState],
        criteria: RoutingCriteria,
        now: float,
    ) -> float:
        """Find the usual pace of a service.

        :param upstreams: all upstreams that the entry routes to.
        :param criteria: requirements of the request.
        :param now: seconds.
        :returns: usual baseline, seconds; 0 where baselines are nearly equal.
        """
        found_at, usual = self._found.get(criteria.service, (-math.inf, 0))
        if now - found_at < USUAL_PACE_SECONDS:
            return usual
        usual = find_usual_pace(upstreams, criteria, now)
        if len(self._found) >= MAX_USUAL_PACES:
            self._found.clear()
        self._found[criteria.service] = (now, usual)
        return usual


@dataclass(frozen=True, slots=True)
class UpstreamChooser:
    """Chooses among the upstreams that this entry routes to.

    :param settings: settings of the process.
    :param replicas: upstreams that may be routed to.
    :param rng: source of randomness.
    :param usual_paces: paces that the upstreams of a service are compared with.
    """

    settings: HostSettings
    replicas: ReplicaRegister
    rng: random.Random
    usual_paces: UsualPaces = field(default_factory=UsualPaces)

    def choose(
        self,
        request: OnlineRequest,
        excluded: Set[str] = NONE_EXCLUDED,
    ) -> UpstreamState | None:
        """Choose an upstream for a request.

        :param request: the request; upstreams that it was sent to already
            are left out.
        :param excluded: names of other upstreams to leave out.
        :returns: the upstream, ``None`` if there is none.
        """
        now = time.monotonic()
        upstreams = self._list_upstreams(request)
        criteria = self._make_criteria(request, excluded)
        usual = self.usual_paces.find(upstreams, criteria, now)
        return choose_upstream(upstreams, criteria, now, self.rng, usual)

    def list_candidates(self, request: OnlineRequest) -> list[UpstreamState]:
        """List all upstreams that could run a request, at any distance.

        :param request: the request; upstreams that it was sent to already
            are left out.
        :returns: the upstreams, the same at all entries with the same state.
        """
        return find_usable(
            list(self.replicas.upstreams.values()),
            self._make_criteria(request, NONE_EXCLUDED),
            time.monotonic(),
        )

    def find_version_failure(
        self, request: OnlineRequest
    ) -> SendFailure | None:
        """Find out why no upstream can continue the stream of a request now.

        :param request: the request.
        :returns: the reason, ``None`` if an upstream can, or it continues none.
        """
        if request.origin is None:
            return None
        staying = [
            state
            for state in self.replicas.upstreams.values()
            if may_continue(state, request.origin) and not state.is_leaving
        ]
        if not staying:
            return SendFailure.version_gone
        now = time.monotonic()
        if all(is_down(state, now) for state in staying):
            return SendFailure.version_down
        return None

    def allow_again(self, request: OnlineRequest) -> None:
        """Allow a stream to continue at upstreams that it was sent to already.

        A connection may break, or be silent for a moment, although its upstream
        is well, which may be the only one of the version that began the stream.

        :param request: the request; what it was sent to is cleared if nothing
            else can continue it.
        """
        if request.origin is None:
            return
        usable = find_usable(
            self._list_upstreams(request),
            self._make_criteria(request, NONE_EXCLUDED),
            time.monotonic(),
        )
        if not usable:
            request.tried.clear()

    def _list_upstreams(self, request: OnlineRequest) -> list[UpstreamState]:
        """List the upstreams that this entry routes to.

        Where none of them is of the version that began the stream, all others
        are listed.
        """
        routed = self.replicas.list_upstreams()
        origin = request.origin
        if any(may_continue(state, origin) for state in routed):
            return routed
        return list(self.replicas.upstreams.values())

    def _make_criteria(
        self, request: OnlineRequest, excluded: Set[str]
    ) -> RoutingCriteria:
        shared_parts = request.head.shared_parts
        return RoutingCriteria(
            service=request.service,
            model='',
            affinity=shared_parts[-1] if shared_parts else '',
            data_centre=self.settings.data_centre,
            region=self.settings.region,
            excluded=frozenset(request.tried | excluded),
            is_repeatable=not request.is_last_attempt,
            origin=request.origin,
        )
