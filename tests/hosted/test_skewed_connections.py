"""Most new connections of callers go to one entry for some seconds."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

import gevent

from tests.hosted.callers import BROKEN, OK
from wigeonpier.web.exchange import make_request
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

ENTRIES = 4
PHASE_SECONDS = 3.0
PAUSE_SECONDS = 0.04
# Callers also open new connections more often then.
SKEWED_PAUSE_SECONDS = 0.025
# Of the rules.
MIN_SHARE = 0.75


def send_for(site: HostedSite, pause: float, entries: int) -> list[int]:
    """Send requests, each on a new connection, to the first few entries."""
    deadline = time.monotonic() + PHASE_SECONDS
    calls = []
    while time.monotonic() < deadline:
        address = site.addresses[len(calls) % entries]
        headers = [
            ('Host', 'site.example'),
            ('X-Attempt-Id', f's{entries}-{len(calls)}'),
            ('X-Deadline-Ms', '5000'),
            ('Connection', 'close'),
        ]
        raw = make_request('POST', '/ask/1', headers, b'%d' % len(calls))
        calls.append(gevent.spawn(ConnectionPool().call, address, raw, 6))
        gevent.sleep(pause)
    return [call.get().unwrap_or(BROKEN).status for call in calls]


def test_one_entry_serves_the_new_connections_of_all(
    site: HostedSite,
) -> None:
    site.start(replicas=4, entries=ENTRIES, event_seconds=0.02)
    before = Counter(send_for(site, PAUSE_SECONDS, ENTRIES))
    during = Counter(send_for(site, SKEWED_PAUSE_SECONDS, 1))
    usual = before[OK] / before.total()
    assert during[OK] / during.total() >= MIN_SHARE * usual
