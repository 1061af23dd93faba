"""Load generator: sends online requests and batch jobs, measures answers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from geventhttpclient.response import HTTPParseError
from result import Err

from wigeonpier.bench.answers import make_answer
from wigeonpier.web.client import HttpClient, Reply, StreamReply
from wigeonpier.web.messages import ErrorBody, ErrorPage
from wigeonpier.web.sse import Assembler

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wigeonpier.bench.arrivals import Arrival

CHAT = '/v1/chat/completions'
BOUNDARY = 'wigeonpier-bench-boundary'
TIMEOUT_SECONDS = 120.0
POLL_SECONDS = 0.1
FINAL = ('completed', 'cancelled')


@dataclass(slots=True)
class Answer:
    """Outcome of one online request.

    :param arrival: the request.
    :param status: HTTP status, 0 for no answer.
    :param first_token: seconds to the first token, ``None`` for no token.
    :param gaps: seconds between tokens.
    :param is_right: whether the answer is complete and correct.
    :param kind: kind of the error, empty for none.
    :param ran: whether the request ran, as a refusal states it.
    :param ended: end, seconds from the start of the run.
    """

    arrival: Arrival
    status: int = 0
    first_token: float | None = None
    gaps: list[float] = field(default_factory=list)
    is_right: bool = False
    kind: str = ''
    ran: str = ''
    ended: float = 0


@dataclass(slots=True)
class Client:
    """Client of the published interface.

    :param addresses: addresses of entries, used in turn.
    :param key: key of the customer.
    :param model: name of the model.
    :param client: HTTP client.
    """

    addresses: Sequence[str]
    key: str
    model: str
    client: HttpClient = field(default_factory=HttpClient)
    _turn: int = 0

    def ask(self, arrival: Arrival, started: float = 0) -> Answer:
        """Send one online request and read its streamed answer.

        :param arrival: the request.
        :param started: start of the run, seconds of the monotonic clock.
        :returns: outcome of the request.
        """
        answer = Answer(arrival)
        sent_at = time.monotonic()
        opened = self.client.open(
            self._choose_entry(),
            'POST',
            CHAT,
            self.make_body(arrival, is_stream=True),
            headers=self._make_headers(),
            timeout=TIMEOUT_SECONDS,
        )
        if isinstance(opened, Err):
            answer.kind = opened.err_value.value
            return answer
        reply = opened.ok_value
        answer.status = reply.status
        try:
            text = _read_answer(reply, answer, sent_at)
        except (OSError, HTTPParseError, msgspec.DecodeError):
            answer.kind = 'broken'
            text = ''
        reply.close()
        expected = make_answer(self.model, arrival.prompt, arrival.length)
        answer.is_right = text == expected
        answer.ended = time.monotonic() - started
        return answer

    def ask_all(self, arrivals: Sequence[Arrival]) -> list[Answer]:
        """Send online requests at their times and wait for all answers.

        :param arrivals: requests in order of time.
        :returns: outcome of each request.
        """
        started = time.monotonic()
        pending = []
        for arrival in arrivals:
            gevent.sleep(max(0, started + arrival.at - time.monotonic()))
            pending.append(gevent.spawn(self.ask, arrival, started))
        gevent.joinall(pending)
        return [greenlet.get() for greenlet in pending]

    def make_body(self, arrival: Arrival, *, is_stream: bool) -> bytes:
        """Make the body of a chat request.

        :param arrival: the request.
        :param is_stream: whether to stream the answer.
        :returns: JSON.
        """
        body = make_chat(self.model, arrival.prompt, arrival.length)
        return msgspec.json.encode(body | {'stream': is_stream})

    def upload(self, lines: bytes) -> str:
        """Upload a batch file.

        :param lines: content of the file.
        :returns: id of the file.
        """
        form = (
            f'--{BOUNDARY}\r\nContent-Disposition: form-data; name="purpose"'
            f'\r\n\r\nbatch\r\n--{BOUNDARY}\r\nContent-Disposition: '
            'form-data; name="file"; filename="items.jsonl"\r\n\r\n'
        ).encode()
        body = b'%b%b\r\n--%b--\r\n' % (form, lines, BOUNDARY.encode())
        kind = f'multipart/form-data; boundary={BOUNDARY}'
        reply = self.call('POST', '/v1/files', body, {'content-type': kind})
        return str(_read_good(reply)['id'])

    def create_batch(
        self,
        file_id: str,
        endpoint: str = CHAT,
        idempotency_key: str = '',
        window: str = '24h',
    ) -> dict[str, Any]:
        """Create a batch job.

        :param file_id: id of the input file.
        :param endpoint: path of the requests in the file.
        :param idempotency_key: key that marks repeated submissions, empty for
            none.
        :param window: completion window.
        :returns: the batch.
        """
        sent_at = {
            'input_file_id': file_id,
            'endpoint': endpoint,
            'completion_window': window,
        }
        headers = {}
        if idempotency_key:
            headers['idempotency-key'] = idempotency_key
        return _read_good(
            self.call(
                'POST',
                '/v1/batches',
                msgspec.json.encode(sent_at),
                headers,
            ),
        )

    def read_batch(self, job: str) -> dict[str, Any]:
        """Read a batch.

        :param job: id of the batch.
        :returns: the batch.
        """
        return _read_good(self.call('GET', f'/v1/batches/{job}'))

    def cancel_batch(self, job: str) -> dict[str, Any]:
        """Cancel a batch.

        :param job: id of the batch.
        :returns: the batch.
        """
        return _read_good(self.call('POST', f'/v1/batches/{job}/cancel'))

    def await_batch(self, job: str, seconds: float) -> dict[str, Any]:
        """Wait until a batch has ended.

        :param job: id of the batch.
        :param seconds: maximum wait.
        :returns: the batch as last read.
        """
        deadline = time.monotonic() + seconds
        batch: dict[str, Any] = {'status': 'unknown'}
        while time.monotonic() < deadline:
            reply = self.call('GET', f'/v1/batches/{job}')
            if reply is not None and reply.is_good:
                batch = msgspec.json.decode(reply.body)
            if batch['status'] in FINAL:
                break
            gevent.sleep(POLL_SECONDS)
        return batch

    def read_results(self, batch: dict[str, Any]) -> list[dict[str, Any]]:
        """Read all results of a batch that has ended.

        :param batch: the batch.
        :returns: lines of its output and error files.
        """
        lines = []
        for name in ('output_file_id', 'error_file_id'):
            if batch.get(name):
                reply = self.call('GET', f'/v1/files/{batch[name]}/content')
                if reply is None or not reply.is_good:
                    raise RuntimeError(f'{name} cannot be read: {reply}')
                lines += reply.body.splitlines()
        return [msgspec.json.decode(line) for line in lines]

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Reply | None:
        """Send a call to the next entry.

        :param method: HTTP method.
        :param path: path with query.
        :param body: complete body.
        :param headers: additional headers.
        :returns: the answer, ``None`` for no answer.
        """
        called = self.client.call(
            self._choose_entry(),
            method,
            path,
            body,
            headers=self._make_headers() | (headers or {}),
            timeout=TIMEOUT_SECONDS,
        )
        return None if isinstance(called, Err) else called.ok_value

    def _choose_entry(self) -> str:
        self._turn += 1
        return self.addresses[self._turn % len(self.addresses)]

    def _make_headers(self) -> dict[str, str]:
        return {
            'authorization': f'Bearer {self.key}',
            'content-type': 'application/json',
        }


def make_chat(model: str, prompt: str, length: int) -> dict[str, Any]:
    """Make the body of a chat request.

    :param model: name of the model.
    :param prompt: the prompt.
    :param length: number of tokens of the answer.
    :returns: the body.
    """
    return {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': length,
    }


def make_lines(
    model: str,
    prompts: Sequence[str],
    length: int,
    *,
    idempotent: bool | None = None,
) -> bytes:
    """Make a batch file.

    :param model: name of the model.
    :param prompts: one prompt per item; the item's id contains its position.
    :param length: number of tokens of each answer.
    :param idempotent: value of this field in each line, ``None`` to omit it.
    :returns: JSON lines.
    """
    lines = []
    for number, prompt in enumerate(prompts):
        line: dict[str, Any] = {
            'custom_id': f'item-{number}',
            'method': 'POST',
            'url': CHAT,
            'body': make_chat(model, prompt, length),
        }
        if idempotent is not None:
            line['idempotent'] = idempotent
        lines.append(msgspec.json.encode(line))
    return b'\n'.join((*lines, b''))


def _read_answer(reply: StreamReply, answer: Answer, sent_at: float) -> str:
    """Read a streamed answer; return an empty text if it is incomplete."""
    if reply.status != HTTPStatus.OK:
        error = _read_refusal(reply.read())
        answer.kind = error.type
        answer.ran = error.ran
        return ''
    assembler = Assembler()
    last: float = 0
    for line in reply.iterate_lines():
        if not assembler.feed(line):
            continue
        now = time.monotonic()
        if last:
            answer.gaps.append(now - last)
        else:
            answer.first_token = now - sent_at
        last = now
    return assembler.text if assembler.is_whole else ''


def _read_refusal(body: bytes) -> ErrorBody:
    try:
        return msgspec.json.decode(body, type=ErrorPage).error
    except msgspec.DecodeError:
        return ErrorBody('unreadable', '', '')


def _read_good(reply: Reply | None) -> dict[str, Any]:
    if reply is None:
        raise ConnectionError('no answer')
    if not reply.is_good:
        raise RuntimeError(str(reply))
    decoded: dict[str, Any] = msgspec.json.decode(reply.body)
    return decoded
