"""Detection of crashed upstreams after a broken connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.processes import take_port
from wigeonpier.bench.proxy import HarmingProxy
from wigeonpier.membership.ends import CrashDetector
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    import pytest


def test_refused_connection_means_crash() -> None:
    detector = CrashDetector(ConnectionPool())
    assert detector.has_crashed('vm-1', f'127.0.0.1:{take_port()}')


def test_listening_upstream_has_not_crashed() -> None:
    """The probe's connection is kept for the next request."""
    proxy = HarmingProxy('127.0.0.1:1')
    pool = ConnectionPool()
    assert not CrashDetector(pool).has_crashed('vm-1', proxy.address)
    assert pool.opened == 1
    proxy.stop()


def test_concurrent_probes_open_one_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pool = ConnectionPool()
    detector = CrashDetector(pool)
    address = f'127.0.0.1:{take_port()}'
    probes = []
    find = pool.find_listener

    def count(*arguments):
        probes.append(arguments)
        return find(*arguments)

    monkeypatch.setattr(pool, 'find_listener', count)
    checks = [
        gevent.spawn(detector.has_crashed, 'vm-1', address) for _ in range(9)
    ]
    gevent.joinall(checks)
    assert all(check.value for check in checks)
    assert len(probes) == 1
