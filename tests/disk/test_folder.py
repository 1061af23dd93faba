"""Data folders: fences, repeated appends, truncated tails."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonpier.batch.records import decode_records, encode_record
from wigeonpier.disk.folder import (
    DataFolder,
    StaleFenceError,
    WrongOffsetError,
)
from wigeonpier.disk.lines import measure_valid_prefix
from wigeonpier.records import Begin, Release

LINES = [encode_record(Begin(number, alone=False)) for number in range(5)]
NAME = ('job', 0, 3)


@pytest.fixture
def folder(tmp_path) -> DataFolder:
    return DataFolder(str(tmp_path), lambda: 0)


def _reopen(folder: DataFolder) -> DataFolder:
    return DataFolder(str(folder._root), lambda: 0)


def test_earlier_owner_is_refused_also_after_restart(folder) -> None:
    folder.append(NAME, 0, LINES[0])
    folder.fence(('job', 0), 4)
    reopened = _reopen(folder)
    for each in (folder, reopened):
        with pytest.raises(StaleFenceError):
            each.append(NAME, len(LINES[0]), LINES[1])
    assert reopened.append(('job', 0, 4), 0, LINES[1]) == len(LINES[1])


def test_fence_never_decreases(folder) -> None:
    folder.fence(('job', 0), 9)
    folder.fence(('job', 0), 4)
    with pytest.raises(StaleFenceError):
        folder.append(('job', 0, 8), 0, LINES[0])


def test_repeated_append_is_ignored(folder) -> None:
    for _ in range(3):
        assert folder.append(NAME, 0, LINES[0]) == len(LINES[0])
    assert folder.read_segment(NAME) == LINES[0]


def test_append_after_gap_is_refused(folder) -> None:
    with pytest.raises(WrongOffsetError):
        folder.append(NAME, 10, LINES[0])


def test_emptied_folder_has_new_incarnation(folder, tmp_path) -> None:
    assert _reopen(folder).incarnation == folder.incarnation
    (tmp_path / 'incarnation').unlink()
    assert _reopen(folder).incarnation != folder.incarnation


@given(st.integers(0, sum(map(len, LINES))), st.binary(max_size=12))
def test_only_damaged_tail_is_dropped(kept_bytes: int, junk: bytes) -> None:
    complete = b''.join(LINES)
    damaged = complete[:kept_bytes] + junk.replace(b'\n', b'')
    valid = measure_valid_prefix(damaged)
    assert complete.startswith(damaged[:valid])
    kept = list(decode_records(damaged[:valid]))
    assert kept == [Begin(number, alone=False) for number in range(len(kept))]
    ends = [sum(map(len, LINES[:count])) for count in range(len(LINES) + 1)]
    assert valid >= max(end for end in ends if end <= kept_bytes)


def test_appends_continue_after_truncated_tail(folder, tmp_path) -> None:
    folder.append(NAME, 0, LINES[0] + LINES[1])
    path = tmp_path / 'segments' / 'job' / '0' / '3'
    path.write_bytes(path.read_bytes()[:-3])
    reopened = _reopen(folder)
    added = encode_record(Release(0))
    assert reopened.append(NAME, len(LINES[0]), added) == len(LINES[0] + added)
    assert reopened.read_segment(NAME) == LINES[0] + added


def test_changed_byte_is_detected() -> None:
    complete = bytearray(b''.join(LINES))
    complete[len(LINES[0]) + 12] ^= 1
    assert measure_valid_prefix(bytes(complete)) == len(LINES[0])


def test_idle_segments_are_evicted_and_reloaded(tmp_path) -> None:
    now = [0.0]
    folder = DataFolder(str(tmp_path), lambda: now[0])
    for chunk in range(50):
        folder.append(('job', chunk, 2), 0, LINES[0])
    folder.fence(('job', 0), 3)
    now[0] = 30
    folder.append(('job', 1, 2), len(LINES[0]), LINES[1])
    now[0] = 70
    assert folder.list_ages() == {('job', 1, 2): 40}
    assert len(folder._sizes) == len(folder._locks) == 1
    with pytest.raises(StaleFenceError):
        folder.append(('job', 0, 2), len(LINES[0]), LINES[1])
    size = folder.append(('job', 2, 2), len(LINES[0]), LINES[1])
    assert size == len(LINES[0] + LINES[1])
