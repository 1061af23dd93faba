"""Suspected requests, and the updates that processes exchange."""

from __future__ import annotations

from wigeonpier.membership import suspicions as module
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.membership.updates import CrashReport, SuspicionUpdate
from wigeonpier.policy.suspicion import RunMode

V1 = frozenset(('v1',))


def confirm_culprit(suspicions: Suspicions, name: str = 'culprit') -> None:
    """Record three crashes under a request, the last while it ran alone."""
    for number in range(3):
        suspicions.record_crash(
            name, f'i-{number}', 'v1', was_alone=number == 2
        )


def test_merged_state_refuses_culprit() -> None:
    first = Suspicions()
    second = Suspicions()
    confirm_culprit(first)
    second.merge(first.describe())
    assert second.get_run_mode('culprit', V1) is RunMode.refused
    assert second.get_run_mode('other', V1) is RunMode.free


def test_merge_returns_update_only_once() -> None:
    suspicions = Suspicions()
    update = SuspicionUpdate(
        ends=(CrashReport('q', 'i', 'v1', 0.1, was_alone=False),)
    )
    assert suspicions.merge(update) == update
    assert suspicions.merge(update) == SuspicionUpdate()


def test_cleared_request_ignores_late_reports() -> None:
    suspicions = Suspicions()
    update = suspicions.record_crash('q', 'i', 'v1', was_alone=False)
    suspicions.clear('q')
    suspicions.merge(update)
    late = SuspicionUpdate(
        ends=(CrashReport('q', 'j', 'v1', 5, was_alone=False),)
    )
    suspicions.merge(late)
    assert suspicions.get_run_mode('q', V1) is RunMode.free
    suspicions.record_crash('q', 'k', 'v1', was_alone=False)


def test_crashes_of_culprit_clear_other_suspects() -> None:
    suspicions = Suspicions()
    for number in (0, 1):
        suspicions.record_crash(
            'innocent', f'i-{number}', 'v1', was_alone=False
        )
    confirm_culprit(suspicions)
    assert suspicions.get_run_mode('innocent', V1) is RunMode.free
    suspicions.record_crash('innocent', 'i-2', 'v1', was_alone=True)
    assert suspicions.get_run_mode('innocent', V1) is RunMode.free


def test_log_returns_changes_or_whole_state_to_late_follower() -> None:
    suspicions = Suspicions()
    position, changes = suspicions.read_log(0)
    assert not changes
    update = suspicions.record_crash('q', 'i', 'v1', was_alone=False)
    position, changes = suspicions.read_log(position)
    assert changes == [update]
    assert suspicions.read_log(position) == (position, [])
    for number in range(module.MAX_CHANGES + 1):
        suspicions.record_crash(f'q{number}', 'j', 'v1', was_alone=False)
    _position, changes = suspicions.read_log(position)
    assert [len(change.ends) for change in changes] == [
        len(suspicions.suspects)
    ]


def test_suspects_are_bounded_and_culprits_evicted_last(
    monkeypatch,
) -> None:
    monkeypatch.setattr(module, 'MAX_SUSPECTS', 8)
    suspicions = Suspicions()
    confirm_culprit(suspicions)
    for number in range(20):
        suspicions.record_crash(f'q{number}', 'j', 'v1', was_alone=False)
    assert len(suspicions.suspects) == 8
    assert suspicions.get_run_mode('culprit', V1) is RunMode.refused


def test_confirmed_culprit_overrides_local_evidence() -> None:
    first = Suspicions()
    second = Suspicions()
    second.record_crash('other', 'j', 'v1', was_alone=False)
    confirm_culprit(first)
    crashes = SuspicionUpdate(first.describe().ends)
    second.merge(crashes)
    assert second.get_run_mode('culprit', V1) is RunMode.alone
    second.merge(first.describe())
    assert second.get_run_mode('culprit', V1) is RunMode.refused


def test_unrelated_crash_requires_second_crash_alone() -> None:
    suspicions = Suspicions()
    suspicions.record_crash('other', 'j', 'v1', was_alone=False)
    confirm_culprit(suspicions)
    assert suspicions.get_run_mode('culprit', V1) is RunMode.alone
    suspicions.record_crash('culprit', 'i-3', 'v1', was_alone=True)
    assert suspicions.get_run_mode('culprit', V1) is RunMode.refused
