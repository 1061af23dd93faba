"""Claims items that other workers offer, and holds them until assigned."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.hosted.items import ItemWork
from wigeonpier.models import JobItem, OpenJob
from wigeonpier.policy import handover
from wigeonpier.policy.pacing import ItemView
from wigeonpier.policy.streamorigin import is_same_version
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import JSON_TYPE, Request, Response, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.hosted.backlogmeter import BacklogMeter
    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.itemtrials import ItemTrials
    from wigeonpier.hosted.runner import ItemRunner
    from wigeonpier.telemetry.metrics import Metrics

ITEMS_PATH = '/items'
# The limit of the items and texts of one offer.
MAX_OFFER_BYTES = 1_000_000
# An assignment arrives within 0.1 s; a slow store answers within 0.3 s.
CLAIM_SECONDS = 5.0


class OfferedItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An item that a worker offers to another one.

    :param index: position in the job.
    :param item: the request.
    :param seconds_left: time until it is due.
    :param done_share: events so far, as a share of a whole item's.
    :param texts: data of its events so far.
    :param last_event: id of the last event.
    :param failures: runs that failed at an upstream.
    :param saved_events: events whose text is saved in the store.
    :param moves: earlier handovers.
    :param version: software version of the upstream that wrote the events.
    """

    index: int
    item: JobItem
    seconds_left: float
    done_share: float = 0
    texts: tuple[str, ...] = ()
    last_event: str = ''
    failures: int = 0
    saved_events: int = 0
    moves: int = 0
    version: str = ''


class ItemOffer(msgspec.Struct, frozen=True):
    """Items of one job that a worker offers to another one.

    :param vm: name of the VM that has the items.
    :param job: their job.
    :param items: the items.
    """

    vm: str
    job: OpenJob
    items: tuple[OfferedItem, ...]


class ItemClaim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to an offer.

    :param indexes: positions of the items that are claimed.
    """

    indexes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _Claim:
    """An item that was claimed, and when, seconds of the monotonic clock."""

    offered: OfferedItem
    claimed_at: float
    priority: int


@dataclass(slots=True)
class ClaimTable:
    """Items that are claimed and not assigned yet.

    :param claims: by job and position.
    """

    claims: dict[tuple[str, int], _Claim] = field(default_factory=dict)

    def add(self, job: OpenJob, offered: OfferedItem) -> None:
        """Claim an item; a repeated claim replaces the first one.

        :param job: its job.
        :param offered: the item.
        """
        self.claims[job.name, offered.index] = _Claim(
            offered, time.monotonic(), job.priority
        )

    def take(self, job: str, indexes: Iterable[int]) -> list[OfferedItem]:
        """Remove claimed items that are assigned now.

        :param job: id of the job.
        :param indexes: positions of the assigned items.
        :returns: those that were claimed.
        """
        self._expire()
        found = [self.claims.pop((job, index), None) for index in indexes]
        return [claim.offered for claim in found if claim is not None]

    def list_views(self) -> list[ItemView]:
        """List the claimed items as the policies know them.

        :returns: the items.
        """
        self._expire()
        now = time.monotonic()
        return [
            ItemView(
                key,
                claim.offered.seconds_left - (now - claim.claimed_at),
                claim.offered.done_share,
                claim.priority,
            )
            for key, claim in self.claims.items()
        ]

    def _expire(self) -> None:
        oldest = time.monotonic() - CLAIM_SECONDS
        self.claims = {
            key: claim
            for key, claim in self.claims.items()
            if claim.claimed_at > oldest
        }


@dataclass(frozen=True, slots=True)
class OfferHandler:
    """Handles the offers of other workers.

    :param runner: runs the items here.
    :param meter: measures the slots that items get.
    :param claims: where claimed items wait for their assignment.
    :param trials: knows which items are suspected of crashing upstreams.
    :param store_health: state of the connection to the store.
    :param metrics: metrics of this process.
    """

    runner: ItemRunner
    meter: BacklogMeter
    claims: ClaimTable
    trials: ItemTrials
    store_health: StoreHealth
    metrics: Metrics

    def make_routes(self) -> list[Route]:
        """List the paths for other workers.

        :returns: the routes.
        """
        return [make_route('POST', ITEMS_PATH, self._answer)]

    def _answer(self, request: Request) -> Response:
        request.body_limit = MAX_OFFER_BYTES
        offer = decode_body(request.read_body(), ItemOffer)
        indexes = self._claim(offer)
        for offered in offer.items:
            if offered.index in indexes:
                self.claims.add(offer.job, offered)
        refused = len(offer.items) - len(indexes)
        self.metrics.count('items_claimed_total', len(indexes))
        self.metrics.count('item_offers_refused_total', refused)
        log_event(
            Event.items_claimed,
            job=offer.job.name,
            vm=offer.vm,
            claimed=len(indexes),
            refused=refused,
            slots=round(self.meter.slots, 1),
        )
        claim = ItemClaim(tuple(sorted(indexes)))
        return Response(HTTPStatus.OK, msgspec.json.encode(claim), JSON_TYPE)

    def _claim(self, offer: ItemOffer) -> set[int]:
        """Choose the positions of the items to claim."""
        if self.store_health.is_unreachable or not self.meter.may_take_items:
            return set()
        seen = self.runner.observe()
        offered = [
            _make_view(offer.job, found, seen.version)
            for found in offer.items
            if self._is_acceptable(offer.job, found)
        ]
        keys = {item.key for item in offered}
        # An item that is offered again replaces its earlier claim.
        claimed = [
            view for view in self.claims.list_views() if view.key not in keys
        ]
        chosen = handover.choose_claims(
            seen.upstream, [*seen.items, *claimed], offered, self.meter.slots
        )
        return {item.key[1] for item in chosen}

    def _is_acceptable(self, job: OpenJob, offered: OfferedItem) -> bool:
        key = (job.name, offered.index)
        work = ItemWork(job, offered.index, offered.item, 0, 0)
        is_known = key in self.runner.work
        has_moved = offered.moves >= handover.MAX_MOVES
        return not (is_known or has_moved or self.trials.is_suspected(work))


def _make_view(job: OpenJob, offered: OfferedItem, version: str) -> ItemView:
    """Describe an item; events of another version do not count."""
    may_continue = is_same_version(offered.version, version)
    return ItemView(
        (job.name, offered.index),
        offered.seconds_left,
        offered.done_share if may_continue else 0,
        job.priority,
    )
