"""Requests that crash upstreams are distinguished from those beside them."""

from __future__ import annotations

import random

import pytest

from wigeonpier.policy.suspicion import (
    CRASHES_BEFORE_ISOLATION,
    MEMORY_SECONDS,
    UNSTABLE_LONE_CRASHES_TO_QUARANTINE,
    Crash,
    RunMode,
    Suspect,
    choose_run_mode,
    is_confirmed,
)
from wigeonpier.policy.trial import (
    TRIAL_TIMEOUT_SECONDS,
    IsolationLevel,
    TrialTable,
    Verdict,
)

V1 = frozenset(('v1',))
UPSTREAMS = 5
REQUESTS = 8


def build_suspect(*alone: bool, version: str = 'v1') -> Suspect:
    """Make a suspect; each argument is a crash and says if it was alone."""
    suspect = Suspect()
    for number, was_alone in enumerate(alone):
        suspect.add(Crash(f'i-{number}', version, float(number), was_alone))
    suspect.is_culprit = is_confirmed(suspect, 0)
    return suspect


@pytest.mark.parametrize(
    ('alone', 'run_mode'),
    [
        ((), RunMode.free),
        ((False,), RunMode.apart),
        ((False, False), RunMode.alone),
        ((False, False, False), RunMode.alone),
        ((False, False, True), RunMode.refused),
        ((False, False, False, False), RunMode.refused),
    ],
)
def test_run_mode_follows_from_shared_and_lone_crashes(alone, run_mode) -> None:
    assert choose_run_mode(build_suspect(*alone), V1) is run_mode


@pytest.mark.parametrize(
    ('alone', 'is_culprit'),
    [
        ((False, False, True), False),
        ((False, False, True, True), True),
        ((False, False, False, False, False), False),
        ((False, False, False, False, False, False), True),
    ],
)
def test_one_lone_crash_is_no_proof_where_others_crash_too(
    alone,
    is_culprit,
) -> None:
    """One lone crash proves nothing where other upstreams crash as well.

    A request that several callers sent with the same content was refused:
    three upstreams crashed ten times in 8 s, seven times under another one.
    """
    assert is_confirmed(build_suspect(*alone), 1) is is_culprit


class UnstableUpstreams:
    """Upstreams that crash at random, as with a bad release or a faulty VM."""

    def __init__(self, seed: int, crashes_per_second: float) -> None:
        self.rng = random.Random(seed)
        self.crashes_per_second = crashes_per_second
        self.crashes = 0

    def run(
        self, suspect: Suspect, seconds: float, seconds_to_output: float
    ) -> bool:
        """Run a request and return whether it completed."""
        crashes_at = self.rng.expovariate(self.crashes_per_second)
        if crashes_at >= seconds:
            return True
        self.crashes += 1
        suspect.add(
            Crash(
                f'i-{self.crashes}',
                'v1',
                float(self.crashes),
                choose_run_mode(suspect, V1) is RunMode.alone,
                had_output=crashes_at >= seconds_to_output,
            ),
        )
        suspect.is_culprit = is_confirmed(suspect, 1)
        return False


def test_random_crashes_confirm_no_culprit() -> None:
    """Random crashes of upstreams cause almost no refusals.

    A batch item was refused for two crashes, 0.12 and 0.22 s into its runs,
    while three upstreams crashed ten times in 8 s; its job never finished.
    """
    upstreams = UnstableUpstreams(seed=5, crashes_per_second=0.42)
    refused = 0
    for _ in range(20_000):
        suspect = Suspect()
        while not upstreams.run(suspect, seconds=0.4, seconds_to_output=0.02):
            if suspect.is_culprit:
                refused += 1
                break
    assert refused <= 2


def test_item_with_progress_between_crashes_is_not_refused() -> None:
    """Crashes after more and more output do not confirm a culprit.

    An item that had produced 61, 238 and 267 events, alone in its last run, was
    refused while replicas were crashed in waves and no other request was
    suspected.
    """
    suspect = Suspect()
    for number in range(4):
        suspect.add(
            Crash(
                f'i-{number}',
                'v1',
                float(number),
                was_alone=number > 1,
                had_output=True,
            ),
        )
        assert not is_confirmed(suspect, 0)


def test_culprit_that_crashes_after_output_is_refused_eventually() -> None:
    suspect = Suspect()
    for number in range(8):
        assert not is_confirmed(suspect, 0)
        suspect.add(
            Crash(f'i-{number}', 'v1', float(number), True, had_output=True),
        )
    assert is_confirmed(suspect, 0)


