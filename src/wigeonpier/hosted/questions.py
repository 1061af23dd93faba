"""Questions of callers: routed, sent, streamed back, resumed elsewhere."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.hosted.events import EventReader
from wigeonpier.platform import ingress, register
from wigeonpier.policy.matching import draw_service, match_route
from wigeonpier.policy.route import Ask, choose_upstream, note_outcome
from wigeonpier.policy.silence import limit_silence
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import (
    ConnectionPool,
    Exchange,
    make_request,
    watch_close,
)
from wigeonpier.web.messages import EVENT_STREAM_TYPE, Response

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    import gevent

    from wigeonpier.hosted.configuration import ConfigurationWatch
    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.models import HostSettings, ServedRoute
    from wigeonpier.platform.ingress import QuestionHead
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.messages import Request

# Sends that were turned away unrun cost a few ms each; more than these say
# that the service is full.
MOST_SENDS = 4
# A waiting request is answered by the time one running answer has ended.
RETRY_AFTER_SECONDS = 0.3
MOST_SECONDS = 60.0


class CallerGoneError(OSError):
    """The caller has closed its connection."""


@dataclass(slots=True)
class Question:
    """One attempt of a caller, on its way.

    :param request: as it came.
    :param head: what its headers say.
    :param route: its route.
    :param service: service that was drawn.
    :param body: its bytes.
    :param give_up_at: deadline or timeout, whichever is sooner.
    :param tried: upstreams that got it.
    :param runs: sends that may have run.
    :param resume_after: last event that the caller has, or empty.
    :param upstream: where it is now.
    :param answer: the answer that is read now.
    :param is_gone: whether the caller has left.
    :param watcher: watches the caller's connection.
    """

    request: Request
    head: QuestionHead
    route: ServedRoute
    service: str
    body: bytes
    began_at: float
    give_up_at: float
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    resume_after: str = ''
    upstream: UpstreamState | None = None
    answer: Exchange | None = None
    is_gone: bool = False
    watcher: gevent.Greenlet[..., None] | None = None

    @property
    def seconds_left(self) -> float:
        """Give the time until it is given up."""
        return self.give_up_at - time.monotonic()

    @property
    def may_run_again(self) -> bool:
        """Tell whether one more upstream may run it."""
        if self.runs == 0:
            return True
        return self.route.is_idempotent and self.runs < self.route.tries

    def leave(self) -> None:
        """Stop the upstream's work, since the caller has left."""
        self.is_gone = True
        if self.answer is not None:
            self.answer.abort()


