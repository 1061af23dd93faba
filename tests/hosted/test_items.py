"""Items that are told to stop at unusual moments of their runs."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest
from result import Ok

from tests.hosted.builders import make_open_job
from wigeonpier.hosted.items import (
    ItemWork,
    RunOutcome,
    drop_work,
    run_item,
)
from wigeonpier.models import JobItem, Replica

REPLICA = Replica('r', '127.0.0.1:1', 'assistant', 'a', 1, is_leaving=False)


class ConnectingPool:
    """Pool that takes some time to connect; its exchange records the calls."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[str] = []

    def begin(self, _address: str, _timeout: float) -> Ok:
        gevent.sleep(0.01)
        return Ok(
            SimpleNamespace(
                is_whole=False,
                idle_seconds=0,
                send=lambda _raw, _timeout: self._send(),
                abort=lambda: self.calls.append('abort'),
                close=lambda: self.calls.append('close'),
            )
        )

    def _send(self) -> None:
        self.calls.append('send')
        raise ConnectionResetError


@pytest.mark.parametrize(
    'stop',
    [
        lambda work: work.stop(),
        lambda work: drop_work({work.key: work}, work.key),
    ],
)
def test_an_item_that_stops_while_it_connects_is_not_sent(stop) -> None:
    """It ran to its end beside the run of its new owner, or of a request."""
    work = ItemWork(make_open_job(), 0, JobItem('i', '/p', {}, b'', 1), 9, 9)
    pool = ConnectingPool()
    run = gevent.spawn(run_item, work, REPLICA, pool)
    gevent.sleep(0)
    stop(work)
    assert run.get(timeout=1) is RunOutcome.paused
    assert pool.calls == ['abort', 'close']
    assert work.response is None


def test_an_item_that_does_not_stop_is_sent() -> None:
    work = ItemWork(make_open_job(), 0, JobItem('i', '/p', {}, b'', 1), 9, 9)
    pool = ConnectingPool()
    assert run_item(work, REPLICA, pool) is RunOutcome.broken
    assert pool.calls == ['send', 'abort', 'close']
