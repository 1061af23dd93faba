"""Where a stream that has begun may continue."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_upstream
from wigeonpier.policy.streamorigin import (
    UNKNOWN_VERSION,
    StreamOrigin,
    VersionHistory,
    digest_attempt,
    infer_version,
    may_continue,
)

VERSIONS = st.sampled_from((UNKNOWN_VERSION, 'v1', 'v2'))


@given(VERSIONS, VERSIONS, st.sampled_from(('s', 't')))
def test_unknown_is_no_version(began, serves, service) -> None:
    state = build_upstream('vm', version=serves, service=service)
    allowed = may_continue(state, StreamOrigin('s', began))
    is_known = UNKNOWN_VERSION not in {began, serves}
    assert allowed == (is_known and began == serves and service == 's')


def test_a_new_stream_may_begin_at_an_unknown_version() -> None:
    assert may_continue(build_upstream('vm', version=UNKNOWN_VERSION), None)


@pytest.mark.parametrize(
    ('versions', 'announced', 'expected'),
    [
        (('v1',), ('v1',), 'v1'),
        (('v1',), (), UNKNOWN_VERSION),
        ((), ('v1',), 'v1'),
        (('v1',), None, UNKNOWN_VERSION),
        (('v1',), ('v2',), UNKNOWN_VERSION),
        (('v1',), ('v1', 'v2'), UNKNOWN_VERSION),
        (('v1', 'v2'), ('v1',), UNKNOWN_VERSION),
        ((), (), UNKNOWN_VERSION),
    ],
)
@pytest.mark.parametrize('is_settled', [True, False])
def test_a_version_is_inferred_only_without_a_second_one(
    versions, announced, expected, *, is_settled
) -> None:
    history = VersionHistory(frozenset(versions), is_settled=is_settled)
    known = None if announced is None else frozenset(announced)
    assert infer_version(history, known) == expected


def test_attempts_of_two_customers_do_not_share_a_record() -> None:
    assert digest_attempt('q1', 'a') != digest_attempt('q1', 'b')
