"""Tests of journals that are closed during a write."""

from __future__ import annotations

import gevent
import pytest
from result import Ok

from wigeonpier.batch.journal import JournalEndedError, JournalWriter
from wigeonpier.records import Release


class SlowDisks:
    """Data folders with slow appends."""

    def append(self, _copy, _name, offset: int, lines: bytes) -> Ok[int]:
        """Append after a delay."""
        gevent.sleep(0.2)
        return Ok(offset + len(lines))


def test_pending_commits_fail_when_the_journal_is_closed() -> None:
    """Commits whose records were already being written hung forever.

    Their items counted as running, so suspects, which run alone, never
    started and the job made no progress.
    """
    journal = JournalWriter(SlowDisks(), ('j', 0, 1), ('disk',))
    writing = gevent.spawn(journal.commit, [Release(0)])
    gevent.sleep(0.05)
    queued = gevent.spawn(journal.commit, [Release(1)])
    gevent.sleep(0.05)
    journal.close()
    for commit in (writing, queued):
        with pytest.raises(JournalEndedError):
            commit.get(timeout=1)
