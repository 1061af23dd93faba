"""Steps for batch jobs and the failures injected while they run."""

from __future__ import annotations

import errno
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from behave import given, then, when
from result import Err

from tests.builders import build_claim, build_job, wait_for
from wigeonpier.batch.models import FileRecord, FinishedJob
from wigeonpier.bench.answers import make_answer
from wigeonpier.bench.load import Client, make_lines
from wigeonpier.platform.keys import name_chunk, name_job
from wigeonpier.platform.port import Failure
from wigeonpier.web.client import HttpClient

if TYPE_CHECKING:
    from behave.runner import Context

    from tests.builders import Bench

ANSWER_TOKENS = 8
BAD_PROMPTS = {'[[crash]] now': 3, '[[fail]] now': 7, '[[reject]] now': 11}


@given('a site with {count:d} entries that each have a data folder')
def start_site_with_folders(context: Context, count: int) -> None:
    context.bench.start(
        entries=count,
        disks=count,
        batch={'copies': 3, 'least_copies': 2},
    )


@given('engines that are slowed down')
def slow_down_engines(context: Context) -> None:
    for replica in context.bench.site.replicas.values():
        if replica.engine:
            replica.engine.batcher.slowdown = 10.0


@when('a job of {count:d} items is accepted')
def accept_job(context: Context, count: int) -> None:
    context.bench.submit(count, ANSWER_TOKENS)


@when('a job of {count:d} items that run at most once is accepted')
def accept_run_once_job(context: Context, count: int) -> None:
    context.bench.submit(count, ANSWER_TOKENS, idempotent=False)


@when('a job of {count:d} credits is accepted')
def accept_credits(context: Context, count: int) -> None:
    bench = context.bench
    lines = [
        msgspec.json.encode(
            {
                'custom_id': f'item-{number}',
                'url': '/services/billing/credits',
                'body': {'track': f'track {number}'},
            }
        )
        for number in range(count)
    ]
    bench.items = count
    bench.site.catalogue._seconds = 0.2
    file_id = bench.client.upload(b'\n'.join(lines))
    job = bench.client.create_batch(file_id, '/services/billing/credits')
    bench.job = job['id']


@when('a job is accepted with items that crash, fail and are rejected')
def accept_bad_items(context: Context) -> None:
    prompts = [f'corner {number}' for number in range(40)]
    for prompt, position in BAD_PROMPTS.items():
        prompts[position] = prompt
    context.bench.submit(0, ANSWER_TOKENS, prompts)


@when('an owner is lost with items in flight')
def lose_owner(context: Context) -> None:
    bench = context.bench
    name = wait_for(lambda: _find_busy_owner(bench))
    if name.startswith(bench.site.plan.plain):
        bench.crash_replica(name)
        bench.site.add_plain(f'{bench.site.plan.plain}-2')
    else:
        bench.crash_replica(name)


@when('an owner is frozen until its chunk is taken over')
def freeze_owner(context: Context) -> None:
    bench = context.bench
    name = wait_for(lambda: _find_busy_owner(bench))
    replica = bench.site.replicas[name]
    chunks = list(replica.app.worker.owned_chunks.chunks.values())
    replica.faults.freeze()
    wait_for(lambda: all(_is_taken_over(bench, chunk) for chunk in chunks), 20)
    replica.faults.thaw()


@when('an owner is isolated from all entries')
def isolate_owner(context: Context) -> None:
    bench = context.bench
    name = wait_for(lambda: _find_busy_owner(bench))
    bench.site.replicas[name].faults.cut_from.update(
        bench.site.list_addresses(),
    )


@when('the entry that acknowledged it is lost')
def lose_acknowledging_entry(context: Context) -> None:
    bench = context.bench
    turn = bench.client._turn % len(bench.client.addresses)
    address = bench.client.addresses[turn]
    name = next(
        name
        for name, entry in bench.site.entries.items()
        if entry.app.server.address == address
    )
    bench.site.crash_entry(name)


