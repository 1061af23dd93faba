"""Runs of items whose answers never end."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from gevent.server import StreamServer

from tests.web.endlesspeer import EndlessPeer
from wigeonpier.bench.endless import Endless, send_without_end
from wigeonpier.hosted import items
from wigeonpier.hosted.items import ItemWork, RunOutcome, run_item
from wigeonpier.platform import wire
from wigeonpier.web.pool import ConnectionPool

HEADERS = {wire.REQUEST_ID: 'i1', wire.SIGNATURE: 's'}
FIRST_EVENT = b'id: 1\ndata: a\n\n'
HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: i1\r\nX-Response-Signature: s\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)


def run(address: str, work: ItemWork) -> RunOutcome:
    """Run an item at an upstream."""
    replica = SimpleNamespace(name='vm-1', address=address)
    return run_item(work, replica, ConnectionPool())


def make_work() -> ItemWork:
    """Make an item that has one event of an earlier run."""
    job = SimpleNamespace(host='h', customer='', name='j')
    item = SimpleNamespace(name='i1', path='/', body=b'', headers={})
    return ItemWork(job, 0, item, 0, 0, texts=['before'], last_event='7')


@pytest.mark.parametrize(
    'kind',
    [
        Endless.head,
        Endless.event,
        Endless.event_lines,
        Endless.blank_events,
        Endless.sized_body,
        Endless.informational,
    ],
)
def test_the_upstream_is_blamed_and_earlier_events_stay(kind: Endless) -> None:
    """The run went on, and the worker held all bytes."""
    work = make_work()
    outcome = run(EndlessPeer(kind, headers=HEADERS).address, work)
    assert outcome is RunOutcome.broken
    assert work.is_faulted
    assert work.texts == ['before']
    assert not work.failures


def test_events_without_end_are_dropped(monkeypatch) -> None:
    """The next run would continue after them, and exceed the limit as well."""
    monkeypatch.setattr(items, 'MAX_OUTPUT_BYTES', 100_000)

    def serve(sock, _address) -> None:
        sock.recv(65_536)
        send_without_end(sock, HEAD, FIRST_EVENT, is_trickle=False)

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    work = make_work()
    outcome = run(f'127.0.0.1:{server.server_port}', work)
    assert outcome is RunOutcome.broken
    assert work.is_faulted
    assert (work.texts, work.last_event) == (['before'], '7')
