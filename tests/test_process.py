"""What both daemons are built of."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import gevent
from result import Ok

from wigeonpier.membership.messages import DiskReport
from wigeonpier.process import SETTLE_SECONDS, make_disk_client
from wigeonpier.web.client import Reply

FOLDER = 'f00d'
REPORT = DiskReport(FOLDER, '127.0.0.1:1', 'a', 1)


@dataclass
class StandInCaller:
    """Answers each call."""

    calls: list[str] = field(default_factory=list)

    def call(self, address: str, *_details, **_options) -> Ok[Reply]:
        """Answer with a few bytes."""
        self.calls.append(address)
        return Ok(Reply(200, b'page'))


def test_a_process_that_just_started_waits_to_hear_of_a_folder() -> None:
    """An entry said that a result had no copy before it knew any folder."""
    known: dict[str, DiskReport] = {}
    disks = make_disk_client(StandInCaller(), lambda: known)
    gevent.spawn_later(0.2, known.update, {FOLDER: REPORT})
    assert disks.read_page(FOLDER, 'file', 0) == Ok(b'page')


def test_a_folder_that_is_gone_is_waited_for_only_then() -> None:
    disks = make_disk_client(StandInCaller(), dict)
    began = time.monotonic()
    assert disks.read_page(FOLDER, 'file', 0).is_err()
    assert time.monotonic() - began < SETTLE_SECONDS + 0.5
    began = time.monotonic()
    assert disks.read_page(FOLDER, 'file', 0).is_err()
    assert time.monotonic() - began < 0.1