@when('the data folder of entry {number:d} is lost')
def lose_folder(context: Context, number: int) -> None:
    bench = context.bench
    wait_for(lambda: _find_busy_owner(bench))
    bench.site.crash_entry(f'entry-{number}')


@when('entry {number:d} is replaced with an empty data folder')
def replace_folder(context: Context, number: int) -> None:
    lose_folder(context, number)
    site = context.bench.site
    name = f'entry-{number}'
    (site.folder / name).rename(site.folder / f'{name}-old')
    old = site.entries[name].app.components.folder.incarnation
    site.add_entry(name)
    assert site.entries[name].app.components.folder.incarnation != old


@when('the data folder of entry {number:d} is full')
def fill_folder(context: Context, number: int) -> None:
    wait_for(lambda: _find_busy_owner(context.bench))
    folder = context.bench.site.entries[f'entry-{number}'].app.components.folder

    def append(*_details: Any) -> int:
        raise OSError(errno.ENOSPC, 'No space left on device')

    folder.append = append


@when('each forced write takes {delay:d} ms on one data folder')
def slow_folder(context: Context, delay: int) -> None:
    folder = context.bench.site.entries['entry-1'].app.components.folder
    append = folder.append

    def append_slowly(*details: Any) -> int:
        gevent.sleep(delay / 1000)
        return append(*details)

    folder.append = append_slowly


@when('half of the answers to writes are lost')
def lose_answers(context: Context) -> None:
    context.bench.site.platform.faults.lose_answers = 0.5


@when('the key-value service goes down once items run')
def stop_platform_while_running(context: Context) -> None:
    bench = context.bench
    wait_for(lambda: _find_busy_owner(bench))
    bench.site.platform.faults.down = True


@when('the key-value service is available again')
def restart_platform(context: Context) -> None:
    context.bench.site.platform.faults.down = False


@when('the job is cancelled once items run')
def cancel_job(context: Context) -> None:
    bench = context.bench
    wait_for(lambda: _find_busy_owner(bench))
    bench.client.cancel_batch(bench.job)
    bench.notes['cancelled'] = time.monotonic()


@when('each engine crashes in turn')
def crash_each_engine(context: Context) -> None:
    bench = context.bench
    for replica in list(bench.site.replicas.values()):
        if replica.engine:
            wait_for(lambda: _find_busy_owner(bench))
            replica.engine.crash(0.3)
            gevent.sleep(0.2)


@when('a local process with work in progress is stopped gracefully')
def stop_local(context: Context) -> None:
    bench = context.bench
    name = wait_for(lambda: _find_busy_owner(bench))
    started = time.monotonic()
    bench.notes['remaining_work'] = bench.site.replicas[name].app.leave(10)
    bench.notes['stop_seconds'] = time.monotonic() - started
    bench.crash_replica(name)


@when('the same job is sent to both entries at once with key "{key}"')
def send_concurrently(context: Context, key: str) -> None:
    bench = context.bench
    bench.items = 20
    prompts = [f'corner {number}' for number in range(bench.items)]
    file_id = bench.client.upload(
        make_lines('netlist-llm', prompts, ANSWER_TOKENS)
    )
    context.file_id = file_id
    requests = [
        gevent.spawn(
            Client([address], bench.client.key, 'netlist-llm').create_batch,
            file_id,
            idempotency_key=key,
        )
        for address in bench.site.list_addresses()
        for _ in range(3)
    ]
    context.jobs = [greenlet.get()['id'] for greenlet in requests]
    bench.job = context.jobs[0]


@when('the same job is sent to both entries at once without a key')
def send_concurrently_without_key(context: Context) -> None:
    send_concurrently(context, '')


@when('the job is sent again with key "{key}"')
def send_again(context: Context, key: str) -> None:
    batch = context.bench.client.create_batch(
        context.file_id,
        idempotency_key=key,
    )
    context.jobs.append(batch['id'])


@when('the job is sent again without a key')
def send_again_without_key(context: Context) -> None:
    send_again(context, '')


