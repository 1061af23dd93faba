"""The closed list of error kinds and the answer to each of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType


class Ran(StrEnum):
    """Whether the refused request may have run."""

    no = 'no'
    unknown = 'unknown'


class ErrorKind(StrEnum):
    """Every kind of error that a caller can receive."""

    invalid_request = 'invalid_request'
    body_too_large = 'body_too_large'
    body_too_slow = 'body_too_slow'
    unauthenticated = 'unauthenticated'
    forbidden = 'forbidden'
    not_found = 'not_found'
    method_not_allowed = 'method_not_allowed'
    model_not_found = 'model_not_found'
    key_reused = 'key_reused'
    conflict = 'conflict'
    limit_reached = 'limit_reached'
    overloaded = 'overloaded'
    leaving = 'leaving'
    not_ready = 'not_ready'
    no_upstream = 'no_upstream'
    platform_down = 'platform_down'
    storage_down = 'storage_down'
    deadline_passed = 'deadline_passed'
    upstream_lost = 'upstream_lost'
    upstream_failed = 'upstream_failed'
    outcome_unknown = 'outcome_unknown'
    ends_upstreams = 'ends_upstreams'
    version_gone = 'version_gone'
    origin_unknown = 'origin_unknown'
    internal = 'internal'


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The answer to a caller for one kind of error.

    :param status: HTTP status.
    :param ran: whether the request may have run, judged by the kind alone.
    :param retry_after: seconds after which a retry may help, ``None`` when
        the same request will not succeed later.
    :param help_text: advice for the caller, shown in ``docs/errors.md``.
    """

    status: int
    ran: Ran
    retry_after: int | None
    help_text: str


ANSWERS = MappingProxyType(
    {
        ErrorKind.invalid_request: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            Ran.no,
            None,
            'Correct the request; the message names the field.',
        ),
        ErrorKind.body_too_large: ErrorAnswer(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            Ran.no,
            None,
            'Send a smaller body; the message gives the limit.',
        ),
        ErrorKind.body_too_slow: ErrorAnswer(
            HTTPStatus.REQUEST_TIMEOUT,
            Ran.no,
            1,
            'Send the body again, faster.',
        ),
        ErrorKind.unauthenticated: ErrorAnswer(
            HTTPStatus.UNAUTHORIZED,
            Ran.no,
            None,
            'Send a valid key as a bearer token.',
        ),
        ErrorKind.forbidden: ErrorAnswer(
            HTTPStatus.FORBIDDEN,
            Ran.no,
            None,
            'Ask an operator for the role that is named.',
        ),
        ErrorKind.not_found: ErrorAnswer(
            HTTPStatus.NOT_FOUND, Ran.no, None, 'Check the path and the id.'
        ),
        ErrorKind.method_not_allowed: ErrorAnswer(
            HTTPStatus.METHOD_NOT_ALLOWED,
            Ran.no,
            None,
            'Use a method that the path takes.',
        ),
        ErrorKind.model_not_found: ErrorAnswer(
            HTTPStatus.NOT_FOUND,
            Ran.no,
            None,
            'Use a model that /v1/models lists.',
        ),
        ErrorKind.key_reused: ErrorAnswer(
            HTTPStatus.CONFLICT,
            Ran.no,
            None,
            'Use a new Idempotency-Key for a new request.',
        ),
        ErrorKind.conflict: ErrorAnswer(
            HTTPStatus.CONFLICT,
            Ran.no,
            None,
            'Read the current state and decide again.',
        ),
        ErrorKind.limit_reached: ErrorAnswer(
            HTTPStatus.TOO_MANY_REQUESTS,
            Ran.no,
            1,
            'Slow down, or ask for a higher limit.',
        ),
        ErrorKind.overloaded: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            1,
            'Try again after the time given.',
        ),
        ErrorKind.leaving: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            1,
            'The process is leaving; try another.',
        ),
        ErrorKind.not_ready: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            2,
            'The process has no configuration yet.',
        ),
        ErrorKind.no_upstream: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            2,
            'No upstream of the service takes work now.',
        ),
        ErrorKind.platform_down: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            10,
            'The key-value service does not answer.',
        ),
        ErrorKind.storage_down: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            5,
            'Too few data folders can be reached.',
        ),
        ErrorKind.deadline_passed: ErrorAnswer(
            HTTPStatus.GATEWAY_TIMEOUT,
            Ran.no,
            None,
            'The deadline passed before work was started.',
        ),
        ErrorKind.upstream_lost: ErrorAnswer(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            1,
            'The upstream was lost; resend idempotent work.',
        ),
        ErrorKind.upstream_failed: ErrorAnswer(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            1,
            'The upstream failed; resend idempotent work.',
        ),
        ErrorKind.outcome_unknown: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.unknown,
            2,
            'Resend with the same Idempotency-Key.',
        ),
        ErrorKind.ends_upstreams: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            Ran.no,
            None,
            'Upstreams end when they run it; change it, or ask an operator.',
        ),
        ErrorKind.version_gone: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            None,
            'The version that began the stream is no longer served; start again.',
        ),
        ErrorKind.origin_unknown: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            1,
            'It is unknown which version began the stream; try another entry,'
            ' or start again.',
        ),
        ErrorKind.internal: ErrorAnswer(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            Ran.unknown,
            None,
            'Report the trace id to the operators.',
        ),
    }
)


class Refusal(Exception):  # noqa: N818
    """A request that is refused, with a kind from the closed list.

    :param kind: kind of the error.
    :param message: what was wrong and what to do.
    :param ran: overrides the value of the kind.
    :param retry_after: overrides the value of the kind, in seconds.
    :param retry_seconds: the same with fractions, for callers that accept
        them.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        ran: Ran | None = None,
        retry_after: int | None = None,
        retry_seconds: float | None = None,
    ) -> None:
        """Set what is not given to the values of the kind."""
        super().__init__(message)
        answer = ANSWERS[kind]
        self.kind = kind
        self.message = message
        self.status = answer.status
        self.ran = ran or answer.ran
        self.retry_seconds = retry_seconds
        self.retry_after = (
            answer.retry_after if retry_after is None else retry_after
        )
