"""Stand-in for a model engine with the published completion interface."""

from __future__ import annotations

import random
import time
from collections import Counter
from contextlib import ExitStack
from errno import ECONNRESET
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent
import msgspec

from wigeonpier.bench.answers import DEFAULT_LENGTH
from wigeonpier.bench.batching import (
    Batcher,
    EngineGoneError,
    EngineShape,
    Sequence,
)
from wigeonpier.bench.completions import (
    CHAT,
    TEXT,
    make_chunk,
    make_completion,
    make_last,
    make_usage,
    read_prompt,
    render_event,
)
from wigeonpier.bench.orders import EngineState, OrderHandler
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.settings.process import split_address
from wigeonpier.web import headers
from wigeonpier.web.messages import (
    EVENT_STREAM_TYPE,
    Response,
    answer_json,
    make_identity,
)
from wigeonpier.web.server import Server, dispatch_to, make_route

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.web.messages import Request

MAX_BODY_BYTES = 16_000_000
COUNTS_PATH = '/bench/counts'
CRASH_MARK = '[[crash]]'
REJECT_MARK = '[[reject]]'
FAIL_MARK = '[[fail]]'
RESTART_SECONDS = 0.5
LOAD_LAG_SECONDS = 1.0
EVENT_LAG_SECONDS = 0.5
EVENT_LOSS = 0.05


class EngineCount(msgspec.Struct):
    """Work that an engine has done.

    :param batch_tokens: tokens of batch work.
    :param batch_seconds: slot-seconds of batch work.
    :param online_seconds: slot-seconds of online work.
    :param at: time of the count, seconds of the monotonic clock.
    """

    batch_tokens: int
    batch_seconds: float
    online_seconds: float
    at: float


