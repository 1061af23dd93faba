"""Tests of the stand-in engine against the specified engine behaviour."""

from __future__ import annotations

import time
from typing import Any

import gevent
import msgspec
import pytest

from wigeonpier.bench import engine as engine_module
from wigeonpier.bench.answers import make_answer
from wigeonpier.bench.batching import EngineShape
from wigeonpier.bench.engine import StandInEngine
from wigeonpier.bench.load import make_chat
from wigeonpier.bench.weights import StandInWeightStore
from wigeonpier.web.client import HttpClient, Reply

MODEL = 'm'
SHAPE = EngineShape(
    step_seconds=0.01,
    step_per_stream=0.001,
    most_streams=4,
    cache_blocks=8,
)


@pytest.fixture
def engines():
    made = []

    def make(**options: Any) -> StandInEngine:
        engine = StandInEngine((MODEL,), SHAPE, **options)
        engine.serve()
        made.append(engine)
        return engine

    yield make
    for engine in made:
        engine.stop()


def _call(engine: StandInEngine, method: str, path: str, content=None) -> Reply:
    body = b'' if content is None else msgspec.json.encode(content)
    return HttpClient().call(engine.address, method, path, body).unwrap()


def _complete(
    engine: StandInEngine, prompt: str, length: int, **headers
) -> Any:
    sent = {name.replace('_', '-'): text for name, text in headers.items()}
    called = HttpClient().call(
        engine.address,
        'POST',
        '/v1/chat/completions',
        msgspec.json.encode(make_chat(MODEL, prompt, length)),
        headers=sent,
        timeout=30,
    )
    return msgspec.json.decode(called.unwrap().body)


def test_step_time_grows_with_the_batch_and_admission_is_in_order(
    engines,
) -> None:
    engine = engines()
    batcher = engine.batcher
    greenlets = [
        gevent.spawn(_complete, engine, f'p{number}', 10) for number in range(6)
    ]
    gevent.sleep(0.05)
    arrived = [prompt for _identity, prompt in batcher.starts]
    assert [sequence.prompt for sequence in batcher.running] == arrived[:4]
    assert [sequence.prompt for sequence in batcher.waiting] == arrived[4:]
    assert batcher._measure_step() == pytest.approx(0.013)
    gevent.joinall(greenlets)


def test_prefixes_are_cached_in_limited_memory(engines) -> None:
    engine = engines()
    prompt = ' '.join(f'word{number}' for number in range(64))
    cache = engine.batcher.cache
    assert cache.use(prompt.split()) == 0
    assert cache.use(prompt.split()) == 64
    cache.use([f'other{number}' for number in range(128)])
    assert cache.use(prompt.split()) == 0


def test_cache_events_are_delayed_and_incomplete(engines, monkeypatch) -> None:
    monkeypatch.setattr(engine_module, 'EVENT_LAG_SECONDS', 0.05)
    engine = engines(seed=4)
    engine.batcher.cache.events = [('stored', n) for n in range(400)]
    started = time.monotonic()
    reply = _call(engine, 'GET', '/v1/cache/events?since=100')
    assert time.monotonic() - started >= 0.05
    numbers = [event['number'] for event in msgspec.json.decode(reply.body)]
    assert numbers == sorted(numbers)
    assert set(numbers) < set(range(100, 400))
    assert len(numbers) > 250


def test_load_reports_are_delayed(engines) -> None:
    engine = engines()
    first = msgspec.json.decode(_call(engine, 'GET', '/v1/load').body)
    request = gevent.spawn(_complete, engine, 'a question', 20)
    gevent.sleep(0.05)
    lagging = msgspec.json.decode(_call(engine, 'GET', '/v1/load').body)
    assert engine.batcher.running
    assert lagging == first == {'running': 0, 'waiting': 0}
    request.get()


def test_kv_cache_is_transferred_to_another_engine(engines) -> None:
    first, second = engines(), engines()
    request = gevent.spawn(
        _complete,
        first,
        'a long question',
        40,
        wigeonpier_request='s1',
    )
    gevent.sleep(0.15)
    _call(first, 'POST', '/v1/streams/s1/cancel')
    request.get()
    exported = _call(first, 'GET', '/v1/kv/s1')
    assert exported.is_good
    content = msgspec.json.decode(exported.body)
    assert 0 < content['produced'] < 40
    assert _call(second, 'POST', '/v1/kv', content).is_good
    resumed = _call(second, 'POST', '/v1/streams/s1/resume', {'delivered': 3})
    lines = [
        msgspec.json.decode(line[6:])
        for line in resumed.body.splitlines()
        if line.startswith(b'data: {')
    ]
    text = ''.join(
        choice['delta'].get('content', '')
        for line in lines
        for choice in line['choices']
    )
    expected = make_answer(MODEL, 'a long question', 40)
    assert make_answer(MODEL, 'a long question', 3) + text == expected


def _order(fence: int, **changes: Any) -> dict[str, Any]:
    order = {'kind': 'change_role', 'role': 'prefill', 'fence': fence}
    return order | changes


def test_fencing_engine_refuses_an_older_fencing_number(engines) -> None:
    engine = engines(checks_fencing=True)
    assert _call(engine, 'POST', '/v1/orders', _order(5)).is_good
    assert _call(engine, 'POST', '/v1/orders', _order(4)).status == 409
    assert [order['fence'] for order in engine.state.orders] == [5]


def test_engine_without_fencing_accepts_any_order(engines) -> None:
    engine = engines()
    for fence in (5, 4):
        assert _call(engine, 'POST', '/v1/orders', _order(fence)).is_good
    assert [order['fence'] for order in engine.state.orders] == [5, 4]


def test_models_adapters_and_versions_are_loaded_from_the_weight_store(
    engines,
) -> None:
    store = StandInWeightStore(at_once=1, seconds=0.05)
    server = store.serve()
    engine = engines()
    engine.orders.weights = (HttpClient(), server.address)
    load = {'kind': 'load_model', 'model': 'n', 'version': '2'}
    load_adapter = {'kind': 'load_adapter', 'adapter': 'a', 'version': '1'}
    sent = [
        gevent.spawn(_call, engine, 'POST', '/v1/orders', _order(1, **order))
        for order in (load, load_adapter)
    ]
    statuses = sorted(greenlet.get().status for greenlet in sent)
    assert statuses == [200, 503]
    assert store.most_in_hand == 1
    assert store.refused == 1
    assert _call(
        engine, 'POST', '/v1/orders', _order(1, **load_adapter)
    ).is_good
    assert _call(engine, 'POST', '/v1/orders', _order(1, **load)).is_good
    assert engine.state.models == {MODEL: '1', 'n': '2'}
    assert engine.state.adapters == {'a'}
    unload = _order(1, kind='unload_model', model='n')
    assert _call(engine, 'POST', '/v1/orders', unload).is_good
    assert engine.state.models == {MODEL: '1'}
    server.stop()
