"""Violated invariants are counted, and raise where checks are strict."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

import wigeonpier
from wigeonpier.invariants import (
    STRICT_VARIABLE,
    Invariant,
    InvariantError,
    check_invariant,
    violations,
)


@pytest.mark.parametrize('invariant', list(Invariant))
def test_violation_is_counted_and_raised(invariant, monkeypatch) -> None:
    check_invariant(True, invariant, 'holds')
    assert not violations
    monkeypatch.setenv(STRICT_VARIABLE, '1')
    with pytest.raises(InvariantError, match=invariant.value):
        check_invariant(False, invariant, 'does not')
    monkeypatch.setenv(STRICT_VARIABLE, '0')
    check_invariant(False, invariant, 'does not')
    assert violations[invariant] == 2


def test_each_invariant_is_checked_somewhere() -> None:
    folder = Path(wigeonpier.__file__).parent
    sources = [
        path.read_text()
        for path in folder.rglob('*.py')
        if path.name != 'invariants.py'
    ]
    checked = set(re.findall(r'Invariant\.(\w+)', '\n'.join(sources)))
    assert checked == {invariant.name for invariant in Invariant}
