"""Probes of engines that send something else than their health."""

from __future__ import annotations

import time
import tracemalloc

import gevent
import pytest

from tests.web.endlesspeer import BODIES, HEADS, EndlessPeer
from wigeonpier.bench.endless import Endless
from wigeonpier.local.app import make_upstream_client
from wigeonpier.local.upstream import UpstreamWatch
from wigeonpier.settings.deployment import ServiceKind
from wigeonpier.web.messages import Response
from wigeonpier.web.server import Server

GIVE_UP_SECONDS = 10.0
# A head and a body, of 1 s each, and 1 s for a body that arrives fast.
MAX_SECONDS = 3.5
MAX_HELD_BYTES = 8_000_000
KINDS = {
    **HEADS,
    **BODIES,
    'sized body': Endless.sized_body,
    'chunked body': Endless.chunked_body,
    'noise': Endless.noise,
}
HEALTHY = Response(200, b'{}')


def watch_upstream(address: str) -> UpstreamWatch:
    """Watch an engine that was healthy at the last probe."""
    watch = UpstreamWatch(
        make_upstream_client(), address, lambda: ServiceKind.model
    )
    watch.is_healthy = True
    return watch


@pytest.mark.parametrize('is_trickle', [False, True])
@pytest.mark.parametrize('kind', KINDS)
def test_a_health_answer_without_end_is_cut(kind, is_trickle) -> None:
    peer = EndlessPeer(KINDS[kind], is_trickle)
    watch = watch_upstream(peer.address)
    tracemalloc.start()
    began = time.monotonic()
    with gevent.Timeout(GIVE_UP_SECONDS):
        assert not watch.check()
    elapsed = time.monotonic() - began
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    with gevent.Timeout(GIVE_UP_SECONDS):
        while not peer.ended_at:
            gevent.sleep(0.01)
    peer.stop()
    assert elapsed < MAX_SECONDS
    assert peak < MAX_HELD_BYTES


@pytest.mark.parametrize('body', [b'', b'x', b'{"data":[{"id":1}]}'])
def test_an_invalid_list_of_models_is_no_health(body: bytes) -> None:
    def answer(request) -> Response:
        return HEALTHY if request.path == '/healthz' else Response(200, body)

    server = Server('127.0.0.1', 0, answer)
    server.start()
    watch = watch_upstream(server.address)
    assert not watch.check()
    assert not watch.is_healthy
    server.stop()
