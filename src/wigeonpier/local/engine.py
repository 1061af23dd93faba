"""Runs batch items at the upstream as streams that can be paused."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

import gevent
import msgspec
from geventhttpclient.response import HTTPParseError
from result import Err, Result

from wigeonpier.batch.models import CHAT_PATH
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web import headers
from wigeonpier.web.client import CallFailure
from wigeonpier.web.messages import EVENT_STREAM_TYPE, JSON_TYPE
from wigeonpier.web.sse import CHAT, TEXT, Assembler, Completion, continue_body

if TYPE_CHECKING:
    from wigeonpier.local.gate import Gate
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.client import HttpClient, StreamReply

READ_TIMEOUT_SECONDS = 60.0
CANCEL_TIMEOUT_SECONDS = 2.0
MAX_CANCEL_ATTEMPTS = 10
CANCEL_INTERVAL_SECONDS = 0.02
FIRST_ERROR_STATUS = 400
NOT_FOUND = 404
SERVER_ERROR = 500
TOO_MANY = 429


class _Cancelled(msgspec.Struct):
    cancelled: bool = True


class RunEnd(StrEnum):
    """Outcome of a run at the upstream."""

    answered = 'answered'
    stopped = 'stopped'
    not_run = 'not_run'
    failed = 'failed'
    lost = 'lost'


@dataclass(slots=True)
class Run:
    """One run of one batch item, which may be paused and resumed.

    :param identity: id of the stream at the upstream.
    :param path: path at the upstream.
    :param body: body of the request.
    :param is_stream: whether the upstream streams the answer.
    :param started_at: monotonic seconds.
    :param assembler: the part of the answer received so far.
    :param is_paused: whether it was paused, so that the upstream may still
        store its state.
    :param code: HTTP status.
    :param answer: complete answer.
    :param usage: tokens that it used.
    """

    identity: str
    path: str
    body: bytes
    is_stream: bool
    started_at: float = field(default_factory=time.monotonic)
    assembler: Assembler = field(default_factory=Assembler)
    is_paused: bool = False
    code: int = 0
    answer: bytes = b''
    usage: Completion = field(default_factory=Completion)


@dataclass(frozen=True, slots=True)
class Engine:
    """Runs batch items at one upstream.

    :param client: connections to the upstream.
    :param address: ``host:port`` of the upstream.
    :param gate: gate that learns from the gaps between tokens.
    :param metrics: metrics of this process.
    :param service: service that the upstream is a replica of.
    """

    client: HttpClient
    address: str
    gate: Gate
    metrics: Metrics
    service: str

    def advance(self, run: Run) -> RunEnd:
        """Run until the answer is complete or the stream ends otherwise.

        :param run: the run; stores the partial answer for the next call.
        :returns: how the run ended.
        """
        try:
            opened = self._open(run)
        except (OSError, HTTPParseError):
            return RunEnd.lost
        if isinstance(opened, Err):
            if opened.err_value is CallFailure.not_sent:
                return RunEnd.not_run
            return RunEnd.lost
        reply = opened.ok_value
        try:
            return self._read(run, reply)
        except (OSError, HTTPParseError, msgspec.DecodeError):
            return RunEnd.lost
        finally:
            reply.close()

    def stop(self, run: Run) -> None:
        """Pause a stream; the upstream retains its state for a while.

        :param run: the run.
        """
        run.is_paused = True
        gevent.spawn(self._cancel, run)

    def _cancel(self, run: Run) -> None:
        # The cancel may arrive before the request that it cancels.
        for _ in range(MAX_CANCEL_ATTEMPTS):
            called = self.client.call(
                self.address,
                'POST',
                f'/v1/streams/{run.identity}/cancel',
                timeout=CANCEL_TIMEOUT_SECONDS,
            )
            if isinstance(called, Err) or not run.is_paused:
                return
            if called.ok_value.decode(_Cancelled).cancelled:
                return
            gevent.sleep(CANCEL_INTERVAL_SECONDS)

    def _open(self, run: Run) -> Result[StreamReply, CallFailure]:
        if run.is_paused:
            run.is_paused = False
            resumed = self._resume(run)
            if resumed is not None:
                return resumed
        body = run.body
        if run.assembler.parts:
            body = continue_body(
                body,
                run.assembler.text,
                len(run.assembler.parts),
            )
        return self._post(run.path, body, run.identity)

    def _resume(self, run: Run) -> Result[StreamReply, CallFailure] | None:
        resume_request = {
            'delivered': len(run.assembler.parts),
            # If no token has arrived yet, the object type is unknown here.
            'object': CHAT if run.path == CHAT_PATH else TEXT,
        }
        opened = self._post(
            f'/v1/streams/{run.identity}/resume',
            msgspec.json.encode(resume_request),
            run.identity,
        )
        if isinstance(opened, Err):
            return opened
        if opened.ok_value.status == NOT_FOUND:
            opened.ok_value.read()
            opened.ok_value.close()
            return None
        return opened

    def _observe_token(self, run: Run, last: float) -> None:
        if not last and len(run.assembler.parts) > 1:
            # The first token after a pause has no preceding token.
            return
        self.metrics.observe(
            'between_tokens' if last else 'first_token',
            time.monotonic() - (last or run.started_at),
            service=self.service,
            work='batch',
        )

    def _post(
        self,
        path: str,
        body: bytes,
        identity: str,
    ) -> Result[StreamReply, CallFailure]:
        return self.client.open(
            self.address,
            'POST',
            path,
            body,
            headers={
                'content-type': JSON_TYPE,
                headers.REQUEST_ID: identity,
            },
            timeout=READ_TIMEOUT_SECONDS,
        )

    def _read(self, run: Run, reply: StreamReply) -> RunEnd:
        run.code = reply.status
        content_type = reply.get_header('content-type')
        if not content_type.startswith(EVENT_STREAM_TYPE):
            return _read_response(run, reply)
        with self.gate.watch_tokens() as watch:
            for line in reply.iterate_lines():
                if run.assembler.feed(line):
                    self._observe_token(run, watch.last)
                    watch.record_token()
                if run.assembler.is_mixed:
                    return _drop_text(run)
        if not run.assembler.is_whole:
            return RunEnd.stopped if run.is_paused else RunEnd.lost
        run.answer = msgspec.json.encode(run.assembler.make_body())
        if run.assembler.usage:
            run.usage = Completion(run.assembler.usage)
        return RunEnd.answered


def _drop_text(run: Run) -> RunEnd:
    """Restart a run after the fingerprint of the engine has changed."""
    log_event(Event.run_restarted, run=run.identity)
    run.assembler = Assembler()
    return RunEnd.lost


def prepare_body(raw: bytes, is_stream: bool) -> bytes:
    """Prepare the body of an item's request for the upstream.

    :param raw: body from the input line.
    :param is_stream: whether to request a stream with token usage.
    :returns: body for the upstream.
    """
    if not is_stream:
        return raw
    body = msgspec.json.decode(raw)
    body['stream'] = True
    body['stream_options'] = {'include_usage': True}
    return msgspec.json.encode(body)


def _read_response(run: Run, reply: StreamReply) -> RunEnd:
    run.answer = reply.read()
    if reply.status == TOO_MANY:
        return RunEnd.not_run
    if reply.status >= SERVER_ERROR:
        return RunEnd.failed
    if reply.status < FIRST_ERROR_STATUS and run.is_stream:
        run.usage = msgspec.json.decode(run.answer, type=Completion)
    return RunEnd.answered
