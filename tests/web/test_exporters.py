"""Tests of span exporters and of the metrics text."""

from __future__ import annotations

from typing import Any

import msgspec

from tests.builders import wait_for
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.telemetry.trace import make_record, start_span
from wigeonpier.web.exporters import choose_exporter
from wigeonpier.web.messages import answer_json
from wigeonpier.web.server import Server

PARENT = f'00-{"a" * 32}-{"b" * 16}-01'


def test_spans_are_sent_in_the_otlp_encoding(tmp_path) -> None:
    received: list[Any] = []

    def collect(request):
        request.body_limit = 1_000_000
        received.append(
            (request.path, msgspec.json.decode(request.read_body()))
        )
        return answer_json({})

    server = Server('127.0.0.1', 0, collect)
    server.start()
    path = tmp_path / 'spans.jsonl'
    export = choose_exporter(str(path), server.address)
    span = start_span('entry', PARENT)
    span.fields['status'] = '200'
    export(make_record(span))
    path_received, body = wait_for(lambda: received and received[0])
    server.stop()
    (sent,) = body['resourceSpans'][0]['scopeSpans'][0]['spans']
    assert path_received == '/v1/traces'
    assert sent['traceId'] == 'a' * 32
    assert sent['parentSpanId'] == 'b' * 16
    assert sent['spanId'] == span.span_id
    assert int(sent['endTimeUnixNano']) >= int(sent['startTimeUnixNano'])
    line = msgspec.json.decode(path.read_bytes())
    assert line['span_id'] == span.span_id


def test_spans_are_dropped_while_the_collector_is_down() -> None:
    export = choose_exporter('', '127.0.0.1:1')
    for _ in range(5000):
        export(make_record(start_span('entry', None)))


def test_a_malformed_parent_starts_a_new_trace() -> None:
    for parent in (None, '', 'x', f'00-{"a" * 31}-{"b" * 16}-01'):
        span = start_span('entry', parent)
        assert len(span.trace_id) == 32
        assert not span.parent_id


def test_metrics_are_rendered_as_prometheus_text() -> None:
    metrics = Metrics()
    metrics.count('answers_total', status='200')
    metrics.add_gauge('peers', lambda: 3)
    for number in range(1, 101):
        metrics.observe('first_token', number / 1000, service='s')
    page = metrics.render()
    assert 'wigeonpier_answers_total{status="200"} 1.0\n' in page
    assert 'wigeonpier_peers 3\n' in page
    assert 'wigeonpier_first_token_seconds_count{service="s"} 100\n' in page
    assert 0.094 < metrics.get_quantile('first_token', 95, service='s') < 0.097
