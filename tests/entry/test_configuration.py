"""Refusals of configurations whose write has an unknown outcome."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from result import Err

from wigeonpier.entry.configuration import ConfigurationHandler
from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.platform.port import Failure

APPLICATION = SimpleNamespace(edited=1, operation='apply-1')


def test_a_conflict_that_cannot_be_read_does_not_say_nothing_was_accepted() -> (
    None
):
    """The version may have been accepted, and replaced by the next one."""
    platform = SimpleNamespace(get=lambda _key: Err(Failure.unavailable))
    handler = ConfigurationHandler(platform, SimpleNamespace())
    with pytest.raises(Refusal) as raised:
        handler._resolve_failed_write(APPLICATION, Failure.conflict)
    assert raised.value.kind is ErrorKind.outcome_unknown
    assert raised.value.ran is Ran.unknown
