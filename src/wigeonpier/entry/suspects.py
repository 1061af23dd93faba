"""Refuses to forward requests that are known to crash upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.membership.exchange import exchange_suspicions
from wigeonpier.policy.suspicion import RunMode

if TYPE_CHECKING:
    from wigeonpier.entry.pending import PendingRequest
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.policy.route import UpstreamState
    from wigeonpier.web.client import HttpClient

# An entry does not know the version of an upstream's software.
NO_VERSION = frozenset(('',))


@dataclass(frozen=True, slots=True)
class SuspectFilter:
    """Checks requests and reports suspected ones to local processes.

    :param suspicions: suspected and refused requests known here.
    :param client: connections to local processes.
    """

    suspicions: Suspicions
    client: HttpClient

    def check(self, pending: PendingRequest, state: UpstreamState) -> None:
        """Refuse a request, or report a suspected one before it runs.

        :param pending: the request.
        :param state: the upstream that it is sent to.
        :raises Refusal: when the request crashes upstreams.
        """
        run_mode = self._judge(pending)
        if run_mode is RunMode.refused:
            raise Refusal(
                ErrorKind.ends_upstreams,
                'upstreams end when they run it',
                ran=Ran.unknown if pending.may_have_run else Ran.no,
            )
        if run_mode is not RunMode.free:
            exchange_suspicions(self.client, state.address, self.suspicions)

    def refresh(self, pending: PendingRequest, state: UpstreamState) -> None:
        """Get from a local process whether its upstream crashed.

        :param pending: the request that was lost there.
        :param state: the upstream that it was sent to.
        """
        pending.compute_fingerprint()
        exchange_suspicions(self.client, state.address, self.suspicions)

    def _judge(self, pending: PendingRequest) -> RunMode:
        if self.suspicions.is_empty:
            return RunMode.free
        return self.suspicions.get_run_mode(
            pending.compute_fingerprint(), NO_VERSION
        )
