"""Steps for configuration changes."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from behave import then, when

from tests.builders import wait_for
from wigeonpier.entry.configuration import Application
from wigeonpier.web.client import HttpClient, Reply

if TYPE_CHECKING:
    from behave.runner import Context

    from tests.builders import Bench

SERVICE = 'netlist-llm'


@when('a deadline of {seconds:d} s is applied')
def apply_deadline(context: Context, seconds: int) -> None:
    bench = context.bench
    base = bench.site.read_base()
    base['services'][SERVICE]['deadline_seconds'] = seconds
    bench.notes['deadline'] = seconds
    bench.notes['version'] = bench.site.apply(base, {})
    bench.notes['applied'] = time.monotonic()


@when(
    'a deadline of {seconds:d} s is applied and the key-value service goes down'
)
def apply_and_stop_platform(context: Context, seconds: int) -> None:
    apply_deadline(context, seconds)
    context.bench.site.platform.faults.down = True


@when('two operators apply different changes of the same version at once')
def apply_at_once(context: Context) -> None:
    bench = context.bench
    edited = bench.site.find_entry().app.components.holder.version
    requests = [
        gevent.spawn(
            _apply,
            bench,
            edited,
            entry_index,
            seconds,
            f'operator-{entry_index}',
        )
        for entry_index, seconds in enumerate((71, 72))
    ]
    context.replies = [greenlet.get() for greenlet in requests]
    bench.notes['applied'] = time.monotonic()


@when('{count:d} changes are applied one after the other')
def apply_many(context: Context, count: int) -> None:
    bench = context.bench
    context.accepted = []
    for number in range(count):
        edited = bench.site.find_entry().app.components.holder.version
        reply = _apply(bench, edited, number % 2, 100 + number, 'operator')
        assert reply.is_good, reply
        context.accepted.append(msgspec.json.decode(reply.body)['version'])
        wait_for(lambda: _all_versions(bench) == {context.accepted[-1]})
    bench.notes['deadline'] = 100 + count - 1


@when('a change is applied and its operation is sent again')
def apply_again(context: Context) -> None:
    bench = context.bench
    edited = bench.site.find_entry().app.components.holder.version
    context.replies = [
        _apply(bench, edited, entry_index, 80, 'operator', 'the-operation')
        for entry_index in (0, 1)
    ]


@when('an entry and a replica start')
def start_processes(context: Context) -> None:
    site = context.bench.site
    site.add_entry('entry-3')
    site.add_replica(f'{SERVICE}-9')
    wait_for(lambda: _all_versions(context.bench) != {0})


@when('a replica is frozen while a deadline of {seconds:d} s is applied')
def freeze_and_apply(context: Context, seconds: int) -> None:
    replica = context.bench.site.replicas[f'{SERVICE}-1']
    replica.faults.freeze()
    apply_deadline(context, seconds)
    gevent.sleep(2)
    replica.faults.thaw()
    context.bench.notes['applied'] = time.monotonic()


@when('a change is applied whose overlay breaks "{name}"')
def apply_broken(context: Context, name: str) -> None:
    bench = context.bench
    entry = bench.site.find_entry()
    bench.notes['version'] = entry.app.components.holder.version
    overlay = {'services': {SERVICE: {'deadline_seconds': 'soon'}}}
    context.reply = _post(
        entry,
        Application(
            bench.notes['version'],
            'broken',
            'operator',
            bench.site.read_base(),
            {name: overlay},
        ),
    )


@when('the key of "{customer}" is revoked')
def revoke_key(context: Context, customer: str) -> None:
    site = context.bench.site
    base = site.read_base()
    base['customers'][customer]['key_hashes'] = []
    site.apply(base, {})


@then('it is in force in every process within {seconds:d} s')
def check_in_force(context: Context, seconds: int) -> None:
    bench = context.bench
    remaining = bench.notes['applied'] + seconds - time.monotonic()
    wait_for(
        lambda: _all_deadlines(bench) == {bench.notes['deadline']},
        remaining,
    )


@then('the accepted change is in force in every process within {seconds:d} s')
def check_accepted_in_force(context: Context, seconds: int) -> None:
    check_in_force(context, seconds)


@then(
    'one change is accepted and the other is refused naming the winning operator'
)
def check_one_accepted(context: Context) -> None:
    outcomes = [reply.is_good for reply in context.replies]
    assert sorted(outcomes) == [False, True], context.replies
    accepted_index = outcomes.index(True)
    context.bench.notes['deadline'] = (71, 72)[accepted_index]
    error = msgspec.json.decode(context.replies[1 - accepted_index].body)[
        'error'
    ]
    assert error['type'] == 'conflict', error
    assert f'operator-{accepted_index}' in error['message'], error
    assert error['ran'] == 'no', error


@then('each was accepted, in one order of versions, and the last is in force')
def check_order(context: Context) -> None:
    bench = context.bench
    first = context.accepted[0]
    count = len(context.accepted)
    assert context.accepted == list(range(first, first + count))
    assert _all_deadlines(bench) == {bench.notes['deadline']}
    manager = bench.site.find_entry().app.configuration
    versions = [bundle.version for bundle in manager.list_history()]
    assert versions == list(range(1, first + count)), versions


@then('both answers name the same version')
def check_same_version(context: Context) -> None:
    pages = [msgspec.json.decode(reply.body) for reply in context.replies]
    assert pages[0] == pages[1], pages


@then('it is refused naming the site and the key')
def check_named(context: Context) -> None:
    message = msgspec.json.decode(context.reply.body)['error']['message']
    assert context.reply.status == 400
    assert 'nadi-1' in message, message
    assert 'deadline_seconds' in message, message


@then('the version in force is as before')
def check_unchanged(context: Context) -> None:
    assert _all_versions(context.bench) == {context.bench.notes['version']}


@then('its requests are refused within {seconds:d} s')
def check_revoked(context: Context, seconds: int) -> None:
    bench = context.bench
    wait_for(
        lambda: {bench.ask().status for _ in range(4)} == {401},
        seconds,
    )


def _apply(
    bench: Bench,
    edited: int,
    entry_index: int,
    seconds: int,
    operator: str,
    operation: str = '',
) -> Reply:
    base = bench.site.read_base()
    base['services'][SERVICE]['deadline_seconds'] = seconds
    entry = list(bench.site.entries.values())[entry_index]
    operation_id = operation or secrets.token_hex(4)
    return _post(entry, Application(edited, operation_id, operator, base))


def _post(entry: Any, change: Application) -> Reply:
    client = HttpClient({'wigeonpier-peer-key': entry.settings.peer_keys[0]})
    return client.call(
        entry.app.admin.address,
        'POST',
        '/admin/v1/configuration',
        msgspec.json.encode(change),
        timeout=20,
    ).unwrap()


def _list_holders(bench: Bench) -> list[Any]:
    processes = (*bench.site.entries.values(), *bench.site.replicas.values())
    return [process.app.components.holder for process in processes]


def _all_versions(bench: Bench) -> set[int]:
    return {holder.version for holder in _list_holders(bench)}


def _all_deadlines(bench: Bench) -> set[float]:
    return {
        holder.deployment.services[SERVICE].deadline_seconds
        if holder.version
        else 0
        for holder in _list_holders(bench)
    }
