"""Measures what entry and local processes add to a direct call."""

from __future__ import annotations

import operator
import os
import resource
import time
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from result import Err

from wigeonpier.bench.arrivals import Arrival
from wigeonpier.bench.batching import EngineShape
from wigeonpier.bench.fleet import ProcessFleet
from wigeonpier.bench.load import CHAT, Client, make_chat
from wigeonpier.bench.quantiles import find_quantile
from wigeonpier.bench.site import KORO, read_example
from wigeonpier.web.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECTIONS = 8
MILLISECONDS = 1000
KILOBYTE = 1024
PAGE_KB = resource.getpagesize() // KILOBYTE
UNLIMITED = 1_000_000
USER_FIELD = 11
TAIL = 0.99
STREAMS = 48
STREAM_TOKENS = 400
MICROSECONDS = 1_000_000
HEADERS = MappingProxyType(
    {
        'content-type': 'application/json',
        'authorization': f'Bearer {KORO.key}',
    }
)
INSTANT = EngineShape(step_seconds=0, step_per_stream=0, prefill_per_token=0)


class Overhead(msgspec.Struct):
    """What one way of calling took.

    :param p50_ms: median time of a call, milliseconds.
    :param p99_ms: of 99 in 100.
    :param requests_per_second: calls that ended.
    """

    p50_ms: float
    p99_ms: float
    requests_per_second: float


@dataclass(frozen=True, slots=True)
class Way:
    """A way of calling.

    :param address: ``host:port``.
    :param headers: sent with each call.
    :param body: the request.
    """

    address: str
    headers: Mapping[str, str]
    body: bytes


def make_body(model: str) -> bytes:
    """Make a request for one token, so that little but the way is timed.

    :param model: model that is asked.
    :returns: JSON.
    """
    return msgspec.json.encode(make_chat(model, 'what is R1?', 1))


def measure_way(way: Way, seconds: float) -> Overhead:
    """Call again and again on a few connections.

    :param way: how to call.
    :param seconds: length of the run.
    :returns: what it took.
    """
    times: list[float] = []
    give_up = time.monotonic() + seconds
    callers = [
        gevent.spawn(_call_until, way, give_up, times)
        for _ in range(CONNECTIONS)
    ]
    gevent.joinall(callers, raise_error=True)
    return Overhead(
        p50_ms=round(find_quantile(times, 0.5) * MILLISECONDS, 3),
        p99_ms=round(find_quantile(times, TAIL) * MILLISECONDS, 3),
        requests_per_second=round(len(times) / seconds, 1),
    )


def read_rss_mb(process: int) -> float:
    """Read the resident memory of a process.

    :param process: its id.
    :returns: megabytes.
    """
    text = Path(f'/proc/{process}/statm').read_text(encoding='ascii')
    pages = int(text.split()[1])
    return round(pages * PAGE_KB / KILOBYTE, 1)


def read_cpu_seconds(process: int) -> float:
    """Read the processor time of a process.

    :param process: its id.
    :returns: seconds, user and system.
    """
    text = Path(f'/proc/{process}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    ticks = map(int, fields[USER_FIELD : USER_FIELD + 2])
    return sum(ticks) / os.sysconf('SC_CLK_TCK')


def measure_overhead(folder: Path, seconds: float) -> dict[str, Any]:
    """Measure the whole way beside a direct call, in one run.

    :param folder: where settings are made.
    :param seconds: length of each part.
    :returns: both ways, memory and processor time by role.
    """
    with ProcessFleet(folder, INSTANT) as fleet:
        fleet.start(entries=1, replicas=1, base=_make_base())
        return _compare_ways(fleet, seconds)


def _compare_ways(fleet: ProcessFleet, seconds: float) -> dict[str, Any]:
    processes = [daemon.process.pid for daemon in fleet.list_daemons()]
    rest = list(map(read_rss_mb, processes))
    body = make_body(KORO.service)
    entry = fleet.entries['entry-1'].address
    direct = measure_way(Way(fleet.engines[0].address, HEADERS, body), seconds)
    before = list(map(read_cpu_seconds, processes))
    whole = measure_way(Way(entry, HEADERS, body), seconds)
    calls = whole.requests_per_second * seconds
    spent = map(operator.sub, map(read_cpu_seconds, processes), before)
    rates = [calls / each for each in spent]
    return {
        'direct': direct,
        'through': whole,
        'added_p50_ms': round(whole.p50_ms - direct.p50_ms, 3),
        'added_p99_ms': round(whole.p99_ms - direct.p99_ms, 3),
        'entry_requests_per_core_second': round(rates[0]),
        'local_requests_per_core_second': round(rates[1]),
        'microseconds_per_token': _measure_tokens(fleet, processes),
        'rss_at_rest_mb': {'entry': rest[0], 'local': rest[1]},
    }


def _measure_tokens(
    fleet: ProcessFleet,
    processes: list[int],
) -> dict[str, float]:
    """Measure the processor time that a streamed token takes."""
    client = Client(
        [fleet.entries['entry-1'].address],
        KORO.key,
        KORO.service,
    )
    asked = [
        Arrival(0, f'question {number}', STREAM_TOKENS)
        for number in range(STREAMS)
    ]
    before = list(map(read_cpu_seconds, processes))
    answers = client.ask_all(asked)
    spent = map(operator.sub, map(read_cpu_seconds, processes), before)
    tokens = STREAM_TOKENS * sum(answer.is_right for answer in answers)
    costs = [round(each * MICROSECONDS / tokens, 1) for each in spent]
    return {'entry': costs[0], 'local': costs[1]}


def _make_base() -> dict[str, Any]:
    base = read_example(KORO.name)
    for customer in base['customers'].values():
        customer['limits'] = {
            'requests_per_second': UNLIMITED,
            'tokens_per_second': UNLIMITED,
        }
    return base


def _call_until(way: Way, give_up: float, times: list[float]) -> None:
    client = HttpClient()
    while time.monotonic() < give_up:
        started = time.monotonic()
        called = client.call(
            way.address,
            'POST',
            CHAT,
            way.body,
            headers=dict(way.headers),
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            raise RuntimeError(f'a call failed: {called}')
        times.append(time.monotonic() - started)
