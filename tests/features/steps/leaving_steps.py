"""Steps for graceful stops and drains."""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent
from behave import given, then, when

from tests.builders import FAST, wait_for
from wigeonpier.bench.arrivals import Arrival
from wigeonpier.bench.fleet import ProcessFleet
from wigeonpier.bench.load import Client
from wigeonpier.bench.site import KORO
from wigeonpier.web.client import HttpClient

if TYPE_CHECKING:
    from behave.runner import Context

ANSWER_TOKENS = 150
EXIT_TIMEOUT_SECONDS = 15
REPLICA = 'netlist-llm-1'


@given('a fleet of {entries:d} entry and {replicas:d} local processes')
@given('a fleet of {entries:d} entry and {replicas:d} local process')
@given('a fleet of {entries:d} entries and {replicas:d} local process')
def start_fleet(context: Context, entries: int, replicas: int) -> None:
    bench = context.bench
    folder = bench.stack.enter_context(tempfile.TemporaryDirectory())
    fleet = bench.stack.enter_context(
        ProcessFleet(Path(folder), FAST, replicas),
    )
    fleet.start(entries, replicas)
    context.fleet = fleet
    bench.client = Client(
        [entry.address for entry in fleet.entries.values()],
        KORO.key,
        KORO.service,
    )
    wait_for(lambda: all(bench.ask('up?', 2).is_right for _ in range(4)))


@when('{count:d} streams run and a local process gets SIGTERM')
def stop_local(context: Context, count: int) -> None:
    _stop_under_load(context, count, context.fleet.replicas['replica-1'])


@when('{count:d} streams run and an entry gets SIGTERM')
def stop_entry(context: Context, count: int) -> None:
    _stop_under_load(context, count, context.fleet.entries['entry-1'])


@when(
    'callers keep sending to an entry that gets SIGTERM until it is not ready',
)
def send_until_not_ready(context: Context) -> None:
    entry = context.fleet.entries['entry-1']
    client = Client([entry.address], KORO.key, KORO.service)
    context.answers = [client.ask(Arrival(0, 'before', 2))]
    entry.process.send_signal(signal.SIGTERM)
    http_client = HttpClient()
    while http_client.call(entry.address, 'GET', '/readyz').unwrap().is_good:
        context.answers.append(client.ask(Arrival(0, 'meanwhile', 2)))
    context.answers.append(client.ask(Arrival(0, 'just after', 2)))
    context.stopped = entry


@when('a stream runs and the local process gets SIGTERM twice')
def stop_twice(context: Context) -> None:
    local = context.fleet.replicas['replica-1']
    gevent.spawn(context.bench.ask, 'a long request', ANSWER_TOKENS * 10)
    gevent.sleep(0.3)
    local.process.send_signal(signal.SIGTERM)
    gevent.sleep(0.3)
    assert local.process.poll() is None
    local.process.send_signal(signal.SIGTERM)
    context.stopped = local


@when('the VM list shows a replica as leaving')
def list_leaving(context: Context) -> None:
    context.bench.site.platform.mark_leaving(REPLICA)


@when('an operator drains a replica')
def drain_replica(context: Context) -> None:
    _call_drain(context, 'POST')


@when('the operator undoes the drain')
def undrain_replica(context: Context) -> None:
    _call_drain(context, 'DELETE')


@then('that process exited with status {status:d}')
def check_status(context: Context, status: int) -> None:
    process = context.stopped.process
    wait_for(lambda: process.poll() is not None, EXIT_TIMEOUT_SECONDS)
    assert process.returncode == status, process.returncode


@then('requests sent after that are served by other processes')
def check_later_requests(context: Context) -> None:
    answers = [context.bench.ask(f'after {n}', 2) for n in range(10)]
    assert all(answer.is_right for answer in answers), answers


@then('it gets no request after {seconds:d} s')
def check_no_requests(context: Context, seconds: int) -> None:
    gevent.sleep(seconds)
    before = _count_starts(context)
    assert all(context.bench.ask(f'q {n}', 2).is_right for n in range(20))
    assert _count_starts(context) == before


@then('it gets requests again')
def check_requests(context: Context) -> None:
    before = _count_starts(context)

    def gets_request() -> bool:
        assert context.bench.ask('again', 2).is_right
        return _count_starts(context) > before

    wait_for(gets_request)


def _stop_under_load(context: Context, count: int, daemon: Any) -> None:
    arrivals = [Arrival(0, f'long {n}', ANSWER_TOKENS) for n in range(count)]
    pending = gevent.spawn(context.bench.client.ask_all, arrivals)
    gevent.sleep(0.3)
    daemon.process.send_signal(signal.SIGTERM)
    context.answers = pending.get()
    context.stopped = daemon


def _count_starts(context: Context) -> int:
    engine = context.bench.site.replicas[REPLICA].engine
    return engine.prompt_starts.total()


def _call_drain(context: Context, method: str) -> None:
    for entry in context.bench.site.entries.values():
        key = entry.settings.peer_keys[0]
        HttpClient({'wigeonpier-peer-key': key}).call(
            entry.app.admin.address,
            method,
            f'/admin/v1/drains/{REPLICA}',
        ).unwrap()
