"""Engines that send bytes without end: each request has its answer in time."""

from __future__ import annotations

import io
import time

import gevent
import pytest

from tests.local.test_foreign_answers import make_path
from tests.web.endlesspeer import BODIES, HEADS, LINES, STREAM, EndlessPeer
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.local import engine as engine_module
from wigeonpier.local.app import make_upstream_client
from wigeonpier.local.engine import Engine, Run, RunEnd
from wigeonpier.local.gate import Gate
from wigeonpier.local.online import answer_online
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web import headers
from wigeonpier.web.messages import Request

PATH = '/v1/completions'
DEADLINE_SECONDS = 0.5
GIVE_UP_SECONDS = 5.0
# Of the buffers of the connection and of an answer that is held whole.
MAX_SENT_BYTES = 24_000_000
EVENT = b'data: {"id":"c","choices":[{"text":"word"}]}\n\n'
ENDLESS = {**HEADS, **BODIES, **LINES, 'events': (STREAM, EVENT * 200)}


@pytest.fixture
def serve():
    peers = []

    def start(kind: str, *, is_slow: bool) -> EndlessPeer:
        peers.append(EndlessPeer(ENDLESS[kind], is_slow))
        return peers[-1]

    yield start
    for peer in peers:
        peer.stop()


def _wait_for_end(peer: EndlessPeer) -> None:
    with gevent.Timeout(GIVE_UP_SECONDS):
        while not peer.ended_at:
            gevent.sleep(0.01)


@pytest.mark.parametrize('kind', [*HEADS, *BODIES, 'comments', 'line'])
def test_an_online_request_is_answered_by_its_deadline(serve, kind) -> None:
    peer = serve(kind, is_slow=True)
    path = make_path(peer.address)
    milliseconds = str(int(DEADLINE_SECONDS * 1000))
    request = Request(
        'POST',
        PATH,
        '',
        {headers.DEADLINE_MS: milliseconds},
        io.BytesIO(b''),
        identity='r',
    )
    started = time.monotonic()
    with gevent.Timeout(GIVE_UP_SECONDS):
        try:
            response = answer_online(path, request, PATH)
        except Refusal as refusal:
            assert refusal.kind is ErrorKind.upstream_lost
        else:
            with pytest.raises(OSError):
                list(response.body)
            for close in response.on_close:
                close()
    assert time.monotonic() - started < 2 * DEADLINE_SECONDS
    assert path.gate.online == 0
    _wait_for_end(peer)


@pytest.mark.parametrize('kind', ENDLESS)
def test_an_item_is_lost_and_not_held(serve, monkeypatch, kind) -> None:
    monkeypatch.setattr(
        engine_module, 'MAX_ANSWER_BYTES', 100_000, raising=False
    )
    monkeypatch.setattr(engine_module, 'READ_TIMEOUT_SECONDS', 1.0)
    peer = serve(kind, is_slow=False)
    engine = Engine(
        make_upstream_client(), peer.address, Gate(), Metrics(), 's'
    )
    run = Run('batch-1', PATH, b'{}', is_stream=True)
    with gevent.Timeout(GIVE_UP_SECONDS):
        assert engine.advance(run) is RunEnd.lost
    assert peer.sent_bytes < MAX_SENT_BYTES
    _wait_for_end(peer)
