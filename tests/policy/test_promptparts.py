"""Which part of prompts is blamed for crashes of upstreams."""

from __future__ import annotations

import pytest

from wigeonpier.policy.promptparts import (
    CRASHES_DESPITE_PROOF,
    MAX_PART_LENGTH,
    MAX_PARTS,
    LostRun,
    PartCulprit,
    choose_part_mode,
    choose_trial_part,
    collect_evidence,
    find_best_explanation,
    find_inseparable,
    is_part_confirmed,
    make_part_keys,
)
from wigeonpier.policy.suspicion import RunMode

V1 = frozenset(('v1',))
BOTH = frozenset(('v1', 'v2'))


def build_run(
    number: int, *parts: str, alone: bool = False, output: bool = False
) -> LostRun:
    """Make a run of a request of its own that was lost at its own upstream."""
    return LostRun(
        f'q{number}', parts, f'i-{number}', 'v1', number, alone, output
    )


def collect(*runs: LostRun, proofs: dict[str, float] | None = None):
    """Collect the evidence, with parts proven sound on version v1."""
    known = proofs or {}
    return collect_evidence(
        runs,
        lambda part, version: known.get(part) if version == 'v1' else None,
    )


def test_part_that_lost_runs_share_is_confirmed() -> None:
    evidence = collect(
        build_run(1, 'a', 'bad', 'b'),
        build_run(2, 'a', 'bad', 'c'),
        build_run(3, 'a', 'bad', alone=True),
        proofs={'a': 0},
    )
    assert is_part_confirmed(evidence['bad'], 0)
    assert not is_part_confirmed(evidence['bad'], 1)
    assert not is_part_confirmed(evidence['b'], 0)
    assert 'a' not in evidence


def test_one_repeated_request_blames_no_part() -> None:
    runs = [
        LostRun('q', ('a', 'b'), f'i-{number}', 'v1', number, was_alone=True)
        for number in range(5)
    ]
    assert not is_part_confirmed(collect(*runs)['b'], 0)


def test_runs_with_output_count_half() -> None:
    evidence = collect(
        *(
            build_run(number, 'a', alone=True, output=True)
            for number in range(3)
        )
    )
    assert not is_part_confirmed(evidence['a'], 0)


def test_parts_that_no_crash_separates_are_blamed_together() -> None:
    evidence = collect(
        build_run(1, 'a', 'bad', 'c'),
        build_run(2, 'a', 'bad', 'c'),
        build_run(3, 'a', 'bad', alone=True),
    )
    assert find_inseparable('bad', evidence) == {'a', 'bad'}


def test_first_part_is_separated_from_different_parts_behind_it() -> None:
    evidence = collect(
        build_run(1, 'bad', 'b'),
        build_run(2, 'bad', 'b'),
        build_run(3, 'bad', 'c', alone=True),
    )
    assert find_inseparable('bad', evidence) == {'bad'}


def test_crashes_of_a_possible_cause_do_not_outdate_other_proofs() -> None:
    """A first part was refused while three other parts crashed upstreams."""
    runs = [
        build_run(number, 'a', f'bad{number % 3}')
        for number in range(CRASHES_DESPITE_PROOF + 1)
    ]
    assert 'a' not in collect(*runs, proofs={'a': -1})


def test_part_at_crashes_of_two_others_is_not_blamed() -> None:
    """It was refused after lone runs with each of two crashing parts."""
    runs = [
        build_run(1, 'bad0', 'b'),
        build_run(2, 'bad0', 'c'),
        build_run(3, 'bad0', 'c', alone=True),
        build_run(4, 'bad0', 'd'),
        build_run(5, 'bad1', 'd'),
        build_run(6, 'bad1', 'b'),
        build_run(7, 'bad1', 'c', alone=True),
    ]
    evidence = collect(*runs)
    assert is_part_confirmed(evidence['c'], 1)
    assert not find_best_explanation(evidence, lambda _found: 1)
    evidence = collect(*runs, build_run(8, 'bad0', 'e', alone=True))
    assert find_best_explanation(evidence, lambda _found: 1) == 'bad0'


