"""Answers that are no streams and too long to be held whole."""

from __future__ import annotations

import time
import tracemalloc
from contextlib import ExitStack
from itertools import chain, repeat

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from tests.builders import wait_for
from tests.entry.chain import start_chain
from tests.web.endlesspeer import EndlessPeer
from wigeonpier.bench.endless import Endless
from wigeonpier.web import client as client_module

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
PART = bytes(100_000)
# More than the 64 MiB that were held whole.
PARTS = 800
CHUNK = b'%x\r\n%b\r\n' % (len(PART), PART)
USAGE = b'{"usage":{"completion_tokens": 12}}'
REQUEST = b'POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n'
SECONDS = 1.0
GIVE_UP_SECONDS = 30.0
# Of the processes; the stand-in engine sends one part again and again.
MAX_MEMORY_BYTES = 8_000_000
# Until the caller's connection ends: the entry grants the local process 1 s.
SLACK_SECONDS = 2.0
ENDLESS_BYTES = 40_000_000


def make_answer(*, is_chunked: bool) -> list[bytes]:
    """Make the parts of a long answer."""
    length = b'Content-Length: %d\r\n' % (len(PART) * PARTS)
    if is_chunked:
        head = b'%b%b\r\n' % (HEAD, CHUNKED)
        return [head, *repeat(CHUNK, PARTS), b'0\r\n\r\n']
    return [b'%b%b\r\n' % (HEAD, length), *repeat(PART, PARTS)]


@pytest.fixture
def start():
    """Start an engine that sends parts, and what callers need to reach it."""
    with ExitStack() as stack:

        def start_parts(parts):
            def serve(sock, _address):
                sock.recv(65_536)
                for part in parts:
                    sock.sendall(part)

            server = StreamServer(('127.0.0.1', 0), serve)
            server.start()
            stack.callback(server.stop, 0)
            return start_address(f'127.0.0.1:{server.server_port}')

        def start_address(address):
            return stack.enter_context(start_chain(address, SECONDS))

        start_parts.reach = start_address
        yield start_parts


class Caller:
    """Reads an answer, and counts its bytes without keeping them."""

    def __init__(self, address: str) -> None:
        """Send a request."""
        host, _, port = address.rpartition(':')
        self.sock = socket.create_connection((host, int(port)))
        self.sock.sendall(b'%bConnection: close\r\n\r\n' % REQUEST)
        self.head = b''
        self.body_bytes = 0
        self.end = b''
        self.is_reset = False

    @property
    def is_whole(self) -> bool:
        """Check whether the answer looks complete."""
        for line in self.head.split(b'\r\n'):
            if line.lower().startswith(b'content-length:'):
                return int(line.split()[1]) == self.body_bytes
        return self.end == b'0\r\n\r\n'

    def read(self, seconds: float = 0) -> None:
        """Read all of it, with pauses of that total time."""
        left = b''
        paused_at = 0
        with gevent.Timeout(GIVE_UP_SECONDS):
            while part := self._receive():
                if not self.head:
                    left += part
                    head, found, part = left.partition(b'\r\n\r\n')
                    self.head = head if found else b''
                self.body_bytes += len(part)
                self.end = (self.end + part)[-5:]
                if seconds and self.body_bytes - paused_at > 4_000_000:
                    paused_at = self.body_bytes
                    gevent.sleep(seconds / 20)
        self.sock.close()

    def _receive(self) -> bytes:
        try:
            return self.sock.recv(1_000_000)
        except OSError:
            self.is_reset = True
            return b''


@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('seconds', [0, 3 * SECONDS])
def test_a_long_answer_arrives_whole_and_is_not_held(
    start, is_chunked: bool, seconds: float
) -> None:
    """Also where the caller takes longer than the deadline to read it."""
    own = start(make_answer(is_chunked=is_chunked))
    caller = Caller(own.address)
    tracemalloc.start()
    caller.read(seconds)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert caller.head.startswith(b'HTTP/1.1 200')
    assert caller.body_bytes >= len(PART) * PARTS
    assert caller.is_whole
    assert peak < MAX_MEMORY_BYTES
    gevent.sleep(0.1)
    # Both processes end what they do for it beside each other.
    wait_for(lambda: not own.state.in_flight, SLACK_SECONDS)
    wait_for(lambda: not own.local.gate.online, SLACK_SECONDS)


@pytest.mark.parametrize('is_chunked', [False, True])
def test_a_long_answer_that_breaks_off_is_not_complete(
    start, is_chunked: bool
) -> None:
    own = start(make_answer(is_chunked=is_chunked)[: PARTS // 2])
    caller = Caller(own.address)
    caller.read()
    assert caller.body_bytes > len(PART)
    assert not caller.is_whole
    gevent.sleep(0.1)
    assert own.state.in_flight == 0
    assert own.local.gate.online == 0


def test_a_long_answer_that_stops_is_cut_at_the_deadline(start) -> None:
    pause = (gevent.sleep(GIVE_UP_SECONDS) or b'' for _ in range(1))
    own = start(chain(make_answer(is_chunked=False)[:10], pause))
    caller = Caller(own.address)
    began = time.monotonic()
    caller.read()
    assert time.monotonic() - began < SECONDS + SLACK_SECONDS
    assert caller.head.startswith(b'HTTP/1.1 200')
    assert not caller.is_whole


@pytest.mark.parametrize('is_trickle', [False, True])
@pytest.mark.parametrize(
    'kind', [Endless.sized_body, Endless.chunked_body, Endless.unframed_body]
)
def test_a_body_without_end_is_cut_in_time(
    start, monkeypatch, kind: Endless, is_trickle: bool
) -> None:
    monkeypatch.setattr(client_module, 'MAX_DECLARED_BYTES', ENDLESS_BYTES)
    peer = EndlessPeer(kind, is_trickle)
    own = start.reach(peer.address)
    caller = Caller(own.address)
    began = time.monotonic()
    caller.read()
    peer.stop()
    assert time.monotonic() - began < SECONDS + SLACK_SECONDS
    assert caller.head.startswith(b'HTTP/1.1 502') or not caller.is_whole
    assert own.state.in_flight == 0
    assert own.local.gate.online == 0


def test_tokens_of_a_long_answer_are_counted(start) -> None:
    parts = make_answer(is_chunked=True)
    usage = b'%x\r\n%b\r\n' % (len(USAGE), USAGE)
    own = start([*parts[:-1], usage, parts[-1]])
    caller = Caller(own.address)
    caller.read()
    assert caller.is_whole
    assert own.last.tokens == 12
