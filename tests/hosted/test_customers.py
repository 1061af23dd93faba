"""Tests authentication by customer keys and the confidentiality of keys.

Guards against keys that are forwarded to upstreams, requests with unknown keys
that run, and revoked keys that stay valid.
"""

from __future__ import annotations

import base64
import io
import time
from pathlib import Path

import gevent
import msgspec
import pytest

from tests.hosted.builders import HostedSite, make_customer, wait_for
from tests.hosted.callers import DEADLY_BODY

KEY = 'key-of-the-first-one'
SECOND_KEY = 'another-key-of-the-first-one'
SECOND_CUSTOMER_KEY = 'key-of-the-second-one'
CUSTOMERS = (
    make_customer('first', KEY, SECOND_KEY),
    make_customer('second', SECOND_CUSTOMER_KEY),
)
OK, ACCEPTED, UNAUTHENTICATED, NOT_FOUND, UNAVAILABLE = 200, 202, 401, 404, 503
BOUND = 1.5


@pytest.fixture
def served(site: HostedSite) -> HostedSite:
    """Start a site with two customers."""
    site.configuration['tenants'] = list(CUSTOMERS)
    site.revocation = BOUND
    site.start()
    wait_for(lambda: all(e.is_ready for e in site.entries), 'keys are known')
    return site


def send(site: HostedSite, name: str, path: str = '/ask/a', **headers: str):
    return site.call('POST', path, name, b'{}', **headers)


def list_received(site: HostedSite) -> list[dict[str, str]]:
    return [
        one.headers for replica in site.replicas for one in replica.received
    ]


def test_a_request_with_a_known_key_is_forwarded_without_it(served) -> None:
    reply = send(served, 'q1', X_Key=KEY, X_Tenant='second')
    assert reply.status == OK
    (received,) = list_received(served)
    assert received['x-tenant'] == 'first'
    assert KEY not in str(received)


def test_a_request_with_an_unknown_or_no_key_does_not_run(served) -> None:
    assert send(served, 'q1', X_Key='no-such-key').status == UNAUTHENTICATED
    assert send(served, 'q2').status == UNAUTHENTICATED
    assert not list_received(served)


def test_an_anonymous_route_needs_no_key(served) -> None:
    routes = [
        route | {'allowAnonymous': True}
        for route in served.configuration['routes']
    ]
    served.configure(routes=routes)
    assert send(served, 'q1', X_Tenant='second').status == OK
    assert send(served, 'q2', X_Key='no-such-key').status == OK
    assert send(served, 'q3', X_Key=KEY).status == OK
    names = [one.get('x-tenant') for one in list_received(served)]
    assert sorted(map(str, names)) == ['None', 'None', 'first']
    assert 'no-such-key' not in str(list_received(served))


def test_no_key_is_needed_without_customers(site: HostedSite) -> None:
    site.revocation = BOUND
    site.start()
    reads = site.store.calls['/-/kv-key']
    assert send(site, 'q1').status == OK
    gevent.sleep(BOUND)
    assert site.store.calls['/-/kv-key'] == reads


def test_items_carry_the_customer_name_and_not_the_key(served) -> None:
    submitted = served.submit_job(
        'j1',
        X_Key=KEY,
        item_headers={'X-Key': KEY, 'X-Tenant': 'second'},
    )
    assert submitted.status == ACCEPTED
    wait_for(lambda: len(list_received(served)) >= 4, 'all items run')
    for received in list_received(served):
        assert received['x-tenant'] == 'first'
        assert KEY not in str(received)


def test_a_job_is_accessible_with_any_key_of_its_customer(served) -> None:
    served.submit_job('j1', X_Key=KEY)
    for key, status in (
        (SECOND_KEY, OK),
        (SECOND_CUSTOMER_KEY, NOT_FOUND),
        ('x', 401),
    ):
        for method, target in (
            ('GET', '/-/lots/j1?after=0'),
            ('GET', '/-/items/j1?id=j10'),
        ):
            reply = served.call(method, target, X_Key=key)
            assert reply.status == status, (key, target)
    missing = served.call(
        'GET', '/-/lots/j1?after=0', X_Key=SECOND_CUSTOMER_KEY
    )
    never = served.call('GET', '/-/lots/jx?after=0', X_Key=SECOND_CUSTOMER_KEY)
    assert missing.body.replace(b'j1', b'jx') == never.body
    assert (
        served.call('DELETE', '/-/lots/j1', X_Key='x').status == UNAUTHENTICATED
    )
    other_reply = served.call('DELETE', '/-/lots/j1', X_Key=SECOND_CUSTOMER_KEY)
    assert other_reply.status == NOT_FOUND
    assert served.call('DELETE', '/-/lots/j1', X_Key=SECOND_KEY).status == OK


