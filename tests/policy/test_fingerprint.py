"""Requests are recognised by their content."""

from __future__ import annotations

import pytest

from wigeonpier.policy.fingerprint import digest_request

KNOWN = ('site.example', 'POST', '/ask/1?a=b', b'body')


def test_same_request_has_the_same_fingerprint() -> None:
    assert digest_request(*KNOWN) == digest_request(*KNOWN)


@pytest.mark.parametrize(
    'other',
    [
        ('other.example', 'POST', '/ask/1?a=b', b'body'),
        ('site.example', 'GET', '/ask/1?a=b', b'body'),
        ('site.example', 'POST', '/ask/1', b'body'),
        ('site.example', 'POST', '/ask/1?a=b', b'body2'),
        ('site.example', 'POST', '/ask/1?a=', b'b\nbody'),
    ],
)
def test_different_request_has_a_different_fingerprint(other) -> None:
    assert digest_request(*other) != digest_request(*KNOWN)
