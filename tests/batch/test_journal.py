"""Journals that are closed while they write."""

from __future__ import annotations

import gevent
import pytest
from result import Ok

from wigeonpier.batch.journal import JournalEndedError, JournalWriter
from wigeonpier.records import Release


class SlowDisks:
    """Folders that take a while for each append."""

    def append(self, _copy, _name, offset: int, lines: bytes) -> Ok[int]:
        """Append after a while."""
        gevent.sleep(0.2)
        return Ok(offset + len(lines))


def test_whoever_waits_for_a_write_hears_that_the_journal_closed() -> None:
    """Commits that were taken into a write hung for ever.

    Their items counted as running, so that suspects, which run alone, never
    started, and the job stood still.
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
