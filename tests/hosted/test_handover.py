"""Items that one worker hands over to another, and failures on the way."""

from __future__ import annotations

import io
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
import pytest
from result import Err, Ok

from tests.hosted.builders import (
    HostedSite,
    make_open_job,
    make_settings,
    wait_for,
)
from wigeonpier.hosted import backlogmeter, handover, itemclaims
from wigeonpier.hosted.assignments import AssignmentFollower
from wigeonpier.hosted.backlogmeter import BacklogMeter
from wigeonpier.hosted.common import DaemonContext
from wigeonpier.hosted.handover import REFUSAL_SECONDS, ItemHandover
from wigeonpier.hosted.itemclaims import (
    MAX_OFFER_BYTES,
    ClaimTable,
    ItemOffer,
    OfferHandler,
)
from wigeonpier.hosted.ledger import JobLedger
from wigeonpier.hosted.news import IdleWorker, ReservationRequest
from wigeonpier.hosted.progress import ProgressSaver
from wigeonpier.hosted.runner import ObservedItems
from wigeonpier.models import ItemProgress, JobItem, Member
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Change, Commit, Entry, Failure, Snapshot
from wigeonpier.platform.storelimits import StoreLimits
from wigeonpier.policy.breaker import CircuitBreaker
from wigeonpier.policy.handover import MAX_MOVES
from wigeonpier.policy.pacing import ItemView, UpstreamView
from wigeonpier.policy.placement import (
    assign_by_completion,
    find_idle,
    reassign_items,
)
from wigeonpier.policy.runlengths import RunLengths
from wigeonpier.reports import ItemBacklog
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.client import CallFailure, Reply
from wigeonpier.web.exchange import make_request
from wigeonpier.web.messages import Request

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.hosted.board import Board
    from wigeonpier.hosted.items import ItemWork

ITEMS = [JobItem(f'i{number}', '/p', {}, b'', 1) for number in range(6)]
# One slot and 6 s an item: of four items due in 16 s, the last two are late.
OWNERS = ('old', 'old', 'old', 'old', 'third', 'third')
MOVED = {2, 3}
IDLE = IdleWorker('new', '127.0.0.9:1', 2.0)


class MemoryStore:
    """Key-value store in memory that counts calls and may fail a write."""

    limits = StoreLimits()

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.calls: list[str] = []
        self.failure: Failure | None = None
        self.is_applied = True
        self.before_answer: Callable[[], None] | None = None

    def commit(self, change: Commit, _timeout: float = 0) -> Any:
        self.calls.append('commit')
        for key, revision in change.guards.items():
            found = self.entries.get(key)
            if (found.revision if found else 0) != revision:
                return Err(Failure.conflict)
        if self.failure is None or self.is_applied:
            self._apply(change)
        if self.failure is not None:
            return Err(self.failure)
        answer = Ok(self.revision)
        if self.before_answer is not None:
            act, self.before_answer = self.before_answer, None
            act()
        return answer

    def get(self, key: str, *, allow_stale: bool = False) -> Any:
        self.calls.append('stale get' if allow_stale else 'get')
        return Ok(self.entries.get(key))

    def list_prefix(
        self, prefix: str, _timeout: float = 0, *, allow_stale: bool = False
    ) -> Any:
        self.calls.append('stale list' if allow_stale else 'list')
        found = [
            entry
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix)
        ]
        return Ok(Snapshot(tuple(found), self.revision))

    def _apply(self, change: Commit) -> None:
        self.revision += 1
        for key, value in change.writes.items():
            self.entries[key] = Entry(key, value, self.revision, self.revision)
        for key in change.deletes:
            self.entries.pop(key, None)


VERSION = 'v1'


class FakeRunner:
    """Queue of items that never run; the upstream has one slot."""

    def __init__(self) -> None:
        """Start without items."""
        self.work: dict[tuple[str, int], ItemWork] = {}
        self.is_leaving = False
        self.breaker = CircuitBreaker()
        self.slots = 1
        self.run_seconds = 6.0

    def add(self, work: ItemWork) -> bool:
        is_new = work.key not in self.work
        self.work.setdefault(work.key, work)
        return is_new

    def drop_job(self, job: str) -> None:
        self.work = {
            key: work for key, work in self.work.items() if key[0] != job
        }

    def observe(self) -> ObservedItems:
        now = time.monotonic()
        views = [
            ItemView(work.key, work.due_at - now, len(work.texts) / 150)
            for work in self.work.values()
        ]
        upstream = UpstreamView(self.slots, 0, 0, self.run_seconds, 0)
        return ObservedItems(upstream, views, 0, RunLengths(), VERSION)


