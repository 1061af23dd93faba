"""Trace spans with W3C trace context, one span per hop."""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

HEADER = 'traceparent'
_VERSION = '00'
_SAMPLED = '01'
_TRACE_LENGTH = 32
_SPAN_LENGTH = 16
_FIELD_COUNT = 4
NANOSECONDS = 1_000_000_000


@dataclass(slots=True)
class Span:
    """One hop of one request.

    :param trace_id: 32 hexadecimal digits, shared by all hops.
    :param span_id: 16 hexadecimal digits of this hop.
    :param parent_id: id of the calling span, empty for the first.
    :param name: name of the hop.
    :param started: seconds since the epoch.
    :param fields: attributes by name.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    started: float
    fields: dict[str, str] = field(default_factory=dict)

    @property
    def traceparent(self) -> str:
        """Return the header for the next hop."""
        return f'{_VERSION}-{self.trace_id}-{self.span_id}-{_SAMPLED}'


class SpanRecord(msgspec.Struct):
    """A finished span; written as one JSON line."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    started: float
    seconds: float
    attributes: dict[str, str]


def start_span(name: str, traceparent: str | None) -> Span:
    """Start a span in the trace of the caller, or in a new one.

    :param name: name of the hop.
    :param traceparent: header of the caller; a malformed one is ignored.
    :returns: the span.
    """
    trace_id, parent_id = _parse_parent(traceparent)
    return Span(
        trace_id=trace_id or secrets.token_hex(_TRACE_LENGTH // 2),
        span_id=secrets.token_hex(_SPAN_LENGTH // 2),
        parent_id=parent_id,
        name=name,
        started=time.time(),
    )


def make_record(span: Span) -> SpanRecord:
    """Finish a span.

    :param span: the span, which ends now.
    :returns: its record.
    """
    return SpanRecord(
        trace_id=span.trace_id,
        span_id=span.span_id,
        parent_id=span.parent_id,
        name=span.name,
        started=span.started,
        seconds=time.time() - span.started,
        attributes=span.fields,
    )


def open_line_exporter(path: str) -> Callable[[SpanRecord], None]:
    """Create an exporter that appends spans to a file as JSON lines.

    :param path: the file.
    :returns: the exporter.
    """
    stream = Path(path).open('ab', buffering=0)  # noqa: SIM115

    def export(record: SpanRecord) -> None:
        stream.write(b'%b\n' % msgspec.json.encode(record))

    return export


def ignore_span(_record: SpanRecord) -> None:
    """Discard a span.

    :param _record: a finished span.
    """


def _parse_parent(traceparent: str | None) -> tuple[str, str]:
    parts = (traceparent or '').split('-')
    if len(parts) != _FIELD_COUNT:
        return '', ''
    _version, trace_id, span_id, _flags = parts
    if len(trace_id) != _TRACE_LENGTH or len(span_id) != _SPAN_LENGTH:
        return '', ''
    return trace_id, span_id
