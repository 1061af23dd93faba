"""Names the ways in which sending a request to an upstream fails."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType

from wigeonpier.errors import ErrorKind
from wigeonpier.web.readlimits import EndlessAnswerError


class CallerGoneError(OSError):
    """The caller has closed its connection."""


class BrokenStreamError(BrokenPipeError):
    """A stream cannot be continued.

    It closes the connection, so that the caller sees a truncated response.
    """


class SendFailure(StrEnum):
    """Why a send produced no response that may be forwarded.

    The values appear in logs and in error responses.
    """

    no_upstream = 'no upstream takes it'
    no_time = 'no time is left'
    cut_off = 'no upstream is reached'
    no_connection = 'no connection'
    turned_away = 'turned away'
    replaced = 'another instance has the address'
    foreign_answer = 'not its answer'
    failed = 'the upstream failed'
    unfounded = 'refused without a statement of not having run'
    lost = 'lost'
    endless = 'bytes without end'
    silent = 'silent'
    queued = 'queued while another upstream had room'
    late = 'late in a queue, and gave way'
    no_slot = 'no slot becomes free in time'
    crashes_upstreams = 'upstreams end when they run it'
    origin_unknown = 'it is unknown which version began the stream'
    version_down = 'the upstreams of the version that began it have crashed'
    version_gone = 'no upstream of the version that began the stream is left'


# For requests that another entry or upstream can serve at once.
RETRY_ELSEWHERE_SECONDS = 0.05
# A replica that has crashed restarts within some seconds.
RETRY_RESTARTED_SECONDS = 1.0
# Why a stream that has begun elsewhere cannot continue, and when to try again.
STREAM_REFUSALS = MappingProxyType(
    {
        SendFailure.origin_unknown: (
            ErrorKind.origin_unknown,
            RETRY_ELSEWHERE_SECONDS,
        ),
        SendFailure.version_down: (
            ErrorKind.no_upstream,
            RETRY_RESTARTED_SECONDS,
        ),
        SendFailure.version_gone: (ErrorKind.version_gone, None),
    }
)


class QueueLeftError(Exception):
    """The request leaves an upstream's queue before its read times out."""

    def __init__(self, reason: SendFailure) -> None:
        """Create the error.

        :param reason: why the request leaves.
        """
        super().__init__(reason.value)
        self.reason = reason


# An upstream may close an idle connection without notice, and a request sent
# on it is lost, which is no failure of the upstream.  A request that may not be
# retried therefore uses only connections idle for less than the shortest idle
# time-out observed at an upstream.
MAX_SAFE_IDLE_SECONDS = 0.15
# Failures after which the upstream process itself may have crashed.
DISCONNECTS = frozenset((SendFailure.lost, SendFailure.no_connection))
# Failures that do not count against the upstream's health.
HEALTH_NEUTRAL = frozenset(
    (SendFailure.turned_away, SendFailure.queued, SendFailure.late),
)


def shows_fault(status: int) -> bool:
    """Check whether the status of an answer shows a fault of the upstream.

    :param status: HTTP status.
    :returns: false also for 504, which says that the request's time was up.
    """
    is_server_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return is_server_error and status != HTTPStatus.GATEWAY_TIMEOUT


def classify_disconnect(error: OSError) -> SendFailure:
    """Classify an error that was raised while reading from an upstream.

    :param error: the error.
    :returns: ``silent`` for a time-out, ``endless`` for an answer that exceeds
        a limit, ``lost`` for any other error.
    """
    if isinstance(error, EndlessAnswerError):
        return SendFailure.endless
    if isinstance(error, TimeoutError):
        return SendFailure.silent
    return SendFailure.lost