class QuestionDesk:
    """Answers questions of callers."""

    def __init__(
        self,
        settings: HostSettings,
        configuration: ConfigurationWatch,
        replicas: ReplicaRegister,
        pool: ConnectionPool,
        metrics: Metrics,
        draw: random.Random,
    ) -> None:
        """Use the beliefs of this process."""
        self._settings = settings
        self._configuration = configuration
        self._replicas = replicas
        self._pool = pool
        self._metrics = metrics
        self._draw = draw

    def answer(self, request: Request) -> Response:
        """Answer one question.

        :param request: the caller's.
        :returns: the upstream's answer.
        :raises Refusal: where it gets none.
        """
        question = self._receive(request)
        question.watcher = watch_close(request.connection, question.leave)
        try:
            return self._send_until_answered(question)
        except BaseException:
            self._finish(question, 'refused')
            raise

    def _receive(self, request: Request) -> Question:
        configuration = self._configuration.current
        if configuration is None:
            raise Refusal(ErrorKind.not_ready, 'no configuration is known yet')
        head = ingress.read_question(request)
        route = match_route(configuration, head.host, request.path)
        if route is None:
            raise Refusal(ErrorKind.not_found, f'no route for {request.path}')
        now = time.monotonic()
        request.body_limit = configuration.body_limit
        seconds = min(head.seconds or MOST_SECONDS, route.timeout)
        return Question(
            request,
            head,
            route,
            draw_service(route, self._draw),
            request.read_body(),
            now,
            now + seconds,
            resume_after=head.resume_after,
        )

    def _send_until_answered(self, question: Question) -> Response:
        why = 'no upstream'
        for _number in range(MOST_SENDS):
            upstream = self._choose(question)
            if upstream is None or question.seconds_left <= 0:
                break
            sent = self._send(question, upstream)
            if isinstance(sent, Ok):
                return self._make_response(question, sent.ok_value)
            why = sent.err_value
            if not question.may_run_again:
                break
        raise self._refuse(question, why)

    def _choose(self, question: Question) -> UpstreamState | None:
        parts = question.head.prompt_parts
        shared = parts[:-1]
        ask = Ask(
            service=question.service,
            model='',
            affinity=shared[-1] if shared else '',
            data_centre=self._settings.data_centre,
            region=self._settings.region,
            excluded=frozenset(question.tried),
        )
        return choose_upstream(
            self._replicas.list_upstreams(),
            ask,
            time.monotonic(),
            self._draw,
        )

    def _send(
        self,
        question: Question,
        upstream: UpstreamState,
    ) -> Result[Exchange, str]:
        """Send a question once and judge the head of its answer."""
        question.tried.add(upstream.name)
        opened = self._open(question, upstream)
        if isinstance(opened, Err):
            return self._note_failure(question, upstream, opened.err_value)
        answer = opened.ok_value
        self._note_load(upstream, answer)
        if ingress.has_not_run(answer):
            self._release(question)
            return self._note_failure(question, upstream, 'turned away')
        question.runs += 1
        if not ingress.is_own_answer(answer, question.head.identity):
            answer.abort()
            self._release(question)
            return self._note_failure(question, upstream, 'not its answer')
        if not ingress.is_success(answer) and question.may_run_again:
            status = answer.status
            self._release(question)
            return self._note_failure(question, upstream, f'status {status}')
        return Ok(answer)

    def _open(
        self,
        question: Question,
        upstream: UpstreamState,
    ) -> Result[Exchange, str]:
        begun = self._pool.begin(upstream.address, question.seconds_left)
        if isinstance(begun, Err):
            return Err('no connection')
        answer = begun.ok_value
        question.answer = answer
        question.upstream = upstream
        upstream.in_hand += 1
        try:
            answer.send(
                self._encode(question, upstream),
                self._limit_silence(question, has_events=False),
            )
        except OSError as error:
            question.runs += 1
            answer.abort()
            self._release(question)
            return Err(f'lost: {error}')
        return Ok(answer)

    def _encode(self, question: Question, upstream: UpstreamState) -> bytes:
        send = ingress.Send(
            upstream.name,
            question.seconds_left,
            question.resume_after,
        )
        return make_request(
            question.request.method,
            question.request.target,
            ingress.list_onward_headers(question.request.headers, send),
            question.body,
        )

    def _limit_silence(self, question: Question, *, has_events: bool) -> float:
        elsewhere = (
            question.route.is_idempotent
            and question.runs < question.route.tries
        )
        return limit_silence(
            question.seconds_left,
            may_go_elsewhere=elsewhere,
            has_events=has_events,
        )

    def _note_load(self, upstream: UpstreamState, answer: Exchange) -> None:
        load = register.parse_load(ingress.get_load(answer))
        if load is not None:
            upstream.reported = load.running + load.waiting
            upstream.reported_at = time.monotonic()

    def _note_failure(
        self,
        question: Question,
        upstream: UpstreamState,
        why: str,
    ) -> Result[Exchange, str]:
        if question.is_gone:
            raise CallerGoneError('the caller has left')
        if why != 'turned away':
            note_outcome(upstream, went_well=False, now=time.monotonic())
        log_event(
            Event.request_retried,
            request=question.head.identity,
            upstream=upstream.name,
            in_hand=upstream.in_hand,
            reported=upstream.reported,
            runs=question.runs,
            seconds_left=round(question.seconds_left, 3),
            why=why,
        )
        return Err(why)

    def _refuse(self, question: Question, why: str) -> Refusal:
        if question.runs:
            if question.seconds_left <= 0:
                kind = ErrorKind.deadline_passed
            else:
                kind = ErrorKind.upstream_lost
            return Refusal(kind, why, ran=Ran.unknown)
        return Refusal(
            ErrorKind.overloaded,
            why,
            retry_seconds=RETRY_AFTER_SECONDS,
        )

    def _make_response(
        self,
        question: Question,
        answer: Exchange,
    ) -> Response:
        headers = dict(answer.list_headers())
        kind = headers.pop('Content-Type', headers.pop('content-type', ''))
        body: bytes | Iterator[bytes]
        if ingress.is_success(answer) and kind.startswith(EVENT_STREAM_TYPE):
            body = self._stream(question)
        else:
            body = self._read_whole(question, answer)
        response = Response(answer.status, body, kind, headers)
        response.on_close.append(lambda: self._finish(question, 'answered'))
        return response

    def _read_whole(self, question: Question, answer: Exchange) -> bytes:
        try:
            return answer.read(max(question.seconds_left, 0.01))
        except OSError as error:
            raise Refusal(ErrorKind.upstream_lost, str(error)) from error

    def _stream(self, question: Question) -> Iterator[bytes]:
        """Pass events on as they come, from as many upstreams as needed."""
        while True:
            broken = yield from self._pass_on(question)
            if not broken:
                return
            self._go_elsewhere(question, broken)

    def _pass_on(self, question: Question) -> Iterator[bytes]:
        answer = question.answer
        upstream = question.upstream
        assert answer is not None and upstream is not None  # noqa: S101
        reader = EventReader(answer)
        has_events = False
        while True:
            try:
                event = reader.read(
                    self._limit_silence(question, has_events=has_events),
                )
            except OSError as error:
                return str(error) or 'silent'
            if event is None:
                note_outcome(upstream, went_well=True, now=time.monotonic())
                return ''
            if event.identity:
                question.resume_after = event.identity
            has_events = True
            yield event.raw

    def _go_elsewhere(self, question: Question, why: str) -> None:
        upstream = question.upstream
        answer = question.answer
        assert upstream is not None and answer is not None  # noqa: S101
        answer.abort()
        self._release(question)
        self._note_failure(question, upstream, why)
        while question.may_run_again and question.seconds_left > 0:
            chosen = self._choose(question)
            if chosen is None:
                break
            sent = self._send(question, chosen)
            if isinstance(sent, Ok) and ingress.is_success(sent.ok_value):
                log_event(
                    Event.stream_resumed,
                    request=question.head.identity,
                    upstream=chosen.name,
                    after=question.resume_after,
                )
                return
        raise BrokenPipeError(f'the stream cannot go on: {why}')

    def _release(self, question: Question) -> None:
        if question.upstream is not None:
            question.upstream.in_hand -= 1
            question.upstream = None
        if question.answer is not None:
            question.answer.close()
            question.answer = None

    def _finish(self, question: Question, outcome: str) -> None:
        if question.watcher is not None:
            question.watcher.kill(block=False)
        answer = question.answer
        if answer is not None and not answer.is_whole:
            answer.abort()
        self._release(question)
        seconds = time.monotonic() - question.began_at
        self._metrics.count(
            'questions_total',
            route=question.route.name,
            outcome='gone' if question.is_gone else outcome,
        )
        self._metrics.observe('question', seconds, route=question.route.name)
