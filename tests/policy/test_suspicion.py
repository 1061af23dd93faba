"""A request that ends upstreams is told from those that ran with it."""

from __future__ import annotations

import random

import pytest

from wigeonpier.policy.suspicion import (
    CRASHES_BEFORE_ISOLATION,
    MEMORY_SECONDS,
    UNSTABLE_LONE_CRASHES_TO_QUARANTINE,
    End,
    Standing,
    Suspect,
    is_proved,
    judge_request,
)
from wigeonpier.policy.trial import (
    LONGEST_SECONDS,
    Company,
    TrialTable,
    Verdict,
)

V1 = frozenset(('v1',))
UPSTREAMS = 5
SHARING = 8


def build_suspect(*alone: bool, version: str = 'v1') -> Suspect:
    """Make one under which so many upstreams ended, some of them alone."""
    suspect = Suspect()
    for number, was_alone in enumerate(alone):
        suspect.add(End(f'i-{number}', version, float(number), was_alone))
    suspect.is_culprit = is_proved(suspect, 0)
    return suspect


@pytest.mark.parametrize(
    ('alone', 'standing'),
    [
        ((), Standing.free),
        ((False,), Standing.apart),
        ((False, False), Standing.alone),
        ((False, False, False), Standing.alone),
        ((False, False, True), Standing.refused),
        ((False, False, False, False), Standing.refused),
    ],
)
def test_nobody_is_refused_without_proof(alone, standing) -> None:
    assert judge_request(build_suspect(*alone), V1) is standing


@pytest.mark.parametrize(
    ('alone', 'is_culprit'),
    [
        ((False, False, True), False),
        ((False, False, True, True), True),
        ((False, False, False, False, False), False),
        ((False, False, False, False, False, False), True),
    ],
)
def test_where_others_end_too_one_end_alone_is_no_proof(
    alone,
    is_culprit,
) -> None:
    """A request that several callers sent alike was refused for what befell
    all: three upstreams ended ten times in 8 s, seven under another one."""
    assert is_proved(build_suspect(*alone), 1) is is_culprit


class RestlessUpstreams:
    """Upstreams that end at random, as a release or a faulty VM does."""

    def __init__(self, seed: int, ends_a_second: float) -> None:
        self.draw = random.Random(seed)
        self.ends_a_second = ends_a_second
        self.ended = 0

    def run(
        self, suspect: Suspect, seconds: float, until_output: float
    ) -> bool:
        """Run a request; whether it reached its end."""
        ends_at = self.draw.expovariate(self.ends_a_second)
        if ends_at >= seconds:
            return True
        self.ended += 1
        suspect.add(
            End(
                f'i-{self.ended}',
                'v1',
                float(self.ended),
                judge_request(suspect, V1) is Standing.alone,
                had_output=ends_at >= until_output,
            ),
        )
        suspect.is_culprit = is_proved(suspect, 1)
        return False


def test_upstreams_that_end_by_themselves_convict_nobody() -> None:
    """A batch item was refused for two ends 0.12 and 0.22 s into its runs.

    Three upstreams ended ten times in 8 s; its job never finished.
    """
    upstreams = RestlessUpstreams(seed=5, ends_a_second=0.42)
    convicted = 0
    for _ in range(20_000):
        suspect = Suspect()
        while not upstreams.run(suspect, seconds=0.4, until_output=0.02):
            if suspect.is_culprit:
                convicted += 1
                break
    assert convicted <= 2


def test_an_item_that_gets_on_from_crash_to_crash_is_not_refused() -> None:
    """It had 61, 238 and 267 events, alone in the last run, and was given up.

    Replicas were crashed in waves; nobody else was suspected by then.
    """
    suspect = Suspect()
    for number in range(4):
        suspect.add(
            End(
                f'i-{number}',
                'v1',
                float(number),
                was_alone=number > 1,
                had_output=True,
            ),
        )
        assert not is_proved(suspect, 0)


