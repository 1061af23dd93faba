"""Violated invariants are counted, and raise where checks are strict."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

import wigeonpier
from wigeonpier.invariants import (
    STRICT_VARIABLE,
    BrokenPromiseError,
    Promise,
    check_promise,
    violations,
)


@pytest.mark.parametrize('promise', list(Promise))
def test_violation_is_counted_and_raised(promise, monkeypatch) -> None:
    check_promise(True, promise, 'holds')
    assert not violations
    monkeypatch.setenv(STRICT_VARIABLE, '1')
    with pytest.raises(BrokenPromiseError, match=promise.value):
        check_promise(False, promise, 'does not')
    monkeypatch.setenv(STRICT_VARIABLE, '0')
    check_promise(False, promise, 'does not')
    assert violations[promise] == 2


def test_each_invariant_is_checked_somewhere() -> None:
    folder = Path(wigeonpier.__file__).parent
    sources = [
        path.read_text()
        for path in folder.rglob('*.py')
        if path.name != 'invariants.py'
    ]
    checked = set(re.findall(r'Promise\.(\w+)', '\n'.join(sources)))
    assert checked == {promise.name for promise in Promise}
