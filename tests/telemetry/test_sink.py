"""Tests of log lines on a stream whose reader is stalled."""

from __future__ import annotations

import os

import gevent

from wigeonpier.telemetry.sink import MAX_QUEUED_LINES, LineSink

LINE = 'x' * 200 + '\n'


def test_a_full_pipe_drops_lines_without_blocking() -> None:
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as stream:
        sink = LineSink(stream)
        for _line in range(MAX_QUEUED_LINES * 2):
            sink.write(LINE)
            gevent.sleep(0)
        assert sink.dropped > 0
        accepted = MAX_QUEUED_LINES * 2 - sink.dropped
        read_bytes = b''
        while read_bytes.count(b'\n') < accepted:
            gevent.sleep(0.01)
            read_bytes += os.read(reader, 65536)
        assert read_bytes == LINE.encode() * accepted
        sink.write('last\n')
        sink.drain()
        assert os.read(reader, 100) == b'last\n'
    os.close(reader)


def test_lines_are_written_in_order() -> None:
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as stream:
        sink = LineSink(stream)
        for number in range(5):
            sink.write(f'{number}\n')
        gevent.sleep(0.01)
        assert os.read(reader, 100) == b'0\n1\n2\n3\n4\n'
    os.close(reader)