def test_who_ends_upstreams_late_is_refused_in_the_end() -> None:
    suspect = Suspect()
    for number in range(8):
        assert not is_proved(suspect, 0)
        suspect.add(
            End(f'i-{number}', 'v1', float(number), True, had_output=True),
        )
    assert is_proved(suspect, 0)


def test_who_ends_each_upstream_is_convicted_among_restless_ones() -> None:
    suspect = Suspect()
    for number in range(
        CRASHES_BEFORE_ISOLATION + UNSTABLE_LONE_CRASHES_TO_QUARANTINE
    ):
        assert not suspect.is_culprit
        was_alone = judge_request(suspect, V1) is Standing.alone
        suspect.add(End(f'i-{number}', 'v1', float(number), was_alone))
        suspect.is_culprit = is_proved(suspect, 1)
    assert suspect.is_culprit


def test_one_end_told_twice_counts_once_and_keeps_the_proof() -> None:
    suspect = build_suspect(False, False)
    assert not suspect.add(End('i-1', 'v1', 1.2, was_alone=False))
    assert suspect.add(End('i-1', 'v1', 1.2, was_alone=True))
    assert [end.was_alone for end in suspect.ends] == [False, True]


def test_another_version_is_tried_once() -> None:
    suspect = build_suspect(False, False, True)
    both = frozenset(('v1', 'v2'))
    assert judge_request(suspect, both) is Standing.alone
    suspect.add(End('j-1', 'v2', 9, was_alone=True))
    assert judge_request(suspect, both) is Standing.refused


def test_who_is_not_seen_is_forgotten() -> None:
    suspect = build_suspect(False, False, True)
    last = suspect.ends[-1].at
    assert not suspect.is_forgotten(last + MEMORY_SECONDS - 1)
    assert suspect.is_forgotten(last + MEMORY_SECONDS + 1)


def test_who_runs_alone_is_beside_nobody() -> None:
    book = TrialTable()
    book.enter('a', Company.nobody, 0)
    for company in Company:
        assert book.ask('b', company, 1) is Verdict.occupied
    assert book.ask('a', Company.nobody, 1) is Verdict.running
    book.leave('a')
    assert book.ask('b', Company.nobody, 1) is Verdict.granted


def test_who_runs_apart_bears_latecomers_but_not_the_lone() -> None:
    book = TrialTable()
    book.enter('a', Company.latecomers, 0)
    assert book.ask('b', Company.latecomers, 1) is Verdict.occupied
    assert book.ask('b', Company.nobody, 1) is Verdict.occupied
    assert book.ask('b', Company.anybody, 1) is Verdict.granted
    assert book.ask('b', Company.nobody, LONGEST_SECONDS + 1) is Verdict.granted


@pytest.mark.parametrize('seed', range(20))
def test_a_culprit_among_others_ends_three_and_no_other_is_refused(
    seed: int,
) -> None:
    """A handful share the first end; what is run again meets others there."""
    draw = random.Random(seed)
    names = [f'q{number}' for number in range(SHARING)]
    culprit = draw.choice(names)
    suspects = {name: Suspect() for name in names}
    ended = 0
    together = [names]
    while ended < UPSTREAMS and together:
        group = together.pop()
        is_lone = len(group) == 1 and len(suspects[group[0]].ends) > 1
        if culprit not in group:
            continue
        ended += 1
        for name in group:
            suspects[name].add(End(f'i-{ended}', 'v1', ended, is_lone))
            suspects[name].is_culprit = is_proved(suspects[name], 0)
        places = [[] for _ in range(UPSTREAMS)]
        for name in group:
            standing = judge_request(suspects[name], V1)
            if standing is Standing.alone:
                together.append([name])
            elif standing is Standing.apart:
                min(places, key=len).append(name)
        together += [place for place in places if place]
    assert ended == 3
    refused = [
        name
        for name in names
        if judge_request(suspects[name], V1) is Standing.refused
    ]
    assert refused == [culprit]


def test_a_place_is_as_old_as_who_took_it() -> None:
    book = TrialTable()
    book.enter('a', Company.latecomers, 1)
    assert book.is_older('a', 1.5)
    assert not book.is_older('a', 1)
    assert not book.is_older('b', 1.5)
