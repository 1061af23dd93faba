"""Fixtures of the hosted daemons' tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

from tests.hosted.builders import HostedSite

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def site() -> Iterator[HostedSite]:
    """Make a site; each test starts it with its own parameters."""
    made = HostedSite()
    gevent.Greenlet.add_spawn_callback(made.greenlets.append)
    yield made
    gevent.Greenlet.remove_spawn_callback(made.greenlets.append)
    made.stop()
