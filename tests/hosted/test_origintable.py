"""Records of what began streams."""

from __future__ import annotations

from wigeonpier.hosted import origintable
from wigeonpier.hosted.origintable import KEEP_SECONDS, OriginTable
from wigeonpier.policy.streamorigin import StreamOrigin

OLD = StreamOrigin('s', 'v1')
NEW = StreamOrigin('s', 'v2')


def test_the_first_record_of_a_stream_holds() -> None:
    table = OriginTable()
    table.record('q', OLD)
    table.record('q', NEW)
    assert table.find('q') == OLD


def test_records_expire() -> None:
    now = [0.0]
    table = OriginTable(lambda: now[0])
    table.record('q1', OLD)
    now[0] = KEEP_SECONDS / 2
    table.record('q2', NEW)
    assert list(table.list_recent(KEEP_SECONDS / 4)) == ['q2']
    now[0] = KEEP_SECONDS
    table.record('q3', NEW)
    assert table.find('q1') is None
    assert table.find('q2') == NEW


def test_the_number_of_records_is_limited(monkeypatch) -> None:
    monkeypatch.setattr(origintable, 'MAX_STREAMS', 3)
    table = OriginTable()
    for number in range(9):
        table.record(f'q{number}', OLD)
    assert len(table) == 3
    assert table.find('q8') == OLD
