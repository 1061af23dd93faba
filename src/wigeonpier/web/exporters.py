"""Export of finished spans to a file or an OTLP collector."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from gevent.queue import Full, Queue

from wigeonpier.loops import spawn_loop
from wigeonpier.telemetry.trace import (
    NANOSECONDS,
    SpanRecord,
    ignore_span,
    open_line_exporter,
)
from wigeonpier.web.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

OTLP_PATH = '/v1/traces'
MAX_QUEUED_SPANS = 4096
MAX_BATCH_SPANS = 512
BATCH_SECONDS = 0.5
SERVICE_NAME = 'wigeonpier'
JSON_TYPE = 'application/json'


def choose_exporter(
    path: str,
    address: str,
) -> Callable[[SpanRecord], None]:
    """Create the span exporter that the settings select.

    :param path: file for JSON lines, empty for none.
    :param address: ``host:port`` of an OTLP/HTTP collector, empty for none.
    :returns: the exporter.
    """
    exporters = []
    if path:
        exporters.append(open_line_exporter(path))
    if address:
        exporters.append(start_otlp_exporter(address))
    if not exporters:
        return ignore_span

    def export(record: SpanRecord) -> None:
        for exporter in exporters:
            exporter(record)

    return export


def start_otlp_exporter(address: str) -> Callable[[SpanRecord], None]:
    """Send spans to a collector in the OTLP/HTTP JSON encoding.

    Spans are dropped if the collector is slow or down.

    :param address: ``host:port``.
    :returns: the exporter.
    """
    queue: Queue[SpanRecord] = Queue(MAX_QUEUED_SPANS)
    client = HttpClient()

    def export(record: SpanRecord) -> None:
        with suppress(Full):
            queue.put_nowait(record)

    spawn_loop('otlp', lambda: _send_spans(queue, client, address))
    return export


def encode_otlp(records: list[SpanRecord]) -> dict[str, Any]:
    """Encode spans in the OTLP JSON encoding.

    :param records: finished spans.
    :returns: an ``ExportTraceServiceRequest``.
    """
    resource = {'attributes': [_encode_text('service.name', SERVICE_NAME)]}
    spans = [
        {
            'traceId': record.trace_id,
            'spanId': record.span_id,
            'parentSpanId': record.parent_id,
            'name': record.name,
            'kind': 2,
            'startTimeUnixNano': str(int(record.started * NANOSECONDS)),
            'endTimeUnixNano': str(
                int((record.started + record.seconds) * NANOSECONDS),
            ),
            'attributes': [
                _encode_text(name, text)
                for name, text in record.attributes.items()
            ],
        }
        for record in records
    ]
    scope = {'scope': {'name': SERVICE_NAME}, 'spans': spans}
    return {'resourceSpans': [{'resource': resource, 'scopeSpans': [scope]}]}


def _encode_text(name: str, text: str) -> dict[str, Any]:
    return {'key': name, 'value': {'stringValue': text}}


def _send_spans(
    queue: Queue[SpanRecord],
    client: HttpClient,
    address: str,
) -> None:
    records = [queue.get()]
    gevent.sleep(BATCH_SECONDS)
    while not queue.empty() and len(records) < MAX_BATCH_SPANS:
        records.append(queue.get())
    client.call(
        address,
        'POST',
        OTLP_PATH,
        msgspec.json.encode(encode_otlp(records)),
        headers={'content-type': JSON_TYPE},
    )
