"""Engines that send an answer once more where the next one is due."""

from __future__ import annotations

from typing import Any

import pytest
from gevent.server import StreamServer

from wigeonpier.batch.models import TEXT_PATH
from wigeonpier.local.app import make_upstream_client
from wigeonpier.local.engine import Engine, Run, RunEnd
from wigeonpier.local.gate import Gate
from wigeonpier.telemetry.metrics import Metrics

READ_BYTES = 65_536
RUNS = 4
TIMEOUT_SECONDS = 2.0


def encode(status: str, body: bytes) -> bytes:
    """Encode an answer, which bears no id."""
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class RepeatingEngine:
    """Answers each request, behind an extra answer on a kept connection."""

    def __init__(self, extra: bytes) -> None:
        """Listen on a free port."""
        self.runs = 0
        self._extra = extra
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _serve(self, sock: Any, _address: object) -> None:
        due = b''
        while request := sock.recv(READ_BYTES):
            self.runs += 1
            _head, _mark, body = request.partition(b'\r\n\r\n')
            sock.sendall(due + encode('200 OK', b'{"own":%b}' % body))
            due = self._extra


@pytest.fixture(
    params=[
        encode('429 Too Many Requests', b'{}'),
        encode('200 OK', b'{"own":{"of":"another"}}'),
    ]
)
def repeating(request):
    engine = RepeatingEngine(request.param)
    yield engine
    engine.stop()


def make_engine(address: str) -> Engine:
    """Make the caller of an engine, as a local process does."""
    return Engine(make_upstream_client(), address, Gate(), Metrics(), 's')


def test_an_item_behind_the_answer_to_another_one_runs_once(repeating) -> None:
    """It was taken as not run, or had the answer to the other one."""
    engine = make_engine(repeating.address)
    for number in range(RUNS):
        body = b'{"number":%d}' % number
        run = Run(f'r{number}', TEXT_PATH, body, is_stream=False)
        assert engine.advance(run) is RunEnd.answered
        assert run.answer == b'{"own":%b}' % body
    assert repeating.runs == RUNS
