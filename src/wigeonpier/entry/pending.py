"""An online request while the entry forwards it."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.policy.fingerprint import digest_request

if TYPE_CHECKING:
    from wigeonpier.policy.route import RoutingCriteria
    from wigeonpier.web.messages import Request


@dataclass(slots=True)
class PendingRequest:
    """An online request that is being forwarded.

    :param request: the request as the caller sent it.
    :param path: path at the local process.
    :param body: the complete body.
    :param criteria: requirements for the upstream.
    :param is_idempotent: whether it may run more than once.
    :param deadline: monotonic seconds.
    :param arrived: monotonic seconds.
    :param attempts: number of attempts so far.
    :param may_have_run: whether one of the attempts may have run.
    :param tokens: tokens of the answer, for the customer's limit.
    :param fingerprint: fingerprint of its content, empty until computed.
    """

    request: Request
    path: str
    body: bytes
    criteria: RoutingCriteria
    is_idempotent: bool
    deadline: float
    arrived: float = field(default_factory=time.monotonic)
    attempts: int = 0
    may_have_run: bool = False
    tokens: int = 0
    fingerprint: str = ''

    def compute_fingerprint(self) -> str:
        """Compute the fingerprint of the content, once.

        Repeats of the request have the same fingerprint.

        :returns: fingerprint of the original request, also for the
            continuation of a stream.
        """
        if not self.fingerprint:
            self.fingerprint = digest_request(
                self.request.customer,
                self.request.method,
                self.path,
                self.body,
            )
        return self.fingerprint

    @property
    def seconds_left(self) -> float:
        """Return the time until the deadline."""
        return self.deadline - time.monotonic()
