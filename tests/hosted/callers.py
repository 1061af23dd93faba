"""Callers of a hosted site that retry as those of the platform do."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.replica import DEADLY_MARK
from wigeonpier.web.client import Reply

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

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


@dataclass(frozen=True)
class PromptReply:
    """How a request with a prompt of several parts was answered.

    :param at: when it was sent, seconds of the monotonic clock.
    :param parts: shared parts of its prompt.
    :param statuses: status of each attempt, 0 for a truncated answer.
    :param body: body of the last answer.
    """

    at: float
    parts: tuple[str, ...]
    statuses: tuple[int, ...]
    body: bytes


@dataclass
class PromptCallers:
    """Send requests with prompts of several parts, no two of them alike."""

    site: HostedSite = field(repr=False)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    replies: list[PromptReply] = field(default_factory=list)
    sending: list[gevent.Greenlet] = field(default_factory=list)

    def send_for(
        self, seconds: float, pause: float, choose: Callable[[], Sequence[str]]
    ) -> None:
        """Send requests until the time is up; ``choose`` makes the prompt."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.sending.append(gevent.spawn(self._send, tuple(choose())))
            gevent.sleep(self.rng.uniform(0.5, 1.5) * pause)

    def finish(self) -> None:
        """Wait for the last answers."""
        gevent.joinall(self.sending, timeout=TIMEOUT_SECONDS)

    def measure_served(
        self,
        since: float,
        until: float,
        chooses: Callable[[tuple[str, ...]], bool],
    ) -> tuple[int, float]:
        """Count requests and the share served at the first attempt."""
        chosen = [
            reply
            for reply in self.replies
            if since <= reply.at < until and chooses(reply.parts)
        ]
        served = sum(reply.statuses[0] == OK for reply in chosen)
        return len(chosen), served / max(1, len(chosen))

    def _send(self, parts: tuple[str, ...]) -> None:
        number = len(self.sending)
        at = time.monotonic()
        prompt = ','.join(f'{part}:100' for part in (*parts, f'own{number}'))
        statuses: list[int] = []
        reply = BROKEN
        for attempt in range(ATTEMPTS):
            reply = self.site.try_call(
                'POST',
                f'/ask/{number}',
                f'p{number}-{attempt}',
                b'prompt %d' % number,
                entry=self.rng.randrange(len(self.site.addresses)),
                **{'X-Prompt-Prefix': prompt},
            ).unwrap_or(BROKEN)
            statuses.append(reply.status)
            if reply.status in FINAL:
                break
            gevent.sleep(RETRY_SECONDS)
        self.replies.append(PromptReply(at, parts, tuple(statuses), reply.body))
