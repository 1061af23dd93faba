"""Suspected parts of prompts, and the updates that processes exchange."""

from __future__ import annotations

import time

import pytest

from wigeonpier.membership import lostruns, partproofs
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.membership.updates import (
    CulpritReport,
    LostRunReport,
    PartProof,
    PartUpdate,
    SuspicionUpdate,
)
from wigeonpier.policy.suspicion import RunMode

V1 = frozenset(('v1',))
BAD = ('a', 'bad')


def lose(
    suspicions: Suspicions, number: int, *parts: str, alone: bool = False
) -> SuspicionUpdate:
    """Record a request of its own that was lost at its own upstream."""
    return suspicions.record_crash(
        f'{number:032x}', f'i-{number}', 'v1', was_alone=alone, parts=parts
    )


def complete(suspicions: Suspicions, *parts: str) -> SuspicionUpdate:
    """Record a completed run that has just begun."""
    return suspicions.record_completion('q', parts, 'v1', time.monotonic())


def confirm(suspicions: Suspicions) -> None:
    """Record three crashes under a part, the last while it ran alone."""
    for number in range(3):
        lose(suspicions, 16**20 * (number + 1), *BAD, alone=number == 2)


def get_mode(suspicions: Suspicions, *parts: str) -> RunMode:
    """Get how a request may run."""
    return suspicions.parts.get_run_mode(parts, V1)


@pytest.fixture
def proven() -> Suspicions:
    """Make a process that has completed a run with the first part."""
    made = Suspicions()
    complete(made, 'a', 'b')
    return made


def test_merged_state_refuses_the_part(proven) -> None:
    confirm(proven)
    other = Suspicions()
    other.merge(proven.describe())
    for suspicions in (proven, other):
        assert get_mode(suspicions, 'a', 'bad', 'c') is RunMode.refused
        assert get_mode(suspicions, 'a', 'b') is RunMode.free


def test_merged_updates_are_new_only_once(proven) -> None:
    """Processes forward what is new, which would never end otherwise."""
    other = Suspicions()
    for number in range(3):
        update = lose(proven, 16**20 * (number + 1), *BAD, alone=number == 2)
        assert other.merge(update) != SuspicionUpdate()
        assert other.merge(update) == SuspicionUpdate()
        assert proven.merge(update) == SuspicionUpdate()
    other.merge(proven.describe())
    assert other.merge(proven.describe()) == SuspicionUpdate()


def test_process_that_saw_a_completed_run_reports_it_once(proven) -> None:
    other = Suspicions()
    update = lose(other, 1, 'a', 'bad')
    assert get_mode(other, 'a', 'c') is RunMode.apart
    fresh = proven.merge(update)
    assert [proof.part for proof in fresh.parts.proofs] == ['a']
    other.merge(fresh)
    assert get_mode(other, 'a', 'c') is RunMode.free
    assert get_mode(other, *BAD) is RunMode.apart
    again = proven.merge(lose(other, 2, 'a', 'bad'))
    assert not again.parts.proofs


def test_proof_is_sent_again_after_a_lost_message(proven, monkeypatch) -> None:
    """An entry that started got a state without it from a worker."""
    monkeypatch.setattr(partproofs, 'REPORT_INTERVAL_SECONDS', 0)
    unreceived = proven.merge(lose(Suspicions(), 1, 'a', 'bad0'))
    assert unreceived.parts.proofs
    worker = Suspicions()
    for number in range(2, 9):
        bad = f'bad{number % 2}'
        worker.merge(lose(proven, 16**20 * number, 'a', bad, alone=number > 6))
    late = Suspicions()
    late.merge(worker.describe())
    for suspicions in (worker, late):
        assert get_mode(suspicions, 'a', 'c') is RunMode.free


def test_process_that_starts_gets_the_proofs_that_others_have(proven) -> None:
    """It refused the first part of all prompts, whose proofs were not sent."""
    confirm(proven)
    lose(proven, 9, 'a', 'c')
    late = Suspicions()
    late.merge(proven.describe())
    assert get_mode(late, 'a', 'd') is RunMode.free
    assert get_mode(late, 'a', 'c') is RunMode.apart


