"""Steps for online requests."""

from __future__ import annotations

import random
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
import msgspec
from behave import given, then, when

from tests.builders import SLOW, wait_for
from wigeonpier.bench.answers import make_answer
from wigeonpier.bench.arrivals import Arrival
from wigeonpier.bench.load import BOUNDARY, make_chat, make_lines
from wigeonpier.telemetry.trace import SpanRecord
from wigeonpier.web.client import HttpClient

if TYPE_CHECKING:
    from behave.runner import Context

    from wigeonpier.bench.site import StandInSite
    from wigeonpier.web.client import Reply

JSON = {'content-type': 'application/json'}


@given('a site')
def start_site(context: Context) -> None:
    context.bench.start()


@given('a site with slow engines')
def start_slow_site(context: Context) -> None:
    context.bench.start(SLOW)


@given('a site where "{customer}" may send {rate:d} requests a second')
def start_limited_site(context: Context, customer: str, rate: int) -> None:
    context.bench.start()
    site = context.bench.site
    base = site.read_base()
    base['customers'][customer]['limits'] = {'requests_per_second': rate}
    version = site.apply(base, {})
    wait_for(
        lambda: all(
            entry.app.components.holder.version == version
            for entry in site.entries.values()
        ),
    )


@given('the key-value service is down')
def stop_platform(context: Context) -> None:
    context.bench.site.platform.faults.down = True


@when('{count:d} requests are sent at once')
def send_requests(context: Context, count: int) -> None:
    rng = random.Random(3)
    arrivals = [
        Arrival(0, f'request {number}', rng.randint(2, 20))
        for number in range(count)
    ]
    context.answers = context.bench.client.ask_all(arrivals)


@when('an upstream VM is lost and {count:d} requests are sent')
def lose_upstream(context: Context, count: int) -> None:
    site = context.bench.site
    context.bench.crash_replica(f'{site.plan.service}-1')
    send_requests(context, count)


@when('a long request is sent and its upstream crashes midway')
def lose_stream(context: Context) -> None:
    bench = context.bench
    pending = gevent.spawn(bench.ask, 'a long request', 40)
    replica = wait_for(
        lambda: next(
            (
                replica
                for replica in bench.site.replicas.values()
                if replica.engine
                and replica.engine.batcher.running
                and replica.engine.batcher.running[0].produced > 5
            ),
            None,
        ),
    )
    bench.crash_replica(replica.settings.name)
    context.answers = [pending.get()]
    assert bench.count_starts('a long request') == 2


@when('the request "{case}" is sent')
def send_bad_request(context: Context, case: str) -> None:
    context.reply = _BAD_REQUESTS[case](context)


@when('the track "{track}" is read through the service')
def read_track(context: Context, track: str) -> None:
    context.reply = context.bench.client.call(
        'GET',
        f'/services/billing/tracks/{track}?full=1',
    )


@when('a credit for "{track}" is paid')
def pay_credit(context: Context, track: str) -> None:
    context.reply = _pay(context, track)


@when('the plain service loses the answer to a credit for "{track}"')
def lose_credit(context: Context, track: str) -> None:
    catalogue = context.bench.site.catalogue
    pay = catalogue._pay_credit

    def pay_and_disconnect(request: object) -> None:
        pay(request)
        raise ConnectionResetError(104, 'lost')

    catalogue._pay_credit = pay_and_disconnect
    context.reply = _pay(context, track)


@then('each request got its own complete answer')
@then('that request got its own complete answer')
def check_answers(context: Context) -> None:
    wrong = [answer for answer in context.answers if not answer.is_right]
    assert not wrong, f'{len(wrong)} of {len(context.answers)}: {wrong[:2]}'


@then('a request still gets its complete answer')
def check_request_succeeds(context: Context) -> None:
    answer = context.bench.ask()
    assert answer.is_right, answer


@then('the answer has status {status:d}, kind "{kind}" and says ran "{ran}"')
def check_refusal(context: Context, status: int, kind: str, ran: str) -> None:
    reply = context.reply
    page = msgspec.json.decode(reply.body)
    assert reply.status == status, (reply.status, page)
    assert page['error']['type'] == kind, page
    assert page['error']['ran'] == ran, page
    assert page['error']['message'], page


@then('the answer says that it is not known whether it ran')
def check_unknown(context: Context) -> None:
    check_refusal(context, 502, 'upstream_lost', 'unknown')


@then('the service answered')
def check_service(context: Context) -> None:
    assert context.reply.status == 200, context.reply
    assert context.bench.site.catalogue.reads == 1


