"""Attempts to accept a job that go on while their caller is elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event as Signal
from result import Err, Ok, Result

from tests.hosted.builders import HOST, make_open_job, wait_for
from tests.hosted.test_acceptance import (
    ContestedLedger,
    SlowLedger,
    make_acceptor,
    make_job,
)
from tests.hosted.test_refused_jobs import (
    LATE_SECONDS,
    REFUSED,
    RUN_SECONDS,
    count_runs,
    delay_write,
    make_body,
    start,
    submit,
)
from wigeonpier.errors import Ran, Refusal
from wigeonpier.hosted.acceptance import AcceptOutcome
from wigeonpier.hosted.board import Board
from wigeonpier.models import JobFence
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Failure
from wigeonpier.settings.process import split_address
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

JOB = make_open_job().name
NEWER = JobFence(9)
READ_BYTES = 65_536
# Statuses that promise that no part of the job runs.
PROMISES = (408, 421, 429, 503)


class FencedLedger(SlowLedger):
    """Shows that the job was refused elsewhere after the first write."""

    def __init__(self) -> None:
        """Refuse the first write, and accept the next."""
        super().__init__()
        self.fences = self
        self.creations = 0
        self.named: list[JobFence] = []

    def read_board(self, _timeout: float) -> Result[Board, Failure]:
        return Ok(Board(fences={JOB: NEWER} if self.creations else {}))

    def create(self, *_given: Any) -> Result[int, Failure]:
        self.creations += 1
        is_first = self.creations == 1
        return Err(Failure.unavailable) if is_first else Ok(1)

    def write(
        self, _job: str, known: JobFence, *_given: Any
    ) -> Result[int, Failure]:
        self.named.append(known)
        return Ok(10)


class FastLedger(ContestedLedger):
    """Shows an empty board at once, and refuses the first write."""

    def read_board(self, _timeout: float) -> Result[Board, Failure]:
        return Ok(Board())


def test_an_attempt_ends_when_a_later_one_was_refused() -> None:
    """It went on, and the job was accepted although its caller had a 429."""
    ledger = FencedLedger()
    with pytest.raises(Refusal) as raised:
        make_acceptor(ledger, copies=0).accept(make_job())
    assert raised.value.ran is Ran.no
    assert ledger.creations == 1
    assert ledger.named == [NEWER]


def test_a_conflict_sends_no_copy_to_disks() -> None:
    """A copy names no fence, so that it defeated the one it conflicted with."""
    sent: list[str] = []
    ledger = FastLedger(is_accepted=False)
    acceptor = make_acceptor(ledger, copies=3, attempts=sent)
    assert acceptor.accept(make_job()) is AcceptOutcome.store
    assert not sent


def test_an_attempt_ends_with_its_caller(
    site: HostedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its caller came again elsewhere, was answered 429, and the job ran."""
    start(site)
    ledger = site.entries[0]._jobs._acceptor._ledger
    create = ledger.create
    began, ended = Signal(), Signal()

    def create_late(*given: Any) -> Result[int, Failure]:
        began.set()
        ended.wait()
        return create(*given)

    monkeypatch.setattr(ledger, 'create', create_late)
    caller = send(site, 'late')
    assert began.wait(RUN_SECONDS)
    assert submit(site, 'other', entry=1) == 202
    caller.close()
    assert submit(site, 'late', entry=1) == REFUSED
    site.call('DELETE', '/-/lots/first')
    ended.set()
    gevent.sleep(2 * RUN_SECONDS)
    assert not count_runs(site, 'late')


def test_a_caller_that_only_ended_its_side_gets_no_untrue_refusal(
    site: HostedSite,
) -> None:
    """It was taken for one that has left, answered 429, and the job ran."""
    start(site)
    delay_write(site, f'{storekeys.OPEN_JOBS}late')
    caller = send(site, 'late')
    wait_for(lambda: not site.store.faults.late_writes, 'the write was sent')
    caller.shutdown(socket.SHUT_WR)
    assert submit(site, 'other', entry=1) == 202
    answer = caller.recv(READ_BYTES)
    gevent.sleep(LATE_SECONDS + RUN_SECONDS)
    is_refused = any(b' %d ' % status in answer for status in PROMISES)
    assert not (is_refused and count_runs(site, 'late'))


def send(site: HostedSite, job: str) -> socket.socket:
    """Send a job to the first entry without waiting for the answer."""
    headers = [('Host', HOST), ('X-Attempt-Id', job)]
    caller = socket.create_connection(split_address(site.addresses[0]))
    caller.sendall(make_request('POST', '/jobs/x', headers, make_body(job)))
    return caller
