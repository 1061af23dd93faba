"""Steps for requests that crash upstreams."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from behave import given, then, when

from tests.builders import wait_for
from tests.hosted.builders import HostedSite
from tests.hosted.callers import DEADLY_BODY, OtherCallers, RepeatingCaller
from wigeonpier.bench.engine import CRASH_MARK
from wigeonpier.bench.replica import DEADLY_SECONDS

if TYPE_CHECKING:
    from behave.runner import Context

FINAL_STATUS = 400
CRASHING_PROMPT = f'{CRASH_MARK} one'
RETRY_SECONDS = 0.2
REQUEST_INTERVAL_SECONDS = 0.1
ANSWER_TOKENS = 4


@given('a hosted site of {entries:d} entries and {replicas:d} replicas')
def start_hosted_site(context: Context, entries: int, replicas: int) -> None:
    site = HostedSite()
    gevent.Greenlet.add_spawn_callback(site.greenlets.append)
    context.bench.stack.callback(site.stop)
    context.bench.stack.callback(
        gevent.Greenlet.remove_spawn_callback,
        site.greenlets.append,
    )
    site.start(replicas=replicas, entries=entries, event_seconds=0.02)
    context.hosted = site


@when('a caller repeats a request that crashes replicas for {seconds:g} s')
def repeat_request(context: Context, seconds: float) -> None:
    context.repeating = RepeatingCaller(context.hosted, DEADLY_BODY)
    context.others = OtherCallers(context.hosted)
    others = gevent.spawn(context.others.send_for, seconds)
    gevent.sleep(DEADLY_SECONDS)
    context.repeating.repeat_for(seconds - 1)
    others.get()


@then('at most {max_crashes:d} replicas have crashed')
def check_crashed_replicas(context: Context, max_crashes: int) -> None:
    crashes = [
        crash
        for replica in context.hosted.replicas
        for crash in replica.ended_by
    ]
    assert 0 < len(crashes) <= max_crashes, (
        f'{len(crashes)} replicas have crashed'
    )


@then('that caller gets a final refusal and is not asked to retry')
def check_refusal(context: Context) -> None:
    last = context.repeating.replies[-1]
    assert last.status == FINAL_STATUS, context.repeating.list_statuses()
    assert b'"ran":"no"' in last.body


@then('each other caller got its complete answer')
def check_others(context: Context) -> None:
    others = context.others
    assert others.succeeded, 'no other request succeeded'
    assert not others.failed, f'{others.failed} and {others.succeeded} complete'


@when('a caller repeats a prompt that crashes engines for {seconds:g} s')
def repeat_prompt(context: Context, seconds: float) -> None:
    bench = context.bench
    wait_for(lambda: all(bench.ask('up?', 2).is_right for _ in range(6)))
    deadline = time.monotonic() + seconds
    context.other_requests = gevent.spawn(_send_others, context, deadline)
    context.statuses = []
    while time.monotonic() < deadline - 1:
        context.statuses.append(
            bench.ask(CRASHING_PROMPT, ANSWER_TOKENS).status
        )
        gevent.sleep(RETRY_SECONDS)


def _send_others(context: Context, deadline: float) -> list[bool]:
    requests = []
    while time.monotonic() < deadline:
        prompt = f'request {len(requests)}'
        requests.append(gevent.spawn(_send_with_retry, context, prompt))
        gevent.sleep(REQUEST_INTERVAL_SECONDS)
    return [greenlet.get() for greenlet in requests]


def _send_with_retry(context: Context, prompt: str) -> bool:
    """Send a prompt, and retry it once."""
    if context.bench.ask(prompt, ANSWER_TOKENS).is_right:
        return True
    gevent.sleep(RETRY_SECONDS)
    return context.bench.ask(prompt, ANSWER_TOKENS).is_right


@then('at most {max_crashes:d} engines have crashed')
def check_crashed_engines(context: Context, max_crashes: int) -> None:
    replicas = context.bench.site.replicas.values()
    crashes = sum(
        replica.engine.crashes for replica in replicas if replica.engine
    )
    assert 0 < crashes <= max_crashes, f'{crashes} engines have crashed'


@then('the prompt gets a final refusal and is not asked to retry')
def check_prompt(context: Context) -> None:
    assert context.statuses[-1] == FINAL_STATUS, context.statuses


@then('each other request got its own complete answer')
def check_other_requests(context: Context) -> None:
    answers = context.other_requests.get()
    assert answers
    assert all(answers), f'{answers.count(False)} of {len(answers)}'
