"""Log lines on a stream that nobody reads."""

from __future__ import annotations

import os

import gevent

from wigeonpier.telemetry.sink import MOST_LINES, LineSink

LINE = 'x' * 200 + '\n'


def test_a_full_pipe_loses_lines_and_no_time() -> None:
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as stream:
        sink = LineSink(stream)
        for _line in range(MOST_LINES * 2):
            sink.write(LINE)
            gevent.sleep(0)
        assert sink.dropped > 0
        taken = MOST_LINES * 2 - sink.dropped
        seen = b''
        while seen.count(b'\n') < taken:
            gevent.sleep(0.01)
            seen += os.read(reader, 65536)
        assert seen == LINE.encode() * taken
        sink.write('last\n')
        sink.drain()
        assert os.read(reader, 100) == b'last\n'
    os.close(reader)


def test_lines_go_out_in_order() -> None:
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as stream:
        sink = LineSink(stream)
        for number in range(5):
            sink.write(f'{number}\n')
        gevent.sleep(0.01)
        assert os.read(reader, 100) == b'0\n1\n2\n3\n4\n'
    os.close(reader)