@when('another job is sent with key "{key}"')
def send_other(context: Context, key: str) -> None:
    client = context.bench.client
    file_id = client.upload(make_lines('netlist-llm', ['other'], ANSWER_TOKENS))
    context.reply = client.call(
        'POST',
        '/v1/batches',
        msgspec.json.encode(
            {
                'input_file_id': file_id,
                'endpoint': '/v1/chat/completions',
            }
        ),
        {'idempotency-key': key},
    )


@then('the job ends as "{status}"')
def check_final_status(context: Context, status: str) -> None:
    context.bench.finish()
    assert context.bench.batch['status'] == status, context.bench.batch


@then('each item has exactly one result')
def check_one_result(context: Context) -> None:
    bench = context.bench
    counts = Counter(line['custom_id'] for line in bench.results)
    assert len(counts) == bench.items, (len(counts), bench.items)
    assert set(counts.values()) == {1}, counts.most_common(3)


@then('each item has exactly one right answer')
def check_right_answers(context: Context) -> None:
    check_one_result(context)
    wrong = [line for line in context.bench.results if not _is_right(line)]
    assert not wrong, (len(wrong), wrong[0])


@then('usage counts {count:d} answers')
def check_usage(context: Context, count: int) -> None:
    entry = context.bench.site.find_entry()
    peer_key = entry.settings.peer_keys[0]
    reply = HttpClient({'wigeonpier-peer-key': peer_key}).call(
        entry.app.admin.address,
        'GET',
        '/admin/v1/usage',
    )
    (page,) = msgspec.json.decode(reply.unwrap().body)
    assert page['tally']['succeeded'] == count, page
    assert page['tally']['answer_tokens'] == count * ANSWER_TOKENS, page


@then('no item was started twice')
def check_starts(context: Context) -> None:
    bench = context.bench
    starts = {
        prompt: bench.count_starts(prompt)
        for prompt in (f'corner {number}' for number in range(bench.items))
    }
    repeated = {prompt: count for prompt, count in starts.items() if count > 1}
    assert not repeated, repeated


@then('items without an answer end as "{code}"')
def check_errors(context: Context, code: str) -> None:
    errors = [line['error'] for line in context.bench.results if line['error']]
    assert errors
    assert {error['code'] for error in errors} == {code}, errors


@then('items in progress continue')
def check_progress(context: Context) -> None:
    bench = context.bench
    before = _count_tokens(bench)
    gevent.sleep(0.5)
    assert _count_tokens(bench) > before


@then('a new job is refused with ran "{ran}"')
def check_new_job(context: Context, ran: str) -> None:
    reply = context.bench.client.call(
        'POST',
        '/v1/batches',
        msgspec.json.encode(
            {
                'input_file_id': 'file-x',
                'endpoint': '/v1/chat/completions',
            }
        ),
    )
    assert reply.status == 503, reply
    assert msgspec.json.decode(reply.body)['error']['ran'] == ran


@then('the results of an earlier job are not lost')
def check_results_stored(context: Context) -> None:
    platform = context.bench.site.platform
    assert any('/jobs/' in key for key in platform.cells)


@then('all answers name the same job')
@then('it is the same job')
def check_same_job(context: Context) -> None:
    assert len(set(context.jobs)) == 1, context.jobs


@then('it is refused as "{kind}"')
def check_refused(context: Context, kind: str) -> None:
    page = msgspec.json.decode(context.reply.body)
    assert page['error']['type'] == kind, page


@then('no item starts after {seconds:d} s')
def check_no_starts(context: Context, seconds: int) -> None:
    bench = context.bench
    since = time.monotonic() - bench.notes['cancelled']
    gevent.sleep(max(0, seconds - since))
    before = _count_starts(bench)
    gevent.sleep(1)
    assert _count_starts(bench) == before


@then('the items that crash, fail and are rejected have failed')
def check_bad_items(context: Context) -> None:
    by_id = {line['custom_id']: line for line in context.bench.results}
    for position in BAD_PROMPTS.values():
        line = by_id[f'item-{position}']
        code = (line['response'] or {}).get('status_code')
        assert code == 400 or line['error']['code'] == 'failed', line


