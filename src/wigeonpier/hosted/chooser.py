"""Chooses upstreams for requests from what this entry knows of them."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.policy.route import (
    RoutingCriteria,
    choose_upstream,
    find_usable,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Set

    from wigeonpier.hosted.question import OnlineRequest
    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.models import HostSettings
    from wigeonpier.policy.route import UpstreamState

NONE_EXCLUDED: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class UpstreamChooser:
    """Chooses among the upstreams that this entry routes to.

    :param settings: settings of the process.
    :param replicas: upstreams that may be routed to.
    :param rng: source of randomness.
    """

    settings: HostSettings
    replicas: ReplicaRegister
    rng: random.Random

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
        return choose_upstream(
            self.replicas.list_upstreams(),
            self._make_criteria(request, excluded),
            time.monotonic(),
            self.rng,
        )

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

    def _make_criteria(
        self, request: OnlineRequest, excluded: Set[str]
    ) -> RoutingCriteria:
        shared_parts = request.head.prompt_parts[:-1]
        return RoutingCriteria(
            service=request.service,
            model='',
            affinity=shared_parts[-1] if shared_parts else '',
            data_centre=self.settings.data_centre,
            region=self.settings.region,
            excluded=frozenset(request.tried | excluded),
            is_repeatable=not request.is_last_attempt,
        )
