"""When an entry is isolated from everything that serves requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.policy.isolation import is_isolated, should_probe_store


@given(st.floats(0, 1e6))
def test_store_outage_alone_is_no_isolation(silent: float) -> None:
    assert not is_isolated(silent, has_store=True)
    assert not is_isolated(min(silent, 0.9), has_store=False)


def test_store_is_probed_before_the_entry_counts_as_isolated() -> None:
    assert should_probe_store(0.7)
    assert not is_isolated(0.7, has_store=False)
    assert is_isolated(1.1, has_store=False)
