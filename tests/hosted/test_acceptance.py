"""Jobs are accepted while the store is slow and disks are missing."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok, Result

from tests.hosted.builders import make_open_job
from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.hosted import acceptance, acceptattempt
from wigeonpier.hosted.acceptance import (
    AcceptOutcome,
    JobAcceptor,
    SubmittedJob,
)
from wigeonpier.hosted.board import Board
from wigeonpier.hosted.holder import DiskCopies, DiskWrite
from wigeonpier.hosted.views import make_unreadable_refusal
from wigeonpier.models import JobFence, JobItem
from wigeonpier.platform.port import Failure
from wigeonpier.served import RouteKind, ServedRoute

MOST_TOKENS = 100
# Time of one call of a slow store.
SLOW_CALL_SECONDS = 0.15
PAUSE_SECONDS = 0.2
ROUTE = ServedRoute(
    name='r',
    host='h',
    prefix='/r/',
    kind=RouteKind.batch,
    services=(('s', 1),),
    timeout=5,
    objective=0.626,
    tries=3,
    is_resumable=True,
    priority=0,
    run_objective=18,
    retention=60,
    most_tokens=0,
)


class SlowLedger:
    """Answers after the time of a slow call, or fails at the time-out."""

    def __init__(self) -> None:
        self.calls = 0

    def read_board(self, timeout: float) -> Result[Board, Failure]:
        return self._answer(Board(), timeout)

    def create(
        self, _job: Any, _items: Any, timeout: float, _fence: Any
    ) -> Result[int, Failure]:
        return self._answer(1, timeout)

    def _answer(self, value: Any, timeout: float) -> Result[Any, Failure]:
        self.calls += 1
        time.sleep(min(timeout, SLOW_CALL_SECONDS))
        if timeout < SLOW_CALL_SECONDS:
            return Err(Failure.unavailable)
        return Ok(value)


class FullLedger:
    """Is away once, then shows a full route; records the fences written."""

    def __init__(self, *outcomes: Result[Any, Failure]) -> None:
        """Answer the writes of the fence with these outcomes."""
        self.fences = self
        self.outcomes = list(outcomes)
        self.refused: list[str] = []
        self.known = JobFence()
        self.is_away = True

    def read_board(self, _timeout: float) -> Result[Board, Failure]:
        if self.is_away:
            self.is_away = False
            return Err(Failure.unavailable)
        full = make_open_job('other', route=ROUTE.name, tokens=MOST_TOKENS)
        return Ok(Board({full.name: full}))

    def is_accepted(self, _job: str) -> Result[bool, Failure]:
        return Ok(False)

    def read(self, _job: str) -> Result[JobFence, Failure]:
        return Ok(self.known)

    def write(
        self, _job: str, _known: JobFence, attempt: str, _timeout: float
    ) -> Result[int, Failure]:
        self.refused.append(attempt)
        return self.outcomes.pop(0)


def make_acceptor(
    ledger: SlowLedger | FullLedger,
    copies: int,
    attempts: list[str] | None = None,
) -> JobAcceptor:
    def store_on_disks(_job: Any, _items: Any, attempt: str) -> DiskWrite:
        if attempts is not None:
            attempts.append(attempt)
        return DiskWrite(copies, may_be_kept=copies > 0)

    disks = SimpleNamespace(
        board=Board(),
        copies_needed=3,
        record_board=lambda _board: None,
        store_on_disks=store_on_disks,
        find_copies=lambda _job: DiskCopies(frozenset(), is_certain=True),
        was_accepted=lambda _job: False,
    )
    return JobAcceptor(
        ledger,  # type: ignore[arg-type]
        SimpleNamespace(  # type: ignore[arg-type]
            find=lambda _job: SimpleNamespace(results=[]),
            refresh=lambda *_given: None,
            find_items=lambda _view: [],
        ),
        disks,  # type: ignore[arg-type]
        SimpleNamespace(is_isolated=False),  # type: ignore[arg-type]
        random.Random(1),
        SimpleNamespace(  # type: ignore[arg-type]
            choose_owners=lambda _board, job: job.owners,
        ),
    )


def make_job(route: ServedRoute = ROUTE) -> SubmittedJob:
    item = JobItem('i', '/r/1', {}, b'', 10)
    return SubmittedJob(make_open_job().name, 'h', route, [item])


def refuse(
    ledger: FullLedger,
    attempts: list[str],
    copies: int = 1,
    *,
    are_results_readable: bool = True,
) -> Refusal:
    """Submit a job of which disks may have copies, and get its refusal."""
    acceptor = make_acceptor(ledger, copies=copies, attempts=attempts)
    if not are_results_readable:
        acceptor._views.refresh = fail_to_read
    job = make_job(replace(ROUTE, most_tokens=MOST_TOKENS))
    with pytest.raises(Refusal) as raised:
        acceptor.accept(job)
    return raised.value


def test_a_slow_store_accepts_a_job_that_too_few_disks_confirm() -> None:
    """Guards against attempts that all time out before the store answers."""
    ledger = SlowLedger()
    outcome = make_acceptor(ledger, copies=1).accept(make_job())
    assert outcome is AcceptOutcome.store
    # One attempt that timed out, then one read and one write.
    assert ledger.calls == 3


def test_disks_accept_a_job_before_a_slow_store_answers() -> None:
    """Guards against waiting for a slow store while the disks are there."""
    ledger = SlowLedger()
    outcome = make_acceptor(ledger, copies=3).accept(make_job())
    assert outcome is AcceptOutcome.disks
    assert ledger.calls == 1


def test_a_job_that_a_disk_may_have_is_refused_with_a_fence() -> None:
    """The disk put it on the board after the caller had been answered 429."""
    ledger = FullLedger(Ok(1))
    attempts: list[str] = []
    assert refuse(ledger, attempts).kind is ErrorKind.limit_reached
    assert ledger.refused == attempts


def test_a_lost_answer_to_a_fence_is_settled_by_reading_it() -> None:
    ledger = FullLedger(Err(Failure.unknown), Err(Failure.conflict))
    attempts: list[str] = []
    ledger.read = lambda _job: Ok(JobFence(7, tuple(attempts)))
    assert refuse(ledger, attempts).kind is ErrorKind.limit_reached
    assert len(ledger.refused) == 2


def test_a_fence_of_another_attempt_is_not_enough() -> None:
    ledger = FullLedger(Err(Failure.conflict), Ok(9))
    ledger.known = JobFence(8, ('another',))
    attempts: list[str] = []
    assert refuse(ledger, attempts).kind is ErrorKind.limit_reached
    assert ledger.refused == attempts * 2


def test_nothing_is_promised_if_no_fence_can_be_written(monkeypatch) -> None:
    """The disk may put the job on the board later."""
    monkeypatch.setattr(acceptance, 'UNCERTAIN_TIMEOUT_SECONDS', 0)
    ledger = FullLedger(Err(Failure.unavailable))
    refusal = refuse(ledger, [])
    assert refusal.kind is ErrorKind.upstream_lost
    assert refusal.ran is Ran.unknown


def test_a_fence_that_the_store_rejects_for_its_rate_is_written_later() -> None:
    rejected = Err(Failure.unavailable)
    ledger = FullLedger(rejected, rejected, rejected, Ok(1))
    assert refuse(ledger, [], copies=0).kind is ErrorKind.limit_reached
    assert len(ledger.refused) == 4


def test_fences_do_not_press_a_store_that_rejects_them_for_its_rate() -> None:
    """A refused job was fenced each 0.15 s until its time was over."""
    ledger = FullLedger(*[Err(Failure.unavailable)] * 99)
    assert refuse(ledger, [], copies=0).ran is Ran.unknown
    assert len(ledger.refused) <= 6


def fail_to_read(*_given: object) -> None:
    """Refuse as views do when the store cannot be read."""
    raise make_unreadable_refusal()


class ContestedLedger(SlowLedger):
    """Refuses the first write, and says whether the job was accepted."""

    def __init__(self, *, is_accepted: bool) -> None:
        super().__init__()
        self.fences = SimpleNamespace(
            is_accepted=lambda _job: Ok(is_accepted),
        )
        self.outcomes = [Err(Failure.conflict), Ok(1)]

    def create(self, *_given: Any) -> Result[int, Failure]:
        return self.outcomes.pop(0)


def test_a_job_whose_fence_has_changed_is_written_again() -> None:
    """The conflict was taken for an accepted job, which nobody had written."""
    acceptor = make_acceptor(ContestedLedger(is_accepted=False), copies=0)
    assert acceptor.accept(make_job()) is AcceptOutcome.store


def test_a_job_that_another_entry_has_accepted_stands() -> None:
    acceptor = make_acceptor(ContestedLedger(is_accepted=True), copies=0)
    assert acceptor.accept(make_job()) is AcceptOutcome.stood


class UnknownLedger(FullLedger):
    """Answers no write of a job, after which the route may be full."""

    def __init__(self) -> None:
        super().__init__(Ok(1))
        self.is_away = False
        self.is_full = False
        self.fills_after_write = False

    def read_board(self, timeout: float) -> Result[Board, Failure]:
        return super().read_board(timeout) if self.is_full else Ok(Board())

    def create(self, *_given: Any) -> Result[int, Failure]:
        self.is_full = self.fills_after_write
        return Err(Failure.unknown)


def test_a_refusal_at_the_time_limit_is_fenced(monkeypatch) -> None:
    """It was answered 502, which leaves the caller in doubt."""
    monkeypatch.setattr(acceptance, 'UNCERTAIN_TIMEOUT_SECONDS', 0)
    ledger = UnknownLedger()
    refusal = refuse(ledger, [], copies=0)
    assert refusal.kind is ErrorKind.platform_down
    assert refusal.ran is Ran.no
    assert len(ledger.refused) == 1


def test_a_refusal_for_unreadable_results_is_fenced() -> None:
    """It was answered 503 while a write could still take effect."""
    ledger = UnknownLedger()
    ledger.fills_after_write = True
    refusal = refuse(ledger, [], copies=0, are_results_readable=False)
    assert refusal.kind is ErrorKind.platform_down
    assert len(ledger.refused) == 1


class PausedLedger(UnknownLedger):
    """Its process is paused while the board is read."""

    def __init__(self) -> None:
        super().__init__()
        self.writes = 0

    def read_board(self, timeout: float) -> Result[Board, Failure]:
        time.sleep(PAUSE_SECONDS)
        return super().read_board(timeout)

    def create(self, *given: Any) -> Result[int, Failure]:
        self.writes += 1
        return super().create(*given)


def test_an_attempt_writes_no_job_after_a_pause(monkeypatch) -> None:
    """The caller had been refused elsewhere, and that fence had expired."""
    monkeypatch.setattr(acceptattempt, 'MAX_ATTEMPT_SECONDS', PAUSE_SECONDS / 2)
    ledger, attempts = PausedLedger(), []
    refusal = refuse(ledger, attempts)
    assert refusal.ran is Ran.unknown
    assert not ledger.writes
    assert not attempts
