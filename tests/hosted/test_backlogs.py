"""Owners of new items, and idle workers, by the backlogs that are reported."""

from __future__ import annotations

import time
from types import SimpleNamespace

import msgspec
import pytest
from result import Err

from tests.builders import build_upstream
from tests.hosted.builders import SERVICE, make_open_job
from wigeonpier.hosted.backlogs import FORGET_SECONDS, WorkerBacklogs
from wigeonpier.hosted.board import Board
from wigeonpier.hosted.news import IdleWorker, ReservationRequest
from wigeonpier.hosted.reserver import SlotReserver
from wigeonpier.models import Member
from wigeonpier.policy.placement import CONFIRM_SECONDS, assign_items
from wigeonpier.policy.route import FEED_TIMEOUT_SECONDS
from wigeonpier.reports import ItemBacklog
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.client import CallFailure

HOSTS = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
NAMES = ('fast', 'slow', 'slower')
PORT = 7
SLOW, FAST = 5.6, 2.6
JOB = make_open_job(owners=('-',) * 9, sent_at=time.time())


def build_board() -> Board:
    """Build a board with three members."""
    board = Board()
    board.members = {name: Member(name, SERVICE, 'a') for name in NAMES}
    return board


def build_backlogs(*runs: float, late: int = 0) -> WorkerBacklogs:
    """Build the backlogs of the first workers, reported just now."""
    states = [
        build_upstream(name, address=f'{host}:1', service=SERVICE)
        for name, host in zip(NAMES, HOSTS, strict=True)
    ]
    replicas = SimpleNamespace(list_upstreams=lambda: states)
    backlogs = WorkerBacklogs(PORT, replicas)
    for name, host, run in zip(NAMES, HOSTS, runs, strict=False):
        backlogs.record(f'{host}:1', ItemBacklog(name, run, late=late))
        backlogs.record_contact(host)
    return backlogs


def assign_by_number() -> tuple[str, ...]:
    """Assign the items as without any backlogs."""
    board = build_board()
    members = board.list_members(SERVICE)
    return assign_items(JOB.name, len(JOB.owners), members, [], JOB.sent_at)


def test_items_go_where_they_complete_first() -> None:
    backlogs = build_backlogs(FAST, SLOW, SLOW)
    owners = backlogs.choose_owners(build_board(), JOB)
    assert owners.count('fast') > owners.count('slow')


@pytest.mark.parametrize('runs', [(), (FAST,), (4.0, 4.5, 4.7), (0, 0, 0)])
def test_items_go_by_number_where_nothing_speaks_against(runs) -> None:
    """Equal run times, old workers, or an entry without load feeds."""
    backlogs = build_backlogs(*runs)
    assert backlogs.choose_owners(build_board(), JOB) == assign_by_number()


def test_a_backlog_without_a_working_feed_is_not_used() -> None:
    backlogs = build_backlogs(FAST, SLOW, SLOW, late=1)
    for host in HOSTS:
        backlogs.heard_at[host] -= FEED_TIMEOUT_SECONDS
    assert backlogs.choose_owners(build_board(), JOB) == assign_by_number()
    assert backlogs.find_idle(HOSTS[1]) is None


def test_a_removed_vm_is_forgotten() -> None:
    backlogs = build_backlogs(FAST, SLOW, SLOW)
    backlogs.heard_at[HOSTS[2]] -= FORGET_SECONDS
    backlogs.record(f'{HOSTS[0]}:1', ItemBacklog('fast', FAST))
    assert set(backlogs.reported) == set(backlogs.heard_at) == set(HOSTS[:2])


def test_a_worker_with_late_items_is_told_of_the_soonest_one() -> None:
    backlogs = build_backlogs(FAST, SLOW, SLOW, late=1)
    idle = IdleWorker('fast', f'{HOSTS[0]}:{PORT}', FAST)
    assert backlogs.find_idle('10.0.0.9') is None
    assert backlogs.find_idle(HOSTS[1]) == idle
    assert backlogs.find_idle(HOSTS[1]) is None
    backlogs.searched_at = 0
    assert backlogs.find_idle(HOSTS[0]) is None


@pytest.mark.parametrize(
    ('runs', 'late'), [((FAST, SLOW, SLOW), 0), ((4.0, 4.5, 4.7), 1)]
)
def test_nobody_is_named_without_need(runs, late) -> None:
    """No late items, or upstreams that are about equal."""
    assert build_backlogs(*runs, late=late).find_idle(HOSTS[1]) is None


def test_nobody_is_named_while_too_few_workers_report() -> None:
    """An entry that is cut off named one of the few that it still knew."""
    assert build_backlogs(FAST, SLOW, late=1).find_idle(HOSTS[1]) is None


def test_a_small_difference_counts_only_once_it_has_lasted() -> None:
    """Run times of a few items differ by chance after a restart."""
    job = make_open_job(owners=('-',) * 30, sent_at=time.time())
    backlogs = build_backlogs(4.0, 5.2, 5.2)
    owners = backlogs.choose_owners(build_board(), job)
    assert owners == assign_items(
        job.name, 30, build_board().list_members(SERVICE), [], job.sent_at
    )
    comparison = backlogs.comparisons[SERVICE]
    assert comparison.differs_since is not None
    comparison.differs_since -= CONFIRM_SECONDS
    owners = backlogs.choose_owners(build_board(), job)
    assert owners.count('fast') > owners.count('slower')
    assert owners.count('fast') > owners.count('slow')


def test_a_reservation_names_the_idle_worker() -> None:
    bodies: list[bytes] = []

    def call(_address: str, raw: bytes, _timeout: float) -> Err:
        bodies.append(raw.partition(b'\r\n\r\n')[2])
        return Err(CallFailure.lost)

    reserver = SlotReserver(
        PORT,
        SimpleNamespace(call=call),
        Metrics(),
        SimpleNamespace(
            take_unreported=dict, restore_unreported=lambda _counts: None
        ),
        SimpleNamespace(
            take=lambda _upstream: None, restore=lambda *_given: None
        ),
        build_backlogs(FAST, SLOW, SLOW, late=1).find_idle,
    )
    upstream = build_upstream('slow', address=f'{HOSTS[1]}:1')
    reserver.reserve(upstream, 0.1, is_late=False)
    sent = msgspec.json.decode(bodies[0], type=ReservationRequest)
    assert sent.idle == IdleWorker('fast', f'{HOSTS[0]}:{PORT}', FAST)