@then('all other items have their right answers')
def check_other_items(context: Context) -> None:
    bad = {f'item-{position}' for position in BAD_PROMPTS.values()}
    others = [
        line for line in context.bench.results if line['custom_id'] not in bad
    ]
    wrong = [line for line in others if not _is_right(line)]
    assert not wrong, wrong[0]


@then('no crashing item was started more than {count:d} times')
def check_crashes(context: Context, count: int) -> None:
    starts = context.bench.count_starts('[[crash]] now')
    assert 1 <= starts <= count, starts


@then('it has no work left when it stops, within {seconds:d} s')
def check_stopped(context: Context, seconds: int) -> None:
    notes = context.bench.notes
    assert notes['remaining_work'] == 0, notes
    assert notes['stop_seconds'] < seconds, notes


@then('no credit was paid twice')
def check_credits(context: Context) -> None:
    paid = context.bench.site.catalogue.credits
    assert max(paid.values()) == 1, paid.most_common(3)


def _find_busy_owner(bench: Bench) -> str | None:
    for name, replica in bench.site.replicas.items():
        worker = replica.app.worker
        if worker.owned_chunks.chunks and replica.app.gate.batch:
            return name
    return None


def _is_taken_over(bench: Bench, chunk: Any) -> bool:
    job = bench.site.find_entry().app.board.jobs.get(chunk.job.id)
    if job is None:
        return True
    claim = job.claims.get(chunk.index)
    return claim is None or claim.claim.fence > chunk.claim.fence


def _is_right(line: dict[str, Any]) -> bool:
    if not line['response'] or line['response']['status_code'] != 200:
        return False
    number = line['custom_id'].removeprefix('item-')
    text = line['response']['body']['choices'][0]['message']['content']
    return bool(
        text == make_answer('netlist-llm', f'corner {number}', ANSWER_TOKENS)
    )


def _count_tokens(bench: Bench) -> int:
    return sum(
        replica.engine.batcher.work.tokens
        for replica in bench.all_replicas()
        if replica.engine
    )


def _count_starts(bench: Bench) -> int:
    return sum(
        replica.engine.prompt_starts.total()
        for replica in bench.all_replicas()
        if replica.engine
    )


@when('entry {number:d} restarts with an empty data folder')
def empty_folder(context: Context, number: int) -> None:
    site = context.bench.site
    name = f'entry-{number}'
    site.crash_entry(name)
    (site.folder / name).rename(site.folder / f'{name}-old')
    site.add_entry(name)


@then('each record names {count:d} existing folders')
def check_copies(context: Context, count: int) -> None:
    site = context.bench.site
    wait_for(lambda: _have_all_copies(site, count), 20)


@when('the entries {first:d} and {second:d} are lost')
def lose_entries(context: Context, first: int, second: int) -> None:
    for number in (first, second):
        context.bench.site.crash_entry(f'entry-{number}')


@then('the results can still be read')
def reread_results(context: Context) -> None:
    bench = context.bench
    bench.client.addresses = bench.site.list_addresses()
    bench.results = bench.client.read_results(bench.batch)


def _have_all_copies(site: Any, count: int) -> bool:
    present = {
        entry.app.components.folder.incarnation
        for entry in site.entries.values()
    }
    copies = []
    for key, cell in site.platform.cells.items():
        if '/results/' in key:
            finished = msgspec.json.decode(cell.value, type=FinishedJob)
            copies += [chunk.segment.copies for chunk in finished.chunks]
            copies.append(finished.job.copies)
        elif '/files/' in key:
            copies.append(
                msgspec.json.decode(cell.value, type=FileRecord).copies
            )
    return bool(copies) and all(
        len(set(each) & present) == count for each in copies
    )


