"""Steps for the official client against the demo."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import openai
from behave import given, then, when

from wigeonpier.bench.answers import make_answer
from wigeonpier.bench.load import make_lines

if TYPE_CHECKING:
    from behave.runner import Context

MODEL = 'netlist-llm'
CHAT = '/v1/chat/completions'
BATCH_TIMEOUT_SECONDS = 60
EXIT_TIMEOUT_SECONDS = 15


@given('the demo serving in a separate process')
def start_demo(context: Context) -> None:
    process = subprocess.Popen(
        [sys.executable, '-m', 'wigeonpier.cli.main', 'demo', '--hold'],
        stdout=subprocess.PIPE,
        text=True,
    )
    context.process = process
    context.bench.stack.callback(process.kill)
    status, address, key = process.stdout.readline().split()
    assert status == 'ready'
    context.client = openai.OpenAI(
        base_url=f'{address}/v1',
        api_key=key.removeprefix('key='),
        max_retries=0,
    )


@when('the official client streams a chat')
def stream_chat(context: Context) -> None:
    chunks = context.client.chat.completions.create(
        model=MODEL,
        messages=[{'role': 'user', 'content': 'what is R1?'}],
        stream=True,
        max_tokens=12,
    )
    context.chat = ''.join(
        chunk.choices[0].delta.content or '' for chunk in chunks
    )


@then('the chat is complete')
def check_chat(context: Context) -> None:
    assert context.chat == make_answer(MODEL, 'what is R1?', 12)


@when('the official client runs a batch of {count:d} items')
def run_batch(context: Context, count: int) -> None:
    prompts = [f'corner {number}' for number in range(count)]
    lines = make_lines(MODEL, prompts, 6)
    client = context.client
    uploaded = client.files.create(file=('x.jsonl', lines), purpose='batch')
    batch = client.batches.create(
        input_file_id=uploaded.id,
        endpoint=CHAT,
        completion_window='24h',
    )
    deadline = time.monotonic() + BATCH_TIMEOUT_SECONDS
    while batch.status != 'completed' and time.monotonic() < deadline:
        time.sleep(0.1)
        batch = client.batches.retrieve(batch.id)
    assert batch.status == 'completed', batch
    text = client.files.content(batch.output_file_id).text
    context.lines = [msgspec.json.decode(line) for line in text.splitlines()]
    context.prompts = prompts


@then('each item is returned once')
def check_items(context: Context) -> None:
    counts = Counter(line['custom_id'] for line in context.lines)
    assert len(context.lines) == len(context.prompts)
    assert set(counts.values()) == {1}
    for line in context.lines:
        number = int(line['custom_id'].removeprefix('item-'))
        choice = line['response']['body']['choices'][0]
        expected = make_answer(MODEL, context.prompts[number], 6)
        assert choice['message']['content'] == expected


@then('the process exits with status 0 when it is interrupted')
def check_exit(context: Context) -> None:
    context.process.send_signal(signal.SIGINT)
    assert context.process.wait(EXIT_TIMEOUT_SECONDS) == 0