class FakeWorker:
    """A worker with the real parts that hand items over."""

    def __init__(self, site: FakeSite, vm: str) -> None:
        """Wire the parts."""
        self.site = site
        self.vm = vm
        self.runner = FakeRunner()
        self.suspected: set[int] = set()
        self.claims = ClaimTable()
        self.metrics = Metrics()
        self.store_health = SimpleNamespace(is_unreachable=False)
        trials = SimpleNamespace(
            is_suspected=lambda work: work.index in self.suspected
        )
        self.meter = BacklogMeter(
            vm, SimpleNamespace(is_usable=True), self.runner
        )
        self.meter.predict()
        self.follower = AssignmentFollower(
            vm,
            site.ledger,
            self.runner,
            DaemonContext(make_settings(vm, '127.0.0.1:1')).view,
            lambda: None,
        )
        self.follower.view.is_complete = True
        self.follower.claims = self.claims
        self.offers = OfferHandler(
            self.runner,
            self.meter,
            self.claims,
            trials,
            self.store_health,
            self.metrics,
        )
        self.handover = ItemHandover(
            self.meter,
            self.runner,
            self.follower,
            site.ledger,
            SimpleNamespace(call=site.call),
            trials,
            self.store_health,
            self.metrics,
        )

    @property
    def indexes(self) -> set[int]:
        """Positions of the items that this worker runs."""
        return {index for _job, index in self.runner.work}

    def watch(self) -> None:
        """Receive the current assignment, as the watch delivers it."""
        self.follower._apply(self.site.read_change(self.vm))
        gevent.sleep(0.01)

    def answer(self, body: bytes) -> Reply:
        """Answer an offer."""
        request = Request('POST', '/items', '', {}, io.BytesIO(body))
        response = self.offers._answer(request)
        return Reply(response.status, response.body)


class FakeSite:
    """A store and three workers; one of them has items that will be late."""

    def __init__(self) -> None:
        """Start with one job."""
        self.store = MemoryStore()
        self.ledger = JobLedger(self.store)
        self.on_offer: Callable[[bytes], Any] = self._deliver
        self.old = FakeWorker(self, 'old')
        self.new = FakeWorker(self, 'new')
        self.third = FakeWorker(self, 'third')
        self.new.runner.slots = 8
        self.new.runner.run_seconds = 2.0
        self.new.meter._average.slots = 8
        job = make_open_job(owners=OWNERS, sent_at=time.time() - 2)
        self.ledger.create(job, ITEMS)
        for worker in (self.old, self.third):
            worker.watch()
        for work in self.old.runner.work.values():
            work.texts = ['a', 'b']
            work.last_event = '2'
            work.failures = 1
            work.saved_events = 1
        self.store.calls.clear()

    def call(self, _address: str, raw: bytes, _timeout: float) -> Any:
        return self.on_offer(raw.partition(b'\r\n\r\n')[2])

    def _deliver(self, body: bytes) -> Any:
        return Ok(self.new.answer(body))

    def hint(self, worker: FakeWorker | None = None) -> None:
        """Let an entry name the idle worker, and wait for the outcome."""
        named = worker or self.old
        named.handover.next_at = 0
        named.handover.consider(IDLE)
        gevent.sleep(0.01)

    def read_change(self, vm: str) -> Change:
        """Read an assignment as the watch reports it."""
        key = storekeys.name_key(storekeys.ASSIGNMENTS, vm, 'j')
        found = self.store.entries.get(key)
        if found is None:
            return Change(key, None, self.store.revision)
        return Change(key, found.value, found.revision)

    def read_owners(self) -> tuple[str, ...]:
        """Read the owners that the board shows."""
        return self.read_board().jobs['j'].owners

    def read_board(self) -> Board:
        """Read the board."""
        board = self.ledger.read_board().unwrap()
        board.members = {
            name: Member(name, 'assistant', 'a') for name in ('old', 'third')
        }
        return board

    def reassign(self, lost: str) -> None:
        """Reassign the items of a lost worker as the reassigner does."""
        board = self.read_board()
        board.members['new'] = Member('new', 'assistant', 'a')
        board.members.pop(lost)
        job = board.jobs['j']
        members = list(board.members.values())
        owners = reassign_items(job, lost, members, [job], time.time())
        self.ledger.reassign(job, board.revisions['j'], lost, owners).unwrap()

    def give(self, index: int, source: str, target: str) -> None:
        """Move one item in the store, as its owner would."""
        board = self.read_board()
        owners = list(board.jobs['j'].owners)
        owners[index] = target
        given = replace(board.jobs['j'], owners=tuple(owners))
        self.ledger.move(given, board.revisions['j'], source, target).unwrap()

    def check_running(self) -> None:
        """Check that each worker runs exactly the items that it owns."""
        owners = self.read_owners()
        for worker in (self.old, self.new, self.third):
            assert worker.indexes == {
                index for index, vm in enumerate(owners) if vm == worker.vm
            }

    def check_consistent(self) -> None:
        """Check that each item has one owner, whose assignment lists it."""
        owners = self.read_owners()
        listed = []
        prefix = storekeys.ASSIGNMENTS
        for entry in self.ledger.store.list_prefix(prefix).unwrap().entries:
            vm, _job = storekeys.parse_assignment(entry.key)
            assignment = msgspec.json.decode(entry.value)
            listed += [(index, vm) for index in assignment['indexes']]
        assert sorted(listed) == list(enumerate(owners))


