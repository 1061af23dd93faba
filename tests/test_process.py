"""Lookup of data folders by a process that has just started."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import gevent
from result import Ok

from wigeonpier.membership.messages import DiskReport
from wigeonpier.process import DISCOVERY_SECONDS, make_disk_client
from wigeonpier.web.client import Reply

FOLDER = 'f00d'
REPORT = DiskReport(FOLDER, '127.0.0.1:1', 'a', 1)


@dataclass
class StandInCaller:
    """Caller that answers each call."""

    calls: list[str] = field(default_factory=list)

    def call(self, address: str, *_details, **_options) -> Ok[Reply]:
        """Record the address and answer with a few bytes."""
        self.calls.append(address)
        return Ok(Reply(200, b'page'))


def test_started_process_waits_for_an_unknown_folder() -> None:
    """An entry reported a result without copies before it knew any folder."""
    known: dict[str, DiskReport] = {}
    disks = make_disk_client(StandInCaller(), lambda: known)
    gevent.spawn_later(0.2, known.update, {FOLDER: REPORT})
    assert disks.read_page(FOLDER, 'file', 0) == Ok(b'page')


def test_lost_folder_is_waited_for_only_after_the_start() -> None:
    disks = make_disk_client(StandInCaller(), dict)
    started_at = time.monotonic()
    assert disks.read_page(FOLDER, 'file', 0).is_err()
    assert time.monotonic() - started_at < DISCOVERY_SECONDS + 0.5
    started_at = time.monotonic()
    assert disks.read_page(FOLDER, 'file', 0).is_err()
    assert time.monotonic() - started_at < 0.1
