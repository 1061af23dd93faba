"""Relayed calls to a store that answers late."""

from __future__ import annotations

import time
from http import HTTPStatus

import gevent
import pytest

from wigeonpier.hosted.relay import RELAY_PATH, RelayHandler
from wigeonpier.platform import wire
from wigeonpier.platform.calls import StoreCalls
from wigeonpier.platform.store import CALL_TIMEOUT_SECONDS
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.client import HttpClient
from wigeonpier.web.messages import Response
from wigeonpier.web.pool import ConnectionPool
from wigeonpier.web.server import Server, dispatch_to

# After the caller has left, and long before its fence ends.
LATE_SECONDS = CALL_TIMEOUT_SECONDS + 1.3
SLACK_SECONDS = 0.8
GIVE_UP_SECONDS = 10.0
WATCH = f'{wire.WATCH_PATH}?{wire.WATCH_WAIT_MS}=9000'


def answer_late(_request) -> Response:
    """Answer as a store that has stalled for a while."""
    gevent.sleep(LATE_SECONDS)
    return Response(HTTPStatus.OK, b'{}')


@pytest.fixture
def relay():
    """Start a relay to a store that answers late."""
    store = Server('127.0.0.1', 0, answer_late)
    store.start()
    pool = ConnectionPool()
    handler = RelayHandler(StoreCalls(pool, store.address, Metrics()), pool)
    server = Server('127.0.0.1', 0, dispatch_to(handler.make_routes()))
    server.start()
    yield server.address
    server.stop()
    store.stop()


def call(address: str, method: str, target: str) -> tuple[int, float]:
    """Call through the relay, and return the status and the seconds."""
    started = time.monotonic()
    called = HttpClient().call(
        address, method, f'{RELAY_PATH}{target}', timeout=GIVE_UP_SECONDS
    )
    return called.unwrap().status, time.monotonic() - started


@pytest.mark.parametrize(
    ('method', 'target'),
    [
        ('POST', wire.COMMIT_PATH),
        ('POST', f'{wire.RENEW_PATH}7'),
        ('POST', WATCH),
        ('DELETE', f'{wire.REVOKE_PATH}7'),
        ('GET', f'{wire.KEY_PATH}?key={wire.WATCH_PATH}'),
    ],
)
def test_a_relayed_call_does_not_outlast_its_caller(
    relay: str, method: str, target: str
) -> None:
    """It was kept for 32 s, and a write took effect after its fence."""
    status, seconds = call(relay, method, target)
    assert status == HTTPStatus.BAD_GATEWAY
    assert seconds < CALL_TIMEOUT_SECONDS + SLACK_SECONDS


def test_a_relayed_watch_may_wait(relay: str) -> None:
    status, seconds = call(relay, 'GET', WATCH)
    assert status == HTTPStatus.OK
    assert seconds >= LATE_SECONDS
