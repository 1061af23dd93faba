"""Failed attempts to forward a request, and the answers that they give."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from geventhttpclient.response import HTTPParseError

from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.invariants import Invariant, check_invariant
from wigeonpier.policy.retry import ExecutionState
from wigeonpier.web.client import CallFailure
from wigeonpier.web.messages import ErrorPage
from wigeonpier.web.readlimits import MAX_SMALL_BODY_BYTES

if TYPE_CHECKING:
    from wigeonpier.entry.pending import PendingRequest
    from wigeonpier.web.client import StreamReply


@dataclass(slots=True)
class RefusedAttempt:
    """A failed attempt and the answer that it would give the caller.

    :param execution_state: whether the request may have run.
    :param refusal: answer to the caller if this is the last attempt.
    """

    execution_state: ExecutionState
    refusal: Refusal


def classify_failure(failure: CallFailure) -> RefusedAttempt:
    """Classify an attempt that got no answer.

    :param failure: why there is none.
    :returns: the failed attempt.
    """
    if failure is CallFailure.not_sent:
        return RefusedAttempt(
            ExecutionState.not_run,
            Refusal(ErrorKind.no_upstream, 'the upstream cannot be reached'),
        )
    return RefusedAttempt(
        ExecutionState.may_have_run,
        Refusal(ErrorKind.upstream_lost, 'the upstream was lost'),
    )


def classify_refusal(reply: StreamReply, seconds: float) -> RefusedAttempt:
    """Read the refusal of an upstream, and release its connection.

    :param reply: the answer.
    :param seconds: time to wait for its body.
    :returns: the failed attempt.
    """
    try:
        raw = reply.read(seconds, MAX_SMALL_BODY_BYTES)
        page = msgspec.json.decode(raw, type=ErrorPage)
        refusal = Refusal(
            ErrorKind(page.error.type),
            page.error.message,
            ran=Ran(page.error.ran),
        )
    except (OSError, HTTPParseError, msgspec.DecodeError, ValueError):
        refusal = Refusal(
            ErrorKind.upstream_failed,
            f'the upstream answered {reply.status}',
        )
    finally:
        reply.close()
    execution_state = (
        ExecutionState.not_run
        if refusal.ran is Ran.no
        else ExecutionState.may_have_run
    )
    return RefusedAttempt(execution_state, refusal)


def make_version_failure() -> RefusedAttempt:
    """Make the failure of an attempt at an engine with another fingerprint.

    :returns: the failed attempt.
    """
    return RefusedAttempt(
        ExecutionState.may_have_run,
        Refusal(
            ErrorKind.version_gone,
            'no upstream of the version that began the stream is left',
            ran=Ran.unknown,
        ),
    )


def correct_ran(pending: PendingRequest, refusal: Refusal) -> Refusal:
    """Make a refusal report whether any attempt, not only the last, ran.

    :param pending: the refused request.
    :param refusal: the answer to its last attempt.
    :returns: the answer to the caller.
    """
    if pending.may_have_run and refusal.ran is Ran.no:
        refusal = Refusal(
            refusal.kind,
            refusal.message,
            ran=Ran.unknown,
            retry_after=refusal.retry_after,
        )
    check_invariant(
        refusal.ran is not Ran.no or not pending.may_have_run,
        Invariant.refused_means_not_run,
        pending.request.identity,
    )
    return refusal


def render_error(refusal: Refusal) -> bytes:
    """Encode a refusal as the last event of a stream.

    :param refusal: the refusal.
    :returns: the event.
    """
    page = msgspec.json.encode(
        {
            'error': {
                'type': refusal.kind.value,
                'message': refusal.message,
                'ran': refusal.ran.value,
            },
        }
    )
    return b'data: %b\n\n' % page