def test_customers_may_use_the_same_job_name(served) -> None:
    assert served.submit_job('j1', 2, X_Key=KEY).status == ACCEPTED
    assert (
        served.submit_job('j1', 3, X_Key=SECOND_CUSTOMER_KEY).status == ACCEPTED
    )
    assert served.submit_job('j1', 2, X_Key=SECOND_KEY).status == ACCEPTED
    for key, total in ((KEY, 2), (SECOND_CUSTOMER_KEY, 3)):
        reply = served.call('GET', '/-/lots/j1?after=0', X_Key=key)
        assert msgspec.json.decode(reply.body)['total'] == total


def test_waiting_tokens_are_limited_per_customer(served) -> None:
    routes = [
        route | {'maxCount': 100, 'timeoutMs': 500}
        for route in served.configuration['routes']
    ]
    served.configure(routes=routes)
    for replica in served.replicas:
        replica.event_seconds = 5
    assert served.submit_job('j1', 3, X_Key=KEY).status == ACCEPTED
    assert served.submit_job('j2', 3, X_Key=SECOND_KEY).status == 429
    assert (
        served.submit_job('j3', 3, X_Key=SECOND_CUSTOMER_KEY).status == ACCEPTED
    )


def test_a_job_continues_after_its_key_is_revoked(served) -> None:
    served.submit_job('j1', X_Key=KEY)
    served.configure(
        tenants=[make_customer('first', SECOND_KEY), CUSTOMERS[1]],
    )
    assert send(served, 'q1', X_Key=KEY).status == UNAUTHENTICATED
    revoked = served.call('GET', '/-/lots/j1?after=0', X_Key=KEY)
    assert revoked.status == UNAUTHENTICATED

    def is_complete() -> bool:
        reply = served.call('GET', '/-/lots/j1?after=0', X_Key=SECOND_KEY)
        return len(msgspec.json.decode(reply.body)['results']) == 4

    wait_for(is_complete, 'all results')


def test_an_entry_without_the_store_accepts_keys_within_the_bound(
    served,
) -> None:
    """A watch that delivers nothing does not confirm the configuration."""
    served.store.faults.is_silent = True
    started_at = time.monotonic()
    entry = served.entries[0]
    assert send(served, 'q1', X_Key=KEY).status == OK
    wait_for(lambda: not entry.is_ready, 'it is not ready')
    assert time.monotonic() - started_at < 0.8 * BOUND
    assert send(served, 'q2', X_Key=KEY).status == OK
    wait_for(
        lambda: send(served, 'q3', X_Key=KEY).status == UNAVAILABLE,
        'it serves no request',
    )
    assert time.monotonic() - started_at < BOUND
    # A key that seems unknown may be a new one; a missing key is certain.
    assert send(served, 'q4', X_Key='new').status == UNAVAILABLE
    assert send(served, 'q5').status == UNAUTHENTICATED
    served.store.faults.is_silent = False
    wait_for(
        lambda: send(served, 'q6', X_Key=KEY).status == OK,
        'it serves again',
    )


def test_a_key_is_neither_written_nor_sent_anywhere(
    served: HostedSite,
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Checks logs, metrics, the store and disks, also for failed requests."""
    written = io.StringIO()
    send(served, 'q1', X_Key=KEY)
    served.replicas[0].faults.break_after = 3
    served.replicas[1].faults.fail = 2
    for number in range(4):
        served.try_call('POST', '/ask/b', f'b{number}', b'{}', X_Key=KEY)
    served.store.faults.is_down = True
    served.submit_job('j1', X_Key=KEY, item_headers={'X-Key': KEY})
    served.store.faults.is_down = False
    served.submit_job('j2', X_Key=KEY, item_headers={'X-Key': KEY})
    wait_for(lambda: len(list_received(served)) >= 9, 'items run')
    written.write(str(capfd.readouterr()))
    for disk in served.disks:
        folder = Path(disk._context.settings.data_folder)
        for path in folder.rglob('*'):
            if path.is_file():
                written.write(path.read_text(errors='replace'))
    for key, cell in served.store._cells.items():
        if key != 'op/config':
            written.write(f'{key} {msgspec.to_builtins(cell)}')
            written.write(str(base64.b64decode(cell.value)))
    for entry in served.entries:
        written.write(entry._context.metrics.render())
    for worker in served.workers:
        written.write(worker._context.metrics.render())
    written.write(str(list_received(served)))
    assert KEY not in written.getvalue()


def test_a_refused_request_is_not_refused_for_another_customer(served) -> None:
    """Both send the same content, which crashed upstreams, to the same path."""
    for number in range(4):
        served.add_replica(f'i-more-{number}')
    for replica in served.replicas:
        replica.restart_seconds = 0.3

    def is_refused() -> bool:
        reply = served.try_call(
            'POST', '/ask/x', 'd', DEADLY_BODY, X_Key=KEY
        ).unwrap_or(None)
        return reply is not None and reply.status == 400

    wait_for(is_refused, 'it is refused')
    for replica in served.replicas:
        replica.faults.is_cured = True
    request = ('POST', '/ask/x', 'e', DEADLY_BODY)
    wait_for(
        lambda: served.call(*request, X_Key=SECOND_CUSTOMER_KEY).status == OK,
        'the other customer is served',
    )
    assert is_refused()
