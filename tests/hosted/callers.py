"""Callers of a hosted site that retry as those of the platform do."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.replica import DEADLY_MARK
from wigeonpier.web.client import Reply

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

DEADLY_BODY = b'%s one' % DEADLY_MARK
OK = 200
# A truncated answer.
BROKEN = Reply(0, b'')
# A caller does not retry after these.
FINAL = frozenset((OK, 400, 401, 404, 413, 431))
RETRY_SECONDS = 0.2
PAUSE_SECONDS = 0.5
REQUEST_INTERVAL_SECONDS = 0.05
ATTEMPTS = 2
TIMEOUT_SECONDS = 10.0


@dataclass
class RepeatingCaller:
    """Retries one request, each time at the next entry."""

    site: HostedSite = field(repr=False)
    body: bytes
    path: str = '/ask/deadly'
    replies: list[Reply] = field(default_factory=list)

    def repeat_for(self, seconds: float) -> None:
        """Send two attempts, pause, and repeat until the time is up."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for _attempt in range(ATTEMPTS):
                if self.send().status in FINAL:
                    break
                gevent.sleep(RETRY_SECONDS)
            gevent.sleep(PAUSE_SECONDS)

    def send(self) -> Reply:
        """Send the request once, under a new id."""
        number = len(self.replies)
        reply = self.site.try_call(
            'POST',
            self.path,
            f'deadly{number}',
            self.body,
            entry=number % len(self.site.addresses),
        ).unwrap_or(BROKEN)
        self.replies.append(reply)
        return reply

    def repeat_until_refused(self) -> None:
        """Send the request until a final answer arrives."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self.send().status in FINAL:
                return
            gevent.sleep(RETRY_SECONDS)
        raise AssertionError(f'never refused: {self.list_statuses()}')

    def list_statuses(self) -> list[int]:
        """List the statuses so far."""
        return [reply.status for reply in self.replies]


@dataclass
class OtherCallers:
    """Send other requests meanwhile; each is retried once."""

    site: HostedSite = field(repr=False)
    succeeded: int = 0
    failed: list[tuple[str, list[int]]] = field(default_factory=list)

    def send_for(self, seconds: float) -> None:
        """Send requests until the time is up, and wait for the last answers."""
        deadline = time.monotonic() + seconds
        requests = []
        while time.monotonic() < deadline:
            requests.append(gevent.spawn(self._send, len(requests)))
            gevent.sleep(REQUEST_INTERVAL_SECONDS)
        gevent.joinall(requests)

    def _send(self, number: int) -> None:
        statuses = []
        for attempt in range(ATTEMPTS):
            identity = f'o{number}-{attempt}'
            reply = self.site.try_call(
                'POST',
                f'/ask/{number}',
                identity,
                b'question %d' % number,
                entry=(number + attempt) % len(self.site.addresses),
            ).unwrap_or(BROKEN)
            statuses.append(reply.status)
            expected = self.site.replicas[0].make_output(identity).split()
            if reply.status == OK and read_texts(reply.body) == expected:
                self.succeeded += 1
                return
            if reply.status in FINAL:
                break
            gevent.sleep(RETRY_SECONDS)
        self.failed.append((f'o{number}', statuses))


def read_texts(body: bytes) -> list[str]:
    """Read the data of all events of a stream."""
    return [
        line.removeprefix('data: ')
        for line in body.decode().splitlines()
        if line.startswith('data: ')
    ]