@pytest.fixture
def fakes() -> FakeSite:
    """Make a store and three workers."""
    return FakeSite()


def test_late_items_move_with_their_text_in_one_call(fakes: FakeSite) -> None:
    fakes.hint()
    assert fakes.store.calls == ['commit']
    assert fakes.old.indexes == {0, 1}
    counted = fakes.old.metrics.get_counter('items_handed_over_total')
    assert counted == len(MOVED)
    fakes.new.watch()
    fakes.old.watch()
    assert fakes.store.calls == ['commit']
    assert fakes.new.indexes == MOVED
    assert fakes.old.indexes == {0, 1}
    moved = fakes.new.runner.work['j', 2]
    assert (moved.texts, moved.last_event) == (['a', 'b'], '2')
    assert (moved.failures, moved.saved_events, moved.moves) == (1, 1, 1)
    assert moved.inherited_events == 2
    fakes.check_consistent()


def test_all_items_of_a_job_move(fakes: FakeSite) -> None:
    """The assignment is then deleted, and no item comes back."""
    for work in fakes.old.runner.work.values():
        work.due_at -= 11
    fakes.hint()
    fakes.old.watch()
    fakes.new.watch()
    assert not fakes.old.indexes
    assert fakes.new.indexes == {0, 1, 2, 3}
    assert 'old' not in fakes.read_owners()
    fakes.check_consistent()


def test_a_second_move_needs_no_read(fakes: FakeSite) -> None:
    """The own write tells the revision of the next one."""
    fakes.hint()
    for work in fakes.old.runner.work.values():
        work.due_at -= 7
    fakes.hint()
    assert fakes.store.calls == ['commit', 'commit']
    fakes.new.watch()
    fakes.old.watch()
    assert fakes.new.indexes > MOVED
    assert fakes.new.indexes.isdisjoint(fakes.old.indexes)
    fakes.check_consistent()


def test_the_new_worker_dies_after_its_claim(fakes: FakeSite) -> None:
    """Its items are reassigned as those of any lost worker."""
    fakes.hint()
    fakes.old.watch()
    fakes.reassign('new')
    fakes.old.watch()
    fakes.third.watch()
    fakes.check_consistent()
    assert 'new' not in fakes.read_owners()
    assert fakes.old.indexes | fakes.third.indexes == set(range(6))
    assert fakes.old.indexes.isdisjoint(fakes.third.indexes)