@then('the service was paid {count:d} time for "{track}"')
def check_paid(context: Context, count: int, track: str) -> None:
    assert context.bench.site.catalogue.credits[track] == count


@then('some were refused with kind "{kind}" and a time to retry')
def check_some_refused(context: Context, kind: str) -> None:
    refused = [answer for answer in context.answers if answer.status == 429]
    assert refused
    assert {answer.kind for answer in refused} == {kind}


@then('no more than {count:d} were answered')
def check_max_answered(context: Context, count: int) -> None:
    answered = [answer for answer in context.answers if answer.status == 200]
    assert 0 < len(answered) <= count, len(answered)


@then('a trace joins the entry and the local process')
def check_trace(context: Context) -> None:
    site = context.bench.site
    reply = HttpClient().call(
        site.find_entry().app.server.address,
        'POST',
        '/v1/chat/completions',
        msgspec.json.encode(make_chat(site.plan.service, 'trace me', 2)),
        headers=JSON
        | {
            'authorization': f'Bearer {site.plan.key}',
            'wigeonpier-request': 'request-1',
            'traceparent': f'00-{"a" * 32}-{"b" * 16}-01',
        },
    )
    completion = msgspec.json.decode(reply.unwrap().body)
    assert completion['id'] == 'cmpl-request-1', completion
    expected = make_answer(site.plan.service, 'trace me', 2)
    assert completion['choices'][0]['message']['content'] == expected
    spans = wait_for(lambda: _read_spans(site, 'a' * 32, 2))
    assert spans['entry'].parent_id == 'b' * 16
    assert spans['local'].parent_id == spans['entry'].span_id


@then('the metrics of an entry show first tokens')
def check_entry_metrics(context: Context) -> None:
    pages = [
        _get(entry.app.server.address, '/metrics')
        for entry in context.bench.site.entries.values()
    ]
    name = b'wigeonpier_first_token_seconds_count'
    assert any(name in page.body for page in pages), pages


@then('the metrics of a local process show queueing')
def check_local_metrics(context: Context) -> None:
    pages = [
        _get(replica.app.server.address, '/metrics')
        for replica in context.bench.site.replicas.values()
    ]
    name = b'wigeonpier_queueing_seconds_count'
    assert any(name in page.body for page in pages), pages


@then('every daemon is healthy and ready')
def check_health_pages(context: Context) -> None:
    site = context.bench.site
    for process in (*site.entries.values(), *site.replicas.values()):
        for path in ('/healthz', '/readyz'):
            page = _get(process.app.server.address, path)
            assert page.status == 200, page
            assert msgspec.json.decode(page.body)['broken_promises'] == 0


def _read_spans(
    site: StandInSite,
    trace_id: str,
    count: int,
) -> dict[str, SpanRecord] | None:
    lines = Path(site.trace_file).read_bytes().splitlines()
    records = [msgspec.json.decode(line, type=SpanRecord) for line in lines]
    found = {
        record.name: record for record in records if record.trace_id == trace_id
    }
    return found if len(found) == count else None


def _get(address: str, path: str) -> Reply:
    return HttpClient().call(address, 'GET', path).unwrap()


def _pay(context: Context, track: str) -> Reply | None:
    return context.bench.client.call(
        'POST',
        '/services/billing/credits',
        msgspec.json.encode({'track': track}),
    )


def _chat(context: Context, body: bytes, **headers: str) -> Reply | None:
    extra = {name.replace('_', '-'): text for name, text in headers.items()}
    return context.bench.client.call(
        'POST', '/v1/chat/completions', body, extra
    )


def _upload(context: Context, lines: bytes, purpose: str = 'batch') -> Reply:
    body = (
        (
            f'--{BOUNDARY}\r\nContent-Disposition: form-data; name="purpose"\r\n'
            f'\r\n{purpose}\r\n--{BOUNDARY}\r\nContent-Disposition: form-data; '
            'name="file"; filename="x.jsonl"\r\n\r\n'
        ).encode()
        + lines
        + f'\r\n--{BOUNDARY}--\r\n'.encode()
    )
    reply = context.bench.client.call(
        'POST',
        '/v1/files',
        body,
        {'content-type': f'multipart/form-data; boundary={BOUNDARY}'},
    )
    assert reply is not None
    return reply


def _create(context: Context, **fields: str) -> Reply | None:
    return context.bench.client.call(
        'POST',
        '/v1/batches',
        msgspec.json.encode(fields),
    )