@when('the job record is written again as it was accepted')
def rewrite_job(context: Context) -> None:
    bench = context.bench
    site = bench.site
    job = build_job(
        id=bench.job,
        customer='suva-design-shop',
        file=bench.batch['input_file_id'],
        pages=(32, 8),
        model='netlist-llm',
        service='netlist-llm',
        idempotent=False,
    )
    context.write_result = site.find_entry().app.components.platform.swap(
        name_job(job.customer, job.id),
        msgspec.json.encode(job),
        0,
    )


@when('all entries reload the jobs')
def reload_jobs(context: Context) -> None:
    faults = context.bench.site.platform.faults
    faults.down = True
    gevent.sleep(0.5)
    faults.down = False
    gevent.sleep(2)


@then('that write is refused')
def check_write_refused(context: Context) -> None:
    assert context.write_result == Err(Failure.conflict), context.write_result


@when('the key-value service takes {delay:d} ms for each call')
def slow_service(context: Context, delay: int) -> None:
    context.bench.site.platform.faults.delay = delay / 1000


@when('the key-value service goes down')
def stop_platform_now(context: Context) -> None:
    context.bench.site.platform.faults.down = True


@when('all VMs of data centre "{name}" are lost')
def lose_data_centre(context: Context, name: str) -> None:
    bench = context.bench
    wait_for(lambda: _find_busy_owner(bench))
    site = bench.site
    for vm, replica in list(site.replicas.items()):
        if replica.settings.data_centre == name:
            bench.crash_replica(vm)
    for vm, entry in site.entries.items():
        if entry.settings.data_centre == name:
            site.crash_entry(vm)


@then('the batch is shown as "{status}" by both entries')
def check_shown(context: Context, status: str) -> None:
    for _ in range(2):
        page = context.bench.client.read_batch(context.bench.job)
        assert page['status'] == status, page
        assert page['request_counts']['completed'] == context.bench.items


@then('another customer cannot read them')
def check_isolation(context: Context) -> None:
    bench = context.bench
    other = Client(
        bench.client.addresses,
        'koro-demo-key-university-lab',
        'netlist-llm',
    )
    for path in (
        f'/v1/batches/{bench.job}',
        f'/v1/files/{bench.batch["output_file_id"]}/content',
        f'/v1/files/{bench.batch["input_file_id"]}',
    ):
        assert other.call('GET', path).status in {404, 503}, path


@when('the next run of one local process raises an internal error')
def fail_next_run(context: Context) -> None:
    bench = context.bench
    name = wait_for(lambda: _find_busy_owner(bench))
    worker = bench.site.replicas[name].app.worker
    advance = worker.engine.advance
    failures_left = [1]

    def advance_or_fail(run: Any) -> Any:
        if failures_left[0]:
            failures_left[0] -= 1
            raise ZeroDivisionError
        return advance(run)

    worker.engine = _FailingEngineClient(worker.engine, advance_or_fail)
    wait_for(lambda: not failures_left[0])


@when('entry {number:d} is frozen for {seconds:d} s')
def freeze_entry(context: Context, number: int, seconds: int) -> None:
    bench = context.bench
    wait_for(lambda: _find_busy_owner(bench))
    entry = bench.site.entries[f'entry-{number}']
    entry.faults.freeze()
    bench.client.addresses = [
        address
        for address in bench.client.addresses
        if address != entry.app.server.address
    ]
    gevent.sleep(seconds)
    entry.faults.thaw()


class _FailingEngineClient:
    """Wraps an engine client and replaces its ``advance``."""

    def __init__(self, engine: Any, advance: Any) -> None:
        self._engine = engine
        self.advance = advance

    def __getattr__(self, name: str) -> Any:
        return getattr(self._engine, name)


@when('a claim is stored before its job')
def write_early_claim(context: Context) -> None:
    platform = context.bench.site.find_entry().app.components.platform
    context.early_claim = name_chunk('batch_early', 0)
    platform.swap(
        context.early_claim,
        msgspec.json.encode(build_claim()),
        0,
    ).unwrap()


@then('the claim still exists after {seconds:d} s')
def check_claim(context: Context, seconds: int) -> None:
    gevent.sleep(seconds)
    assert context.early_claim in context.bench.site.platform.cells
