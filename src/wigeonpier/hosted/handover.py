"""Hands over items that would be late here to a worker that is ready sooner.

The worker that gets them first claims them, so that it has room for them, and
then one transaction of the store changes their owner.  Until that has
succeeded they go on running here.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err, Ok, Result

from wigeonpier.hosted.itemclaims import (
    ITEMS_PATH,
    MAX_OFFER_BYTES,
    ItemClaim,
    ItemOffer,
    OfferedItem,
)
from wigeonpier.platform.port import Failure
from wigeonpier.policy import handover
from wigeonpier.policy.placement import may_own
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.client import CallFailure
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from wigeonpier.hosted.assignments import AssignmentFollower
    from wigeonpier.hosted.backlogmeter import BacklogMeter
    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.items import ItemWork
    from wigeonpier.hosted.itemtrials import ItemTrials
    from wigeonpier.hosted.ledger import JobLedger
    from wigeonpier.hosted.news import IdleWorker
    from wigeonpier.hosted.runner import ItemRunner
    from wigeonpier.models import OpenJob
    from wigeonpier.policy.backlog import ItemOutlook
    from wigeonpier.policy.pacing import ItemView
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.pool import ConnectionPool

# Calls between data centres take 3 ms.
OFFER_TIMEOUT_SECONDS = 0.4
# Entries name another worker with each reservation while items are late.
OFFER_INTERVAL_SECONDS = 0.2
REFUSED_INTERVAL_SECONDS = 1.0
# Entries go on naming a worker that refuses until its reported backlog has
# changed; a peak of online requests, which takes its slots, lasts 2.4 s.
REFUSAL_SECONDS = 3.0
# After a write with an unknown outcome, the watch shows the assignment by then.
UNCERTAIN_SECONDS = 5.0


@dataclass(slots=True)
class ItemHandover:
    """Offers items to other workers, and writes their new owner.

    :param meter: predicts when items complete here.
    :param runner: runs the items here.
    :param assignments: items that are assigned to this process.
    :param ledger: jobs in the store.
    :param pool: connections to other workers.
    :param trials: knows which items are suspected of crashing upstreams.
    :param store_health: state of the connection to the store.
    :param metrics: metrics of this process.
    :param next_at: earliest time of the next offer, seconds of the monotonic
        clock.
    :param held: jobs whose items are not offered until then, likewise.
    :param outdated: jobs whose owners were changed by another process, with
        the revision at which a write failed for that.
    :param refused: VMs whose workers have refused items, and until when no
        others are offered to them, seconds of the monotonic clock.
    :param too_large: items that do not fit in an offer.
    """

    meter: BacklogMeter
    runner: ItemRunner
    assignments: AssignmentFollower
    ledger: JobLedger
    pool: ConnectionPool
    trials: ItemTrials
    store_health: StoreHealth
    metrics: Metrics
    next_at: float = 0
    held: dict[str, float] = field(default_factory=dict)
    outdated: dict[str, int] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    too_large: set[tuple[str, int]] = field(default_factory=set)

    def consider(self, idle: IdleWorker) -> None:
        """Offer late items to another worker, in the background.

        :param idle: the worker, as named by an entry.
        """
        now = time.monotonic()
        if now < self.next_at or self.store_health.is_unreachable:
            return
        if now < self.refused.get(idle.vm, 0):
            return
        self.next_at = now + OFFER_INTERVAL_SECONDS
        if idle.vm == self.meter.vm or not self.meter.may_take_items:
            return
        offers = handover.choose_offers(
            self.meter.predict(), idle.ready_seconds, self._list_movable(now)
        )
        if offers:
            # No second offer before this one has an outcome.
            self.next_at = now + UNCERTAIN_SECONDS
            gevent.spawn(self._run, idle, offers)

    def _run(self, idle: IdleWorker, offers: list[ItemOutlook]) -> None:
        has_moved = self._hand_over(idle, offers)
        pause = REFUSED_INTERVAL_SECONDS
        if has_moved:
            pause = OFFER_INTERVAL_SECONDS
        self.next_at = time.monotonic() + pause

    def _list_movable(self, now: float) -> dict[tuple[str, int], int]:
        """List the items that may move, with their earlier moves."""
        self.held = {
            job: until for job, until in self.held.items() if until > now
        }
        present = {job for job, _index in self.runner.work}
        self.outdated = {
            job: revision
            for job, revision in self.outdated.items()
            if job in present
        }
        self.too_large.intersection_update(self.runner.work)
        return {
            key: work.moves
            for key, work in self.runner.work.items()
            if key[0] not in self.held
            and key not in self.too_large
            and not self.trials.is_suspected(work)
        }

    def _hand_over(self, idle: IdleWorker, offers: list[ItemOutlook]) -> bool:
        """Hand items over; return whether any of them has moved."""
        name = offers[0].item.key[0]
        if not self._is_current(name):
            self.held[name] = time.monotonic() + REFUSED_INTERVAL_SECONDS
            return False
        board = self.assignments.find_board(name)
        if board is None:
            return False
        job, revision = board
        if not may_own(job, idle.vm):
            self._hold_back(name, 'too many owners')
            return False
        claimed = self._offer(idle, job, [offer.item for offer in offers])
        moved = self._change_owners(job, claimed, idle.vm)
        names = [
            offered.item.name
            for offered in claimed
            if moved.owners[offered.index] != job.owners[offered.index]
        ]
        if not names:
            return False
        return self._write(moved, names, revision, idle.vm)

    def _hold_back(self, job: str, why: str) -> None:
        self.held[job] = time.monotonic() + REFUSED_INTERVAL_SECONDS
        log_event(Event.items_not_handed_over, job=job, why=why)

    def _is_current(self, job: str) -> bool:
        """Check that no write has failed at the known revision of a job.

        After a conflict the watch may bring the newer revision; only where it
        has not, a read is needed.
        """
        conflicting = self.outdated.get(job)
        board = self.assignments.find_board(job)
        if conflicting is not None and board and board[1] <= conflicting:
            if not self.assignments.refresh_board(job):
                return False
        self.outdated.pop(job, None)
        return True

    def _offer(
        self, idle: IdleWorker, job: OpenJob, views: list[ItemView]
    ) -> list[OfferedItem]:
        """Offer items; return those that are claimed."""
        offer = self._limit_offer(ItemOffer(self.meter.vm, job, ()), views)
        if not offer.items:
            return []
        headers = [('Host', idle.address)]
        body = msgspec.json.encode(offer)
        raw = make_request('POST', ITEMS_PATH, headers, body)
        log_event(
            Event.items_offered,
            job=job.name,
            items=[offered.item.name for offered in offer.items],
            to=idle.vm,
            ready_seconds=round(idle.ready_seconds, 3),
            seconds_left=[
                round(offered.seconds_left, 3) for offered in offer.items
            ],
        )
        self.metrics.count('items_offered_total', len(offer.items))
        asked = self._ask(idle.address, raw)
        if isinstance(asked, Err):
            self._record_refusal(idle.vm, offer, asked.err_value)
            return []
        claimed = asked.ok_value.indexes
        return [offered for offered in offer.items if offered.index in claimed]

    def _ask(self, address: str, raw: bytes) -> Result[ItemClaim, str]:
        """Send an offer; return the claim, or why nothing is claimed."""
        called = self.pool.call(address, raw, OFFER_TIMEOUT_SECONDS)
        if isinstance(called, Err):
            return Err(called.err_value.value)
        if not called.ok_value.is_good:
            # A worker of an earlier build answers 404.
            return Err(str(called.ok_value.status))
        try:
            claim = called.ok_value.decode(ItemClaim)
        except msgspec.DecodeError as error:
            return Err(str(error))
        return Ok(claim) if claim.indexes else Err('no room')

    def _limit_offer(
        self, empty: ItemOffer, views: list[ItemView]
    ) -> ItemOffer:
        """Add the items that fit in one offer; the others stay."""
        offered: list[OfferedItem] = []
        empty_size = len(msgspec.json.encode(empty))
        size = empty_size
        for view in views:
            work = self.runner.work.get(view.key)
            if work is None:
                continue
            item = _make_offered(work, view)
            # A comma separates it from the item before.
            item_size = len(msgspec.json.encode(item)) + 1
            if empty_size + item_size > MAX_OFFER_BYTES:
                self._record_too_large(work, item_size)
            elif size + item_size <= MAX_OFFER_BYTES:
                size += item_size
                offered.append(item)
        return msgspec.structs.replace(empty, items=tuple(offered))

    def _record_too_large(self, work: ItemWork, size: int) -> None:
        """Keep an item here; others of its job and other jobs may move."""
        self.too_large.add(work.key)
        log_event(
            Event.items_not_handed_over,
            job=work.job.name,
            items=[work.item.name],
            why='too large',
            size=size,
        )

    def _change_owners(
        self, job: OpenJob, claimed: list[OfferedItem], target: str
    ) -> OpenJob:
        """Change the owner of claimed items that are still here.

        An item whose run has failed since the offer stays, since its new owner
        would try it more often than the job allows.
        """
        movable = set()
        for offered in claimed:
            work = self.runner.work.get((job.name, offered.index))
            if work is not None and work.failures == offered.failures:
                movable.add(offered.index)
        owners = tuple(
            target if index in movable and owner == self.meter.vm else owner
            for index, owner in enumerate(job.owners)
        )
        return replace(job, owners=owners)

    def _write(
        self, job: OpenJob, items: list[str], revision: int, target: str
    ) -> bool:
        if not self.meter.may_take_items:
            # This process has begun to leave meanwhile.
            return False
        written = self.ledger.move(job, revision, self.meter.vm, target)
        if isinstance(written, Err):
            self._record_failed_write(job.name, revision, written.err_value)
            return False
        self.assignments.record_move(job, written.ok_value)
        self.metrics.count('items_handed_over_total', len(items))
        log_event(
            Event.items_handed_over,
            job=job.name,
            items=items,
            to=target,
            left=job.owners.count(self.meter.vm),
            revision=written.ok_value,
        )
        return True

    def _record_failed_write(
        self, job: str, revision: int, failure: Failure
    ) -> None:
        """Keep the items; a write that took effect is seen by the watch."""
        if failure is Failure.conflict:
            self.outdated[job] = revision
        else:
            self.held[job] = time.monotonic() + UNCERTAIN_SECONDS
        self.metrics.count('item_moves_failed_total', why=failure.value)
        log_event(Event.items_not_handed_over, job=job, why=failure.value)

    def _record_refusal(self, vm: str, offer: ItemOffer, why: str) -> None:
        # Where the answer was lost, it may have claimed them, and its claim
        # holds for some seconds.
        if why != CallFailure.lost:
            self.refused[vm] = time.monotonic() + REFUSAL_SECONDS
        log_event(
            Event.items_not_handed_over,
            job=offer.job.name,
            items=[offered.item.name for offered in offer.items],
            why=why,
        )


def _make_offered(work: ItemWork, view: ItemView) -> OfferedItem:
    return OfferedItem(
        work.index,
        work.item,
        view.seconds_left,
        view.done_share,
        tuple(work.texts),
        work.last_event,
        work.failures,
        work.saved_events,
        work.moves,
        work.version,
    )
