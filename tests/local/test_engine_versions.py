"""Tests that the text of a batch item comes from one version of an engine."""

from __future__ import annotations

import msgspec
import pytest
from result import Ok

from tests.streamedreply import StreamedReply
from wigeonpier.local.engine import Engine, Run, RunEnd
from wigeonpier.local.gate import Gate
from wigeonpier.telemetry.metrics import Metrics


class StreamingClient:
    """Connections to an engine that is updated."""

    def __init__(self, *replies: StreamedReply) -> None:
        self.replies = list(replies)
        self.bodies: list[dict[str, object]] = []

    def open(self, _address, _method, _path, body: bytes, **_options):
        self.bodies.append(msgspec.json.decode(body))
        return Ok(self.replies.pop(0))


@pytest.mark.parametrize('version', ['a', 'b'])
def test_a_run_begins_anew_at_another_version(version: str) -> None:
    client = StreamingClient(
        StreamedReply('a', is_whole=False),
        StreamedReply(version, is_whole=True),
        StreamedReply(version, is_whole=True),
    )
    engine = Engine(client, '', Gate(8), Metrics(), 's')
    run = Run('r-1', '/v1/completions', b'{"prompt":"p"}', is_stream=True)
    assert engine.advance(run) is RunEnd.lost
    ends = [engine.advance(run)]
    if ends[0] is RunEnd.lost:
        assert not run.assembler.parts
        ends.append(engine.advance(run))
    assert ends[-1] is RunEnd.answered
    assert set(run.assembler.parts) == {version}
    assert ('continuation' in client.bodies[-1]) == (version == 'a')