def test_stored_runs_keep_the_proofs_of_their_parts(proven) -> None:
    """An entry that started read the runs only, and refused the first part."""
    for number in range(1, 8):
        bad = f'bad{number % 2}'
        lose(proven, 16**20 * number, 'a', bad, alone=number > 5)
    late = Suspicions()
    late.record_crash('other', 'i-0', 'v1', was_alone=False)
    for part in ('bad0', 'bad1'):
        found = proven.parts.describe_suspect(part)
        late.merge(SuspicionUpdate(parts=found))
    assert get_mode(late, 'a', 'c') is RunMode.free
    assert get_mode(late, 'bad0') is RunMode.alone


def test_nothing_is_reported_while_no_upstream_crashes(proven) -> None:
    assert complete(proven, 'a', 'c') == SuspicionUpdate()
    assert proven.is_empty
    assert proven.describe() == SuspicionUpdate()


def test_process_without_proofs_does_not_convince_others(proven) -> None:
    """It had missed the report of the first crash, which carried them."""
    blamed = SuspicionUpdate(
        parts=PartUpdate(culprits=(CulpritReport('n', ('a',), ('v1',)),))
    )
    fresh = proven.merge(blamed)
    assert get_mode(proven, 'a', 'c') is RunMode.free
    other = Suspicions()
    other.merge(blamed)
    assert get_mode(other, 'a', 'c') is RunMode.refused
    other.merge(fresh)
    assert get_mode(other, 'a', 'c') is RunMode.free
    assert other.merge(blamed).parts.culprits == ()


def test_completed_run_separates_parts_that_are_blamed_together() -> None:
    suspicions = Suspicions()
    confirm(suspicions)
    assert get_mode(suspicions, 'a', 'c') is RunMode.alone
    complete(suspicions, 'a', 'c')
    assert get_mode(suspicions, 'a', 'c') is RunMode.free
    assert get_mode(suspicions, 'bad') is RunMode.refused


def test_crashes_of_a_part_clear_requests_and_other_parts(proven) -> None:
    proven.record_crash(
        'innocent', f'i-{16**20}', 'v1', was_alone=False, parts=('a', 'd')
    )
    confirm(proven)
    assert 'innocent' not in proven.suspects
    assert get_mode(proven, 'a', 'd') is RunMode.free


def test_crashes_of_one_request_do_not_count_against_others_parts(
    proven,
) -> None:
    suspicions = proven
    for number in range(3):
        suspicions.record_crash(
            'f' * 32,
            f'i-{number}',
            'v1',
            was_alone=number == 2,
            parts=('a', 'e'),
        )
        lose(suspicions, number, 'a', 'd')
    assert suspicions.is_refused('f' * 32)
    assert get_mode(suspicions, 'd') is RunMode.free
    assert get_mode(suspicions, 'e') is RunMode.alone


def test_lifted_part_ignores_late_reports(proven) -> None:
    confirm(proven)
    state = proven.describe()
    (name,) = proven.parts.culprits.by_name
    lifted = SuspicionUpdate(parts=PartUpdate(lifted=(name,)))
    assert proven.merge(lifted).parts.lifted == (name,)
    assert proven.merge(state).parts == PartUpdate()
    assert get_mode(proven, *BAD) is RunMode.free


def test_part_runs_on_a_version_that_completed_it(proven) -> None:
    confirm(proven)
    both = frozenset(('v1', 'v2'))
    assert proven.parts.get_run_mode(BAD, both) is RunMode.alone
    proven.record_completion('q', BAD, 'v2', time.monotonic())
    assert proven.parts.get_run_mode(BAD, both) is RunMode.apart
    assert proven.list_tried_versions('q', BAD) == {'v1'}
    assert get_mode(proven, *BAD) is RunMode.refused


def test_lost_runs_are_bounded(monkeypatch) -> None:
    monkeypatch.setattr(lostruns, 'MAX_RUNS', 8)
    suspicions = Suspicions()
    for number in range(20):
        report = LostRunReport(
            f'q{number}', (f'p{number}',), f'i-{number}', 'v1', 0
        )
        suspicions.merge(SuspicionUpdate(parts=PartUpdate((report,))))
    assert len(suspicions.describe().parts.lost) == 8


def test_late_proof_ends_a_wrong_culprit() -> None:
    suspicions = Suspicions()
    for number in range(3):
        lose(suspicions, 16**20 * (number + 1), 'a', alone=number == 2)
    assert get_mode(suspicions, 'a') is RunMode.refused
    proof = PartProof('a', 'v1', 5)
    suspicions.merge(SuspicionUpdate(parts=PartUpdate(proofs=(proof,))))
    assert get_mode(suspicions, 'a') is RunMode.free