def test_part_of_runs_with_output_is_not_blamed_before_another_one() -> None:
    """It was refused before the cause of its last crash was reported."""
    evidence = collect(
        build_run(1, 'b', 'bad'),
        build_run(2, 'b', 'bad'),
        build_run(3, 'b', 'bad', alone=True),
        build_run(4, 'b', alone=True, output=True),
        build_run(5, 'b', alone=True),
    )
    assert is_part_confirmed(evidence['b'], 1)
    assert not find_best_explanation(evidence, lambda _found: 1)
    assert find_best_explanation(evidence, lambda _found: 0) == 'bad'


def test_first_part_is_blamed_only_with_the_parts_behind_it() -> None:
    """No request with it has completed, and two bad parts stand behind it."""
    evidence = collect(
        build_run(1, 'a', 'bad0'),
        build_run(2, 'a', 'bad1'),
        build_run(3, 'a', 'bad0'),
        build_run(4, 'a', 'bad1'),
        build_run(5, 'a', 'bad0', alone=True),
    )
    part = find_best_explanation(evidence, lambda _found: 0)
    assert find_inseparable(part, evidence) == {'a', 'bad0'}


def test_proof_is_outdated_where_nothing_else_explains_crashes() -> None:
    runs = [
        build_run(number, 'a', 'bad') for number in range(CRASHES_DESPITE_PROOF)
    ]
    evidence = collect(*runs, proofs={'a': 3.5, 'bad': -1})
    assert is_part_confirmed(evidence['bad'], 0)
    assert find_inseparable('bad', evidence) == {'bad'}
    assert not is_part_confirmed(evidence['a'], 0)
    assert choose_part_mode(('a',), evidence, (), V1) is RunMode.free


@pytest.mark.parametrize(
    ('parts', 'versions', 'run_mode'),
    [
        (('a', 'bad'), V1, RunMode.refused),
        (('a', 'bad', 'c'), V1, RunMode.refused),
        (('a', 'c'), V1, RunMode.alone),
        (('c',), V1, RunMode.free),
        (('a', 'bad'), BOTH, RunMode.alone),
    ],
)
def test_run_mode_follows_from_blamed_parts(parts, versions, run_mode) -> None:
    culprit = PartCulprit('n', frozenset(('a', 'bad')), {'v1'})
    assert choose_part_mode(parts, {}, (culprit,), versions) is run_mode


@pytest.mark.parametrize(
    ('versions', 'run_mode'),
    [
        (V1, RunMode.refused),
        (BOTH, RunMode.apart),
        (frozenset(('v2',)), RunMode.free),
    ],
)
def test_cured_version_runs_a_blamed_part(versions, run_mode) -> None:
    culprit = PartCulprit('n', frozenset(('bad',)), {'v1'}, cured={'v2'})
    assert choose_part_mode(('bad',), {}, (culprit,), versions) is run_mode


@pytest.mark.parametrize(
    ('crashes', 'run_mode'),
    [(0, RunMode.free), (1, RunMode.apart), (2, RunMode.alone)],
)
def test_run_mode_follows_from_crashes(crashes, run_mode) -> None:
    evidence = collect(*(build_run(number, 'a') for number in range(crashes)))
    assert choose_part_mode(('a', 'b'), evidence, (), V1) is run_mode


def test_requests_with_the_same_cause_exclude_each_other() -> None:
    evidence = collect(
        build_run(1, 'a', 'bad', 'b'), build_run(2, 'a', 'bad', 'c')
    )
    for parts in (('a', 'bad', 'b'), ('a', 'bad', 'd')):
        assert choose_trial_part(parts, evidence, ()) == 'bad'
    assert choose_trial_part(('a', 'c'), evidence, ()) == 'a'
    assert not choose_trial_part(('d',), evidence, ())


def test_keys_are_bounded() -> None:
    keys = make_part_keys('service', ['f' * 1000] * 100)
    assert len(keys) == MAX_PARTS
    assert len(keys[0]) == len('service/') + MAX_PART_LENGTH