def test_a_claim_that_has_lapsed_needs_the_store(
    fakes: FakeSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The watch was interrupted; the saved text must not be run again."""
    saved = ItemProgress(('a',), '1', 1)
    fakes.ledger.write_progress({('j', 3): saved}).unwrap()
    fakes.hint()
    monkeypatch.setattr(itemclaims, 'CLAIM_SECONDS', 0)
    fakes.new.watch()
    assert fakes.new.indexes == MOVED
    assert fakes.new.runner.work['j', 3].texts == ['a']
    assert fakes.new.runner.work['j', 2].texts == []


def test_the_old_worker_dies_before_the_write(
    fakes: FakeSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The claim lapses, and the items are reassigned with their progress."""
    fakes.on_offer = lambda body: (
        fakes.new.answer(body),
        Err(CallFailure.lost),
    )[1]
    fakes.hint()
    assert len(fakes.new.claims.list_views()) == len(MOVED)
    assert fakes.store.calls == []
    assert fakes.read_owners() == OWNERS
    monkeypatch.setattr(itemclaims, 'CLAIM_SECONDS', 0)
    assert not fakes.new.claims.list_views()
    fakes.reassign('old')
    fakes.new.watch()
    fakes.third.watch()
    assert fakes.new.indexes | fakes.third.indexes == set(range(6))
    assert fakes.new.indexes.isdisjoint(fakes.third.indexes)
    fakes.check_consistent()


def test_items_stay_when_the_write_conflicts(fakes: FakeSite) -> None:
    """Another owner has moved items; a stale read then tells the revision."""
    for work in fakes.third.runner.work.values():
        work.due_at -= 7
    fakes.hint(fakes.third)
    assert 'third' in fakes.read_owners()
    fakes.store.calls.clear()
    fakes.hint()
    assert fakes.store.calls == ['commit']
    assert fakes.old.indexes == {0, 1, 2, 3}
    fakes.hint()
    assert fakes.store.calls == ['commit', 'stale get', 'commit']
    assert fakes.old.indexes == {0, 1}
    for worker in (fakes.old, fakes.new, fakes.third):
        worker.watch()
    assert fakes.new.indexes > MOVED
    fakes.check_consistent()


def test_no_read_is_needed_where_the_watch_brings_the_newer_revision(
    fakes: FakeSite,
) -> None:
    """The job stayed outdated and cost a read at each later attempt."""
    fakes.give(4, 'third', 'old')
    fakes.hint()
    assert fakes.old.indexes == {0, 1, 2, 3}
    fakes.old.watch()
    gevent.sleep(0.05)
    assert fakes.old.indexes == {0, 1, 2, 3, 4}
    fakes.store.calls.clear()
    fakes.hint()
    assert fakes.store.calls == ['commit']
    for worker in (fakes.old, fakes.new, fakes.third):
        worker.watch()
    gevent.sleep(0.05)
    assert fakes.new.indexes
    fakes.check_running()
    fakes.check_consistent()


def test_an_earlier_change_does_not_undo_a_refresh(fakes: FakeSite) -> None:
    """The watch may be behind a read; the next write conflicted again."""
    fakes.give(4, 'third', 'old')
    earlier = fakes.read_change('old')
    fakes.give(5, 'third', 'new')
    fakes.hint()
    assert fakes.old.handover.outdated
    assert fakes.old.follower.refresh_board('j')
    fakes.old.follower._apply(earlier)
    gevent.sleep(0.05)
    fakes.store.calls.clear()
    fakes.hint()
    assert fakes.store.calls == ['commit']
    for worker in (fakes.old, fakes.new, fakes.third):
        worker.watch()
    gevent.sleep(0.05)
    fakes.check_running()
    fakes.check_consistent()


def test_items_that_were_reassigned_meanwhile_are_not_moved(
    fakes: FakeSite,
) -> None:
    """The worker was taken for lost, and its watch has not shown it yet."""
    fakes.reassign('old')
    owners = fakes.read_owners()
    fakes.hint()
    fakes.store.calls.clear()
    fakes.hint()
    assert fakes.store.calls == ['stale get']
    assert fakes.read_owners() == owners
    fakes.old.watch()
    assert not fakes.old.indexes
    fakes.check_consistent()


def test_an_item_received_during_an_own_handover_is_run(
    fakes: FakeSite,
) -> None:
    """The watch shows both changes only after the own write."""
    board = fakes.read_board()
    owners = ('old', 'old', 'old', 'old', 'old', 'third')
    given = replace(board.jobs['j'], owners=owners)
    fakes.ledger.move(given, board.revisions['j'], 'third', 'old').unwrap()
    received = fakes.read_change('old')
    fakes.hint()
    fakes.hint()
    assert fakes.old.indexes == {0, 1}
    fakes.old.follower._apply(received)
    fakes.old.watch()
    fakes.third.watch()
    assert fakes.old.indexes == {0, 1, 4}
    assert fakes.third.indexes == {5}
    fakes.check_consistent()


def test_an_item_received_before_the_answer_to_a_move_is_run(
    fakes: FakeSite,
) -> None:
    """The late answer dropped item 4, and the watch did not show it again."""

    def receive() -> None:
        fakes.old.watch()
        fakes.give(4, 'third', 'old')
        fakes.old.watch()

    fakes.store.before_answer = receive
    fakes.hint()
    gevent.sleep(0.05)
    assert fakes.old.indexes == {0, 1, 4}
    fakes.new.watch()
    fakes.third.watch()
    fakes.check_running()
    fakes.check_consistent()
    # The known revision is the newest one, so that a next move needs no read.
    for work in fakes.old.runner.work.values():
        work.due_at -= 7
    fakes.store.calls.clear()
    fakes.hint()
    assert fakes.store.calls == ['commit']
    fakes.old.watch()
    fakes.new.watch()
    fakes.check_running()
    fakes.check_consistent()


def test_a_job_that_ends_before_the_answer_to_a_move_is_forgotten(
    fakes: FakeSite,
) -> None:
    """Its state was kept for the rest of the process."""

    def close() -> None:
        fakes.ledger.close('j').unwrap()
        fakes.old.watch()

    fakes.store.before_answer = close
    fakes.hint()
    gevent.sleep(0.05)
    assert not fakes.old.indexes
    follower = fakes.old.follower
    assert follower.find_board('j') is None
    assert not follower._moved_at
    assert not follower._adopted
    assert not follower._assigned


@pytest.mark.parametrize('is_applied', [False, True])
def test_items_run_on_while_the_outcome_is_unknown(
    fakes: FakeSite, is_applied
) -> None:
    """Only the watch tells whether the write took effect."""
    fakes.store.failure = Failure.unknown
    fakes.store.is_applied = is_applied
    fakes.hint()
    assert fakes.old.indexes == {0, 1, 2, 3}
    fakes.hint()
    assert fakes.store.calls == ['commit']
    fakes.old.watch()
    fakes.new.watch()
    assert fakes.old.indexes == ({0, 1} if is_applied else {0, 1, 2, 3})
    assert fakes.new.indexes == (MOVED if is_applied else set())
    fakes.check_consistent()


def test_an_item_that_fails_during_its_offer_stays(fakes: FakeSite) -> None:
    """Its new owner did not know of the failure and tried it once more."""

    def deliver(body: bytes) -> Any:
        fakes.old.runner.work['j', 2].failures += 1
        return fakes._deliver(body)

    fakes.on_offer = deliver
    fakes.hint()
    assert fakes.old.indexes == {0, 1, 2}
    fakes.new.watch()
    assert fakes.new.indexes == {3}
    fakes.check_running()
    fakes.check_consistent()


def test_failures_that_came_with_an_offer_are_saved_with_other_items(
    fakes: FakeSite,
) -> None:
    """A reassigned item was tried more often than its job allows."""
    fakes.hint()
    fakes.new.watch()
    work = fakes.new.runner.work
    saver = ProgressSaver(fakes.ledger, work, lambda: 6.0)
    fakes.store.calls.clear()
    saver.save_due()
    assert not fakes.store.calls
    work['j', 3].texts = ['a'] * 50
    work['j', 3].due_at -= 10
    saver.save_due()
    assert fakes.store.calls == ['commit']
    saved = fakes.ledger.read_progress('j').unwrap()
    assert {index: found.failures for index, found in saved.items()} == {
        2: 1,
        3: 1,
    }
    fakes.store.calls.clear()
    saver.save_due()
    assert not fakes.store.calls
    work['j', 2].failures += 1
    saver.save_all()
    saver.save_all()
    assert fakes.store.calls == ['commit']
    assert fakes.ledger.read_progress('j').unwrap()[2].failures == 2


@pytest.mark.parametrize(
    'reply',
    [
        Ok(Reply(404, b'{}')),
        Ok(Reply(200, b'{"indexes":[]}')),
        Ok(Reply(200, b'[]')),
        Ok(Reply(200, b'{"indexes":[0,5,99]}')),
        Err(CallFailure.not_sent),
    ],
)
def test_items_stay_when_the_offer_is_refused(fakes: FakeSite, reply) -> None:
    """A worker of an earlier build answers 404."""
    fakes.on_offer = lambda _body: reply
    fakes.hint()
    assert fakes.store.calls == []
    assert fakes.old.indexes == {0, 1, 2, 3}


def test_a_worker_that_refuses_is_skipped_for_some_seconds(
    fakes: FakeSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The items were offered to it once a second, and to nobody else."""
    offers: list[bytes] = []
    fakes.on_offer = lambda body: (
        offers.append(body),
        Ok(Reply(200, b'{}')),
    )[1]
    fakes.hint()
    fakes.hint()
    assert len(offers) == 1
    other = IdleWorker('third', '127.0.0.8:1', 2.0)
    fakes.old.handover.consider(other)
    gevent.sleep(0.01)
    assert len(offers) == 2
    later = time.monotonic() + REFUSAL_SECONDS
    monkeypatch.setattr(time, 'monotonic', lambda: later)
    fakes.hint()
    assert len(offers) == 3


@pytest.mark.parametrize(
    'close',
    [
        lambda worker: setattr(worker.runner, 'is_leaving', True),
        lambda worker: setattr(worker.meter._upstream, 'is_usable', False),
        lambda worker: setattr(
            worker.runner,
            'breaker',
            SimpleNamespace(is_open=lambda _now: True),
        ),
    ],
)
def test_a_worker_that_takes_no_items_reports_that(
    fakes: FakeSite, monkeypatch: pytest.MonkeyPatch, close
) -> None:
    """A line without a backlog left it named as idle by all entries."""
    monkeypatch.setattr(backlogmeter, 'MEASURE_INTERVAL_SECONDS', 0)
    assert fakes.new.meter.read().waiting_seconds == 0
    assert fakes.old.meter.read().late
    close(fakes.new)
    close(fakes.old)
    reported = {
        'new': fakes.new.meter.read(),
        'old': fakes.old.meter.read(),
        'third': ItemBacklog('third', 5.6, 20.0, late=1),
        'fourth': ItemBacklog('fourth', 2.6, 9.0),
    }
    assert find_idle('third', reported) == ('fourth', pytest.approx(11.6))
    assert find_idle('old', reported) is None
    owners = assign_by_completion('j', 40, reported, [], 0)
    assert set(owners) == {'third', 'fourth'}


def test_an_item_too_large_to_offer_holds_nothing_back(
    fakes: FakeSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The items behind it waited, also those of other jobs."""
    # The stream of the log depends on the tests that ran before.
    reasons: list[str] = []
    monkeypatch.setattr(
        handover,
        'log_event',
        lambda _event, **fields: reasons.append(fields.get('why', '')),
    )
    # Of the bytes of these characters, a count of characters sees a third.
    text = '\N{EURO SIGN}' * (MAX_OFFER_BYTES // 3)
    fakes.old.runner.work['j', 2].texts = [text]
    fakes.hint()
    fakes.old.handover.held.clear()
    fakes.hint()
    fakes.new.watch()
    assert fakes.old.indexes == {0, 1, 2}
    assert fakes.new.indexes == {3}
    assert reasons.count('too large') == 1
    fakes.check_consistent()


def test_an_offer_is_no_larger_than_its_limit(fakes: FakeSite) -> None:
    """Quotes and control characters take up to six bytes in JSON."""
    sizes: list[int] = []
    fakes.on_offer = lambda body: (
        sizes.append(len(body)),
        fakes._deliver(body),
    )[1]
    for index in MOVED:
        work = fakes.old.runner.work['j', index]
        work.texts = ['\x01' * (MAX_OFFER_BYTES // 10)]
    fakes.hint()
    fakes.hint()
    fakes.new.watch()
    assert fakes.new.indexes == MOVED
    assert len(sizes) == 2
    assert max(sizes) <= MAX_OFFER_BYTES
    fakes.check_consistent()


def test_an_item_that_is_offered_twice_is_claimed_once(
    fakes: FakeSite,
) -> None:
    bodies: list[bytes] = []
    fakes.on_offer = lambda body: (
        bodies.append(body),
        Err(CallFailure.lost),
    )[1]
    fakes.hint()
    for _ in range(2):
        claim = fakes.new.answer(bodies[0])
        assert msgspec.json.decode(claim.body)['indexes'] == sorted(MOVED)
    assert len(fakes.new.claims.list_views()) == len(MOVED)
    fakes.on_offer = fakes._deliver
    fakes.old.handover.held.clear()
    fakes.hint()
    fakes.new.watch()
    assert not fakes.new.claims.list_views()
    claim = fakes.new.answer(bodies[0])
    assert not msgspec.json.decode(claim.body).get('indexes')


def test_a_worker_claims_only_what_it_has_room_for(fakes: FakeSite) -> None:
    fakes.new.meter._average.slots = 1
    fakes.new.runner.slots = 1
    fakes.new.runner.run_seconds = 6.0
    bodies: list[bytes] = []
    fakes.on_offer = lambda body: (
        bodies.append(body),
        Err(CallFailure.lost),
    )[1]
    fakes.hint()
    offer = msgspec.json.decode(bodies[0], type=ItemOffer)
    other = msgspec.structs.replace(
        offer, job=make_open_job('k', owners=OWNERS)
    )
    assert fakes.new.answer(bodies[0]).body == b'{"indexes":[2,3]}'
    assert fakes.new.answer(msgspec.json.encode(other)).body == b'{}'


@pytest.mark.parametrize(
    'hinder',
    [
        lambda fakes: setattr(fakes.old.store_health, 'is_unreachable', True),
        lambda fakes: setattr(fakes.old.runner, 'is_leaving', True),
        lambda fakes: fakes.old.suspected.update(MOVED),
        lambda fakes: [
            setattr(work, 'moves', MAX_MOVES)
            for work in fakes.old.runner.work.values()
        ],
        lambda fakes: setattr(fakes.new.store_health, 'is_unreachable', True),
        lambda fakes: setattr(fakes.new.runner, 'is_leaving', True),
        lambda fakes: fakes.new.suspected.update(MOVED),
    ],
)
def test_no_handover_where_it_would_do_harm(fakes: FakeSite, hinder) -> None:
    """No store, a worker that leaves, suspected items, two earlier moves."""
    hinder(fakes)
    fakes.hint()
    assert fakes.store.calls == []
    assert fakes.old.indexes == {0, 1, 2, 3}


def test_a_closed_job_is_not_written_again(fakes: FakeSite) -> None:
    fakes.ledger.close('j').unwrap()
    fakes.hint()
    assert not fakes.read_board().jobs
    fakes.old.watch()
    assert not fakes.old.indexes


def test_each_item_of_a_job_has_one_result_after_a_handover(
    site: HostedSite,
) -> None:
    """The hint arrives with a reservation; the job is read by its caller."""
    site.start(replicas=1, slots=1, event_seconds=0.05)
    site.submit_job('j', 8)
    slow = site.workers[0]
    wait_for(lambda: len(slow._runner.work) == 8, 'the items are assigned')
    site.add_replica('i-1', slots=8, event_seconds=0.05)
    fast = site.workers[1]
    wait_for(lambda: fast._upstream.is_usable, 'the second upstream is known')
    reported = site.entries[0]._backlogs.reported
    wait_for(
        lambda: (
            sorted(
                (backlog.vm, backlog.late > 0) for backlog in reported.values()
            )
            == [('side-i-0', True), ('side-i-1', False)]
        ),
        'both backlogs are reported',
    )
    idle = IdleWorker('side-i-1', fast._server.address, 1.0)
    body = msgspec.json.encode(ReservationRequest(idle=idle))
    address = slow._server.address
    raw = make_request('POST', '/reservation', [('Host', address)], body)
    assert site.pool.call(address, raw, 2.0).unwrap().is_good
    wait_for(lambda: fast._runner.work, 'items were handed over')
    results = site.wait_for_results('j', 8)
    assert sorted(result['id'] for result in results) == [
        f'j{number}' for number in range(8)
    ]
    assert site.replicas[1].runs