def _line(custom_id: str | None, model: str = 'netlist-llm') -> bytes:
    line = {
        'custom_id': custom_id,
        'method': 'POST',
        'url': '/v1/chat/completions',
        'body': make_chat(model, 'corner', 2),
    }
    if custom_id is None:
        line.pop('custom_id')
    return msgspec.json.encode(line)


def _send_other_endpoint(context: Context) -> Reply | None:
    file_id = context.bench.client.upload(make_lines('netlist-llm', ['a'], 2))
    return _create(
        context,
        input_file_id=file_id,
        endpoint='/v1/completions',
        completion_window='24h',
    )


_VALID_BODY = msgspec.json.encode(make_chat('netlist-llm', 'hello', 2))
_BAD_REQUESTS = {
    'broken JSON': lambda context: _chat(context, b'{"model": '),
    'no model': lambda context: _chat(context, b'{"messages": []}'),
    'unknown model': lambda context: _chat(
        context,
        msgspec.json.encode(make_chat('no-such', 'hello', 2)),
    ),
    'wrong key': lambda context: _chat(
        context,
        _VALID_BODY,
        authorization='Bearer no-such-key',
    ),
    'no key': lambda context: _chat(context, _VALID_BODY, authorization=''),
    '20 MB body': lambda context: _chat(context, b' ' * 20_000_000),
    'bad idempotency': lambda context: _chat(
        context,
        _VALID_BODY,
        wigeonpier_idempotent='perhaps',
    ),
    'unknown path': lambda context: context.bench.client.call('GET', '/v1/no'),
    'wrong method': lambda context: context.bench.client.call(
        'DELETE',
        '/v1/models',
    ),
    'unknown service': lambda context: context.bench.client.call(
        'GET',
        '/services/none/x',
    ),
    'line without id': lambda context: _upload(
        context,
        b'\n'.join((_line('a'), _line(None))),
    ),
    'duplicate ids': lambda context: _upload(
        context,
        b'\n'.join((_line('a'), _line('b'), _line('a'))),
    ),
    'broken line': lambda context: _upload(
        context,
        b'\n'.join((_line('a'), b'{"custom')),
    ),
    'two models': lambda context: _upload(
        context,
        b'\n'.join((_line('a'), _line('b', 'other'))),
    ),
    'empty file': lambda context: _upload(context, b'\n'),
    'wrong purpose': lambda context: _upload(context, _line('a'), 'assistants'),
    'no form': lambda context: context.bench.client.call(
        'POST',
        '/v1/files',
        b'{}',
    ),
    'unknown file': lambda context: _create(
        context,
        input_file_id='file-none',
        endpoint='/v1/chat/completions',
    ),
    'other endpoint': _send_other_endpoint,
}


@when(
    'a credit for "{track}" is paid {count:d} times at once with key "{key}" on all entries'
)
def pay_at_once(context: Context, track: str, count: int, key: str) -> None:
    requests = [
        gevent.spawn(_pay_keyed, context, track, key) for _ in range(count)
    ]
    context.replies = [greenlet.get() for greenlet in requests]


@when('a credit for "{track}" is paid again with key "{key}"')
def pay_again(context: Context, track: str, key: str) -> None:
    context.reply = _pay_keyed(context, track, key)


@when('no upstream of the plain service accepts work')
def drain_plain(context: Context) -> None:
    for entry in context.bench.site.entries.values():
        entry.app.directory.mark_leaving('billing-1')


@when('the plain service accepts work again')
def undrain_plain(context: Context) -> None:
    for entry in context.bench.site.entries.values():
        entry.app.directory.unmark_leaving('billing-1')


@then('each answer is the same, or says that it is not known whether it ran')
def check_same_or_unknown(context: Context) -> None:
    succeeded = [reply for reply in context.replies if reply.is_good]
    context.first_reply = succeeded[0]
    assert {reply.body for reply in succeeded} == {succeeded[0].body}
    for reply in context.replies:
        if not reply.is_good:
            error = msgspec.json.decode(reply.body)['error']
            assert error['type'] == 'outcome_unknown', error
            assert error['ran'] == 'unknown', error


@then('the answer is the first one')
def check_first(context: Context) -> None:
    assert context.reply == context.first_reply, context.reply


@then('the service was paid {count:d} times for "{track}"')
def check_paid_times(context: Context, count: int, track: str) -> None:
    assert context.bench.site.catalogue.credits[track] == count


def _pay_keyed(context: Context, track: str, key: str) -> Reply | None:
    return context.bench.client.call(
        'POST',
        '/services/billing/credits',
        msgspec.json.encode({'track': track}),
        {'idempotency-key': key},
    )
