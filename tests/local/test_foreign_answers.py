"""Engines that send the answer to an earlier request once more."""

from __future__ import annotations

import io

import pytest

from tests.local.rawengine import REFUSAL, RawEngine, make_answer
from wigeonpier.local.app import make_upstream_client
from wigeonpier.local.engine import Engine, Run, RunEnd
from wigeonpier.local.gate import Gate
from wigeonpier.local.online import OnlinePath, answer_online
from wigeonpier.local.suspects import LocalSuspects
from wigeonpier.membership.ends import CrashDetector
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.messages import Request
from wigeonpier.web.pool import ConnectionPool

REQUESTS = 6
PATH = '/v1/completions'


def _repeat_whole(earlier: bytes) -> bytes:
    return make_answer(earlier)


def _repeat_most(earlier: bytes) -> bytes:
    return make_answer(earlier)[:-2]


def _repeat_refusal(_earlier: bytes) -> bytes:
    return REFUSAL


@pytest.fixture(params=[_repeat_whole, _repeat_most, _repeat_refusal])
def engine(request):
    """Send an extra answer when the next request on a connection arrives."""

    def answer(body: bytes, earlier: list[bytes]) -> list[bytes]:
        extra = [request.param(earlier[-1])] if earlier else []
        return [*extra, make_answer(body)]

    engine = RawEngine(answer)
    yield engine
    engine.stop()


def _make_path(address: str) -> OnlinePath:
    suspects = LocalSuspects(
        'vm-1',
        address,
        Suspicions(),
        CrashDetector(ConnectionPool()),
        lambda: None,
    )
    client = make_upstream_client()
    return OnlinePath(Gate(), client, address, Metrics(), 's', suspects)


def _ask(path: OnlinePath, body: bytes) -> bytes:
    request = Request(
        'POST',
        PATH,
        '',
        {'content-length': str(len(body))},
        io.BytesIO(body),
        identity=body.decode(),
        body_limit=len(body),
    )
    return answer_online(path, request, PATH).body


def test_online_requests_receive_no_answer_to_an_earlier_one(engine) -> None:
    path = _make_path(engine.address)
    for number in range(REQUESTS):
        body = b'request-%d' % number
        assert _ask(path, body) == make_answer(body).partition(b'\r\n\r\n')[2]
        assert engine.runs[body] == 1


def test_a_batch_item_receives_no_answer_to_an_earlier_one(engine) -> None:
    batch = Engine(
        make_upstream_client(), engine.address, Gate(), Metrics(), 's'
    )
    for number in range(REQUESTS):
        body = b'item-%d' % number
        run = Run(f'batch-{number}', PATH, body, is_stream=False)
        assert batch.advance(run) is RunEnd.answered
        assert run.answer == make_answer(body).partition(b'\r\n\r\n')[2]
        assert engine.runs[body] == 1
