"""Ledgers of batch items."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.attempts import (
    Bounds,
    Ledger,
    Step,
    apply_record,
    decide_item,
    record_loss,
    replay_segment,
    write_snapshot,
)
from wigeonpier.records import Begin, Failure, Outcome, Release, Status

BOUNDS = Bounds(failures=3, lone_losses=2)
RECORDS = st.lists(
    st.one_of(
        st.builds(Begin, st.just(0), st.booleans()),
        st.builds(Release, st.just(0)),
        st.builds(Failure, st.just(0), st.sampled_from(('a', 'b'))),
        st.builds(
            Outcome,
            st.just(0),
            st.sampled_from(Status),
            st.just('id'),
            st.just(200),
            st.just(msgspec.Raw(b'{}')),
        ),
    ),
    max_size=12,
)


@given(RECORDS)
def test_snapshot_replays_to_the_same_decisions(records) -> None:
    ledger = replay_segment(records, 1).ledgers[0]
    again = replay_segment(write_snapshot(0, ledger), 1).ledgers[0]
    for idempotent in (True, False):
        after_loss = []
        for each in (ledger, again):
            record_loss(each)
            after_loss.append(decide_item(each, idempotent, BOUNDS))
        assert after_loss[0] is after_loss[1]
    assert again.outcome == ledger.outcome
    if ledger.outcome is None:
        assert (again.losses, again.lone_losses, again.failures) == (
            ledger.losses,
            ledger.lone_losses,
            ledger.failures,
        )


@given(RECORDS)
def test_first_result_is_kept(records) -> None:
    ledger = Ledger()
    first = None
    for record in records:
        apply_record(ledger, record)
        if first is None and isinstance(record, Outcome):
            first = record
        assert ledger.outcome is first


@given(RECORDS)
def test_non_idempotent_item_is_never_run_again_after_a_loss(records) -> None:
    ledger = replay_segment(records, 1).ledgers[0]
    record_loss(ledger)
    step = decide_item(ledger, idempotent=False, bounds=BOUNDS)
    if ledger.losses or ledger.failures:
        assert step in {Step.settle_unknown, Step.nothing}


@given(st.integers(0, 6), st.integers(0, 6), st.integers(0, 6))
def test_attempts_are_bounded(failures: int, losses: int, lone: int) -> None:
    ledger = Ledger(
        losses=losses,
        lone_losses=min(lone, losses),
        failures=failures,
    )
    step = decide_item(ledger, idempotent=True, bounds=BOUNDS)
    is_spent = failures >= 3 or min(lone, losses) >= 2
    assert (step is Step.fail) == is_spent
    assert not is_spent or step is not Step.run


def test_losses_beside_others_make_an_item_run_alone() -> None:
    ledger = Ledger()
    for _ in range(10):
        apply_record(ledger, Begin(0, alone=False))
        record_loss(ledger)
    assert decide_item(ledger, idempotent=True, bounds=BOUNDS) is Step.run_alone