def test_culprit_is_confirmed_among_unstable_upstreams() -> None:
    suspect = Suspect()
    for number in range(
        CRASHES_BEFORE_ISOLATION + UNSTABLE_LONE_CRASHES_TO_QUARANTINE
    ):
        assert not suspect.is_culprit
        was_alone = choose_run_mode(suspect, V1) is RunMode.alone
        suspect.add(Crash(f'i-{number}', 'v1', float(number), was_alone))
        suspect.is_culprit = is_confirmed(suspect, 1)
    assert suspect.is_culprit


def test_crash_reported_twice_counts_once_and_stays_lone() -> None:
    suspect = build_suspect(False, False)
    assert not suspect.add(Crash('i-1', 'v1', 1.2, was_alone=False))
    assert suspect.add(Crash('i-1', 'v1', 1.2, was_alone=True))
    assert [crash.was_alone for crash in suspect.crashes] == [False, True]


def test_culprit_is_tried_once_on_another_version() -> None:
    suspect = build_suspect(False, False, True)
    both = frozenset(('v1', 'v2'))
    assert choose_run_mode(suspect, both) is RunMode.alone
    suspect.add(Crash('j-1', 'v2', 9, was_alone=True))
    assert choose_run_mode(suspect, both) is RunMode.refused


def test_request_not_seen_for_long_is_forgotten() -> None:
    suspect = build_suspect(False, False, True)
    last = suspect.crashes[-1].at
    assert not suspect.is_forgotten(last + MEMORY_SECONDS - 1)
    assert suspect.is_forgotten(last + MEMORY_SECONDS + 1)


def test_lone_run_allows_no_other() -> None:
    table = TrialTable()
    table.add('a', IsolationLevel.exclusive, 0)
    for isolation in IsolationLevel:
        assert table.check('b', isolation, 1) is Verdict.occupied
    assert table.check('a', IsolationLevel.exclusive, 1) is Verdict.running
    table.remove('a')
    assert table.check('b', IsolationLevel.exclusive, 1) is Verdict.granted


def test_run_apart_allows_latecomers_but_no_lone_run() -> None:
    table = TrialTable()
    table.add('a', IsolationLevel.admits_later, 0)
    assert table.check('b', IsolationLevel.admits_later, 1) is Verdict.occupied
    assert table.check('b', IsolationLevel.exclusive, 1) is Verdict.occupied
    assert table.check('b', IsolationLevel.shared, 1) is Verdict.granted
    assert (
        table.check('b', IsolationLevel.exclusive, TRIAL_TIMEOUT_SECONDS + 1)
        is Verdict.granted
    )


@pytest.mark.parametrize('seed', range(20))
def test_culprit_crashes_three_upstreams_and_no_other_is_refused(
    seed: int,
) -> None:
    """Requests share the first crash; each rerun meets others there."""
    rng = random.Random(seed)
    names = [f'q{number}' for number in range(REQUESTS)]
    culprit = rng.choice(names)
    suspects = {name: Suspect() for name in names}
    crashes = 0
    groups = [names]
    while crashes < UPSTREAMS and groups:
        group = groups.pop()
        is_alone = len(group) == 1 and len(suspects[group[0]].crashes) > 1
        if culprit not in group:
            continue
        crashes += 1
        for name in group:
            suspects[name].add(Crash(f'i-{crashes}', 'v1', crashes, is_alone))
            suspects[name].is_culprit = is_confirmed(suspects[name], 0)
        upstreams = [[] for _ in range(UPSTREAMS)]
        for name in group:
            run_mode = choose_run_mode(suspects[name], V1)
            if run_mode is RunMode.alone:
                groups.append([name])
            elif run_mode is RunMode.apart:
                min(upstreams, key=len).append(name)
        groups += [upstream for upstream in upstreams if upstream]
    assert crashes == 3
    refused = [
        name
        for name in names
        if choose_run_mode(suspects[name], V1) is RunMode.refused
    ]
    assert refused == [culprit]


def test_is_older_compares_the_start_of_the_run() -> None:
    table = TrialTable()
    table.add('a', IsolationLevel.admits_later, 1)
    assert table.started_before('a', 1.5)
    assert not table.started_before('a', 1)
    assert not table.started_before('b', 1.5)