class StandInEngine:
    """One engine on one port."""

    def __init__(
        self,
        models: tuple[str, ...],
        shape: EngineShape,
        *,
        checks_fencing: bool = False,
        seed: int = 0,
    ) -> None:
        """Load the models without listening."""
        self.batcher = Batcher(shape)
        self.state = EngineState(dict.fromkeys(models, '1'))
        self.orders = OrderHandler(self.state, checks_fencing)
        self.version = 'v1'
        self.is_down = False
        self.crashes = 0
        self.prompt_starts: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._loads: list[tuple[float, dict[str, int]]] = []
        self._server: Server | None = None

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener."""
        if self._server is None:
            raise RuntimeError('the engine does not listen')
        return self._server.address

    def serve(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Listen for calls.

        :param host: address to listen on.
        :param port: port, 0 for a free one.
        """
        self._server = Server(host, port, self.handle)
        self._server.start()

    def stop(self) -> None:
        """Stop listening and abort all streams."""
        self.batcher.crash()
        self.batcher.stop()
        if self._server is not None:
            self._server.stop()

    def crash(self, seconds: float = RESTART_SECONDS) -> None:
        """Abort all streams and refuse calls until the restart.

        :param seconds: time until the restart.
        """
        if self.is_down:
            return
        self.is_down = True
        self.crashes += 1
        self.batcher.crash()
        if self._server is None:
            gevent.spawn_later(seconds, self._restart)
            return
        host, port = split_address(self.address)
        # The address refuses connections, as it does without a process.
        self._server.stop()
        gevent.spawn_later(seconds, self._restart, host, port)

    def handle(self, request: Request) -> Response:
        """Answer one call.

        :param request: the call.
        :returns: the answer.
        """
        request.body_limit = MAX_BODY_BYTES
        if self.is_down:
            raise ConnectionResetError(ECONNRESET, 'the engine has crashed')
        routes = [
            make_route('POST', '/v1/(chat/)?completions', self._complete),
            make_route('GET', '/v1/models', self._list_models),
            make_route('POST', '/v1/streams/([^/]+)/cancel', self._cancel),
            make_route('POST', '/v1/streams/([^/]+)/resume', self._resume),
            make_route('GET', '/v1/kv/([^/]+)', self._export_kv),
            make_route('POST', '/v1/kv', self._import_kv),
            make_route('GET', '/v1/cache/events', self._list_events),
            make_route('GET', '/v1/load', self._report_load),
            make_route('GET', COUNTS_PATH, self._report_counts),
            make_route('POST', '/v1/orders', self.orders.obey),
            make_route('GET', '/healthz', _answer_health),
        ]
        return dispatch_to(routes)(request)

    def _restart(self, host: str = '', port: int = 0) -> None:
        self.is_down = False
        if host:
            self.serve(host, port)

    def _complete(self, request: Request, chat: str | None) -> Response:
        body = msgspec.json.decode(request.read_body())
        prompt = read_prompt(body)
        self._apply_marks(prompt)
        sequence = Sequence(
            identity=request.headers.get(headers.REQUEST_ID) or make_identity(),
            model=body['model'],
            prompt=prompt,
            length=int(body.get('max_tokens') or DEFAULT_LENGTH),
            produced=_read_delivered(body),
            version=self.version,
        )
        if sequence.model not in self.state.models:
            raise Refusal(ErrorKind.model_not_found, 'model is not loaded')
        self.prompt_starts[prompt] += 1
        self.batcher.add(sequence)
        shape = CHAT if chat else TEXT
        if body.get('stream'):
            return self._stream(sequence, shape, _wants_usage(body))
        text = ''.join(sequence.iterate_tokens())
        return answer_json(make_completion(sequence, shape, text))

    def _stream(
        self,
        sequence: Sequence,
        shape: str,
        wants_usage: bool,
    ) -> Response:
        return Response(
            HTTPStatus.OK,
            self._render_stream(sequence, shape, wants_usage),
            EVENT_STREAM_TYPE,
        )

    def _render_stream(
        self,
        sequence: Sequence,
        shape: str,
        wants_usage: bool,
    ) -> Iterator[bytes]:
        with ExitStack() as stack:
            # Runs as well when the caller closes the connection early.
            stack.callback(self._drop_unfinished, sequence)
            for token in sequence.iterate_tokens():
                yield render_event(make_chunk(sequence, shape, token))
            if sequence.is_cancelled:
                return
            yield render_event(make_last(sequence, shape))
            if wants_usage:
                yield render_event(make_usage(sequence, shape))
            yield b'data: [DONE]\n\n'

    def _drop_unfinished(self, sequence: Sequence) -> None:
        if sequence.produced < sequence.length:
            self.batcher.cancel(sequence)

    def _cancel(self, _request: Request, identity: str) -> Response:
        sequence = self.batcher.find(identity)
        if sequence is not None:
            self.batcher.cancel(sequence)
        return answer_json({'cancelled': sequence is not None})

    def _resume(self, request: Request, identity: str) -> Response:
        kept = self.batcher.kept.get(identity)
        if kept is None:
            raise Refusal(ErrorKind.not_found, 'the stream is not kept')
        message = msgspec.json.decode(request.read_body())
        sequence = Sequence(
            identity,
            kept.model,
            kept.prompt,
            kept.length,
            int(message['delivered']),
            version=self.version,
        )
        self.batcher.add(sequence)
        return self._stream(sequence, message.get('object', CHAT), True)

    def _export_kv(self, _request: Request, identity: str) -> Response:
        kept = self.batcher.kept.get(identity)
        if kept is None:
            raise Refusal(ErrorKind.not_found, 'the stream is not kept')
        return answer_json(
            {
                'identity': kept.identity,
                'model': kept.model,
                'prompt': kept.prompt,
                'length': kept.length,
                'produced': kept.produced,
            }
        )

    def _import_kv(self, request: Request) -> Response:
        content = msgspec.json.decode(request.read_body())
        self.batcher.kept[content['identity']] = Sequence(**content)
        return answer_json({'imported': True})

    def _list_events(self, request: Request) -> Response:
        since = int(request.query.removeprefix('since=') or 0)
        gevent.sleep(EVENT_LAG_SECONDS)
        events = [
            {'number': number, 'kind': kind, 'block': str(block)}
            for number, (kind, block) in enumerate(self.batcher.cache.events)
            if number >= since and self._random.random() >= EVENT_LOSS
        ]
        return answer_json(events)

    def _report_load(self, _request: Request) -> Response:
        now = time.monotonic()
        running = len(self.batcher.running)
        waiting = len(self.batcher.waiting)
        self._loads.append((now, {'running': running, 'waiting': waiting}))
        while len(self._loads) > 1 and (
            self._loads[1][0] <= now - LOAD_LAG_SECONDS
        ):
            self._loads.pop(0)
        return answer_json(self._loads[0][1])

    def _report_counts(self, _request: Request) -> Response:
        work = self.batcher.work
        return answer_json(
            EngineCount(
                work.batch_tokens,
                work.batch_seconds,
                work.online_seconds,
                time.monotonic(),
            ),
        )

    def _list_models(self, _request: Request) -> Response:
        data = [
            {'id': name, 'object': 'model', 'version': version}
            for name, version in self.state.models.items()
        ]
        return answer_json({'object': 'list', 'data': data})

    def _apply_marks(self, prompt: str) -> None:
        if REJECT_MARK in prompt:
            raise Refusal(ErrorKind.invalid_request, 'the prompt is refused')
        if FAIL_MARK in prompt:
            raise Refusal(ErrorKind.internal, 'the prompt cannot be answered')
        if CRASH_MARK in prompt:
            self.prompt_starts[prompt] += 1
            self.crash()
            raise EngineGoneError(ECONNRESET, 'the engine crashed')


def _answer_health(_request: Request) -> Response:
    return answer_json({'ok': True})


def _read_delivered(body: dict[str, Any]) -> int:
    continuation = body.get('continuation') or {}
    return int(continuation.get('tokens', 0))


def _wants_usage(body: dict[str, Any]) -> bool:
    options = body.get('stream_options') or {}
    return bool(options.get('include_usage'))
