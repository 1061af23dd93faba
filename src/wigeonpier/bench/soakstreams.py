"""Callers of the fault soak that leave streams and resume them elsewhere."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.bench.soakcallers import HOST, OK, find_version
from wigeonpier.hosted.events import EventReader
from wigeonpier.platform import wire
from wigeonpier.web.exchange import make_request
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    import random

    from wigeonpier.bench.processes import HostedProcess
    from wigeonpier.bench.soakcallers import SoakCallers
    from wigeonpier.web.exchange import Exchange

STREAM_GAP_SECONDS = (0.02, 0.15)
# Callers come back at once, or after an entry has restarted.
RESUME_GAP_SECONDS = (0, 0.6)
READ_SECONDS = 2.0
DEADLINE_MS = '5000'
MAX_ATTEMPTS = 4
# Share of the attempts that callers leave in the middle.
LEAVE_SHARE = 0.4


@dataclass(slots=True)
class SoakStream:
    """One stream from the view of its caller.

    :param name: id of its first attempt.
    :param first: attempt that brought the first event, empty before it.
    :param numbers: ids of the events so far.
    :param versions: software versions that wrote them.
    :param is_whole: whether an attempt has ended as complete.
    """

    name: str
    first: str = ''
    numbers: list[int] = field(default_factory=list)
    versions: set[str] = field(default_factory=set)
    is_whole: bool = False


class SoakStreams:
    """Begins streams, leaves some of them, and resumes them at any entry."""

    def __init__(
        self,
        entries: list[HostedProcess],
        rng: random.Random,
        events: int,
        callers: SoakCallers,
    ) -> None:
        """Create callers; they do nothing until `run`.

        :param entries: entries to call.
        :param rng: draws entries and pauses.
        :param events: number of events of a complete stream.
        :param callers: callers with the same key, which may change.
        """
        self._callers = callers
        self.streams: list[SoakStream] = []
        self.counts: Counter[str] = Counter()
        self._entries = entries
        self._rng = rng
        self._events = events
        self._pool = ConnectionPool()

    def run(self, seconds: float) -> None:
        """Begin streams until the time is up, and wait for their ends.

        :param seconds: duration.
        """
        deadline = time.monotonic() + seconds
        running = []
        while time.monotonic() < deadline:
            stream = SoakStream(f's{len(self.streams)}')
            self.streams.append(stream)
            running.append(gevent.spawn(self._read_to_end, stream))
            gevent.sleep(self._rng.uniform(*STREAM_GAP_SECONDS))
        gevent.joinall(running)

    def find_violations(self) -> list[str]:
        """Check the streams that callers have read.

        :returns: description of each violated invariant.
        """
        found = []
        for stream in self.streams:
            count = len(stream.numbers)
            if len(stream.versions) > 1:
                found.append(f'{stream.name}: written by {stream.versions}')
            if stream.numbers != list(range(1, count + 1)):
                found.append(f'{stream.name}: has events {stream.numbers}')
            if stream.is_whole and count != self._events:
                found.append(f'{stream.name}: ended after {count} events')
        return found

    def _read_to_end(self, stream: SoakStream) -> None:
        for number in range(MAX_ATTEMPTS):
            self._attempt(stream, f'{stream.name}-{number}')
            if stream.is_whole:
                return
            gevent.sleep(self._rng.uniform(*RESUME_GAP_SECONDS))

    def _attempt(self, stream: SoakStream, identity: str) -> None:
        kind = 'resumed' if stream.numbers else 'begun'
        headers = [
            ('Host', HOST),
            (wire.REQUEST_ID, identity),
            (wire.DEADLINE_MS, DEADLINE_MS),
        ]
        if self._callers.key:
            headers.append((wire.KEY_HEADER, self._callers.key))
        if stream.numbers:
            headers.append((wire.RESUME_AFTER, str(stream.numbers[-1])))
            headers.append((wire.RESUMES, stream.first))
        raw = make_request('POST', '/ask/s', headers, stream.name.encode())
        address = self._rng.choice(self._entries).callers
        opened = self._pool.begin(address, READ_SECONDS)
        if isinstance(opened, Err):
            self.counts[f'{kind}: no connection'] += 1
            return
        exchange = opened.ok_value
        try:
            exchange.send(raw, READ_SECONDS)
            self.counts[f'{kind}: {exchange.status}'] += 1
            if exchange.status == OK:
                self._read(stream, identity, exchange)
        except OSError:
            self.counts[f'{kind}: broken'] += 1
        finally:
            exchange.abort()
            exchange.close()

    def _read(
        self, stream: SoakStream, identity: str, exchange: Exchange
    ) -> None:
        reader = EventReader(exchange)
        last = self._events
        if self._rng.random() < LEAVE_SHARE:
            last = self._rng.randint(1, self._events)
        while not stream.numbers or stream.numbers[-1] < last:
            event = reader.read(READ_SECONDS)
            if event is None:
                stream.is_whole = True
                return
            stream.first = stream.first or identity
            stream.numbers.append(int(event.identity))
            stream.versions.add(find_version(event.text.encode()))
        if last == self._events:
            stream.is_whole = reader.read(READ_SECONDS) is None
