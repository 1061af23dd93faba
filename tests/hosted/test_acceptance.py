"""Jobs are accepted while the store is slow and disks are missing."""

from __future__ import annotations

import random
import time
from types import SimpleNamespace
from typing import Any

from result import Err, Ok, Result

from tests.hosted.builders import make_open_job
from wigeonpier.hosted.acceptance import (
    AcceptOutcome,
    JobAcceptor,
    SubmittedJob,
)
from wigeonpier.hosted.board import Board
from wigeonpier.hosted.holder import DiskWrite
from wigeonpier.models import JobItem
from wigeonpier.platform.port import Failure
from wigeonpier.served import RouteKind, ServedRoute

# Time of one call of a slow store.
SLOW_CALL_SECONDS = 0.15
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
        self, _job: Any, _items: Any, timeout: float
    ) -> Result[int, Failure]:
        return self._answer(1, timeout)

    def _answer(self, value: Any, timeout: float) -> Result[Any, Failure]:
        self.calls += 1
        time.sleep(min(timeout, SLOW_CALL_SECONDS))
        if timeout < SLOW_CALL_SECONDS:
            return Err(Failure.unavailable)
        return Ok(value)


def make_acceptor(ledger: SlowLedger, copies: int) -> JobAcceptor:
    disks = SimpleNamespace(
        board=Board(),
        copies_needed=3,
        record_board=lambda _board: None,
        store_on_disks=lambda _job, _items: DiskWrite(copies),
    )
    return JobAcceptor(
        ledger,  # type: ignore[arg-type]
        SimpleNamespace(),  # type: ignore[arg-type]
        disks,  # type: ignore[arg-type]
        SimpleNamespace(is_isolated=False),  # type: ignore[arg-type]
        random.Random(1),
        SimpleNamespace(  # type: ignore[arg-type]
            choose_owners=lambda _board, job: job.owners,
        ),
    )


def make_job() -> SubmittedJob:
    item = JobItem('i', '/r/1', {}, b'', 10)
    return SubmittedJob(make_open_job().name, 'h', ROUTE, [item])


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
