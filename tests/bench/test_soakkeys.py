"""Tests of the customer checks of the fault soak."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from wigeonpier.bench.replica import ReceivedRequest
from wigeonpier.bench.soakkeys import (
    HOT_KEY,
    UNKNOWN_KEY,
    SentRequest,
    SoakKeys,
    check_windows,
)

SENT_AT = 10.0


def make_keys(key: str, statuses: dict[str, int]) -> SoakKeys:
    callers = SimpleNamespace(count_outcomes=lambda: statuses)
    keys = SoakKeys(SimpleNamespace(), callers, random.Random(1))
    keys.sent['k1'] = SentRequest(key, SENT_AT)
    keys.revoked_at['old'] = SENT_AT - 4
    keys.revoked_at['late'] = SENT_AT - 2
    return keys


def make_run(**headers: str) -> ReceivedRequest:
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return ReceivedRequest('k1', SENT_AT + 0.1, named)


@pytest.mark.parametrize(
    ('key', 'headers'),
    [
        (HOT_KEY, {'x_tenant': 'turning'}),
        (HOT_KEY, {}),
        (HOT_KEY, {'x_tenant': 'hot', 'x_key': HOT_KEY}),
        (UNKNOWN_KEY, {'x_tenant': 'turning'}),
        ('old', {'x_tenant': 'turning'}),
    ],
)
def test_invalid_run_is_detected(key: str, headers: dict[str, str]) -> None:
    assert make_keys(key, {}).find_violations([make_run(**headers)])


@pytest.mark.parametrize(
    ('key', 'name'), [(HOT_KEY, 'hot'), ('late', 'turning'), ('new', 'turning')]
)
def test_valid_run_is_accepted(key: str, name: str) -> None:
    assert not make_keys(key, {'200': 3, '503': 1}).find_violations(
        [make_run(x_tenant=name)],
    )


@pytest.mark.parametrize('status', ['401', '404', '429'])
def test_refusal_of_a_customer_below_its_limit_is_detected(status: str) -> None:
    assert make_keys('new', {status: 1}).find_violations([])


def test_requests_in_a_window_are_limited() -> None:
    # (4 a second for 5 s + 4) x 1.1 + 10 = 36.4
    sent = [(0.1 * number, 0.1 * number + 0.05) for number in range(36)]
    assert not check_windows(sent)
    assert check_windows([*sent, (4.0, 4.1)])
    # A request that runs after the window does not count in it.
    assert not check_windows([*sent, (4.0, 9.1)])
